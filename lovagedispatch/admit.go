package lovagedispatch

import (
	"fmt"
	"time"

	"lovagestack/lovagejob"
)

// Bounds of the time after which a refused job may be submitted again.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refusal says why a job is not admitted. A zero retryAt means that submitting the job again is of no use.
type refusal struct {
	reason  string
	retryAt time.Time
}

// submit admits the job or refuses it at once. A refused job ends with notRun, and the core keeps no state of it.
func (co *Core) submit(ev Submit) {
	if co.jobs[ev.Job] != nil {
		return // a second Submit of a job must not start its tasks again
	}
	sv := co.services[ev.Service]
	tm := co.teamFor(ev.Team)
	if re := co.admit(ev, sv, tm); re.reason != "" {
		co.forgetTeam(tm)
		co.counters.JobsRefused++
		co.emit(FinishJob{Job: ev.Job, Outcome: lovagejob.NotRun, Reason: re.reason, RetryAt: re.retryAt})
		return
	}
	co.counters.JobsAdmitted++
	jo := co.newJob()
	jo.id, jo.service, jo.team = ev.Job, sv, tm
	jo.requirements = requirementsOf(ev)
	jo.deadline, jo.arrivedAt, jo.declaredRunTime = co.instantOf(ev.Deadline), co.now, ev.DeclaredRunTime
	jo.taskCount = int32(ev.Tasks)
	co.jobs[jo.id] = jo
	co.enqueue(jo, ev.Tasks)
	co.submitted = jo
}

func requirementsOf(ev Submit) requirements {
	return requirements{ev.DeclaredCores, ev.DeclaredMemoryBytes, ev.DeclaredAccelerators}
}

// admit returns the reason why the job cannot be accepted, or an empty refusal.
func (co *Core) admit(ev Submit, sv *service, tm *team) refusal {
	switch {
	case co.draining:
		return refusal{"this instance is shutting down", co.nowTime}
	case ev.Tasks <= 0:
		return refusal{reason: fmt.Sprintf("a job of %d tasks cannot run", ev.Tasks)}
	case sv == nil || sv.removed:
		return refusal{reason: fmt.Sprintf("service %q does not exist", ev.Service)}
	case !ev.Deadline.After(co.nowTime):
		return refusal{reason: "the deadline has passed"}
	}
	cl := co.classFor(sv, requirementsOf(ev))
	if len(cl.groups) == 0 {
		return co.refuseUnmetRequirement(ev, sv)
	}
	runTime := co.expectedRunTime(sv, ev.DeclaredRunTime)
	if re := co.checkLimits(ev, sv, tm, runTime); re.reason != "" {
		return re
	}
	return co.checkDeadline(ev, cl, tm, runTime)
}

// refuseUnmetRequirement refuses a job that fits no worker, and names a requirement that is not met.
func (co *Core) refuseUnmetRequirement(ev Submit, sv *service) refusal {
	var largest requirements
	found := false
	for _, gr := range co.groups {
		if sv.runsIn(gr.key.pool) {
			found = true
			largest.cores = max(largest.cores, gr.key.cores)
			largest.memory = max(largest.memory, gr.key.memory)
			largest.accelerators = max(largest.accelerators, gr.key.accelerator)
		}
	}
	if !found {
		// The pool may be empty only for a short time, for example while it is replaced.
		return refusal{fmt.Sprintf("service %q has no workers", ev.Service), co.retryTime(maxRetryAfter.Seconds() / 8)}
	}
	reason := fmt.Sprintf("no worker of service %q has the declared cores, memory and accelerators together", ev.Service)
	for _, it := range []struct {
		name          string
		want, largest int64
	}{
		{"cores", ev.DeclaredCores, largest.cores},
		{"bytes of memory", ev.DeclaredMemoryBytes, largest.memory},
		{"accelerators", ev.DeclaredAccelerators, largest.accelerators},
	} {
		if it.want > it.largest {
			reason = fmt.Sprintf("a task declares %d %s, the largest worker of service %q has %d",
				it.want, it.name, ev.Service, it.largest)
			break
		}
	}
	return refusal{reason: reason}
}

// checkLimits refuses a job that would exceed a bound on queued tasks. All tasks of the job count as queued, so a job
// that is larger than a bound is refused even if some of its tasks could start at once.
func (co *Core) checkLimits(ev Submit, sv *service, tm *team, runTime float64) refusal {
	// checkLimits runs for every job, so it builds a reason only for a refusal.
	exceeds := func(queued, limit int) bool { return queued+ev.Tasks > limit }
	limit := limitOrDefault(sv.spec.MaxQueuedTasks, co.settings.MaxQueuedTasks)
	if exceeds(sv.queuedTasks, limit) {
		return co.refuseOverLimit(ev, fmt.Sprintf("service %q", ev.Service), sv, sv.queuedTasks, limit, runTime)
	}
	limit = limitOrDefault(tm.spec.MaxQueuedTasks, co.settings.MaxQueuedTasks)
	if exceeds(tm.queuedTasks, limit) {
		return co.refuseOverLimit(ev, fmt.Sprintf("team %q", ev.Team), sv, tm.queuedTasks, limit, runTime)
	}
	if exceeds(co.queuedTasks, co.settings.MaxTotalTasks) {
		return co.refuseOverLimit(ev, "this instance", sv, co.queuedTasks, co.settings.MaxTotalTasks, runTime)
	}
	return refusal{}
}

