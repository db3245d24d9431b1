package lovagepool

import (
	"math"
	"slices"
	"sort"
	"time"

	"lovagestack/lovagejob"
)

const (
	// packingFactor is the share of a worker's cores that tasks of mixed sizes fill.
	packingFactor = 0.85
	// refusalWindowStart and refusalWindowEnd are shares of the time from arrival to goal. Between them, a job is
	// refused if it has not started and is not expected to meet its goal. Earlier, the expectation may change. Later,
	// the caller has waited so long that a late but useful answer is better than a refusal.
	refusalWindowStart = 0.125
	refusalWindowEnd   = 0.3
	// An answer is useful up to usefulFactor times the response time goal, as the users state.
	usefulFactor = 3
	// earlyRefusalFactor is the ratio of the expected wait to the slack above which a job is refused before the window.
	earlyRefusalFactor = 1.5
	// minRateShare is the least share of the workers' work rate that more urgent jobs are assumed to leave for a job.
	minRateShare = 0.1
	// fullLoad and overload are loads as multiples of the workers' work rate. More urgent jobs yet to arrive are assumed to
	// take none of this rate up to fullLoad, their whole load from overload on, and in between a share that grows linearly.
	fullLoad = 1.0
	overload = 1.3
	// minRetryDelay is the shortest time after which a refused caller should retry.
	minRetryDelay = time.Second
	// bestFitWeight is the share by which a worker counts as slower if the task leaves all of the worker's cores free; if it
	// leaves fewer, proportionally less. This keeps workers with much free capacity for large tasks.
	bestFitWeight = 0.15
)

func (wo *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(wo.Labels, label)
}

// schedule starts waiting tasks, offloads those that peers have capacity for, and refuses infeasible jobs.
func (po *Pool) schedule(now time.Time) {
	if len(po.readyJobs) == 0 {
		return
	}
	po.schedulePass++
	po.inPass = true
	po.admitJobs(now)
	order := po.sortReadyJobs(now)
	for _, jo := range order {
		if !now.Before(jo.Work.Deadline) {
			po.handleDeadline(now, jo)
			continue
		}
		if jo.Offloaded != nil {
			po.placeOffloaded(now, jo)
			continue
		}
		po.placeJob(now, jo)
	}
	po.offloadQueuedJobs(now, order)
	po.refuseInfeasible(now, order)
	po.inPass = false
	kept := po.readyJobs[:0]
	for _, jo := range po.readyJobs {
		if !jo.ended && jo.readyTasks > 0 {
			kept = append(kept, jo)
		}
	}
	clear(po.readyJobs[len(kept):])
	po.readyJobs = kept
	if po.removedInPass {
		po.removedInPass = false
		po.jobList = slices.DeleteFunc(po.jobList, func(jo *Job) bool { return po.jobs[jo.Ref] != jo })
	}
	po.measureLoads(now)
}

// candidates caches, for one pass of schedule, the workers of a service that may get starts.
type candidates struct {
	pass        int                 // schedulePass for which the cache is valid
	workers     []*worker           // workers that were usable when the cache was filled
	minSlowdown float64             // slowdown of the fastest worker; 1 if there are none
	workRate    float64             // work that the workers do per second, in millicores of speed 1
	maxFree     lovagejob.Resources // upper bound of what is free on any one worker, by resource
	shares      []share             // what the present plan takes of each of the workers; valid once it has admitted a task
	shared      []int               // indexes of the shares that are not zero
	offeredOnly bool                // leave out workers with a restriction
	hasClosed   bool                // see allClosed
	hasHeld     bool
	hasOpen     bool
}

// candidatesOf returns the candidates of a service for this pass.
func (po *Pool) candidatesOf(now time.Time, service string) *candidates {
	ca := po.candidates[service]
	if ca == nil {
		ca = &candidates{}
		po.candidates[service] = ca
	}
	if ca.pass != po.schedulePass {
		ca.pass = po.schedulePass
		po.collectCandidates(now, ca, service)
	}
	return ca
}

