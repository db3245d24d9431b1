package lovagepool

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"lovagestack/lovagejob"
)

const (
	// ejectAfter consecutive runs of different jobs that end failed, a worker gets no starts for a while.
	ejectAfterFailures = 3
	// firstEjection is the first pause of a failing worker; it doubles up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
)

// Worker is what is known of a worker from its registration.
type Worker struct {
	ID           string
	ProcessStart int64 // start of its process, Unix milliseconds; another value means that it runs nothing of before
	Address      string
	Service      string
	Rack         string
	Kind         string // workers of the same kind are expected to be equally fast
	Labels       []string
	Capacity     lovagejob.Resources
	Draining     bool
}

type worker struct {
	Worker
	used             lovagejob.Resources
	runs             []*run // in the order of their starts
	orphans          int    // runs among them of which the size is not known
	relativeSlowdown slowdownEstimate
	reachable        bool // has answered since it was added or last found silent
	failures         int  // in a row
	lastFailedJob    string
	ejections        int
	ejectedUntil     time.Time // no starts before, but for one trial after it
	probing          bool      // being tried after an ejection
	handingOver      bool      // being handed over: no starts
	unregistered     bool      // no longer registered; kept until its runs have ended
	leaseExtendedAt  time.Time // when the last order that extends leases was sent
	slowdown         float64   // by how much longer a task takes here; see Pool.factor
	slowdownVersion  int       // Pool.learned when factor was computed
}

// SetWorkers replaces the set of workers. A worker that is missing gets no new starts; its runs go on.
func (po *Pool) SetWorkers(now time.Time, list []Worker) {
	seen := map[string]bool{}
	for _, info := range list {
		seen[info.ID] = true
		wo := po.workers[info.ID]
		if wo == nil {
			wo = &worker{Worker: info}
			po.workers[info.ID] = wo
			po.workerList = append(po.workerList, wo)
			continue
		}
		if wo.ProcessStart != info.ProcessStart && info.ProcessStart != 0 && wo.ProcessStart != 0 {
			po.handleRestart(now, wo)
		}
		wo.unregistered, wo.Worker, wo.slowdownVersion = false, info, 0 // it may be of another kind
	}
	for _, wo := range po.workerList {
		if !seen[wo.ID] {
			wo.unregistered = true
			if len(wo.runs) == 0 {
				delete(po.workers, wo.ID)
			}
		}
	}
	kept := po.workerList[:0]
	for _, wo := range po.workerList {
		if po.workers[wo.ID] == wo {
			kept = append(kept, wo)
		}
	}
	po.workerList = kept
	sort.Slice(po.workerList, func(i, j int) bool { return po.workerList[i].ID < po.workerList[j].ID })
	po.needsSchedule = true
}

// reborn notes that another process answers for the worker. What the former one ran is gone, but a start that was sent
// before this was known may have reached the new one, which lists it then. So the next list decides about each run. The new
// process knows nothing of stops, which are ordered again.
func (po *Pool) handleRestart(now time.Time, wo *worker) {
	for _, ru := range wo.runs {
		ru.missedLists = goneAfterMissing - 1
		if ru.state == runStopping {
			ru.stopAckedAt = time.Time{}
			po.stop(now, ru)
		}
	}
	wo.relativeSlowdown, wo.slowdownVersion, wo.failures, wo.ejections, wo.ejectedUntil = slowdownEstimate{}, 0, 0, 0, time.Time{}
}

// HandleWorkerRestart notes that another process of the worker has answered. Its list is to follow.
func (po *Pool) HandleWorkerRestart(now time.Time, id string) {
	if wo := po.workers[id]; wo != nil {
		po.recordDecision(Decision{Kind: "workerReborn", Worker: id, Reason: "another process answers for it"})
		po.handleRestart(now, wo)
	}
}

// MarkUnreachable notes that a worker has not answered an order in time. It gets no starts until it answers again.
func (po *Pool) MarkUnreachable(now time.Time, id string) {
	if wo := po.workers[id]; wo != nil {
		wo.reachable = false
		po.needsSchedule = true
	}
}

