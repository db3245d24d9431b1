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

func service(name string, revision int64) *Resource {
	sp := DefaultService()
	sp.RunTime = Duration(time.Duration(revision+1) * time.Millisecond)
	return &Resource{Kind: KindService, Name: name, Revision: revision, Spec: sp}
}

func put(name string, revision int64) Change {
	return Change{Revision: revision, Kind: KindService, Name: name, Resource: service(name, revision)}
}

// Guards against applying a change out of order, which would let a later state be overwritten by an earlier one.
func TestApplyOrder(t *testing.T) {
	st := NewStore(4)
	must.NoError(t, st.Apply(put("a", 1)))
	var gap *GapError
	must.True(t, errors.As(st.Apply(put("a", 3)), &gap))
	must.Eq(t, GapError{Applied: 1, Received: 3}, *gap)
	must.NoError(t, st.Apply(put("b", 1)))
	_, ok := st.Get(KindService, "b")
	must.False(t, ok, must.Sprint("a change of an applied revision took effect"))
	must.Error(t, st.Apply(Change{Revision: 2, Kind: KindService, Name: "a"}))
	must.Error(t, st.Apply(Change{Revision: 2, Kind: KindService, Name: "a", Resource: service("b", 2)}))
	must.Eq(t, 1, st.Revision())
}

// Guards against a watch that misses or repeats changes, and against a reader of an old revision who is not told.
func TestSinceHasNoGaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := rapid.IntRange(1, 8).Draw(rt, "bound")
		st := NewStore(bound)
		at, missed := int64(0), false
		for rev := int64(1); rev <= 60; rev++ {
			name := fmt.Sprintf("s%d", rev%5)
			ch := put(name, rev)
			if rapid.Bool().Draw(rt, "delete") {
				ch = Change{Revision: rev, Kind: KindService, Name: name, Deleted: true}
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				other := NewStore(1)
				data, _ := json.Marshal(snapshot{Revision: rev, Resources: []Resource{*service(name, rev)}})
				must.True(rt, must1(other.Restore(data)))
				must.True(rt, must1(st.Restore(data)))
				missed = true
			} else {
				must.NoError(rt, st.Apply(ch))
			}
			if rapid.Bool().Draw(rt, "skip") {
				continue
			}
			changes, err := st.Since(at, 0)
			var old *TooOldError
			if errors.As(err, &old) {
				must.True(rt, missed || rev-at > int64(bound), must.Sprint("the log was long enough"))
				at = st.Revision()
				missed = false
				continue
			}
			must.NoError(rt, err)
			must.False(rt, missed, must.Sprint("changes hidden by a snapshot were not reported"))
			for _, ch := range changes {
				must.Eq(rt, at+1, ch.Revision)
				at = ch.Revision
			}
			must.Eq(rt, st.Revision(), at)
		}
	})
}

func must1(ok bool, err error) bool { return ok && err == nil }

// Guards against a restart or an old snapshot that takes the store back.
func TestSnapshotRestore(t *testing.T) {
	st := NewStore(10)
	must.NoError(t, st.Apply(put("a", 1)))
	must.NoError(t, st.Apply(put("b", 2)))
	data, revision, err := st.Snapshot()
	must.NoError(t, err)
	must.Eq(t, 2, revision)
	copied := NewStore(10)
	must.True(t, must1(copied.Restore(data)))
	want, _ := st.List("")
	got, at := copied.List("")
	must.Eq(t, want, got)
	must.Eq(t, 2, at)
	must.NoError(t, st.Apply(Change{Revision: 3, Kind: KindService, Name: "a", Deleted: true}))
	ok, err := st.Restore(data)
	must.NoError(t, err)
	must.False(t, ok, must.Sprint("a lower revision was restored"))
	must.Eq(t, 3, st.Revision())
	_, err = copied.Restore([]byte(`{"revision":9,"resources":[{"kind":"Service","name":"a","revision":10,"spec":{}}]}`))
	must.Error(t, err, must.Sprint("a resource newer than its snapshot was accepted"))
}

// Guards against a write that is based on another state than the operator saw.
func TestBuild(t *testing.T) {
	none := lovageplatform.Row{Key: HeadKey}
	tx, ch, err := BuildPut("op1", none, lovageplatform.Row{}, *service("a", 0))
	must.NoError(t, err)
	must.Eq(t, 1, ch.Revision)
	must.Eq(t, []lovageplatform.Check{{Key: "head"}, {Key: "resource/Service/a"}, {Key: "change/1"}}, tx.Checks)
	headRow := lovageplatform.Row{Key: HeadKey, Value: tx.Writes[0].Value, Version: 1}
	row := lovageplatform.Row{Key: ResourceKey(KindService, "a"), Value: tx.Writes[1].Value, Version: 1}
	written, err := ParseChange(lovageplatform.Row{Value: tx.Writes[2].Value, Version: 1})
	must.NoError(t, err)
	must.Eq(t, ch, written)

	for _, given := range []int64{0, 2} {
		_, _, err = BuildPut("op2", headRow, row, *service("a", given))
		var conflict *ConflictError
		must.True(t, errors.As(err, &conflict))
		must.Eq(t, 1, conflict.Current)
		must.StrContains(t, err.Error(), "revision 1")
	}
	_, _, err = BuildDelete("op3", headRow, lovageplatform.Row{}, KindService, "b", 0)
	must.Error(t, err, must.Sprint("deleting what does not exist was accepted"))
	tx, ch, err = BuildDelete("op4", headRow, row, KindService, "a", 1)
	must.NoError(t, err)
	must.Eq(t, Change{Revision: 2, Kind: KindService, Name: "a", Deleted: true}, ch)
	must.Eq(t, lovageplatform.Check{Key: "head", Version: 1}, tx.Checks[0])
	must.True(t, tx.Writes[1].Delete)
	_, _, err = BuildPut("op5", lovageplatform.Row{Key: HeadKey, Value: []byte("x"), Version: 1}, row, *service("a", 1))
	must.Error(t, err, must.Sprint("a head without a revision was taken for revision 0"))
}
