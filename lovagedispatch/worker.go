package lovagedispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

type worker struct {
	spec       Worker
	group      *group // nil while the worker is not in the set
	domain     *domain
	groupIndex int // index in group.workers
	leaving    bool

	inFlight  int // tasks in flight
	freeSlots int // contribution to the group's free slots
	capacity  int // contribution to the group's capacity

	slowdown          float64 // run time relative to a worker of average speed
	recentLogSlowdown float64 // logarithm of the slowdown, averaged over the latest tasks
	sampleCount       int
	lastSample        instant
	completionRate    int64   // summed completion rates of its running tasks
	slowdownBucket    int     // index of the bucket that contains slowdown
	lastStartSeq      float64 // sequence number of the last start on the worker

	health health
}

// groupKey holds the properties of a worker that determine which jobs it may run.
type groupKey struct {
	pool, dataCentre           string
	cores, memory, accelerator int64
}

func (ke groupKey) compare(other groupKey) int {
	return cmp.Or(
		strings.Compare(ke.pool, other.pool), strings.Compare(ke.dataCentre, other.dataCentre),
		cmp.Compare(ke.cores, other.cores), cmp.Compare(ke.memory, other.memory),
		cmp.Compare(ke.accelerator, other.accelerator))
}

// group is the set of workers of one pool, data centre and size.
type group struct {
	key             groupKey
	pool            *pool
	workers         []*worker
	tree            *rankTree
	latency         float64                    // additional seconds of a round trip, compared with one within this data centre
	freeSlots       int                        // free slots of usable workers
	capacity        int                        // slots of usable workers
	completionRates [slowdownBucketCount]int64 // summed completion rates of the workers, by slowdown bucket
}

// domain sums the slots of the workers of one decision domain.
type domain struct {
	freeSlots int
	capacity  int
}

// pool is the set of workers that may run the same services.
type pool struct {
	name           string
	workerCount    int // workers in the set that are not leaving
	ejectedWorkers []*worker
	suspectCount   int // workers with consecutive failures
}

// Slowdown buckets cover slowdowns of 1/16 to 16; each is a quarter of an octave wide.
const (
	slowdownBucketCount = 33
	minSlowdown         = 1.0 / 16
	maxSlowdown         = 16.0
)

func slowdownBucketOf(slowdown float64) int {
	return min(max(int(math.Round(math.Log2(slowdown)*4))+16, 0), slowdownBucketCount-1)
}

// bucketSlowdowns holds the slowdown in the middle of each bucket.
var bucketSlowdowns = func() (out [slowdownBucketCount]float64) {
	for bu := range out {
		out[bu] = math.Exp2(float64(bu-16) / 4)
	}
	return out
}()

// rateUnit is the completion rate that means one completion per second. Rates are integers because sums of floats would
// drift over millions of starts.
const rateUnit = 1e6

// completionRate returns the rate of a task with the given run time in seconds.
func completionRate(runTime float64) int64 { return int64(rateUnit / max(runTime, 1e-6)) }

// addRate adds a running task's rate; a negative rate removes it.
func (wo *worker) addRate(rate int64) {
	wo.completionRate += rate
	if wo.group != nil {
		wo.group.completionRates[wo.slowdownBucket] += rate
	}
}

func (wo *worker) setSlowdown(slowdown float64) {
	wo.slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	if bu := slowdownBucketOf(wo.slowdown); bu != wo.slowdownBucket {
		rate := wo.completionRate
		wo.addRate(-rate)
		wo.slowdownBucket = bu
		wo.addRate(rate)
	}
}

// usable reports whether the state of the worker lets it get tasks. A probing worker may get one.
func (wo *worker) usable() bool { return wo.group != nil && !wo.leaving && wo.health.state != ejected }

// updateWorker recomputes the worker's rank and its share of the slots of its group and domain. It must be called
// after every change of the worker that affects its rank or its slots.
func (co *Core) updateWorker(wo *worker) {
	gr := wo.group
	if gr == nil {
		return
	}
	free, capacity := 0, 0
	if wo.usable() {
		capacity = wo.spec.Slots
		free = max(0, capacity-wo.inFlight)
		if wo.health.state == probing {
			free, capacity = min(free, 1), min(capacity, 1)
			if wo.health.probeInFlight {
				free = 0
			}
		}
		if wo.health.blockedUntil > co.now {
			free = 0
		}
	}
	gr.freeSlots += free - wo.freeSlots
	gr.capacity += capacity - wo.capacity
	wo.domain.freeSlots += free - wo.freeSlots
	wo.domain.capacity += capacity - wo.capacity
	wo.freeSlots, wo.capacity = free, capacity
	if free == 0 {
		gr.tree.setRank(wo.groupIndex, unavailable)
		return
	}
	gr.tree.setRank(wo.groupIndex, co.ranker.rank(wo))
}