// refuseOverLimit refuses a job beyond a limit. The retry time is when the excess tasks are expected to have run. A
// job larger than the limit gets none, because it would be refused again.
func (co *Core) refuseOverLimit(ev Submit, name string, sv *service, queued, limit int, runTime float64) refusal {
	re := refusal{reason: fmt.Sprintf("%s has %d queued tasks, %d more would exceed the limit of %d",
		name, queued, ev.Tasks, limit)}
	if ev.Tasks <= limit {
		excess := queued + ev.Tasks - limit
		re.retryAt = co.retryTime(float64(excess) * runTime / float64(max(1, co.capacityOf(sv, co.groups))))
	}
	return re
}

func limitOrDefault(limit, fallback int) int {
	if limit > 0 {
		return limit
	}
	return fallback
}

// capacityOf returns the number of slots in the groups that may run the service.
func (co *Core) capacityOf(sv *service, groups []*group) int {
	n := 0
	for _, gr := range groups {
		if sv.runsIn(gr.key.pool) {
			n += gr.capacity
		}
	}
	return n
}

// checkDeadline refuses a job that is not expected to complete before its deadline. The team's queued jobs of the same
// or a smaller size are expected to run first, and as many queued tasks of other teams as fair queueing starts
// meanwhile. The check is skipped if the service has no learned run time, or no queued or running tasks. Otherwise a
// wrong estimate could make it refuse every job, and no task would run to correct the estimate.
func (co *Core) checkDeadline(ev Submit, cl *class, tm *team, runTime float64) refusal {
	sv := cl.service
	if sv.sampleCount < trustedSamples || sv.runningTasks == 0 && sv.queuedTasks == 0 {
		return refusal{}
	}
	capacity := co.capacityOf(sv, cl.groups)
	if tm.spec.MaxRunning > 0 {
		capacity = min(capacity, tm.spec.MaxRunning)
	}
	if capacity == 0 {
		return refusal{fmt.Sprintf("service %q has no slot at present", ev.Service), co.retryTime(runTime)}
	}
	_, _, completion := co.chooseWorker(cl, runTime)
	if completion == unavailable || !co.ranker.mayWait() {
		completion = runTime
	}
	if free := co.freeSlotsFor(cl); cl.queuedTasks > 0 || free < ev.Tasks {
		own, others, othersWeight := co.backlog(cl, tm, sizeBucket(ev.Tasks))
		own += float64(ev.Tasks)
		others = min(others, own*othersWeight/tm.weight())
		completion += max(0, own+others-float64(free)) * runTime / float64(capacity)
	}
	remaining := ev.Deadline.Sub(co.nowTime).Seconds()
	if completion <= remaining {
		return refusal{}
	}
	return refusal{
		fmt.Sprintf("the deadline in %.3f s cannot be met, completion is expected in %.3f s", remaining, completion),
		co.retryTime(completion - remaining),
	}
}

// backlog counts the queued tasks that compete with a job of the class and the team: in own, those of the team in jobs
// up to the size bucket; in others, those of other teams. othersWeight is the summed weight of the other teams that
// have queued jobs.
func (co *Core) backlog(cl *class, tm *team, size int) (own, others, othersWeight float64) {
	for _, it := range co.activeClasses {
		if it.service == cl.service || it.service.sharesPool(cl.service) {
			others += float64(it.queuedTasks)
		}
	}
	for _, tq := range tm.teamQueues {
		if tq.class.service != cl.service && !tq.class.service.sharesPool(cl.service) {
			continue
		}
		others -= float64(tq.queuedTasks)
		for _, n := range tq.queuedBySize[:size+1] {
			own += float64(n)
		}
	}
	othersWeight = co.activeWeight
	if len(tm.teamQueues) > 0 {
		othersWeight -= tm.weight()
	}
	return own, others, othersWeight
}

// freeSlotsFor returns the number of free slots that the class may use.
func (co *Core) freeSlotsFor(cl *class) int {
	n := 0
	for _, gr := range cl.groups {
		n += gr.freeSlots
	}
	return n
}

// retryTime returns when to submit again after an expected wait in seconds. The wait is kept between minRetryAfter and
// maxRetryAfter, then extended by up to a quarter at random, so that refused callers do not retry together.
func (co *Core) retryTime(seconds float64) time.Time {
	wait := maxRetryAfter
	if seconds < maxRetryAfter.Seconds() {
		wait = max(minRetryAfter, time.Duration(seconds*1e9))
	}
	return co.nowTime.Add(wait + time.Duration(0.25*co.rng.Float64()*float64(wait)))
}
