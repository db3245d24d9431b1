package lovagehistory

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// configChange is one committed configuration change. Changes form a linked list, latest first, that model states share.
type configChange struct {
	revision  int64
	name      string
	content   string // digest of the written resource; empty if deleted
	previous  *configChange
	chainHash uint64 // hash of this change and all previous changes
}

type configState struct {
	latest  *configChange
	applied map[string]int64 // applied revision by instance; the map is copied on write
}

func (st configState) headRevision() int64 {
	if st.latest == nil {
		return 0
	}
	return st.latest.revision
}

// resourceAt returns a resource's own revision and content as of the given configuration revision. It returns 0 and
// an empty content if the resource does not exist at that revision.
func (st configState) resourceAt(name string, revision int64) (resourceRevision int64, content string) {
	for ch := st.latest; ch != nil; ch = ch.previous {
		if ch.revision <= revision && ch.name == name {
			if ch.content == "" {
				return 0, ""
			}
			return ch.revision, ch.content
		}
	}
	return 0, ""
}

func (st configState) commit(name, content string) configState {
	ch := &configChange{revision: st.headRevision() + 1, name: name, content: content, previous: st.latest}
	var previous uint64
	if st.latest != nil {
		previous = st.latest.chainHash
	}
	ch.chainHash = xxhash.Sum64String(fmt.Sprintf("%x %q %q", previous, name, content))
	st.latest = ch
	return st
}

// CheckConfiguration checks that
//   - configuration writes are compare-and-set on the resource's revision; a write without content is a deletion;
//   - a deleted resource can only be created again;
//   - revisions have no gaps;
//   - a read of the current resource returns the last committed write;
//   - the revision applied by an instance never decreases and the instance shows exactly the configuration at that revision.
func CheckConfiguration(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{configState{}} },
		Step: adaptStep(stepConfig),
		Equal: func(a, b any) bool {
			sa, okA := a.(configState)
			sb, okB := b.(configState)
			if !okA || !okB || sa.headRevision() != sb.headRevision() || !maps.Equal(sa.applied, sb.applied) {
				return false
			}
			return sa.latest == sb.latest || sa.latest.chainHash == sb.latest.chainHash
		},
	}
	return checkPartitions(entries, model.ToModel(), []Kind{ConfigWrite, ConfigRead, ConfigApply},
		func(*Operation) string { return "configuration" })
}

func stepConfig(st configState, op *Operation, out *output) []configState {
	currentRevision, content := st.resourceAt(op.Name, st.headRevision())
	// Only an existing resource can be deleted.
	preconditionHolds := currentRevision == op.Revision && (op.Content != "" || currentRevision > 0)
	switch {
	case op.Kind == ConfigWrite && (!out.hasResponse || out.WriteOutcome == Indeterminate):
		if !preconditionHolds {
			return []configState{st}
		}
		return []configState{st, st.commit(op.Name, op.Content)}
	case !out.hasResponse, op.Kind == ConfigWrite && out.WriteOutcome == NoEffect:
		return []configState{st}
	case op.Kind == ConfigWrite && out.WriteOutcome == Committed:
		if !preconditionHolds || out.Revision != st.headRevision()+1 {
			return nil
		}
		return []configState{st.commit(op.Name, op.Content)}
	case op.Kind == ConfigWrite && out.WriteOutcome == Refused:
		if preconditionHolds || out.Revision != currentRevision {
			return nil // the precondition held, or the reported current revision is wrong
		}
		return []configState{st}
	case op.Kind == ConfigRead:
		if out.Revision != currentRevision || out.Content != content {
			return nil
		}
		return []configState{st}
	case op.Kind == ConfigApply:
		return st.apply(op, out)
	}
	return nil
}

func (st configState) apply(op *Operation, out *output) []configState {
	_, content := st.resourceAt(op.Name, out.Revision)
	if out.Revision > st.headRevision() || out.Revision < st.applied[op.Instance] || out.Content != content {
		return nil
	}
	applied := maps.Clone(st.applied)
	if applied == nil {
		applied = map[string]int64{}
	}
	applied[op.Instance] = out.Revision
	st.applied = applied
	return []configState{st}
}
