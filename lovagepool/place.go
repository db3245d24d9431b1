package lovagepool

import (
	"math"
	"slices"
	"sort"
	"time"

	"lovagestack/lovagejob"
)

const (
	// packing is the share of a worker's cores that tasks of mixed sizes fill.
	packingFactor = 0.85
	// refuseFrom and refuseUntil are the shares of a job's time between which it is refused if it has not begun and is not
	// expected to begin in time. Before, the expectation may change; after, the caller has waited so long that a late answer
	// is better, as long as one is of use.
	refuseWindowStart = 0.125
	refuseWindowEnd   = 0.3
	// lateFactor is how many times the time to its goal an answer may take to be of use to its caller, as the users say.
	usefulFactor = 3
	// sureFactor is by how much the expected wait must exceed the time left for a job to be refused on arrival.
	earlyRefusalFactor = 1.5
	// minRateShare of the workers is taken to be left for a job by more urgent ones at the least.
	minRateShare = 0.1
	// fullLoad and overLoad are shares of the rate of the workers. Below the first the urgent jobs that are still to come
	// find room that a waiting job cannot use; from the second on they take it from the job.
	fullLoad = 1.0
	overload = 1.3
	// minRetry is the shortest time after which a refused caller should come back.
	minRetryDelay = time.Second
	// fitWeight makes a worker that is left with much free room count as that much slower, to keep large holes.
	bestFitWeight = 0.15
)

func (wo *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(wo.Labels, label)
}

// schedule starts what can start, lends what other owners have room for, and refuses what has no prospect.
func (po *Pool) schedule(now time.Time) {
	if len(po.queue) == 0 {
		return
	}
	po.pass++
	order := po.sortQueue(now)
	for _, jo := range order {
		if !now.Before(jo.Work.Deadline) {
			po.handleDeadline(now, jo)
			continue
		}
		if jo.Offloaded != nil {
			po.placeOffloaded(now, jo)
			continue
		}
		po.place(now, jo)
	}
	po.offloadQueue(now, order)
	po.refuseInfeasible(now, order)
	kept := po.queue[:0]
	for _, jo := range po.queue {
		if !jo.ended && jo.waiting > 0 {
			kept = append(kept, jo)
		}
	}
	clear(po.queue[len(kept):])
	po.queue = kept
}

// roster is what a pass of schedule needs to know of the workers of a service, so that it is found out once.
type candidates struct {
	pass        int                 // of schedule, for which it holds
	workers     []*worker           // that may get starts when the pass begins
	minSlowdown float64             // smallest factor among them; 1 if there are none
	rate        float64             // work that they do per second, in thousandths of a core of speed 1
	maxFree     lovagejob.Resources // at least the most that is free on one of them, by resource
}

// rosterOf returns the roster of a service for this pass.
func (po *Pool) candidatesOf(now time.Time, service string) *candidates {
	ca := po.candidates[service]
	if ca == nil {
		ca = &candidates{}
		po.candidates[service] = ca
	}
	if ca.pass != po.pass {
		ca.pass = po.pass
		po.collectCandidates(now, ca, service)
	}
	return ca
}

// fill finds out what a roster holds.
func (po *Pool) collectCandidates(now time.Time, ca *candidates, service string) {
	ca.workers, ca.minSlowdown, ca.rate, ca.maxFree = ca.workers[:0], 1, 0, lovagejob.Resources{}
	for _, wo := range po.workerList {
		if wo.Service != service || !po.usable(now, wo) {
			continue
		}
		slowdown := po.slowdown(wo)
		if len(ca.workers) == 0 || slowdown < ca.minSlowdown {
			ca.minSlowdown = slowdown
		}
		ca.workers = append(ca.workers, wo)
		ca.rate += packingFactor * float64(wo.Capacity.MilliCores) / slowdown
		ca.maxFree = ca.maxFree.Max(po.free(wo))
	}
}

// sortQueue orders jobs: first those that can still be in time, by the latest moment at which they must start; then the
// late ones, shortest first. Lent tasks come last, as they are only for room that is left.
func (po *Pool) sortQueue(now time.Time) []*Job {
	type entry struct {
		jo    *Job
		tier  int
		value int64
	}
	list := make([]entry, 0, len(po.queue))
	for _, jo := range po.queue {
		if jo.ended || jo.waiting == 0 || jo.predecessor != nil {
			continue
		}
		runTime := time.Duration(float64(jo.runTime) * po.candidatesOf(now, jo.Work.Service).minSlowdown)
		latest := jo.goal.Add(-runTime)
		en := entry{jo: jo, value: latest.UnixNano()}
		switch {
		case jo.Offloaded != nil:
			en.tier = 2
		case latest.Before(now):
			en.tier, en.value = 1, int64(runTime)*int64(jo.waiting)
		}
		list = append(list, en)
	}
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].tier != list[j].tier {
			return list[i].tier < list[j].tier
		}
		return list[i].value < list[j].value
	})
	order := make([]*Job, len(list))
	for i := range list {
		order[i] = list[i].jo
	}
	return order
}

