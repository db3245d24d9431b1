package lovagedispatch

import (
	"fmt"
	"time"

	"lovagestack/lovagejob"
)

// requirements are the sizes that each task of a job declares.
type requirements struct{ cores, memory, accelerators int64 }

func (re requirements) fits(ke groupKey) bool {
	return ke.cores >= re.cores && ke.memory >= re.memory && ke.accelerator >= re.accelerators
}

type job struct {
	id              uint64
	service         *service
	team            *team
	queue           *teamQueue // nil unless tasks are queued
	requirements    requirements
	deadline        instant
	arrivedAt       instant
	declaredRunTime time.Duration
	// waitUntil is the time until which the job may wait for faster slots; 0 if it has not waited since the start of
	// its latest task.
	waitUntil instant

	taskCount int32
	nextTask  int32   // index of the first task that has never been started
	succeeded int32   // number of succeeded tasks
	started   int32   // number of tasks that started or may have started
	requeued  []int32 // indexes of tasks that a worker did not start, queued again
	inFlight  []runningTask
	ended     bool

	queueIndex    int32 // index in queue.jobs
	deadlineIndex int32 // index in Core.deadlines
}

type runningTask struct {
	task           int32
	probe          bool
	worker         *worker
	startedAt      instant
	completionRate int64 // expected completions per second, times rateUnit
}

// queuedTasks returns the number of tasks that wait for a slot.
func (jo *job) queuedTasks() int { return int(jo.taskCount-jo.nextTask) + len(jo.requeued) }

// takeTask removes and returns a queued task.
func (jo *job) takeTask() int32 {
	if n := len(jo.requeued); n > 0 {
		task := jo.requeued[n-1]
		jo.requeued = jo.requeued[:n-1]
		return task
	}
	jo.nextTask++
	return jo.nextTask - 1
}

// newJob returns an empty job record, reusing that of an ended job if one is free.
func (co *Core) newJob() *job {
	if n := len(co.freeJobs); n > 0 {
		jo := co.freeJobs[n-1]
		co.freeJobs[n-1] = nil
		co.freeJobs = co.freeJobs[:n-1]
		return jo
	}
	return &job{queueIndex: -1, deadlineIndex: -1}
}

// maxFreeJobs is the maximum number of job records kept for reuse.
const maxFreeJobs = 4096

func (co *Core) forgetJob(jo *job) {
	delete(co.jobs, jo.id)
	co.forgetTeam(jo.team)
	co.forgetService(jo.service)
	if len(co.freeJobs) < maxFreeJobs && cap(jo.inFlight) <= 64 {
		*jo = job{inFlight: jo.inFlight[:0], requeued: jo.requeued[:0], queueIndex: -1, deadlineIndex: -1}
		co.freeJobs = append(co.freeJobs, jo)
	}
}

// finishJob ends a job. It drops the queued tasks in O(log n) and emits a StopTask for each running task. The slot of
// a running task stays in use until the task's TaskEnded arrives.
func (co *Core) finishJob(jo *job, outcome lovagejob.Outcome, reason string, retryAt time.Time) {
	co.dequeue(jo)
	jo.ended = true
	jo.requeued = jo.requeued[:0]
	if outcome != lovagejob.Complete && jo.started == 0 {
		outcome = lovagejob.NotRun
	}
	if outcome != lovagejob.NotRun {
		retryAt = time.Time{}
	}
	for i := range jo.inFlight {
		co.emit(StopTask{Job: jo.id, Task: int(jo.inFlight[i].task), Worker: jo.inFlight[i].worker.spec.ID})
	}
	co.emit(FinishJob{Job: jo.id, Outcome: outcome, Reason: reason, RetryAt: retryAt, Started: int(jo.started)})
	if len(jo.inFlight) == 0 {
		co.forgetJob(jo)
	}
}

func (co *Core) cancelJob(id uint64) {
	if jo := co.jobs[id]; jo != nil && !jo.ended {
		co.finishJob(jo, lovagejob.Cancelled, "cancelled by the caller", time.Time{})
	}
}

// expireJobs ends the jobs whose deadline has passed while some of their tasks are queued. A job with all its tasks in
// flight does not expire; it ends when the tasks end.
func (co *Core) expireJobs() {
	for co.deadlines.len() > 0 {
		jo := co.deadlines.top().item
		if jo.deadline > co.now {
			return
		}
		co.counters.JobsExpired++
		reason := fmt.Sprintf("deadline passed with %d of %d tasks not started", jo.queuedTasks(), jo.taskCount)
		co.finishJob(jo, lovagejob.Failed, reason, co.retryTime(co.expectedRunTime(jo.service, jo.declaredRunTime)))
	}
}