// collectCandidates fills ca with the workers that may get starts.
func (po *Pool) collectCandidates(now time.Time, ca *candidates, service string) {
	ca.workers, ca.minSlowdown, ca.workRate, ca.maxFree = ca.workers[:0], 1, 0, lovagejob.Resources{}
	ca.hasClosed, ca.hasHeld, ca.hasOpen = false, false, false
	ca.clearShares()
	for _, wo := range po.workerList {
		if wo.Service != service {
			continue
		}
		ca.noteRestriction(wo)
		wo.leaseLimit = po.leaseLimit(wo)
		if !po.mayGetStart(now, wo) || ca.offeredOnly && wo.restriction != Unrestricted {
			continue
		}
		slowdown := po.slowdown(wo)
		if len(ca.workers) == 0 || slowdown < ca.minSlowdown {
			ca.minSlowdown = slowdown
		}
		ca.workers = append(ca.workers, wo)
		ca.workRate += packingFactor * float64(wo.Capacity.MilliCores) / slowdown
		ca.maxFree = ca.maxFree.Max(po.freeResources(wo))
	}
}

// sortReadyJobs returns the jobs that may start tasks, in order: first those that can still meet their goal, by their latest
// start; then the late ones, least work first; last those that peers have offloaded, which use only spare capacity. Under overload,
// jobs that are not admitted follow the late ones.
func (po *Pool) sortReadyJobs(now time.Time) []*Job {
	type entry struct {
		jo         *Job
		tier       int
		rankInTier int64
	}
	list := make([]entry, 0, len(po.readyJobs))
	for _, jo := range po.readyJobs {
		if jo.ended || jo.readyTasks == 0 || jo.predecessor != nil {
			continue
		}
		fastestRunTime := time.Duration(float64(jo.runTime) * po.candidatesOf(now, jo.Work.Service).minSlowdown)
		latestStart := po.due(jo).Add(-fastestRunTime)
		en := entry{jo: jo, rankInTier: latestStart.UnixNano()}
		switch {
		case jo.Offloaded != nil:
			en.tier = 3
		case jo.excess:
			en.tier = 2
		case latestStart.Before(now):
			en.tier, en.rankInTier = 1, int64(fastestRunTime)*int64(jo.readyTasks)
		case po.inOverload(jo):
			en.rankInTier -= int64((stragglerFactor - 1) * float64(fastestRunTime)) // long jobs start earlier, as they lose most by a straggler
		}
		list = append(list, en)
	}
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].tier != list[j].tier {
			return list[i].tier < list[j].tier
		}
		return list[i].rankInTier < list[j].rankInTier
	})
	order := make([]*Job, len(list))
	for i := range list {
		order[i] = list[i].jo
	}
	return order
}

// placeJob starts ready tasks of a job until one finds no worker.
func (po *Pool) placeJob(now time.Time, jo *Job) {
	pl := po.planJob(now, jo, true)
	pl.start()
}

// startAllOrNone starts all ready tasks of a job, or none if they do not all fit. Unless skipSlow is set, it also uses slow
// workers and offloads the tasks that do not fit here, except those that a peer has offloaded to this pool.
func (po *Pool) startAllOrNone(now time.Time, jo *Job, skipSlow bool) bool {
	pl := po.planJob(now, jo, skipSlow)
	if missing := jo.readyTasks - len(pl.admitted); missing > 0 {
		mayOffload := !skipSlow && jo.Offloaded == nil && !pl.leavesOutLimited()
		if !mayOffload || po.OffloadCapacity(now, jo.Work.Service) < missing {
			return false
		}
	}
	pl.start()
	po.offloadWaitingTasks(now, jo, math.Inf(1), true)
	return true
}

// planJob returns a plan with the ready tasks of a job up to the first that finds no worker.
func (po *Pool) planJob(now time.Time, jo *Job, skipSlow bool) plan {
	pl := po.newPlan(now, jo)
	for _, ta := range jo.tasks {
		if len(pl.admitted) == jo.readyTasks {
			break
		}
		if ta.state != taskReady {
			continue
		}
		if at := pl.chooseWorker(ta, skipSlow); at < 0 || !pl.admit(ta, at) {
			break
		}
	}
	return pl
}

