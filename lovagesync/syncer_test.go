package lovagesync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// inForceTimeout is the time within which an accepted change must be in force on every reachable instance, by
// invariant 8 of the design.
const inForceTimeout = 5 * time.Second

// TestChangeReachesAll checks that a push brings a change to every instance at once. Instances that can reach only the
// table or only peers must have it within inForceTimeout.
func TestChangeReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		first := cl.start(nodeID(0), nil)
		cl.start(nodeID(1), nil)
		tableOnly := cl.start(nodeID(2), nil)
		peersOnly := cl.start(nodeID(3), nil)
		time.Sleep(3 * time.Second)
		first.mustPut("a", 1)
		time.Sleep(50 * time.Millisecond)
		for _, no := range cl.nodes {
			must.Eq(t, 1, no.weight("a"), must.Sprintf("%s was not pushed to at once", no.id))
		}
		cl.setIsolated(tableOnly.id, true)
		peersOnly.platform.update(func(fp *faultyPlatform) { fp.down = true })
		first.mustPut("a", 2)
		first.mustPut("b", 1)
		time.Sleep(inForceTimeout)
		for _, no := range cl.nodes {
			must.Eq(t, 2, no.weight("a"), must.Sprint(no.id))
			must.Eq(t, 1, no.weight("b"), must.Sprint(no.id))
		}
	})
}

// TestHangingTable checks that a hanging table request does not delay pushes, and that the instance catches up once the
// table answers again.
func TestHangingTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		first, hung := cl.start(nodeID(0), nil), cl.start(nodeID(1), nil)
		time.Sleep(3 * time.Second)
		hung.platform.update(func(fp *faultyPlatform) { fp.hanging = true })
		time.Sleep(time.Minute)
		first.mustPut("a", 1)
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, 1, hung.weight("a"), must.Sprint("a hanging table delayed a push"))
		cl.setIsolated(hung.id, true)
		for i := range 100 {
			first.mustPut("a", 2+i)
		}
		res := hung.Put(context.Background(), newTeam("b", 0, 1))
		must.Eq(t, lovageresource.WriteUnavailable, res.Outcome)
		time.Sleep(time.Minute)
		hung.platform.update(func(fp *faultyPlatform) { fp.hanging = false })
		time.Sleep(inForceTimeout)
		must.Eq(t, 101, hung.weight("a"))
	})
}

// TestLostReplies checks that operators get the true outcome of a change when replies to commits are lost.
func TestLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		no, other := cl.start(nodeID(0), nil), cl.start(nodeID(1), nil)
		time.Sleep(time.Second)
		no.platform.update(func(fp *faultyPlatform) { fp.repliesToLose = 3 })
		must.Eq(t, 1, no.mustPut("a", 1))
		must.Eq(t, 2, no.mustPut("a", 2), must.Sprint("a change was written twice"))

		// While all replies to commits are lost, the outcome is ambiguous, but the change takes effect.
		no.platform.update(func(fp *faultyPlatform) { fp.repliesToLose = 1000 })
		res := no.Put(context.Background(), newTeam("a", 2, 3))
		must.Eq(t, lovageresource.WriteAmbiguous, res.Outcome)
		time.Sleep(inForceTimeout)
		must.Eq(t, 3, other.weight("a"))
		no.platform.update(func(fp *faultyPlatform) { fp.repliesToLose = 0 })
		again := no.Put(context.Background(), newTeam("a", 2, 3))
		must.Eq(t, lovageresource.WriteResult{Outcome: lovageresource.WriteUnchanged, Revision: 3}, again)

		no.platform.update(func(fp *faultyPlatform) { fp.down = true })
		res = no.Put(context.Background(), newTeam("a", 3, 4))
		must.Eq(t, lovageresource.WriteUnavailable, res.Outcome)
		no.platform.update(func(fp *faultyPlatform) { fp.down = false })
		time.Sleep(inForceTimeout)
		must.Eq(t, 3, other.weight("a"), must.Sprint("a change took effect although it was reported as not written"))
	})
}