// startTask starts a task of the job on the worker.
func (co *Core) startTask(jo *job, wo *worker, runTime float64) {
	task := jo.takeTask()
	rt := runningTask{
		task: task, worker: wo, startedAt: co.now, completionRate: completionRate(runTime * wo.slowdown),
		probe: wo.health.state == probing,
	}
	jo.inFlight = append(jo.inFlight, rt)
	jo.started++
	jo.waitUntil = 0
	if rt.probe {
		wo.health.probeInFlight = true
		co.counters.Probes++
	}
	wo.addRate(rt.completionRate)
	wo.inFlight++
	wo.lastStartSeq = co.nextStartSeq()
	co.runningTasks++
	jo.service.runningTasks++
	jo.service.addRetries(co.retryRatio(jo.service), co.settings.RetryBurst)
	co.chargeStart(jo, runTime*wo.slowdown)
	co.taskDequeued(jo)
	co.emit(StartTask{Job: jo.id, Task: int(task), Worker: wo.spec.ID})
	co.updateWorker(wo)
}

// nextStartSeq returns the sequence number of a start.
func (co *Core) nextStartSeq() float64 {
	co.starts++
	return float64(co.starts)
}

func (jo *job) runningIndex(task int, worker string) int {
	for i := range jo.inFlight {
		if int(jo.inFlight[i].task) == task && jo.inFlight[i].worker.spec.ID == worker {
			return i
		}
	}
	return -1
}

// taskEnded frees the slot of an ended task and records its outcome for the job, the service, the team and the worker.
func (co *Core) taskEnded(ev TaskEnded) {
	jo := co.jobs[ev.Job]
	if jo == nil {
		return
	}
	i := jo.runningIndex(ev.Task, ev.Worker)
	if i < 0 {
		return
	}
	rt := jo.inFlight[i]
	last := len(jo.inFlight) - 1
	jo.inFlight[i] = jo.inFlight[last]
	jo.inFlight[last] = runningTask{}
	jo.inFlight = jo.inFlight[:last]
	wo := rt.worker
	co.freeSlot(jo, rt)
	if ev.Leaving {
		co.workerLeaving(wo.spec.ID)
	}
	switch ev.State {
	case Succeeded:
		co.learnRunTime(jo.service, wo, time.Duration(co.now-rt.startedAt))
		co.recordSuccess(wo, jo, rt.probe)
	case NotStarted:
		co.counters.NotStarted++
		if !ev.Leaving {
			co.recordRefusal(wo)
		}
	case Failed, Unknown:
		if !jo.ended {
			co.recordFailure(wo, jo, rt.probe)
		}
	}
	if rt.probe && wo.health.state == probing {
		wo.health.probeInFlight = false // the probe was inconclusive, so the worker's next task is a probe again
	}
	co.updateWorker(wo)
	if jo.ended {
		if len(jo.inFlight) == 0 {
			co.forgetJob(jo)
		}
		return
	}
	co.recordTaskEnd(jo, ev)
}

// recordTaskEnd ends the job if it is complete or has failed, or queues the task again if the worker did not start it.
func (co *Core) recordTaskEnd(jo *job, ev TaskEnded) {
	switch ev.State {
	case Succeeded:
		jo.succeeded++
		if jo.succeeded == jo.taskCount {
			co.finishJob(jo, lovagejob.Complete, "", time.Time{})
		}
	case NotStarted:
		jo.started--
		// If other tasks of the job may have started, the task is retried beyond the retry budget. Otherwise the job
		// would end with failed, and its caller could not safely submit it again. Under Central, the task is always
		// retried: a refusal then means that another instance decides for the same slots, as after a partition, and
		// says nothing about the job. The back-off of the workers and the job's deadline bound these retries.
		if ev.Leaving || jo.service.takeRetry() || jo.started > 0 || co.settings.Policy == Central {
			co.counters.Retries++
			jo.requeued = append(jo.requeued, int32(ev.Task))
			co.enqueue(jo, 1)
			co.scheduleExpiry(jo)
			return
		}
		reason := fmt.Sprintf("task %d was not started by worker %s and the retry budget of service %q is used up: %s",
			ev.Task, ev.Worker, jo.service.spec.Name, ev.Err)
		co.finishJob(jo, lovagejob.Failed, reason, co.retryTime(co.expectedRunTime(jo.service, jo.declaredRunTime)))
	case Failed, Unknown:
		co.finishJob(jo, lovagejob.Failed, failureReason(ev), time.Time{})
	}
}

func failureReason(ev TaskEnded) string {
	if ev.State == Unknown {
		return fmt.Sprintf("task %d: outcome on worker %s is unknown: %s", ev.Task, ev.Worker, ev.Err)
	}
	return fmt.Sprintf("task %d failed on worker %s: %s", ev.Task, ev.Worker, ev.Err)
}

func (co *Core) freeSlot(jo *job, rt runningTask) {
	rt.worker.addRate(-rt.completionRate)
	rt.worker.inFlight--
	co.runningTasks--
	jo.service.runningTasks--
	co.teamTaskEnded(jo.team)
	co.forgetWorker(rt.worker)
}
