package lovagepool

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// RunOutcome says how a run or an offloaded task ended.
type RunOutcome string

// Outcomes of a run. A worker's run list may contain all but RunRejected and RunDeclined.
const (
	RunDone     RunOutcome = "done"
	RunFailed   RunOutcome = "failed"
	RunStopped  RunOutcome = "stopped"
	RunLapsed   RunOutcome = "lapsed"   // its lease expired, its worker's process is gone, or the worker no longer lists it
	RunRejected RunOutcome = "rejected" // the worker rejected the start, so the run never started
	RunDeclined RunOutcome = "declined" // of an offloaded task: the peer had no free capacity
)

type runState string

const (
	runStarting runState = "ordered"  // the start was sent; the worker has not answered yet
	runRunning  runState = "running"  // the worker accepted the start or lists the run
	runStopping runState = "stopping" // the pool has sent a stop
)

type runKey struct {
	task    string
	attempt int
}

// run is one attempt to run a task. It holds resources on its worker until it has certainly ended.
type run struct {
	key             runKey
	task            *task // nil: started by another instance before this one owned the worker
	worker          *worker
	processStart    int64 // of the worker's process for which it was started
	resources       lovagejob.Resources
	state           runState
	startSentAt     time.Time
	startedAt       time.Time
	expectedRunTime time.Duration
	stopSentAt      time.Time
	stopAckedAt     time.Time // when the worker acknowledged the stop; from then on it rejects the run's start
	missedLists     int       // number of run lists in a row without the run
}

const (
	// A run counts as stuck after overdueFactor times its expected run time plus overdueSlack. The factor is 4 because
	// estimates are wrong by a factor of up to about 3.
	overdueFactor = 4
	overdueSlack  = 300 * time.Millisecond
	// stopRetryInterval is the time after which an unacknowledged stop is sent again.
	stopRetryInterval = 120 * time.Millisecond
	// goneAfterMissedLists is how many run lists in a row must lack a running run before it counts as gone.
	goneAfterMissedLists = 2
)

// HandleStartReply handles the reply to a start. After a rejection, the pool prefers other workers for the task.
func (po *Pool) HandleStartReply(now time.Time, worker, taskName string, attempt int, rejected bool, reason string) {
	ru := po.findRun(worker, taskName, attempt)
	if ru == nil {
		return
	}
	if !rejected {
		if ru.state == runStarting {
			ru.state, ru.startedAt = runRunning, now
		}
		return
	}
	po.recordRunDecision(now, ru, "startRejected:"+reason, reason)
	if ru.task != nil {
		ru.task.avoidWorker = worker
	}
	po.concludeRun(now, ru, RunRejected, "its start was rejected: "+reason)
	po.needsSchedule = true
}

// HandleStartTimeout handles a start that the worker has not answered in time. The run may have started or still start, so
// the pool sends a stop for this attempt.
func (po *Pool) HandleStartTimeout(now time.Time, worker, taskName string, attempt int) {
	if ru := po.findRun(worker, taskName, attempt); ru != nil && ru.state == runStarting {
		po.recordRunDecision(now, ru, "startUnanswered", "stopped by attempt number, as the worker may still start it")
		po.stopRun(now, ru)
		ru.task.avoidWorker = worker
		po.needsSchedule = true
	}
}

// HandleStopReply handles the reply to a stop that was sent to the worker's process that began at processStart, 0 if not known. From now
// on that process rejects a late start of the run. An active run is listed as ended once it has stopped.
func (po *Pool) HandleStopReply(now time.Time, worker, taskName string, attempt int, processStart int64) {
	ru := po.findRun(worker, taskName, attempt)
	if ru == nil || ru.state != runStopping || !ru.stopAckedAt.IsZero() || processStart != ru.worker.process.Start {
		return
	}
	ru.stopAckedAt = now
	po.emit(PollWorker{worker}) // the reply shows if the run is active
}

// ActiveRun is an active run in a worker's run list.
type ActiveRun struct {
	Task    string
	Attempt int
}

