package lovageresource

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"lovagestack/lovageplatform"
)

func newService(name string, revision int64) *Resource {
	sp := DefaultService()
	sp.RunTime = Duration(time.Duration(revision+1) * time.Millisecond)
	return &Resource{Kind: KindService, Name: name, Revision: revision, Spec: sp}
}

func putChange(name string, revision int64) Change {
	return Change{Revision: revision, Kind: KindService, Name: name, Resource: newService(name, revision)}
}

// Checks that changes are applied only in order. Otherwise an earlier change would overwrite a later one.
func TestApplyOrder(t *testing.T) {
	st := NewStore(4)
	must.NoError(t, st.Apply(putChange("a", 1)))
	var gap *GapError
	must.True(t, errors.As(st.Apply(putChange("a", 3)), &gap))
	must.Eq(t, GapError{Applied: 1, Received: 3}, *gap)
	must.NoError(t, st.Apply(putChange("b", 1)))
	_, ok := st.Get(KindService, "b")
	must.False(t, ok, must.Sprint("a change of an applied revision took effect"))
	must.Error(t, st.Apply(Change{Revision: 2, Kind: KindService, Name: "a"}))
	must.Error(t, st.Apply(Change{Revision: 2, Kind: KindService, Name: "a", Resource: newService("b", 2)}))
	must.Eq(t, 1, st.Revision())
}

// Checks that Since returns each change after a revision once, and TooOldError if the log no longer holds these changes.
func TestSinceHasNoGaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxChanges := rapid.IntRange(1, 8).Draw(rt, "bound")
		st := NewStore(maxChanges)
		seen, missed := int64(0), false
		for rev := int64(1); rev <= 60; rev++ {
			name := fmt.Sprintf("s%d", rev%5)
			ch := putChange(name, rev)
			if rapid.Bool().Draw(rt, "delete") {
				ch = Change{Revision: rev, Kind: KindService, Name: name, Deleted: true}
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				other := NewStore(1)
				data, _ := json.Marshal(snapshot{Revision: rev, Resources: []Resource{*newService(name, rev)}})
				must.True(rt, succeeded(other.Restore(data)))
				must.True(rt, succeeded(st.Restore(data)))
				missed = true
			} else {
				must.NoError(rt, st.Apply(ch))
			}
			if rapid.Bool().Draw(rt, "skip") {
				continue
			}
			changes, err := st.Since(seen, 0)
			var old *TooOldError
			if errors.As(err, &old) {
				must.True(rt, missed || rev-seen > int64(maxChanges), must.Sprint("TooOldError although the log holds the changes"))
				seen = st.Revision()
				missed = false
				continue
			}
			must.NoError(rt, err)
			must.False(rt, missed, must.Sprint("no TooOldError although a snapshot skipped changes"))
			for _, ch := range changes {
				must.Eq(rt, seen+1, ch.Revision)
				seen = ch.Revision
			}
			must.Eq(rt, st.Revision(), seen)
		}
	})
}

func succeeded(ok bool, err error) bool { return ok && err == nil }

// Checks that neither a restart nor an old snapshot resets the store to an earlier revision.
func TestSnapshotRestore(t *testing.T) {
	st := NewStore(10)
	must.NoError(t, st.Apply(putChange("a", 1)))
	must.NoError(t, st.Apply(putChange("b", 2)))
	data, revision, err := st.Snapshot()
	must.NoError(t, err)
	must.Eq(t, 2, revision)
	copied := NewStore(10)
	must.True(t, succeeded(copied.Restore(data)))
	want, _ := st.List("")
	got, gotRevision := copied.List("")
	must.Eq(t, want, got)
	must.Eq(t, 2, gotRevision)
	must.NoError(t, st.Apply(Change{Revision: 3, Kind: KindService, Name: "a", Deleted: true}))
	ok, err := st.Restore(data)
	must.NoError(t, err)
	must.False(t, ok, must.Sprint("a snapshot of a lower revision was restored"))
	must.Eq(t, 3, st.Revision())
	_, err = copied.Restore([]byte(`{"revision":9,"resources":[{"kind":"Service","name":"a","revision":10,"spec":{}}]}`))
	must.Error(t, err, must.Sprint("a resource newer than its snapshot was accepted"))
}

// Checks that a write is refused if it would replace a revision of a resource that the operator has not seen.
func TestBuildTransaction(t *testing.T) {
	noHead := lovageplatform.Row{Key: HeadKey}
	tx, ch, err := BuildPut("op1", noHead, lovageplatform.Row{}, *newService("a", 0))
	must.NoError(t, err)
	must.Eq(t, 1, ch.Revision)
	must.Eq(t, []lovageplatform.Check{{Key: "head"}, {Key: "resource/Service/a"}, {Key: "change/1"}}, tx.Checks)
	headRow := lovageplatform.Row{Key: HeadKey, Value: tx.Writes[0].Value, Version: 1}
	row := lovageplatform.Row{Key: ResourceKey(KindService, "a"), Value: tx.Writes[1].Value, Version: 1}
	written, err := ParseChange(lovageplatform.Row{Value: tx.Writes[2].Value, Version: 1})
	must.NoError(t, err)
	must.Eq(t, ch, written)

	for _, expected := range []int64{0, 2} {
		_, _, err = BuildPut("op2", headRow, row, *newService("a", expected))
		var conflict *ConflictError
		must.True(t, errors.As(err, &conflict))
		must.Eq(t, 1, conflict.Current)
		must.StrContains(t, err.Error(), "revision 1")
	}
	_, _, err = BuildDelete("op3", headRow, lovageplatform.Row{}, KindService, "b", 0)
	must.Error(t, err, must.Sprint("the deletion of a missing resource was accepted"))
	tx, ch, err = BuildDelete("op4", headRow, row, KindService, "a", 1)
	must.NoError(t, err)
	must.Eq(t, Change{Revision: 2, Kind: KindService, Name: "a", Deleted: true}, ch)
	must.Eq(t, lovageplatform.Check{Key: "head", Version: 1}, tx.Checks[0])
	must.True(t, tx.Writes[1].Delete)
	_, _, err = BuildPut("op5", lovageplatform.Row{Key: HeadKey, Value: []byte("x"), Version: 1}, row, *newService("a", 1))
	must.Error(t, err, must.Sprint("a head row without a revision was accepted"))
}
