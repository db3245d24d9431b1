package lovagedispatch

import (
	"fmt"
	"time"

	"lovagestack/lovagejob"
)

// demand is what a task of a job needs of a worker.
type demand struct{ cores, memory, accelerators int64 }

func (de demand) fits(ke groupKey) bool {
	return ke.cores >= de.cores && ke.memory >= de.memory && ke.accelerator >= de.accelerators
}

// job is one record per job, however many tasks it has.
type job struct {
	id       uint64
	sv       *service
	tm       *team
	queue    *teamQueue // nil unless tasks are queued
	need     demand
	deadline instant
	arrived  instant
	declared time.Duration
	// waitUntil is the time until which tasks may leave slow slots idle; 0 if no task has waited yet.
	waitUntil instant

	tasks   int32
	next    int32   // tasks from next on were not given out yet
	done    int32   // succeeded tasks
	started int32   // tasks that started or may have started
	retry   []int32 // tasks given out and not started
	run     []running
	ended   bool

	orderPos    int32 // index in the team queue
	deadlinePos int32 // index in Core.deadlines
}

// running is a task in flight.
type running struct {
	task  int32
	probe bool
	wo    *worker
	start instant
	rate  int64 // see rateOf
}

// queuedTasks returns the number of tasks that can be started.
func (jo *job) queuedTasks() int { return int(jo.tasks-jo.next) + len(jo.retry) }

// takeTask removes a task from the queued ones.
func (jo *job) takeTask() int32 {
	if n := len(jo.retry); n > 0 {
		task := jo.retry[n-1]
		jo.retry = jo.retry[:n-1]
		return task
	}
	jo.next++
	return jo.next - 1
}

// newJob returns a record, reusing one of an ended job.
func (co *Core) newJob() *job {
	if n := len(co.freeJobs); n > 0 {
		jo := co.freeJobs[n-1]
		co.freeJobs[n-1] = nil
		co.freeJobs = co.freeJobs[:n-1]
		return jo
	}
	return &job{orderPos: -1, deadlinePos: -1}
}

// maxFreeJobs bounds the records kept for reuse.
const maxFreeJobs = 4096

func (co *Core) forgetJob(jo *job) {
	delete(co.jobs, jo.id)
	co.forgetTeam(jo.tm)
	co.forgetService(jo.sv)
	if len(co.freeJobs) < maxFreeJobs && cap(jo.run) <= 64 {
		*jo = job{run: jo.run[:0], retry: jo.retry[:0], orderPos: -1, deadlinePos: -1}
		co.freeJobs = append(co.freeJobs, jo)
	}
}

// finish ends a job. Its queued tasks are dropped in O(log n), its running tasks are stopped; their slots stay used
// until they have ended.
func (co *Core) finish(jo *job, outcome lovagejob.Outcome, reason string, retryAt time.Time) {
	co.dequeue(jo)
	jo.ended = true
	jo.retry = jo.retry[:0]
	if outcome != lovagejob.Complete && jo.started == 0 {
		outcome = lovagejob.NotRun
	}
	if outcome != lovagejob.NotRun {
		retryAt = time.Time{}
	}
	for i := range jo.run {
		co.emit(StopTask{Job: jo.id, Task: int(jo.run[i].task), Worker: jo.run[i].wo.spec.ID})
	}
	co.emit(FinishJob{Job: jo.id, Outcome: outcome, Reason: reason, RetryAt: retryAt, Started: int(jo.started)})
	if len(jo.run) == 0 {
		co.forgetJob(jo)
	}
}

func (co *Core) cancel(id uint64) {
	if jo := co.jobs[id]; jo != nil && !jo.ended {
		co.finish(jo, lovagejob.Cancelled, "cancelled by the caller", time.Time{})
	}
}

// expire ends the queued jobs whose deadline has passed. A job whose tasks are all in flight ends with them.
func (co *Core) expire() {
	for co.deadlines.len() > 0 {
		jo := co.deadlines.top().item
		if jo.deadline > co.now {
			return
		}
		co.counters.JobsExpired++
		reason := fmt.Sprintf("deadline passed with %d of %d tasks not started", jo.queuedTasks(), jo.tasks)
		co.finish(jo, lovagejob.Failed, reason, co.retryAfter(co.taskTime(jo.sv, jo.declared)))
	}
}