// place starts tasks of a job where there is room.
func (po *Pool) place(now time.Time, jo *Job) {
	for _, ta := range jo.tasks {
		if jo.waiting == 0 {
			return
		}
		if ta.state != taskReady {
			continue
		}
		wo := po.chooseWorker(now, ta, true)
		if wo == nil {
			return
		}
		po.start(now, ta, wo)
	}
}

// startAll starts all ready tasks of a job, or none if there is no room for all of them. With selective false, slow
// workers are not passed over, and tasks for which there is no room here are lent.
func (po *Pool) startAll(now time.Time, jo *Job, skipSlow bool) bool {
	tasks, chosen := po.chooseWorkers(now, jo, skipSlow)
	peerCapacity := 0
	if !skipSlow && jo.Offloaded == nil {
		peerCapacity = po.OffloadCapacity(now, jo.Work.Service)
	}
	if len(tasks)+peerCapacity < jo.waiting {
		return false
	}
	for i, ta := range tasks {
		po.start(now, ta, chosen[i])
	}
	po.offloadWaiting(now, jo, math.Inf(1), true)
	return true
}

// chooseAll returns ready tasks of a job for which there is room, with their workers.
func (po *Pool) chooseWorkers(now time.Time, jo *Job, skipSlow bool) ([]*task, []*worker) {
	ca := po.candidatesOf(now, jo.Work.Service)
	maxFree := ca.maxFree
	var tasks []*task
	var chosen []*worker
	for _, ta := range jo.tasks {
		if ta.state != taskReady {
			continue
		}
		wo := po.chooseWorker(now, ta, skipSlow)
		if wo == nil {
			break
		}
		wo.used = wo.used.Plus(jo.Work.Steps[ta.step].Resources) // for the choices that follow
		tasks, chosen = append(tasks, ta), append(chosen, wo)
	}
	for i, ta := range tasks {
		chosen[i].used = chosen[i].used.Minus(jo.Work.Steps[ta.step].Resources)
	}
	ca.maxFree = maxFree // the choices may not be carried out
	return tasks, chosen
}

// choose returns the worker on which the task is expected to end first. If selective is set, a slow worker is passed over
// if the job would be late there and could be in time on a faster one that is busy now.
func (po *Pool) chooseWorker(now time.Time, ta *task, skipSlow bool) *worker {
	jo := ta.job
	st := &jo.Work.Steps[ta.step]
	ca := po.candidatesOf(now, jo.Work.Service)
	if !st.Resources.Fits(ca.maxFree) {
		return nil
	}
	var best *worker
	var bestCost, bestSlowdown float64
	var maxFree lovagejob.Resources
	minSlowdown := 0.0
	for _, wo := range ca.workers {
		if !po.usable(now, wo) {
			continue // it is on trial since this pass began
		}
		free := po.free(wo)
		maxFree = maxFree.Max(free)
		if !st.Resources.Fits(wo.Capacity) || !wo.hasLabel(st.Constraint) {
			continue
		}
		slowdown := po.slowdown(wo)
		if st.Affinity != "" && wo.Rack != st.Affinity {
			slowdown *= nonLocalSlowdown
		}
		if minSlowdown == 0 || slowdown < minSlowdown {
			minSlowdown = slowdown
		}
		if !st.Resources.Fits(free) || (st.AntiAffinity > 0 && wo.countRuns(jo, ta.step) >= st.AntiAffinity) {
			continue
		}
		cost := slowdown * (1 + bestFitWeight*float64(free.MilliCores-st.Resources.MilliCores)/float64(max(wo.Capacity.MilliCores, 1)))
		if wo.ID == ta.avoidWorker {
			cost *= maxSampleSlowdown
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestSlowdown = wo, cost, slowdown
		}
	}
	if best == nil {
		ca.maxFree = maxFree
		return nil
	}
	if !skipSlow {
		return best
	}
	runTime := time.Duration(float64(jo.runTime) * bestSlowdown)
	latest := jo.goal.Add(-time.Duration(float64(jo.runTime) * minSlowdown))
	if now.Add(time.Duration(stragglerFactor*float64(runTime))).After(jo.goal) && latest.After(now) {
		return nil
	}
	return best
}