// workersChanged replaces the set of workers. Removed workers are kept while they have tasks in flight.
func (co *Core) workersChanged(ev WorkersChanged) {
	specs := slices.Clone(ev.Workers)
	slices.SortStableFunc(specs, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
	specs = slices.CompactFunc(specs, func(a, b Worker) bool { return a.ID == b.ID })
	newWorkerList := make([]*worker, 0, len(specs))
	inSet := make(map[string]bool, len(specs))
	for _, sp := range specs {
		inSet[sp.ID] = true
		wo := co.workers[sp.ID]
		if wo == nil {
			wo = &worker{spec: sp, slowdown: 1, slowdownBucket: slowdownBucketOf(1)}
			co.workers[sp.ID] = wo
		}
		wo.spec = sp
		wo.leaving = wo.leaving || sp.Leaving || co.pendingLeaving[sp.ID]
		newWorkerList = append(newWorkerList, wo)
	}
	for _, wo := range co.workerList {
		if !inSet[wo.spec.ID] {
			co.removeWorker(wo)
		}
	}
	co.workerList = newWorkerList
	clear(co.pendingLeaving)
	co.rebuildGroups()
	co.adoptEstimates()
}

// removeWorker removes a worker from the set.
func (co *Core) removeWorker(wo *worker) {
	co.retainEstimate(wo)
	wo.group, wo.domain, wo.freeSlots, wo.capacity = nil, nil, 0, 0
	wo.health, wo.leaving = health{}, false
	if wo.inFlight == 0 {
		delete(co.workers, wo.spec.ID)
	}
}

// forgetWorker drops the record of a worker that is not in the set and has no tasks in flight.
func (co *Core) forgetWorker(wo *worker) {
	if wo.group == nil && wo.inFlight == 0 && co.workers[wo.spec.ID] == wo {
		delete(co.workers, wo.spec.ID)
	}
}

// rebuildGroups rebuilds the groups from the list of workers, and the classes if the groups have changed.
func (co *Core) rebuildGroups() {
	oldGroups := co.groups
	co.groups = nil
	co.domains = map[string]*domain{}
	byKey := map[groupKey]*group{}
	pools := map[string]*pool{}
	for _, wo := range co.workerList {
		sp := wo.spec
		ke := groupKey{sp.Pool, sp.DataCentre, sp.Cores, sp.MemoryBytes, sp.Accelerators}
		gr := byKey[ke]
		if gr == nil {
			gr = &group{key: ke}
			if sp.DataCentre != co.settings.DataCentre {
				gr.latency = 2 * co.settings.CrossDataCentreLatency.Seconds()
			}
			if pools[sp.Pool] == nil {
				pools[sp.Pool] = &pool{name: sp.Pool}
			}
			gr.pool = pools[sp.Pool]
			byKey[ke] = gr
			co.groups = append(co.groups, gr)
		}
		if co.domains[sp.Domain] == nil {
			co.domains[sp.Domain] = &domain{}
		}
		wo.domain = co.domains[sp.Domain]
		wo.group, wo.groupIndex = gr, len(gr.workers)
		wo.freeSlots, wo.capacity = 0, 0
		gr.workers = append(gr.workers, wo)
		gr.completionRates[wo.slowdownBucket] += wo.completionRate
	}
	slices.SortFunc(co.groups, func(a, b *group) int { return a.key.compare(b.key) })
	for _, gr := range co.groups {
		gr.tree = newRankTree(len(gr.workers))
		for _, wo := range gr.workers {
			gr.pool.addWorker(wo)
		}
	}
	co.enforceEjectionCap()
	for _, wo := range co.workerList {
		co.updateWorker(wo)
	}
	sameGroups := slices.EqualFunc(oldGroups, co.groups, func(a, b *group) bool { return a.key == b.key })
	co.rebuildClasses(sameGroups)
}

// workerLeaving marks a worker as leaving until a set of workers without it is given. A worker that is not in the set
// yet is marked as leaving if the next set contains it.
func (co *Core) workerLeaving(id string) {
	wo := co.workers[id]
	if wo == nil || wo.group == nil {
		co.pendingLeaving[id] = true
		return
	}
	if wo.leaving {
		return
	}
	wo.leaving = true
	wo.group.pool.removeWorker(wo)
	co.enforceEjectionCap()
	co.updateWorker(wo)
}
