package lovageresource

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Change is one accepted change of the configuration. Revisions rise by one with each change.
type Change struct {
	Revision int64     `json:"revision"`
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Deleted  bool      `json:"deleted,omitempty"`
	Resource *Resource `json:"resource,omitempty"` // nil if deleted
}

// check returns an error if the change contradicts itself.
func (ch *Change) check() error {
	switch {
	case ch.Revision < 1 || !ch.Kind.Valid() || ch.Name == "":
		return errors.Newf("change %d of %s %q is not a change", ch.Revision, ch.Kind, ch.Name)
	case ch.Deleted != (ch.Resource == nil):
		return errors.Newf("change %d of %s %q must either delete or hold a resource", ch.Revision, ch.Kind, ch.Name)
	case ch.Resource != nil && (ch.Resource.Kind != ch.Kind || ch.Resource.Name != ch.Name ||
		ch.Resource.Revision != ch.Revision):
		return errors.Newf("change %d of %s %q holds another resource", ch.Revision, ch.Kind, ch.Name)
	}
	return nil
}

// GapError is returned for a change that does not follow the applied revision.
type GapError struct{ Applied, Received int64 }

func (er *GapError) Error() string {
	return fmt.Sprintf("revision %d does not follow the applied revision %d", er.Received, er.Applied)
}

// TooOldError is returned for changes after a revision that the change log no longer reaches back to. List the
// resources and go on from the revision of the list.
type TooOldError struct{ After, Oldest, Current int64 }

func (er *TooOldError) Error() string {
	return fmt.Sprintf("revision %d is too old: the change log goes back to revision %d only; list the resources and "+
		"watch from the revision of the list", er.After, er.Oldest)
}

// Store is one instance's copy of all resources with a bounded log of the latest changes. Its methods may be called
// from several goroutines. Resources it returns share their specs, which must not be changed.
type Store struct {
	mu        sync.RWMutex
	bound     int
	revision  int64
	resources map[Kind]map[string]Resource
	log       []Change // the last changes up to revision, oldest first
	changed   chan struct{}
}

// NewStore returns an empty store at revision 0. Its change log keeps the last bound changes.
func NewStore(bound int) *Store {
	return &Store{bound: max(bound, 1), resources: emptyResources(), changed: make(chan struct{})}
}

func emptyResources() map[Kind]map[string]Resource {
	out := map[Kind]map[string]Resource{}
	for _, kind := range Kinds() {
		out[kind] = map[string]Resource{}
	}
	return out
}

// Revision returns the applied revision.
func (st *Store) Revision() int64 {
	st.mu.RLock()
	defer st.mu.RUnlock()
	return st.revision
}

// Changed returns a channel that is closed when the next revision is applied.
func (st *Store) Changed() <-chan struct{} {
	st.mu.RLock()
	defer st.mu.RUnlock()
	return st.changed
}

// Apply applies the change that follows the applied revision. A change of an applied revision is ignored, because
// the same change arrives from several sources; a later one is refused with a *GapError.
func (st *Store) Apply(ch Change) error {
	if err := ch.check(); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case ch.Revision <= st.revision:
		return nil
	case ch.Revision != st.revision+1:
		return &GapError{Applied: st.revision, Received: ch.Revision}
	}
	if ch.Deleted {
		delete(st.resources[ch.Kind], ch.Name)
	} else {
		st.resources[ch.Kind][ch.Name] = *ch.Resource
	}
	st.revision = ch.Revision
	if len(st.log) >= 2*st.bound { // moving only then makes the cost per change constant
		st.log = slices.Clone(st.log[len(st.log)-st.bound+1:])
	}
	st.log = append(st.log, ch)
	st.wake()
	return nil
}

func (st *Store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Get returns one resource.
func (st *Store) Get(kind Kind, name string) (Resource, bool) {
	st.mu.RLock()
	defer st.mu.RUnlock()
	re, ok := st.resources[kind][name]
	return re, ok
}

// List returns the resources of a kind, or of all kinds if it is empty, in order of kind and name, and the revision
// at which they are listed.
func (st *Store) List(kind Kind) ([]Resource, int64) {
	st.mu.RLock()
	defer st.mu.RUnlock()
	return st.list(kind), st.revision
}

func (st *Store) list(kind Kind) []Resource {
	out := []Resource{}
	for _, ki := range Kinds() {
		if kind != "" && kind != ki {
			continue
		}
		first := len(out)
		for _, re := range st.resources[ki] {
			out = append(out, re)
		}
		slices.SortFunc(out[first:], func(a, b Resource) int { return strings.Compare(a.Name, b.Name) })
	}
	return out
}

// Since returns up to limit changes that follow the revision, in order and without gaps; a limit of 0 means all. A
// revision that is not applied yet has no changes. The error is a *TooOldError if the log does not reach back.
func (st *Store) Since(after int64, limit int) ([]Change, error) {
	st.mu.RLock()
	defer st.mu.RUnlock()
	if after >= st.revision {
		return nil, nil
	}
	kept := st.log[max(0, len(st.log)-st.bound):]
	oldest := st.revision - int64(len(kept))
	if after < oldest {
		return nil, &TooOldError{After: after, Oldest: oldest, Current: st.revision}
	}
	kept = kept[after-oldest:]
	if limit > 0 && len(kept) > limit {
		kept = kept[:limit]
	}
	return slices.Clone(kept), nil
}

// snapshot is the stored form of a whole store.
type snapshot struct {
	Revision  int64      `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Snapshot returns all resources at the applied revision, and that revision.
func (st *Store) Snapshot() ([]byte, int64, error) {
	resources, revision := st.List("")
	data, err := json.Marshal(snapshot{Revision: revision, Resources: resources})
	return data, revision, errors.Wrap(err, "encode a snapshot of the resources")
}

// Restore replaces all resources by those of a snapshot and empties the change log. A snapshot that is not newer than
// the applied revision changes nothing and gives false.
func (st *Store) Restore(data []byte) (bool, error) {
	var sn snapshot
	if err := json.Unmarshal(data, &sn); err != nil {
		return false, errors.Wrap(err, "decode a snapshot of the resources")
	}
	return st.RestoreResources(sn.Resources, sn.Revision)
}

// RestoreResources is Restore for decoded resources.
func (st *Store) RestoreResources(list []Resource, revision int64) (bool, error) {
	resources := emptyResources()
	for _, re := range list {
		if !re.Kind.Valid() || re.Name == "" || re.Revision < 1 || re.Revision > revision {
			return false, errors.Newf("snapshot at revision %d holds %s %q of revision %d", revision, re.Kind, re.Name,
				re.Revision)
		}
		re.Status = Status{}
		resources[re.Kind][re.Name] = re
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if revision <= st.revision {
		return false, nil
	}
	st.resources, st.revision, st.log = resources, revision, nil
	st.wake()
	return true, nil
}

// Configuration returns the configuration in force.
func (st *Store) Configuration() Configuration {
	if re, ok := st.Get(KindConfiguration, DefaultName); ok {
		if sp, ok := re.Spec.(Configuration); ok {
			return sp
		}
	}
	return DefaultConfiguration()
}
