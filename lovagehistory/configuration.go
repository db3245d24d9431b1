package lovagehistory

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// change is one committed configuration change. Changes form a list from the latest to the first, which states share.
type change struct {
	revision int64
	name     string
	content  string // empty: the resource was deleted
	before   *change
	digest   uint64 // of this change and all before it
}

// configState is the committed configuration and what instances have applied of it.
type configState struct {
	last    *change
	applied map[string]int64 // by instance; never modified, only replaced
}

func (st configState) head() int64 {
	if st.last == nil {
		return 0
	}
	return st.last.revision
}

// at returns the revision and the content of a resource as of a revision, 0 and nothing if it does not exist then.
func (st configState) at(name string, revision int64) (rev int64, content string) {
	for ch := st.last; ch != nil; ch = ch.before {
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
	ch := &change{revision: st.head() + 1, name: name, content: content, before: st.last}
	var before uint64
	if st.last != nil {
		before = st.last.digest
	}
	ch.digest = xxhash.Sum64String(fmt.Sprintf("%x %q %q", before, name, content))
	st.last = ch
	return st
}

// CheckConfiguration checks that configuration writes, of which those without content delete the resource, are
// compare-and-set on the resource's revision, that a deleted resource can only be created again, that revisions have no
// gaps, that a read of the current resource sees the last committed write, and that the revision applied by an
// instance never goes back and shows exactly the configuration committed up to it.
func CheckConfiguration(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{configState{}} },
		Step: step(stepConfig),
		Equal: func(a, b any) bool {
			sa, okA := a.(configState)
			sb, okB := b.(configState)
			if !okA || !okB || sa.head() != sb.head() || !maps.Equal(sa.applied, sb.applied) {
				return false
			}
			return sa.last == sb.last || sa.last.digest == sb.last.digest
		},
	}
	return check(entries, model.ToModel(), []Kind{ConfigWrite, ConfigRead, ConfigApply},
		func(*Operation) string { return "configuration" })
}

func stepConfig(st configState, op *Operation, out *output) []configState {
	current, content := st.at(op.Name, st.head())
	fits := current == op.Revision && (op.Content != "" || current > 0) // what does not exist cannot be deleted
	switch {
	case op.Kind == ConfigWrite && (!out.seen || out.WriteOutcome == Indeterminate):
		if !fits {
			return []configState{st}
		}
		return []configState{st, st.commit(op.Name, op.Content)}
	case !out.seen, op.Kind == ConfigWrite && out.WriteOutcome == NoEffect:
		return []configState{st}
	case op.Kind == ConfigWrite && out.WriteOutcome == Committed:
		if !fits || out.Revision != st.head()+1 {
			return nil
		}
		return []configState{st.commit(op.Name, op.Content)}
	case op.Kind == ConfigWrite && out.WriteOutcome == Refused:
		if fits || out.Revision != current {
			return nil // refused without cause, or with a wrong current revision
		}
		return []configState{st}
	case op.Kind == ConfigRead:
		if out.Revision != current || out.Content != content {
			return nil
		}
		return []configState{st}
	case op.Kind == ConfigApply:
		return st.apply(op, out)
	}
	return nil
}

func (st configState) apply(op *Operation, out *output) []configState {
	_, content := st.at(op.Name, out.Revision)
	if out.Revision > st.head() || out.Revision < st.applied[op.Instance] || out.Content != content {
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
