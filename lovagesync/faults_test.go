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

// written is an accepted change.
type written struct {
	name   string
	weight int
}

// Guards against a change that reverts, is lost or differs between instances after random faults: outages, silent
// connections, lost replies, partitions, restarts and racing operators.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(30) {
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	cl := newCluster(t)
	defer cl.stop()
	small := func(se *Settings, _ *link) { se.SnapshotEvery, se.RetainedChanges = 16, 8 }
	const size = 5
	for i := range size {
		cl.start(nodeID(i), small)
	}
	time.Sleep(3 * time.Second)
	done, cancel := context.WithCancel(context.Background())
	var operators sync.WaitGroup
	for _, no := range cl.nodes {
		go no.watchLoop(done, t, seed)
	}
	var mu sync.Mutex
	told := map[int64]written{} // accepted changes by revision
	weight := 0
	for range 120 {
		no := cl.nodes[nodeID(rng.Intn(size))]
		switch rng.Intn(9) {
		case 0:
			no.link.set(func(li *link) { li.down = !li.down })
		case 1:
			lost := rng.Intn(30)
			no.link.set(func(li *link) { li.loseReply = lost })
		case 2:
			cl.setCut(no.id, rng.Intn(2) == 0)
		case 3:
			no.stop()
			cl.start(no.id, small)
			go cl.nodes[no.id].watchLoop(done, t, seed)
		case 4:
			no.link.set(func(li *link) { li.silent = !li.silent })
		default:
			weight++
			wr := written{name: "t" + nodeID(rng.Intn(4)), weight: weight}
			operators.Go(func() {
				current, _ := no.Store.Get(lovageresource.KindTeam, wr.name)
				res := no.Put(context.Background(), team(wr.name, current.Revision, wr.weight))
				mu.Lock()
				defer mu.Unlock()
				if res.Outcome == lovageresource.WriteAccepted {
					_, twice := told[res.Revision]
					must.False(t, twice, must.Sprintf("seed %d: revision %d was accepted twice", seed, res.Revision))
					told[res.Revision] = wr
				}
			})
		}
		time.Sleep(time.Duration(rng.Intn(800)) * time.Millisecond)
	}
	for _, no := range cl.nodes {
		no.link.set(func(li *link) { li.down, li.silent, li.loseReply = false, false, 0 })
		cl.setCut(no.id, false)
	}
	operators.Wait()
	cancel()
	time.Sleep(inForceWithin)
	checkTold(t, seed, cl, told)
}

// checkTold compares every instance with what the operators were told.
func checkTold(t *testing.T, seed int64, cl *cluster, told map[int64]written) {
	latest := map[string]int64{}
	for revision, wr := range told {
		latest[wr.name] = max(latest[wr.name], revision)
	}
	must.Greater(t, 10, len(told), must.Sprintf("seed %d: too few accepted changes to show anything", seed))
	want, at := cl.nodes[nodeID(0)].Store.List("")
	for _, no := range cl.nodes {
		got, revision := no.Store.List("")
		must.Eq(t, at, revision, must.Sprintf("seed %d: %s", seed, no.id))
		must.Eq(t, want, got, must.Sprintf("seed %d: %s", seed, no.id))
	}
	for _, re := range want {
		must.GreaterEq(t, latest[re.Name], re.Revision, must.Sprintf("seed %d: %s reverted", seed, re.Name))
		if wr, ok := told[re.Revision]; ok {
			must.Eq(t, float64(wr.weight), re.Spec.(lovageresource.Team).Weight, must.Sprintf("seed %d: %s", seed, re.Name))
		}
		delete(latest, re.Name)
	}
	must.MapEmpty(t, latest, must.Sprintf("seed %d: accepted changes were lost", seed))
}

// watchLoop fails the test when the applied revision of an instance goes down.
func (no *node) watchLoop(ctx context.Context, t *testing.T, seed int64) {
	last := int64(0)
	for sleep(ctx, 100*time.Millisecond) {
		revision := no.Store.Revision()
		if revision < last {
			t.Errorf("seed %d: %s went from revision %d to %d", seed, no.id, last, revision)
		}
		last = revision
	}
}