// TestRacingOperators checks that of several concurrent changes to one revision of a resource exactly one is accepted.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		for i := range 4 {
			cl.start(nodeID(i), nil)
		}
		time.Sleep(time.Second)
		base := cl.nodes[nodeID(0)].mustPut("a", 1)
		time.Sleep(time.Second)
		results := make(chan lovageresource.WriteResult, 40)
		for i := range 40 {
			go func() {
				results <- cl.nodes[nodeID(i%4)].Put(context.Background(), newTeam("a", base, 2+i))
			}()
		}
		accepted := int64(0)
		var conflicts []lovageresource.WriteResult
		for range 40 {
			if res := <-results; res.Outcome == lovageresource.WriteAccepted {
				must.Eq(t, 0, accepted, must.Sprint("two changes of one revision were accepted"))
				accepted = res.Revision
			} else {
				must.Eq(t, lovageresource.WriteConflict, res.Outcome)
				conflicts = append(conflicts, res)
			}
		}
		for _, res := range conflicts {
			must.Eq(t, accepted, res.Revision, must.Sprint("a conflict names a revision other than the current one"))
		}

		// Concurrent changes to different resources must all be accepted.
		for i := range 8 {
			go func() {
				results <- cl.nodes[nodeID(i%4)].Put(context.Background(), newTeam("b"+nodeID(i), 0, 1))
			}()
		}
		for range 8 {
			must.Eq(t, lovageresource.WriteAccepted, (<-results).Outcome)
		}
		res := cl.nodes[nodeID(0)].Delete(context.Background(), lovageresource.KindTeam, "a", base)
		must.Eq(t, lovageresource.WriteConflict, res.Outcome)
		res = cl.nodes[nodeID(0)].Delete(context.Background(), lovageresource.KindTeam, "a", accepted)
		must.Eq(t, lovageresource.WriteAccepted, res.Outcome)
		time.Sleep(inForceTimeout)
		for _, no := range cl.nodes {
			must.Eq(t, 0, no.weight("a"))
			must.Eq(t, res.Revision, no.Store.Revision())
		}
	})
}

// TestStartWithoutTable checks that an instance that starts without the table does not become ready with an empty or old
// configuration, and that it loads the current one from peers.
func TestStartWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		down := func(_ *Settings, fp *faultyPlatform) { fp.down = true }
		noTableA, noTableB := cl.start(nodeID(8), down), cl.start(nodeID(9), down)
		time.Sleep(10 * time.Second)
		for _, no := range []*node{noTableA, noTableB} {
			ready, reason := no.Ready()
			must.False(t, ready, must.Sprint("two instances without resources made each other ready"))
			must.StrContains(t, reason, "down")
		}
		old, current := cl.start(nodeID(0), nil), cl.start(nodeID(1), nil)
		cl.setIsolated(old.id, true)
		for i := range 100 { // the change log holds 64 changes, so peers send a snapshot
			current.mustPut("a", i+1)
		}
		old.platform.update(func(fp *faultyPlatform) { fp.down = true })
		time.Sleep(inForceTimeout)
		for _, no := range []*node{noTableA, noTableB} {
			ready, _ := no.Ready()
			must.True(t, ready)
			must.Eq(t, 100, no.weight("a"))
		}
	})
}

// TestSnapshotAndPrune checks that change rows are pruned, and that lagging and new instances catch up afterwards, also
// when the snapshot object cannot be read.
func TestSnapshotAndPrune(t *testing.T) {
	for _, objectsUp := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t)
			defer cl.stop()
			frequentSnapshots := func(se *Settings, _ *faultyPlatform) { se.SnapshotEvery, se.RetainedChanges = 8, 4 }
			no := cl.start(nodeID(0), frequentSnapshots)
			lagging := cl.start(nodeID(1), frequentSnapshots)
			time.Sleep(3 * time.Second)
			cl.setIsolated(lagging.id, true)
			lagging.platform.update(func(fp *faultyPlatform) { fp.down = true })
			for i := range 60 {
				no.mustPut("a", i+1)
				no.mustPut(nodeID(i%5), i+1)
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			rows, err := cl.platform.Scan(t.Context(), lovageresource.ChangePrefix)
			must.NoError(t, err)
			must.Less(t, 30, len(rows), must.Sprint("change rows are not pruned"))
			must.Greater(t, 3, len(rows), must.Sprint("rows that lagging instances may need were pruned"))
			lagging.platform.update(func(fp *faultyPlatform) { fp.down, fp.objectsDown = false, !objectsUp })
			fresh := cl.start(nodeID(2), func(se *Settings, fp *faultyPlatform) {
				frequentSnapshots(se, fp)
				fp.objectsDown = !objectsUp
			})
			time.Sleep(3 * time.Second)
			for _, it := range []*node{lagging, fresh} {
				must.Eq(t, 120, it.Store.Revision())
				must.Eq(t, 60, it.weight("a"))
			}
		})
	}
}

