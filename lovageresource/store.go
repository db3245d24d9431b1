package lovageresource

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Change is one committed change of a resource. Its revision is that of the previous change plus 1.
type Change struct {
	Revision int64     `json:"revision"`
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Deleted  bool      `json:"deleted,omitempty"`
	Resource *Resource `json:"resource,omitempty"` // nil if deleted
}

// check returns an error if the change is invalid or inconsistent.
func (ch *Change) check() error {
	switch {
	case ch.Revision < 1 || !ch.Kind.Valid() || ch.Name == "":
		return errors.Newf("change %d of %s %q has an invalid revision, kind or name", ch.Revision, ch.Kind, ch.Name)
	case ch.Deleted != (ch.Resource == nil):
		return errors.Newf("change %d of %s %q must either delete or hold a resource", ch.Revision, ch.Kind, ch.Name)
	case ch.Resource != nil && (ch.Resource.Kind != ch.Kind || ch.Resource.Name != ch.Name ||
		ch.Resource.Revision != ch.Revision):
		return errors.Newf("change %d of %s %q holds another resource", ch.Revision, ch.Kind, ch.Name)
	}
	return nil
}

// GapError is returned for a change whose predecessor has not been applied.
type GapError struct{ Applied, Received int64 }

func (er *GapError) Error() string {
	return fmt.Sprintf("revision %d does not follow the applied revision %d", er.Received, er.Applied)
}

// TooOldError is returned when the change log no longer holds all changes after the requested revision. The reader has
// to list the resources and watch from the revision of the list.
type TooOldError struct{ After, Oldest, Current int64 }

func (er *TooOldError) Error() string {
	return fmt.Sprintf("revision %d is too old: the change log goes back to revision %d only; list the resources and "+
		"watch from the revision of the list", er.After, er.Oldest)
}

// Store is an instance's copy of all resources, with a bounded log of the latest changes. Its methods are safe for
// concurrent use. The resources it returns share their specs, which must not be modified.
type Store struct {
	mu         sync.RWMutex
	maxChanges int // number of latest changes that Since can return
	revision   int64
	resources  map[Kind]map[string]Resource
	log        []Change      // the latest changes up to revision, oldest first; at most twice maxChanges
	changed    chan struct{} // closed and replaced when the next revision is applied
}

// NewStore returns an empty store at revision 0. Its change log serves the last maxChanges changes.
func NewStore(maxChanges int) *Store {
	return &Store{maxChanges: max(maxChanges, 1), resources: emptyResources(), changed: make(chan struct{})}
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

// Apply applies the next change. A change whose revision is already applied is ignored, because the same change
// arrives from several sources. A change that skips a revision is refused with a *GapError.
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
	if len(st.log) >= 2*st.maxChanges { // trimming at twice the limit keeps the amortized cost per change constant
		st.log = slices.Clone(st.log[len(st.log)-st.maxChanges+1:])
	}
	st.log = append(st.log, ch)
	st.notify()
	return nil
}

func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Get returns the resource and whether it exists.
func (st *Store) Get(kind Kind, name string) (Resource, bool) {
	st.mu.RLock()
	defer st.mu.RUnlock()
	re, ok := st.resources[kind][name]
	return re, ok
}

// List returns the resources of a kind, or of all kinds if kind is empty, ordered by kind and name, and the revision of
// the list.
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

// Since returns up to limit changes that follow revision after, in order and without gaps; a limit of 0 means all. It
// returns none if after is the applied revision or higher. The error is a *TooOldError if the log no longer holds
// all these changes.
func (st *Store) Since(after int64, limit int) ([]Change, error) {
	st.mu.RLock()
	defer st.mu.RUnlock()
	if after >= st.revision {
		return nil, nil
	}
	kept := st.log[max(0, len(st.log)-st.maxChanges):]
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

// snapshot is the JSON form of a store's resources.
type snapshot struct {
	Revision  int64      `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Snapshot returns all resources, encoded as JSON, and their revision.
func (st *Store) Snapshot() ([]byte, int64, error) {
	resources, revision := st.List("")
	data, err := json.Marshal(snapshot{Revision: revision, Resources: resources})
	return data, revision, errors.Wrap(err, "encode a snapshot of the resources")
}

// Restore replaces all resources by those of a snapshot and empties the change log. If the snapshot is not newer than
// the applied revision, Restore changes nothing and returns false.
func (st *Store) Restore(data []byte) (bool, error) {
	var sn snapshot
	if err := json.Unmarshal(data, &sn); err != nil {
		return false, errors.Wrap(err, "decode a snapshot of the resources")
	}
	return st.RestoreResources(sn.Resources, sn.Revision)
}

// RestoreResources is like Restore, but takes decoded resources.
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
	st.notify()
	return true, nil
}

// Configuration returns the declared configuration named DefaultName, or the default values.
func (st *Store) Configuration() Configuration {
	if re, ok := st.Get(KindConfiguration, DefaultName); ok {
		if sp, ok := re.Spec.(Configuration); ok {
			return sp
		}
	}
	return DefaultConfiguration()
}