// HandOver stops starts on the given workers. Each is released by a command when it has no run any more, at once if the
// pool has never used it.
func (po *Pool) HandOver(ids []string) {
	for _, id := range ids {
		wo := po.workers[id]
		if wo == nil {
			po.emit(ReleaseWorker{id})
			continue
		}
		if !wo.handingOver {
			wo.handingOver = true
			if len(wo.runs) == 0 {
				po.emit(ReleaseWorker{id})
			}
		}
	}
	po.needsSchedule = true
}

// usable reports whether the worker may get a start now.
func (po *Pool) usable(now time.Time, wo *worker) bool {
	if wo.unregistered || wo.handingOver || wo.Draining || !wo.reachable || wo.orphans > 0 {
		return false
	}
	if wo.ejectedUntil.IsZero() {
		return true
	}
	return !now.Before(wo.ejectedUntil) && !wo.probing
}

func (po *Pool) free(wo *worker) lovagejob.Resources { return wo.Capacity.Minus(wo.used) }

// succeeded ends an ejection.
func (wo *worker) resetFailures() {
	wo.failures, wo.ejections, wo.ejectedUntil, wo.probing = 0, 0, time.Time{}, false
}

// noteFailure ejects a worker on which runs of several jobs fail one after the other.
func (po *Pool) recordFailure(now time.Time, wo *worker, jobID string) {
	if jobID != wo.lastFailedJob || wo.probing {
		wo.failures++
	}
	wo.lastFailedJob = jobID
	if wo.failures < ejectAfterFailures {
		return
	}
	wo.probing = false
	backOff := min(minEjection<<min(wo.ejections, 8), maxEjection)
	wo.ejections++
	wo.ejectedUntil = now.Add(backOff)
	po.recordDecision(Decision{
		Kind: "workerEjected", Job: jobID, Worker: wo.ID, Attempt: wo.ejections, Wait: backOff,
		Reason: "runs of several jobs in a row failed or stood still",
	})
}

// FreeCapacity are free places for tasks of the usual size of a service, on workers of about the same speed.
type FreeCapacity struct {
	Slowdown float64 // by how much longer than on a worker of speed 1 a task takes there
	Tasks    int
}

// LoadReport is how full the pool is for a service, and how many workers it can use.
type LoadReport struct {
	Free    []FreeCapacity // the fastest first
	Workers int
	Rate    float64       // work that the workers do per second, in thousandths of a core of speed 1
	Backlog time.Duration // in which they would do the work that waits
}

// FreeTasks returns the free places on workers of all speeds.
func (lr LoadReport) FreeTasks() int {
	n := 0
	for _, fc := range lr.Free {
		n += fc.Tasks
	}
	return n
}

// Equal reports whether the two say the same.
func (lr LoadReport) Equal(ot LoadReport) bool {
	return lr.Workers == ot.Workers && lr.Backlog == ot.Backlog && slices.Equal(lr.Free, ot.Free)
}

// speedSteps is how many steps of speed, by which places are grouped, lie between a worker and one that is twice as fast.
const stepsPerDoubling = 4

// LoadReport returns the free places for tasks of the service's usual size on the workers that may get starts now.
func (po *Pool) LoadReport(now time.Time, service string) LoadReport {
	var lr LoadReport
	typical := po.typicalResources(service)
	free := map[int]int{} // by the step of speed
	ca := &candidates{}
	po.collectCandidates(now, ca, service)
	lr.Workers, lr.Rate = len(ca.workers), ca.rate
	for _, wo := range ca.workers {
		if n := po.free(wo).FitCount(typical); n > 0 {
			free[int(math.Ceil(stepsPerDoubling*math.Log2(po.slowdown(wo))))] += n
		}
	}
	if lr.Rate > 0 {
		waiting := 0.0
		for _, jo := range po.queue {
			if jo.Work.Service == service && jo.Offloaded == nil && !jo.ended {
				waiting += jo.remainingWork()
			}
		}
		lr.Backlog = time.Duration(waiting / lr.Rate * float64(time.Second)).Truncate(time.Millisecond)
	}
	for _, step := range slices.Sorted(maps.Keys(free)) {
		lr.Free = append(lr.Free, FreeCapacity{Slowdown: math.Exp2(float64(step) / stepsPerDoubling), Tasks: free[step]})
	}
	return lr
}