// TestSnapshotObjectsAreDeleted checks that obsolete snapshot objects are deleted in the end, also after failed
// deletions and lost replies to commits.
func TestSnapshotObjectsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		no := cl.start(nodeID(0), func(se *Settings, _ *faultyPlatform) { se.SnapshotEvery, se.RetainedChanges = 8, 4 })
		time.Sleep(3 * time.Second)
		putAndCountObjects := func(n int) (objects int) {
			for i := range n {
				no.mustPut("a", i+1)
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			no.platform.update(func(fp *faultyPlatform) { objects = len(fp.objects) })
			return objects
		}
		no.platform.update(func(fp *faultyPlatform) { fp.deletesFail = true })
		must.Greater(t, 2, putAndCountObjects(40))
		no.platform.update(func(fp *faultyPlatform) { fp.deletesFail = false })
		must.Eq(t, 1, putAndCountObjects(9))
		no.platform.update(func(fp *faultyPlatform) { fp.repliesToLose = 3 })
		must.Eq(t, 1, putAndCountObjects(9))
	})
}

// TestInForce checks that the condition counts only instances that answered, and that instances without a report for
// ForgetAfter are no longer listed.
func TestInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		first, silent := cl.start(nodeID(0), nil), cl.start(nodeID(1), nil)
		reachable := cl.start(nodeID(2), nil)
		time.Sleep(3 * time.Second)
		cl.setIsolated(silent.id, true)
		time.Sleep(time.Second)
		revision := first.mustPut("a", 1)
		re, ok := first.Get(lovageresource.KindTeam, "a")
		must.True(t, ok)
		must.Eq(t, lovageresource.ConditionFalse, re.Status.Conditions[0].Status, must.Sprint("no instance can have answered yet"))
		time.Sleep(10 * time.Second)
		re, _ = first.Get(lovageresource.KindTeam, "a")
		must.Eq(t, []lovageresource.Condition{{
			Type: lovageresource.InForce, Status: lovageresource.ConditionTrue,
			Reason: "revision 1 is applied by 2 of 2 instances that answered; 1 did not answer",
		}}, re.Status.Conditions)
		must.Eq(t, []lovageresource.AppliedRevision{
			{Instance: first.id, Revision: revision, Answered: true},
			{Instance: silent.id, Revision: 0, Answered: false},
			{Instance: reachable.id, Revision: revision, Answered: true},
		}, re.Status.Applied)
		first.ObserveRevision(nodeID(3), revision-1)
		co, _ := first.InForce(revision)
		must.Eq(t, lovageresource.ConditionFalse, co.Status)
		time.Sleep(DefaultSettings("").ForgetAfter + time.Second)
		_, applied := first.InForce(revision)
		must.Len(t, 2, applied, must.Sprint("instances that are gone for long are still listed"))
	})
}

// TestPoolConditions checks that the status of a pool shows undeclared services and workers that another pool declares
// too. Otherwise operators would notice such faults only when tasks fail.
func TestPoolConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		no := cl.start(nodeID(0), nil)
		time.Sleep(time.Second)
		for name, worker := range map[string]string{"pool-a": "w1", "pool-b": "w1", "pool-c": "w2"} {
			res := no.Put(context.Background(), lovageresource.Resource{
				Kind: lovageresource.KindPool, Name: name, Spec: lovageresource.Pool{
					Services: []string{"ticket"}, Workers: []lovageresource.Worker{{ID: worker}},
				},
			})
			must.Eq(t, lovageresource.WriteAccepted, res.Outcome)
		}
		conditions := func(name string) []lovageresource.Condition {
			re, ok := no.Get(lovageresource.KindPool, name)
			must.True(t, ok)
			return re.Status.Conditions[1:]
		}
		missing := lovageresource.Condition{Type: "referencesExist", Status: "false", Reason: "not declared: ticket"}
		must.Eq(t, []lovageresource.Condition{
			missing, {Type: "workersUnique", Status: "false", Reason: "declared by other pools too: w1 in pool-b"},
		}, conditions("pool-a"))
		must.Eq(t, []lovageresource.Condition{missing, {Type: "workersUnique", Status: "true"}}, conditions("pool-c"))
	})
}

// TestTableRolledBack checks that an instance keeps its applied revision when the table's head is rolled back to an
// earlier one.
func TestTableRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		no := cl.start(nodeID(0), nil)
		time.Sleep(time.Second)
		no.mustPut("a", 1)
		before, err := cl.platform.Read(t.Context(), lovageresource.HeadKey)
		must.NoError(t, err)
		no.mustPut("a", 2)
		_, err = cl.platform.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
			{Key: lovageresource.HeadKey, Value: before[0].Value},
		}})
		must.NoError(t, err)
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, no.weight("a"))
		must.Eq(t, 2, no.Store.Revision())
	})
}
