package lovagedispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestWeightedFairQueueing checks that teams with queued jobs share the slots by their weights, and that a team gets no
// credit for the time in which it was idle.
func TestWeightedFairQueueing(t *testing.T) {
	dr := newPoolDriver(4, 2, nil)
	dr.step(TeamsChanged{Teams: []Team{{Name: "a", Weight: 3}, {Name: "b"}, {Name: "c", MaxRunning: 1}}})
	countEnded := func(rounds int) map[string]int {
		ended := map[string]int{}
		for range rounds {
			st := dr.inFlight[0].start
			dr.now = dr.now.Add(10 * time.Millisecond)
			dr.endTask(0, Succeeded)
			ended[dr.checker.jobs[st.Job].team]++
		}
		return ended
	}
	for range 90 {
		dr.submit("s", "a", 20, time.Hour)
		dr.submit("s", "b", 20, time.Hour)
	}
	got := countEnded(400)
	must.Between(t, 290, got["a"], 310)
	dr.submit("s", "c", 300, time.Hour)
	dr.submit("s", "late", 300, time.Hour)
	got = countEnded(100)
	must.Between(t, 15, got["late"], 25, must.Sprintf("no credit for the time before: %v", got))
	dr.step(Cancel{Job: dr.nextJob})
	got = countEnded(800) // c has the weight of b, but may run only one task at a time
	must.Between(t, 80, got["c"], 100, must.Sprintf("%v", got))
	must.Between(t, 2.8, float64(got["a"])/float64(got["b"]), 3.2)
	dr.requireNoViolations(t)
}

// TestShortestRemainingJobWithAgeing checks that short jobs run before long ones, and that a long job is not starved by
// short ones.
func TestShortestRemainingJobWithAgeing(t *testing.T) {
	dr := newPoolDriver(1, 1, nil)
	dr.submit("s", "a", 1, time.Hour)
	long := dr.submit("s", "a", 40, time.Hour)
	short := dr.submit("s", "a", 2, time.Hour)
	dr.endTask(0, Succeeded)
	must.Eq(t, short, dr.inFlight[0].start.Job)
	started := time.Duration(0)
	for n := 0; started == 0 && n < 1000; n++ {
		dr.submit("s", "a", 1, time.Hour)
		dr.now = dr.now.Add(10 * time.Millisecond)
		dr.endTask(0, Succeeded)
		if dr.inFlight[0].start.Job == long {
			started = dr.now.Sub(epoch)
		}
	}
	// The 40 tasks are expected to take 0.2 s each, later 0.01 s as learned. Each second of waiting offsets 20 s of work.
	must.Between(t, 20*time.Millisecond, started, time.Second)
	dr.requireNoViolations(t)
}

// TestPoliciesSpreadTasksEvenly checks that the policies that use no estimates give each of 5 workers about a fifth of
// the tasks.
func TestPoliciesSpreadTasksEvenly(t *testing.T) {
	for _, po := range []Policy{Random, RoundRobin, LeastInFlight} {
		dr := newPoolDriver(5, 4, func(se *Settings) { se.Policy = po })
		got := map[string]int{}
		for n := range 2000 {
			dr.submit("s", "a", 1, time.Hour)
			got[dr.inFlight[len(dr.inFlight)-1].start.Worker]++
			for n%3 == 2 && len(dr.inFlight) > 0 {
				dr.endTask(0, Succeeded)
			}
		}
		for worker, n := range got {
			must.Between(t, 330, n, 470, must.Sprintf("%s: worker %s", po, worker))
		}
		must.MapLen(t, 5, got)
		dr.requireNoViolations(t)
	}
}

// TestIndexedHeap checks that the heap keeps its order and indexes when items are changed or removed in the middle.
func TestIndexedHeap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	pos := make([]int32, 200)
	for i := range pos {
		pos[i] = -1
	}
	he := indexedHeap[int]{indexOf: func(i int) *int32 { return &pos[i] }}
	keys := map[int]float64{}
	for range 20_000 {
		i, key := rng.IntN(len(pos)), float64(rng.IntN(50))
		switch _, in := keys[i]; {
		case !in:
			he.push(key, uint64(i), i)
			keys[i] = key
		case rng.IntN(2) == 0:
			he.setKey(pos[i], key)
			keys[i] = key
		default:
			he.remove(pos[i])
			delete(keys, i)
		}
		for at, en := range he.entries {
			if int32(at) != pos[en.item] || keys[en.item] != en.key || at > 0 && en.before(he.entries[(at-1)/heapArity]) {
				t.Fatalf("entry %d: %+v, place %d, key %v", at, en, pos[en.item], keys[en.item])
			}
		}
	}
	must.Eq(t, len(keys), he.len())
}