// EndedRun is an ended run in a worker's run list.
type EndedRun struct {
	Task    string
	Attempt int
	Outcome RunOutcome
}

// HandleRunList handles a worker's list of active and ended runs, which was requested at the time sent.
func (po *Pool) HandleRunList(now, sent time.Time, worker string, active []ActiveRun, ended []EndedRun) {
	wo := po.workers[worker]
	if wo == nil {
		return
	}
	wo.reachable = true
	if !sent.Before(wo.unsureSince) {
		wo.unsureSince = time.Time{}
	}
	po.requestEntry(wo)
	for _, en := range ended {
		if ru := wo.findRun(runKey{en.Task, en.Attempt}); ru != nil {
			po.concludeRun(now, ru, en.Outcome, listedEnd)
		} else if en.Outcome == RunDone {
			po.correctEnd(now, wo, runKey{en.Task, en.Attempt})
		}
	}
	listed := make(map[runKey]bool, len(active))
	for _, ac := range active {
		key := runKey{ac.Task, ac.Attempt}
		listed[key] = true
		ru := wo.findRun(key)
		switch {
		case ru == nil && wo.hasListedEnd(key): // a later reply has overtaken this one
		case ru == nil:
			po.stopOrphanRun(now, wo, key)
		case ru.state == runStarting:
			ru.state = runRunning
			if ru.startedAt.IsZero() {
				ru.startedAt = now
			}
		case ru.state == runStopping && ru.startedAt.IsZero():
			ru.startedAt = now
		}
	}
	for _, ru := range slices.Clone(wo.runs) {
		if listed[ru.key] {
			ru.missedLists = 0
			continue
		}
		// A worker lists an ended run until a poll acknowledges it, so an accepted run that it no longer lists is gone.
		confirmed := ru.state == runRunning && sent.After(ru.startedAt)
		stopped := ru.state == runStopping && !ru.stopAckedAt.IsZero() && sent.After(ru.stopAckedAt)
		if confirmed {
			ru.missedLists++
		}
		switch {
		case stopped:
			po.concludeRun(now, ru, RunLapsed, "its stop was acknowledged, and it was in no list")
		case ru.missedLists >= goneAfterMissedLists:
			po.concludeRun(now, ru, RunLapsed, "it was missing in the lists")
		}
	}
	po.needsSchedule = true
}

// stopOrphanRun stops a run that belongs to no job of this pool. Its resources are unknown, so the worker gets no starts
// until all such runs on it have ended.
func (po *Pool) stopOrphanRun(now time.Time, wo *worker, key runKey) {
	de := Decision{
		Kind: "orphanStopped", Task: key.task, Worker: wo.ID, Attempt: key.attempt, Reason: "it belongs to no job of this instance",
		RunsBeside: len(wo.runs) - wo.orphanRuns,
	}
	if en := wo.findEnd(key); en != nil {
		de.Kind, de.Age = "endedRunActive", now.Sub(en.at)
		de.Reason = "this instance took it for ended: " + en.reason
	}
	po.recordDecision(de)
	ru := &run{key: key, worker: wo, state: runRunning, startSentAt: now, startedAt: now}
	wo.orphanRuns++
	wo.runs = append(wo.runs, ru)
	wo.extendRunsEnd(now.Add(po.settings.maxRunLifetime())) // the former owner may have extended the lease just before
	po.stopRun(now, ru)
}

// HasRuns reports whether the worker has runs, whose leases must be extended.
func (po *Pool) HasRuns(worker string) bool {
	wo := po.workers[worker]
	return wo != nil && len(wo.runs) > 0
}

func (po *Pool) findRun(worker, taskName string, attempt int) *run {
	if wo := po.workers[worker]; wo != nil {
		return wo.findRun(runKey{taskName, attempt})
	}
	return nil
}

func (wo *worker) findRun(key runKey) *run {
	for _, ru := range wo.runs {
		if ru.key == key {
			return ru
		}
	}
	return nil
}