// chooseWorker returns the index of the fastest worker with capacity for the task, with a preference for a tight fit and
// against avoidWorker, or -1 if there is none. With skipSlow, it returns -1 if the job would be late on that worker and a faster
// one that is busy now could still meet the goal.
func (pl *plan) chooseWorker(ta *task, skipSlow bool) int {
	po, now, jo, st := pl.po, pl.now, pl.job, pl.step(ta)
	if !st.Resources.Fits(pl.maxFree) {
		return -1
	}
	best := -1
	var bestCost, bestSlowdown float64
	var maxFree lovagejob.Resources
	minSlowdown := 0.0
	due, overloaded := po.due(jo), po.inOverload(jo)
	for at, wo := range pl.candidates.workers {
		if pl.probeTaken(at) {
			continue
		}
		free := pl.free(at)
		maxFree = maxFree.Max(free)
		if !wo.suits(st) {
			continue
		}
		slowdown := po.slowdown(wo)
		if st.Affinity != "" && wo.Rack != st.Affinity {
			slowdown *= nonLocalSlowdown
		}
		if minSlowdown == 0 || slowdown < minSlowdown {
			minSlowdown = slowdown
		}
		if !st.Resources.Fits(free) {
			continue
		}
		cost := slowdown * (1 +
			bestFitWeight*float64(free.MilliCores-st.Resources.MilliCores)/float64(max(wo.Capacity.MilliCores, 1)))
		if wo.ID == ta.avoidWorker {
			cost *= maxSampleSlowdown
		}
		if overloaded && len(wo.runs) > 0 && now.Add(time.Duration(float64(jo.runTime)*slowdown)).After(jo.usefulEnd()) {
			continue // an idle worker is used all the same, because it may have been slow for one run only
		}
		if (best < 0 || cost < bestCost) && po.mayRunOn(now, jo, wo) && pl.hasStepRoom(wo, ta.step) {
			best, bestCost, bestSlowdown = at, cost, slowdown
		}
	}
	if best < 0 {
		pl.maxFree = maxFree
		if len(pl.admitted) == 0 {
			pl.candidates.maxFree = maxFree
		}
		return -1
	}
	if !skipSlow {
		return best
	}
	bestRunTime := time.Duration(float64(jo.runTime) * bestSlowdown)
	latestFastStart := due.Add(-time.Duration(float64(jo.runTime) * minSlowdown))
	if now.Add(time.Duration(stragglerFactor*float64(bestRunTime))).After(due) && latestFastStart.After(now) {
		return -1
	}
	return best
}

// stragglerFactor is the expected ratio of the slowest task's run time to the estimate, if a job has several tasks.
const stragglerFactor = 1.25

// nonLocalSlowdown is the factor by which a task takes longer on a rack without its data.
const nonLocalSlowdown = 2.0

// taskWork returns the expected work of a task, in millicore-seconds on a worker of speed 1.
func (jo *Job) taskWork(ta *task) float64 {
	return float64(jo.Work.Steps[ta.step].Resources.MilliCores) * jo.runTime.Seconds()
}

// unstartedWork returns the work of the job's ready and blocked tasks, in millicore-seconds on a worker of speed 1.
func (jo *Job) unstartedWork() float64 {
	sum := 0.0
	for _, ta := range jo.tasks {
		if ta.state == taskReady || ta.state == taskBlocked {
			sum += float64(jo.Work.Steps[ta.step].Resources.MilliCores)
		}
	}
	return sum * jo.runTime.Seconds()
}

