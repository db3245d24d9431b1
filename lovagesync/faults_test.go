package lovagesync

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageresource"
)

// acceptedChange is a change of a team for which an operator got the outcome WriteAccepted.
type acceptedChange struct {
	name   string
	weight int
}

// TestRandomFaults checks that no accepted change is reverted, lost or different between instances after random faults:
// outages, hanging connections, lost replies, partitions, restarts and concurrent operators.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(30) {
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	cl := newCluster(t)
	defer cl.stop()
	frequentSnapshots := func(se *Settings, _ *faultyPlatform) { se.SnapshotEvery, se.RetainedChanges = 16, 8 }
	const size = 5
	for i := range size {
		cl.start(nodeID(i), frequentSnapshots)
	}
	time.Sleep(3 * time.Second)
	done, cancel := context.WithCancel(context.Background())
	var operators sync.WaitGroup
	for _, no := range cl.nodes {
		go no.checkRevisionLoop(done, t, seed)
	}
	var mu sync.Mutex
	accepted := map[int64]acceptedChange{} // accepted changes by revision
	weight := 0
	for range 120 {
		no := cl.nodes[nodeID(rng.Intn(size))]
		switch rng.Intn(9) {
		case 0:
			no.platform.update(func(fp *faultyPlatform) { fp.down = !fp.down })
		case 1:
			lost := rng.Intn(30)
			no.platform.update(func(fp *faultyPlatform) { fp.repliesToLose = lost })
		case 2:
			cl.setIsolated(no.id, rng.Intn(2) == 0)
		case 3:
			no.stop()
			cl.start(no.id, frequentSnapshots)
			go cl.nodes[no.id].checkRevisionLoop(done, t, seed)
		case 4:
			no.platform.update(func(fp *faultyPlatform) { fp.hanging = !fp.hanging })
		default:
			weight++
			ac := acceptedChange{name: "t" + nodeID(rng.Intn(4)), weight: weight}
			operators.Go(func() {
				current, _ := no.Store.Get(lovageresource.KindTeam, ac.name)
				res := no.Put(context.Background(), newTeam(ac.name, current.Revision, ac.weight))
				mu.Lock()
				defer mu.Unlock()
				if res.Outcome == lovageresource.WriteAccepted {
					_, twice := accepted[res.Revision]
					must.False(t, twice, must.Sprintf("seed %d: revision %d was accepted twice", seed, res.Revision))
					accepted[res.Revision] = ac
				}
			})
		}
		time.Sleep(time.Duration(rng.Intn(800)) * time.Millisecond)
	}
	for _, no := range cl.nodes {
		no.platform.update(func(fp *faultyPlatform) { fp.down, fp.hanging, fp.repliesToLose = false, false, 0 })
		cl.setIsolated(no.id, false)
	}
	operators.Wait()
	cancel()
	time.Sleep(inForceTimeout)
	checkAccepted(t, seed, cl, accepted)
}

// checkAccepted checks that all instances hold the same resources, each at its last accepted revision or a later one. An
// ambiguous write may have committed a later one.
func checkAccepted(t *testing.T, seed int64, cl *cluster, accepted map[int64]acceptedChange) {
	latest := map[string]int64{}
	for revision, ac := range accepted {
		latest[ac.name] = max(latest[ac.name], revision)
	}
	must.Greater(t, 10, len(accepted), must.Sprintf("seed %d: too few accepted changes for a meaningful check", seed))
	want, at := cl.nodes[nodeID(0)].Store.List("")
	for _, no := range cl.nodes {
		got, revision := no.Store.List("")
		must.Eq(t, at, revision, must.Sprintf("seed %d: %s", seed, no.id))
		must.Eq(t, want, got, must.Sprintf("seed %d: %s", seed, no.id))
	}
	for _, re := range want {
		must.GreaterEq(t, latest[re.Name], re.Revision, must.Sprintf("seed %d: %s reverted", seed, re.Name))
		if ac, ok := accepted[re.Revision]; ok {
			must.Eq(t, float64(ac.weight), re.Spec.(lovageresource.Team).Weight, must.Sprintf("seed %d: %s", seed, re.Name))
		}
		delete(latest, re.Name)
	}
	must.MapEmpty(t, latest, must.Sprintf("seed %d: accepted changes were lost", seed))
}

// checkRevisionLoop fails the test when the applied revision of an instance decreases.
func (no *node) checkRevisionLoop(ctx context.Context, t *testing.T, seed int64) {
	last := int64(0)
	for sleep(ctx, 100*time.Millisecond) {
		revision := no.Store.Revision()
		if revision < last {
			t.Errorf("seed %d: %s went from revision %d to %d", seed, no.id, last, revision)
		}
		last = revision
	}
}
