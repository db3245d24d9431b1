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
	ejectAfter = 3
	// firstEjection is the first pause of a failing worker; it doubles up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
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
	used      lovagejob.Resources
	runs      []*run // in the order of their starts
	orphans   int    // runs among them of which the size is not known
	speed     speed
	reachable bool // has answered since it was added or last found silent
	failures  int  // in a row
	failedJob string
	ejections int
	until     time.Time // no starts before, but for one trial after it
	trial     bool      // being tried after an ejection
	handing   bool      // being handed over: no starts
	gone      bool      // no longer registered; kept until its runs have ended
	lastOrder time.Time // when the last order that extends leases was sent
	factor    float64   // by how much longer a task takes here; see Pool.factor
	factorAt  int       // Pool.learned when factor was computed
}

// SetWorkers replaces the set of workers. A worker that is missing gets no new starts; its runs go on.
func (po *Pool) SetWorkers(now time.Time, list []Worker) {
	seen := map[string]bool{}
	for _, de := range list {
		seen[de.ID] = true
		wo := po.workers[de.ID]
		if wo == nil {
			wo = &worker{Worker: de}
			po.workers[de.ID] = wo
			po.order = append(po.order, wo)
			continue
		}
		if wo.ProcessStart != de.ProcessStart && de.ProcessStart != 0 && wo.ProcessStart != 0 {
			po.reborn(now, wo)
		}
		wo.gone, wo.Worker, wo.factorAt = false, de, 0 // it may be of another kind
	}
	for _, wo := range po.order {
		if !seen[wo.ID] {
			wo.gone = true
			if len(wo.runs) == 0 {
				delete(po.workers, wo.ID)
			}
		}
	}
	kept := po.order[:0]
	for _, wo := range po.order {
		if po.workers[wo.ID] == wo {
			kept = append(kept, wo)
		}
	}
	po.order = kept
	sort.Slice(po.order, func(i, j int) bool { return po.order[i].ID < po.order[j].ID })
	po.dirty = true
}

// reborn notes that another process answers for the worker. What the former one ran is gone, but a start that was sent
// before this was known may have reached the new one, which lists it then. So the next list decides about each run. The new
// process knows nothing of stops, which are ordered again.
func (po *Pool) reborn(now time.Time, wo *worker) {
	for _, ru := range wo.runs {
		ru.missing = missingGone - 1
		if ru.state == runStopping {
			ru.stopAck = time.Time{}
			po.stop(now, ru)
		}
	}
	wo.speed, wo.factorAt, wo.failures, wo.ejections, wo.until = speed{}, 0, 0, 0, time.Time{}
}

// HandleWorkerRestart notes that another process of the worker has answered. Its list is to follow.
func (po *Pool) HandleWorkerRestart(now time.Time, id string) {
	if wo := po.workers[id]; wo != nil {
		po.decide(Decision{Kind: "workerReborn", Worker: id, Reason: "another process answers for it"})
		po.reborn(now, wo)
	}
}

// MarkUnreachable notes that a worker has not answered an order in time. It gets no starts until it answers again.
func (po *Pool) MarkUnreachable(now time.Time, id string) {
	if wo := po.workers[id]; wo != nil {
		wo.reachable = false
		po.dirty = true
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
		if !wo.handing {
			wo.handing = true
			if len(wo.runs) == 0 {
				po.emit(ReleaseWorker{id})
			}
		}
	}
	po.dirty = true
}

// usable reports whether the worker may get a start now.
func (po *Pool) usable(now time.Time, wo *worker) bool {
	if wo.gone || wo.handing || wo.Draining || !wo.reachable || wo.orphans > 0 {
		return false
	}
	if wo.until.IsZero() {
		return true
	}
	return !now.Before(wo.until) && !wo.trial
}

func (po *Pool) free(wo *worker) lovagejob.Resources { return wo.Capacity.Minus(wo.used) }

// succeeded ends an ejection.
func (wo *worker) succeeded() {
	wo.failures, wo.ejections, wo.until, wo.trial = 0, 0, time.Time{}, false
}

// noteFailure ejects a worker on which runs of several jobs fail one after the other.
func (po *Pool) noteFailure(now time.Time, wo *worker, jobID string) {
	if jobID != wo.failedJob || wo.trial {
		wo.failures++
	}
	wo.failedJob = jobID
	if wo.failures < ejectAfter {
		return
	}
	wo.trial = false
	pause := min(firstEjection<<min(wo.ejections, 8), maxEjection)
	wo.ejections++
	wo.until = now.Add(pause)
	po.decide(Decision{
		Kind: "workerEjected", Job: jobID, Worker: wo.ID, Attempt: wo.ejections, Wait: pause,
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
func (sd LoadReport) FreeTasks() int {
	n := 0
	for _, pl := range sd.Free {
		n += pl.Tasks
	}
	return n
}

// Equal reports whether the two say the same.
func (sd LoadReport) Equal(ot LoadReport) bool {
	return sd.Workers == ot.Workers && sd.Backlog == ot.Backlog && slices.Equal(sd.Free, ot.Free)
}

// speedSteps is how many steps of speed, by which places are grouped, lie between a worker and one that is twice as fast.
const speedSteps = 4

// LoadReport returns the free places for tasks of the service's usual size on the workers that may get starts now.
func (po *Pool) LoadReport(now time.Time, service string) LoadReport {
	var sd LoadReport
	usual := po.usualRoom(service)
	free := map[int]int{} // by the step of speed
	ro := &roster{}
	po.fill(now, ro, service)
	sd.Workers, sd.Rate = len(ro.workers), ro.rate
	for _, wo := range ro.workers {
		if n := po.free(wo).FitCount(usual); n > 0 {
			free[int(math.Ceil(speedSteps*math.Log2(po.factor(wo))))] += n
		}
	}
	if sd.Rate > 0 {
		waiting := 0.0
		for _, jo := range po.queue {
			if jo.Work.Service == service && jo.Offloaded == nil && !jo.ended {
				waiting += jo.remaining()
			}
		}
		sd.Backlog = time.Duration(waiting / sd.Rate * float64(time.Second)).Truncate(time.Millisecond)
	}
	for _, step := range slices.Sorted(maps.Keys(free)) {
		sd.Free = append(sd.Free, FreeCapacity{Slowdown: math.Exp2(float64(step) / speedSteps), Tasks: free[step]})
	}
	return sd
}