// refuseInfeasible refuses or forwards jobs that have not started and are not expected to meet their goal, so that
// callers can go elsewhere or retry. It does so at once if the wait is far too long, and otherwise within the refusal
// window. Later, it refuses a job only once an answer would be too late to be useful.
func (po *Pool) refuseInfeasible(now time.Time, order []*Job) {
	if !po.mayStartRuns() {
		return // the workers will be usable again as soon as this instance is not late any more
	}
	workAhead := map[string]float64{}
	for _, jo := range order {
		if jo.ended || jo.readyTasks == 0 || jo.Offloaded != nil {
			continue
		}
		service := jo.Work.Service
		ca := po.candidatesOf(now, service)
		work := jo.unstartedWork()
		queuedWork := workAhead[service]
		workAhead[service] += work
		if jo.possibleStarts > 0 {
			continue
		}
		if ca.workRate == 0 {
			po.handleNoWorkers(now, jo, ca)
			continue
		}
		fastestRunTime := time.Duration(float64(jo.runTime) * ca.minSlowdown)
		slack := po.due(jo).Sub(now) - fastestRunTime
		if po.inOverload(jo) {
			if po.refuseInOverload(now, jo, slack, fastestRunTime) {
				workAhead[service] -= work
			}
			continue
		}
		rate := po.availableRate(now, service, ca.workRate, slack)
		wait := time.Duration((queuedWork + work*float64(jo.readyTasks-1)/float64(jo.readyTasks)) / rate * float64(time.Second))
		age := now.Sub(jo.Work.Arrived)
		share := float64(age) / float64(jo.goal.Sub(jo.Work.Arrived))
		early := float64(wait) > earlyRefusalFactor*float64(slack) && share < refusalWindowStart
		due := wait > slack && share >= refusalWindowStart && share < refusalWindowEnd
		reason := ""
		switch {
		case slack > 0 && (early || due):
			reason = "not expected to start in time"
		case slack <= 0 && !now.Add(fastestRunTime).Before(jo.usefulUntil()):
			reason = "an answer would be too late to be of use"
		}
		if reason != "" && !po.startBeforeRefusal(now, jo) { // a job that fits is never refused
			if peerID := po.chooseForwardTarget(now, jo, slack); peerID != "" {
				po.forwardJob(now, jo, peerID)
				workAhead[service] -= work
				continue
			}
			po.recordDecision(jo.withNeeds(Decision{
				Kind: RefusedInfeasible, Job: jo.Work.ID, Ref: jo.Ref, Reason: reason, Age: age, Wait: wait, Slack: slack,
				ExpectedRunTime: fastestRunTime, FreeTasks: po.LoadReport(now, service).FreeTasks(), PeerFreeTasks: po.OffloadCapacity(now, service),
			}, jo.readyStep(), jo.readyTasks))
			po.finish(jo, NotRun, reason, max(wait-slack, minRetryDelay))
			workAhead[service] -= work
		}
	}
}

// startBeforeRefusal starts what can start of a job that would be refused otherwise, and reports whether something could.
func (po *Pool) startBeforeRefusal(now time.Time, jo *Job) bool {
	if po.loadOf(jo.Work.Service) != nil {
		return po.startSome(now, jo)
	}
	return po.startAllOrNone(now, jo, false)
}

// usefulUntil returns the time until which an answer is useful.
func (jo *Job) usefulUntil() time.Time {
	return jo.Work.Arrived.Add(usefulFactor * jo.goal.Sub(jo.Work.Arrived))
}

// availableRate returns the part of the workers' work rate that more urgent jobs yet to arrive leave for a job with the given
// slack.
func (po *Pool) availableRate(now time.Time, service string, rate float64, slack time.Duration) float64 {
	urgent, all := po.urgentLoad(now, service, slack)
	share := min(max((all/rate-fullLoad)/(overload-fullLoad), 0), 1)
	return max(rate-share*urgent, minRateShare*rate)
}

// noWorkersGrace is the age from which a job is refused because no worker is usable. Right after a take-over, none may
// be usable yet.
const noWorkersGrace = 100 * time.Millisecond

// refuseWithoutWorkers forwards a job to a peer that is expected to give a useful answer, or refuses it, once noWorkersGrace is
// over.
func (po *Pool) refuseWithoutWorkers(now time.Time, jo *Job) {
	if now.Sub(jo.Work.Arrived) >= noWorkersGrace {
		if peerID := po.chooseForwardTarget(now, jo, jo.usefulUntil().Sub(now)-jo.runTime); peerID != "" {
			po.forwardJob(now, jo, peerID)
			return
		}
		po.recordDecision(Decision{
			Kind: "refusedWithoutWorkers", Job: jo.Work.ID, Ref: jo.Ref, Reason: "no worker can be used",
			Age: now.Sub(jo.Work.Arrived),
		})
		po.finish(jo, NotRun, "no worker can be used", minRetryDelay)
	}
}