// ofPresentProcess reports whether the run was started for the worker's present process, so that it tells of it.
func (ru *run) ofPresentProcess() bool { return ru.processStart == ru.worker.process.Start }

// startRun reserves the resources of a run and sends its start. Only plan.start calls it.
func (po *Pool) startRun(now time.Time, ad admission) {
	ta, wo := ad.task, ad.worker
	jo := ta.job
	st := &jo.Work.Steps[ta.step]
	ta.attempt++
	ru := &run{
		key: runKey{jo.Work.TaskName(ta.step, ta.index), ta.attempt}, task: ta, worker: wo, processStart: wo.process.Start,
		resources: st.Resources,
		state:     runStarting, startSentAt: now, expectedRunTime: time.Duration(float64(jo.runTime) * po.slowdown(wo)),
	}
	ta.run, ta.state = ru, taskRunning
	jo.readyTasks--
	jo.activeTasks++
	jo.possibleStarts++
	wo.usedResources = wo.usedResources.Plus(st.Resources)
	wo.runs = append(wo.runs, ru)
	if sl := po.loadOf(jo.Work.Service); sl != nil {
		sl.startedWork += jo.taskWork(ta)
	}
	wo.leaseLimit = earlier(wo.leaseLimit, po.runsLimit(jo))
	leaseUntil := po.grantLease(now, wo)
	if !wo.ejectedUntil.IsZero() {
		wo.probing = true
	}
	if ru.key.attempt > 1 {
		po.recordRunDecision(now, ru, "startedAgain", "an earlier run was rejected or has ended, or the job was submitted again")
	}
	po.emit(StartRun{jo.Ref, wo.ID, ru.key.task, ru.key.attempt, jo.Work.Spec, leaseUntil, ru.processStart})
}

// stopRun sends the stop of a run. Its resources stay reserved until it has certainly ended.
func (po *Pool) stopRun(now time.Time, ru *run) {
	if ru.state != runStopping {
		ru.state, ru.missedLists = runStopping, 0
		po.Counts["runStopped"]++
	}
	ru.stopSentAt = now
	po.emit(StopRun{ru.worker.ID, ru.key.task, ru.key.attempt})
}

// runEnd is the end of a run as this pool has concluded it.
type runEnd struct {
	key    runKey
	reason string // why the run counts as ended
	at     time.Time
	task   *task // which may have to run again; nil: the run has succeeded, or belonged to no job
}

// maxRunEnds is how many ends are kept for a worker.
const maxRunEnds = 16

// listedEnd is the reason of the end of a run that its worker has listed.
const listedEnd = "it was listed as ended"

// concludeRun ends a run for the given reason, which is reported if the worker lists the run as active after all.
func (po *Pool) concludeRun(now time.Time, ru *run, outcome RunOutcome, reason string) {
	wo := ru.worker
	if len(wo.ends) == maxRunEnds {
		wo.ends = slices.Delete(wo.ends, 0, 1)
	}
	en := runEnd{key: ru.key, reason: reason, at: now}
	if outcome != RunDone {
		en.task = ru.task
	}
	wo.ends = append(wo.ends, en)
	po.endRun(now, ru, outcome)
}

// correctEnd handles a run that its worker lists as succeeded after this pool has taken it for lost, for example because the reply was late. If
// its task has not been started again, it is done.
func (po *Pool) correctEnd(now time.Time, wo *worker, key runKey) {
	en := wo.findEnd(key)
	if en == nil || en.task == nil {
		return
	}
	ta := en.task
	jo := ta.job
	if ta.state != taskReady || ta.attempt != key.attempt || jo.ended || jo.Offloaded != nil {
		return
	}
	en.task = nil
	jo.readyTasks--
	jo.activeTasks++ // which taskEnded takes back
	po.taskEnded(now, ta, RunDone)
}

// hasListedEnd reports whether the worker's process has listed the run as ended before.
func (wo *worker) hasListedEnd(key runKey) bool {
	en := wo.findEnd(key)
	return en != nil && en.reason == listedEnd
}