// start gives a task of the job to the worker.
func (co *Core) start(jo *job, wo *worker, runTime float64) {
	task := jo.takeTask()
	ru := running{
		task: task, wo: wo, start: co.now, rate: rateOf(runTime * wo.factor),
		probe: wo.health.state == probing,
	}
	jo.run = append(jo.run, ru)
	jo.started++
	jo.waitUntil = 0
	if ru.probe {
		wo.health.probeOut = true
		co.counters.Probes++
	}
	wo.addRate(ru.rate)
	wo.used++
	wo.lastTurn = co.nextTurn()
	co.running++
	jo.sv.running++
	jo.sv.addRetries(co.retryRatio(jo.sv), co.se.RetryBurst)
	co.charge(jo, runTime*wo.factor)
	co.tookFromQueue(jo)
	co.emit(StartTask{Job: jo.id, Task: int(task), Worker: wo.spec.ID})
	co.update(wo)
}

// nextTurn numbers the starts.
func (co *Core) nextTurn() float64 {
	co.starts++
	return float64(co.starts)
}

func (jo *job) findRunning(task int, worker string) int {
	for i := range jo.run {
		if int(jo.run[i].task) == task && jo.run[i].wo.spec.ID == worker {
			return i
		}
	}
	return -1
}

// taskEnded frees the slot of a task and lets its state count for the job, the service, the team and the worker.
func (co *Core) taskEnded(ev TaskEnded) {
	jo := co.jobs[ev.Job]
	if jo == nil {
		return
	}
	i := jo.findRunning(ev.Task, ev.Worker)
	if i < 0 {
		return
	}
	ru := jo.run[i]
	last := len(jo.run) - 1
	jo.run[i] = jo.run[last]
	jo.run[last] = running{}
	jo.run = jo.run[:last]
	wo := ru.wo
	co.freeSlot(jo, ru)
	if ev.Leaving {
		co.workerLeaving(wo.spec.ID)
	}
	switch ev.State {
	case Succeeded:
		co.learn(jo.sv, wo, time.Duration(co.now-ru.start))
		co.judgeSuccess(wo, jo, ru.probe)
	case NotStarted:
		co.counters.NotStarted++
		if !ev.Leaving {
			co.refused(wo)
		}
	case Failed, Unknown:
		if !jo.ended {
			co.judgeFailure(wo, jo, ru.probe)
		}
	}
	if ru.probe && wo.health.state == probing {
		wo.health.probeOut = false // inconclusive: the next task is a probe again
	}
	co.update(wo)
	if jo.ended {
		if len(jo.run) == 0 {
			co.forgetJob(jo)
		}
		return
	}
	co.advance(jo, ev)
}

// advance lets the end of a task count for its job.
func (co *Core) advance(jo *job, ev TaskEnded) {
	switch ev.State {
	case Succeeded:
		jo.done++
		if jo.done == jo.tasks {
			co.finish(jo, lovagejob.Complete, "", time.Time{})
		}
	case NotStarted:
		jo.started--
		// Refusing a job that has started would lose it, so it is retried beyond the budget. So is any job under Central: a
		// refusal then says that another instance decides for the same slots, as after a partition, and nothing about the
		// job. The back-off of the workers and the job's deadline bound that.
		if ev.Leaving || jo.sv.takeRetry() || jo.started > 0 || co.se.Policy == Central {
			co.counters.Retries++
			jo.retry = append(jo.retry, int32(ev.Task))
			co.enqueue(jo, 1)
			co.watchDeadline(jo)
			return
		}
		reason := fmt.Sprintf("task %d was not started by worker %s and the retry budget of service %q is used up: %s",
			ev.Task, ev.Worker, jo.sv.spec.Name, ev.Err)
		co.finish(jo, lovagejob.Failed, reason, co.retryAfter(co.taskTime(jo.sv, jo.declared)))
	case Failed, Unknown:
		co.finish(jo, lovagejob.Failed, failureReason(ev), time.Time{})
	}
}

func failureReason(ev TaskEnded) string {
	if ev.State == Unknown {
		return fmt.Sprintf("task %d: outcome on worker %s is unknown: %s", ev.Task, ev.Worker, ev.Err)
	}
	return fmt.Sprintf("task %d failed on worker %s: %s", ev.Task, ev.Worker, ev.Err)
}

func (co *Core) freeSlot(jo *job, ru running) {
	ru.wo.addRate(-ru.rate)
	ru.wo.used--
	co.running--
	jo.sv.running--
	co.teamTaskEnded(jo.tm)
	co.forgetGone(ru.wo)
}