// lateMargin is by how much the last of several tasks is expected to take longer than estimated.
const stragglerFactor = 1.25

// remoteFactor is how much longer a task takes away from its data, where the settings say nothing else.
const nonLocalSlowdown = 2.0

func (wo *worker) countRuns(jo *Job, step int) int {
	n := 0
	for _, ru := range wo.runs {
		if ru.task != nil && ru.task.job == jo && ru.task.step == step {
			n++
		}
	}
	return n
}

// remaining is the work of the job's waiting tasks, in thousandths of a core times seconds.
func (jo *Job) remainingWork() float64 {
	sum := 0.0
	for _, ta := range jo.tasks {
		if ta.state == taskReady || ta.state == taskBlocked {
			sum += float64(jo.Work.Steps[ta.step].Resources.MilliCores)
		}
	}
	return sum * jo.runTime.Seconds()
}

// refuseHopeless refuses jobs of which nothing has started and that are not expected to start in time: at once when the
// wait is far too long, else after a part of their time, so that callers can go elsewhere or come back. A job that is kept
// for a late answer is refused when even that would be of no use any more.
func (po *Pool) refuseInfeasible(now time.Time, order []*Job) {
	workAhead := map[string]float64{}
	for _, jo := range order {
		if jo.ended || jo.waiting == 0 || jo.Offloaded != nil {
			continue
		}
		service := jo.Work.Service
		ca := po.candidatesOf(now, service)
		work := jo.remainingWork()
		queuedWork := workAhead[service]
		workAhead[service] += work
		if jo.possibleStarts > 0 {
			continue
		}
		if ca.rate == 0 {
			po.refuseWithoutWorkers(now, jo)
			continue
		}
		runTime := time.Duration(float64(jo.runTime) * ca.minSlowdown)
		slack := jo.goal.Sub(now) - runTime
		rate := po.availableRate(now, service, ca.rate, slack)
		wait := time.Duration((queuedWork + work*float64(jo.waiting-1)/float64(jo.waiting)) / rate * float64(time.Second))
		age := now.Sub(jo.Work.Arrived)
		share := float64(age) / float64(jo.goal.Sub(jo.Work.Arrived))
		early := float64(wait) > earlyRefusalFactor*float64(slack) && share < refuseWindowStart
		due := wait > slack && share >= refuseWindowStart && share < refuseWindowEnd
		reason := ""
		switch {
		case slack > 0 && (early || due):
			reason = "not expected to start in time"
		case slack <= 0 && !now.Add(runTime).Before(jo.usefulUntil()):
			reason = "an answer would be too late to be of use"
		}
		if reason != "" && !po.startAll(now, jo, false) { // never refused while there is room for it
			if peerID := po.peerInTime(now, jo, slack); peerID != "" {
				po.forward(now, jo, peerID)
				workAhead[service] -= work
				continue
			}
			po.recordDecision(Decision{
				Kind: RefusedInfeasible, Job: jo.Work.ID, Reason: reason, Age: age, Wait: wait, Slack: slack, ExpectedRunTime: runTime,
				FreeTasks: po.LoadReport(now, service).FreeTasks(), PeerFreeTasks: po.OffloadCapacity(now, service),
			})
			po.finish(jo, NotRun, reason, max(wait-slack, minRetryDelay))
			workAhead[service] -= work
		}
	}
}

// useUntil returns until when an answer is of use to the caller.
func (jo *Job) usefulUntil() time.Time {
	return jo.Work.Arrived.Add(usefulFactor * jo.goal.Sub(jo.Work.Arrived))
}

// speedFor returns the work per second that is left for a job by more urgent ones that are still to come.
func (po *Pool) availableRate(now time.Time, service string, rate float64, slack time.Duration) float64 {
	urgent, all := po.urgentLoad(now, service, slack)
	share := min(max((all/rate-fullLoad)/(overload-fullLoad), 0), 1)
	return max(rate-share*urgent, minRateShare*rate)
}

// withoutWorkersHold is how long a job waits while no worker can be used, as after a take-over.
const noWorkersGrace = 100 * time.Millisecond

func (po *Pool) refuseWithoutWorkers(now time.Time, jo *Job) {
	if now.Sub(jo.Work.Arrived) >= noWorkersGrace {
		po.recordDecision(Decision{
			Kind: "refusedWithoutWorkers", Job: jo.Work.ID, Reason: "no worker can be used", Age: now.Sub(jo.Work.Arrived),
		})
		po.finish(jo, NotRun, "no worker can be used", minRetryDelay)
	}
}
