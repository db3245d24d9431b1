package lovagedispatch

import (
	"math"
	"math/rand/v2"
)

// unavailable is the rank of a worker that can take no task.
var unavailable = math.Inf(1)

// rankTree is a tournament tree over the workers of a group. It finds the available worker with the least rank in
// O(1) and takes O(log n) steps when a rank changes.
type rankTree struct {
	leaves      int       // a power of two
	ranks       []float64 // node 1 is the root, the leaf of worker i is node leaves+i
	bestWorkers []int32   // index of the worker with the least rank below a node
}

func newRankTree(workers int) *rankTree {
	leaves := 1
	for leaves < workers {
		leaves *= 2
	}
	tr := &rankTree{leaves: leaves, ranks: make([]float64, 2*leaves), bestWorkers: make([]int32, 2*leaves)}
	for i := range tr.ranks {
		tr.ranks[i] = unavailable
	}
	for i := range leaves {
		tr.bestWorkers[leaves+i] = int32(i)
	}
	for i := leaves - 1; i > 0; i-- {
		tr.bestWorkers[i] = tr.bestWorkers[2*i]
	}
	return tr
}

// setRank changes the rank of a worker.
func (tr *rankTree) setRank(worker int, rank float64) {
	node := tr.leaves + worker
	if tr.ranks[node] == rank {
		return
	}
	tr.ranks[node] = rank
	for node /= 2; node > 0; node /= 2 {
		child := 2 * node
		if tr.ranks[child+1] < tr.ranks[child] {
			child++
		}
		if tr.ranks[node] == tr.ranks[child] && tr.bestWorkers[node] == tr.bestWorkers[child] {
			return
		}
		tr.ranks[node], tr.bestWorkers[node] = tr.ranks[child], tr.bestWorkers[child]
	}
}

// leastRank returns the index of the worker with the least rank; ok is false if none is available.
func (tr *rankTree) leastRank() (worker int, rank float64, ok bool) {
	return int(tr.bestWorkers[1]), tr.ranks[1], tr.ranks[1] < unavailable
}

// ranker implements a [Policy]'s choice of workers. The only other difference between policies is that Central retries
// refused tasks beyond the retry budget.
type ranker interface {
	// rank orders the available workers of a group, least first.
	rank(wo *worker) float64
	// cost makes the ranks of different groups comparable. runTime is that of the task on a worker of average speed.
	// latency is the additional time of a round trip to the group, compared with one within this data centre. Both are
	// in seconds.
	cost(rank, runTime, latency float64) float64
	// workerChosen is called with the rank of each worker that gets a task.
	workerChosen(rank float64)
	// mayWait reports whether a task may wait for a faster slot. If so, cost returns a time in seconds.
	mayWait() bool
}

func newRanker(po Policy, rng *rand.Rand) ranker {
	switch po {
	case Random:
		return &randomRanker{rng: rng}
	case RoundRobin:
		return roundRobinRanker{}
	case LeastInFlight:
		return leastInFlightRanker{rng: rng}
	case Central, Alone:
	}
	return completionRanker{rng: rng}
}

// completionRanker prefers the least expected completion time.
type completionRanker struct{ rng *rand.Rand }

// rank is the slowdown times the penalty. Tasks in flight raise the rank by up to 1%. A random part of up to 0.1%
// breaks ties, so that instances with equal estimates do not choose the same worker.
func (ra completionRanker) rank(wo *worker) float64 {
	utilization := float64(wo.inFlight) / float64(max(1, wo.spec.Slots))
	return wo.slowdown * wo.penalty() * (1 + 0.01*utilization) * (1 + 0.001*ra.rng.Float64())
}

func (completionRanker) cost(rank, runTime, latency float64) float64 { return rank*runTime + latency }
func (completionRanker) workerChosen(float64)                        {}
func (completionRanker) mayWait() bool                               { return true }

// randomRanker chooses with equal probability. The rank of a worker is the rank chosen last plus an exponentially
// distributed random number. This distribution is memoryless, so the order of the remaining workers stays random after
// each choice.
type randomRanker struct {
	rng      *rand.Rand
	lastRank float64
}

func (ra *randomRanker) rank(*worker) float64               { return ra.lastRank + ra.rng.ExpFloat64() }
func (*randomRanker) cost(rank, _, _ float64) float64       { return rank }
func (ra *randomRanker) workerChosen(rank float64)          { ra.lastRank = max(ra.lastRank, rank) }
func (*randomRanker) mayWait() bool                         { return false }
func (roundRobinRanker) cost(rank, _, _ float64) float64    { return rank }
func (roundRobinRanker) mayWait() bool                      { return false }
func (leastInFlightRanker) cost(rank, _, _ float64) float64 { return rank }
func (leastInFlightRanker) workerChosen(float64)            {}
func (leastInFlightRanker) mayWait() bool                   { return false }

// roundRobinRanker chooses the worker that was chosen longest ago.
type roundRobinRanker struct{}

func (roundRobinRanker) rank(wo *worker) float64 { return wo.lastStartSeq }
func (roundRobinRanker) workerChosen(float64)    {}

// leastInFlightRanker chooses the worker with the fewest tasks of this instance. Among equals it prefers the worker
// chosen longest ago, with some randomness so that instances do not all choose the same one. With randomness alone, a
// worker that drew a high number would stay idle until all others are busy.
type leastInFlightRanker struct{ rng *rand.Rand }

// inFlightWeight is the weight of a task in flight in a rank. It exceeds any lastStartSeq. The rank is exact in a
// float64 for up to 4,096 tasks per worker and 2^40 starts.
const inFlightWeight = 1 << 40

func (ra leastInFlightRanker) rank(wo *worker) float64 {
	return inFlightWeight*float64(wo.inFlight) + wo.lastStartSeq + 4*ra.rng.Float64()
}