func (wo *worker) findEnd(key runKey) *runEnd {
	for i := range wo.ends {
		if wo.ends[i].key == key {
			return &wo.ends[i]
		}
	}
	return nil
}

// endRun releases the resources of a run and passes the outcome on to its task.
func (po *Pool) endRun(now time.Time, ru *run, outcome RunOutcome) {
	wo := ru.worker
	at := slices.Index(wo.runs, ru)
	if at < 0 {
		return
	}
	wo.runs = slices.Delete(wo.runs, at, at+1)
	po.needsSchedule = true
	wo.usedResources = wo.usedResources.Minus(ru.resources)
	if len(wo.runs) == 0 {
		wo.usedResources = lovagejob.Resources{}
		if wo.handingOver {
			po.emit(ReleaseWorker{wo.ID})
		}
		if wo.unregistered {
			delete(po.workers, wo.ID)
		}
	}
	ta := ru.task
	if ta == nil {
		wo.orphanRuns--
		po.recordRunDecision(now, ru, "orphanEnded:"+string(outcome), "")
		return
	}
	if outcome == RunDone {
		po.Counts["runEnded:done"]++
	} else {
		po.recordRunDecision(now, ru, "runEnded:"+string(outcome), "")
	}
	switch outcome {
	case RunDone:
		startedAt := ru.startedAt
		if startedAt.IsZero() {
			startedAt = ru.startSentAt
		}
		if ru.ofPresentProcess() {
			po.recordRunTime(ru, now.Sub(startedAt))
			wo.resetFailures()
		}
	case RunFailed:
		ta.avoidWorker = wo.ID
		if ru.ofPresentProcess() {
			po.recordFailure(now, wo, ta.job.Work.ID)
		}
	default:
		wo.probing = false // the run tells nothing of the worker's health, so that another one may probe it
	}
	if ta.run != ru {
		return
	}
	ta.run = nil
	po.taskEnded(now, ta, outcome)
}

// recordRunDecision records a decision about a run.
func (po *Pool) recordRunDecision(now time.Time, ru *run, kind, reason string) {
	de := Decision{
		Kind: kind, Task: ru.key.task, Worker: ru.worker.ID, Attempt: ru.key.attempt, Reason: reason, Age: now.Sub(ru.startSentAt),
		ExpectedRunTime: ru.expectedRunTime,
	}
	if ru.task != nil {
		de.Job, de.Ref = ru.task.job.Work.ID, ru.task.job.Ref
	}
	po.recordDecision(de)
}

// checkRuns ends runs whose lease has expired on an unreachable worker, repeats unanswered stops, and stops overdue runs and
// those whose start was not answered.
func (po *Pool) checkRuns(now time.Time, wo *worker) {
	leaseExpired := !wo.runsEndBy.IsZero() && now.After(wo.runsEndBy)
	for _, ru := range slices.Clone(wo.runs) {
		switch {
		case leaseExpired && !wo.reachable:
			po.concludeRun(now, ru, RunLapsed, "its lease had expired")
		case ru.state == runStopping:
			if ru.stopAckedAt.IsZero() && now.Sub(ru.stopSentAt) > stopRetryInterval && wo.reachable {
				po.stopRun(now, ru)
			}
		case ru.state == runStarting && now.Sub(ru.startSentAt) > po.settings.StartTimeout+po.lag:
			po.HandleStartTimeout(now, wo.ID, ru.key.task, ru.key.attempt)
		case wo.reachable && ru.state == runRunning && ru.task != nil && !ru.startedAt.IsZero() &&
			now.Sub(ru.startedAt) > overdueFactor*ru.expectedRunTime+overdueSlack+po.lag:
			po.recordRunDecision(now, ru, "runOverdue", "stopped, as it takes far longer than expected")
			ru.task.avoidWorker = wo.ID
			if ru.ofPresentProcess() {
				po.recordFailure(now, wo, ru.task.job.Work.ID)
			}
			po.stopRun(now, ru)
		}
	}
}
