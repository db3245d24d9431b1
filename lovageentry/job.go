package lovageentry

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	"lovagestack/lovagebackend"
	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovagetrace"
)

// job is a submission whose key has been admitted.
type job struct {
	id         uint64
	key        lovagejob.Key
	keyText    string
	sub        *lovagejob.Submission
	span       trace.SpanContext // parent of the tasks' spans
	admittedAt time.Time
	results    []lovagejob.TaskResult
	running    map[int]context.CancelFunc // cancel functions of the tasks at workers, by task index
	started    bool                       // a task was given to a worker
	givenUp    bool                       // dropped for lack of memory, before any task was started
	ended      bool                       // the outcome was reported to the ledger

	contentBytes int64 // memory of the submission
	resultBytes  int64 // memory of the results so far
}

// queueFullRetry is how long a caller should wait before a retry if the instance has its maximum number of jobs.
const queueFullRetry = time.Second

// admit submits the job of an admitted key to the dispatch core. It refuses the job if the submission's content is no
// longer stored or the instance has too many jobs.
func (lo *controlLoop) admit(cm lovageledger.Admit) {
	id := submissionID{cm.Key, cm.Fingerprint}
	ps := lo.submissions[id]
	if ps == nil {
		// No task of the job was or can be started, so refusing the key for good is correct.
		lo.refuse(lovagejob.Answer{
			Key: cm.Key, Reason: "the submission's content is not held; there may be no room for it", RetryAt: lo.now.Add(noContentRetry),
		})
		return
	}
	if limit := lo.in.settings.Limits.QueuedJobs; len(lo.jobsByKey) >= limit {
		lo.dropSubmission(id)
		lo.refuse(lovagejob.Answer{
			Key: cm.Key, Tasks: len(ps.sub.Tasks), RetryAt: lo.now.Add(queueFullRetry),
			Reason: fmt.Sprintf("the instance holds %d jobs, which is its limit", limit),
		})
		return
	}
	lo.in.reportStep(StepQueue)
	delete(lo.submissions, id)
	lo.lastJobID++
	jo := &job{
		id: lo.lastJobID, key: cm.Key, keyText: cm.Key.String(), sub: ps.sub,
		span: trace.SpanContextFromContext(ps.ctx), admittedAt: lo.now,
		results: make([]lovagejob.TaskResult, len(ps.sub.Tasks)),
		running: make(map[int]context.CancelFunc), contentBytes: ps.contentBytes,
	}
	lo.jobs[jo.id] = jo
	lo.jobsByKey[cm.Key] = jo
	lo.in.counts.jobsAdmitted.Inc(1)
	lo.in.openJobs.add(1)
	if lo.expandFor(jo.sub) {
		lo.updateWorkers()
	}
	lo.stepCore(lovagedispatch.Submit{
		Job: jo.id, Service: ps.sub.Service, Team: ps.sub.Team, Deadline: ps.sub.Deadline,
		DeclaredRunTime: ps.sub.DeclaredRunTime, DeclaredCores: ps.sub.DeclaredCores,
		DeclaredMemoryBytes: ps.sub.DeclaredMemoryBytes, DeclaredAccelerators: ps.sub.DeclaredAccelerators,
		Tasks: len(ps.sub.Tasks),
	})
}

// refuse ends an admitted job as NotRun. The dispatch core did not get the job, so none of the job's tasks was started.
func (lo *controlLoop) refuse(ans lovagejob.Answer) {
	ans.Outcome = lovagejob.NotRun
	lo.stepLedger(&lovageledger.JobEnded{Key: ans.Key, Answer: ans})
}

func (lo *controlLoop) cancelJob(cm lovageledger.CancelJob) {
	if jo := lo.jobsByKey[cm.Key]; jo != nil {
		lo.stepCore(lovagedispatch.Cancel{Job: jo.id})
	}
}

// startTask sends a task to a worker on a new goroutine.
func (lo *controlLoop) startTask(cm lovagedispatch.StartTask) {
	jo := lo.jobs[cm.Job]
	wo, ok := lo.workers[cm.Worker]
	if jo == nil || !ok {
		// The dispatch core knows only jobs and workers from the control loop, so the worker's pool has just changed.
		// Nothing was sent to the worker.
		lo.in.counts.tasksNotSent.Inc(1)
		go (&coreEvent{in: lo.in, ev: lovagedispatch.TaskEnded{
			Job: cm.Job, Task: cm.Task, Worker: cm.Worker, State: lovagedispatch.NotStarted, Err: "worker is not declared",
		}}).run()
		return
	}
	jo.started = true
	lo.in.reportStep(StepChoose)
	ctx, cancel := context.WithCancel(trace.ContextWithSpanContext(lo.in.lifetimeContext(), jo.span))
	lo.in.tracer.Record(ctx, lovagetrace.QueueWait, jo.admittedAt, lo.now)
	jo.running[cm.Task] = cancel
	lo.in.counts.tasksStarted.Inc(1)
	tr := &taskRun{
		lo: lo, job: cm.Job, task: cm.Task, worker: cm.Worker, ctx: ctx, cancel: cancel,
		req: lovagebackend.Request{
			Worker: cm.Worker, Address: wo.address, MaxConns: connectionLimit(wo.maxConnections, wo.declared.Slots, lo.sharingInstances),
			Service:  jo.sub.Service,
			Task:     jo.keyText + "/" + strconv.Itoa(cm.Task),
			Epoch:    fmt.Sprintf("%s/%d/%d", jo.key.DataCentre, jo.key.Range, jo.key.Epoch),
			Deadline: lo.taskDeadline(jo), Payload: jo.sub.Tasks[cm.Task].Payload,
		},
	}
	go tr.run()
}

// taskDeadline returns the time at which a task that starts now is stopped.
func (lo *controlLoop) taskDeadline(jo *job) time.Time {
	deadline := jo.sub.Deadline
	if limit := lo.serviceRunLimits[jo.sub.Service].maxRunTime; limit > 0 && lo.now.Add(limit).Before(deadline) {
		deadline = lo.now.Add(limit)
	}
	return deadline
}

func (lo *controlLoop) stopTask(cm lovagedispatch.StopTask) {
	if jo := lo.jobs[cm.Job]; jo != nil {
		if cancel := jo.running[cm.Task]; cancel != nil {
			cancel()
		}
	}
}

// taskRun executes one task at a worker. The method run sends the task and posts the result to the control loop.
type taskRun struct {
	lo       *controlLoop
	job      uint64
	task     int
	worker   string
	ctx      context.Context
	cancel   context.CancelFunc
	req      lovagebackend.Request
	res      lovagebackend.Result
	duration time.Duration
}

func (tr *taskRun) run() {
	defer tr.cancel()
	started := time.Now()
	ctx, span := tr.lo.in.tracer.Start(tr.ctx, lovagetrace.WorkerCall)
	span.SetString("task", tr.req.Task)
	span.SetString("worker", tr.worker)
	tr.lo.in.reportStep(StepWriteRequest)
	tr.res = tr.lo.in.backend.Run(ctx, tr.req)
	tr.lo.in.reportStep(StepReadReply)
	span.End(tr.res.Err)
	tr.duration = time.Since(started)
	// The control loop must also learn the end of a cancelled task, so post does not use tr.ctx.
	tr.lo.post(tr.lo.in.lifetimeContext(), tr)
}

func (tr *taskRun) apply(lo *controlLoop) {
	jo := lo.jobs[tr.job]
	ev := lovagedispatch.TaskEnded{
		Job: tr.job, Task: tr.task, Worker: tr.worker, State: lovagedispatch.TaskState(tr.res.State), Leaving: tr.res.Leaving,
	}
	if tr.res.Err != nil {
		ev.Err = tr.res.Err.Error()
	} else if tr.res.State == lovagebackend.Failed {
		ev.Err = fmt.Sprintf("worker replied with status %d", tr.res.Status)
	}
	if jo != nil {
		delete(jo.running, tr.task)
		if tr.res.State == lovagebackend.Succeeded {
			jo.results[tr.task] = lovagejob.TaskResult{
				Task: tr.task, Worker: tr.worker, Status: tr.res.Status, Body: tr.res.Body,
			}
			lo.content.used += int64(len(tr.res.Body))
			jo.resultBytes += int64(len(tr.res.Body))
		}
	}
	lo.in.counts.taskEnded(tr.res.State, tr.duration)
	if tr.res.Leaving {
		lo.workerReportedLeaving(tr.worker)
	}
	lo.stepCore(ev)
	if jo != nil {
		lo.releaseEndedJob(jo)
	}
}

// finishJob reports a job's outcome to the ledger.
func (lo *controlLoop) finishJob(cm lovagedispatch.FinishJob) {
	jo := lo.jobs[cm.Job]
	if jo == nil || jo.ended {
		return
	}
	jo.ended = true
	ans := lovagejob.Answer{
		Key: jo.key, Outcome: cm.Outcome, Reason: cm.Reason, RetryAt: cm.RetryAt, Tasks: len(jo.sub.Tasks), Started: cm.Started,
	}
	if jo.givenUp && cm.Outcome == lovagejob.Cancelled && cm.Started == 0 {
		ans.Outcome, ans.Reason, ans.RetryAt = lovagejob.NotRun, "there is no room for the submission's content", lo.now.Add(noContentRetry)
	}
	if cm.Outcome == lovagejob.Complete {
		ans.Results = jo.results
	}
	jo.results = make([]lovagejob.TaskResult, len(jo.sub.Tasks)) // later results must not get into the answer
	delete(lo.jobsByKey, jo.key)
	lo.stepLedger(&lovageledger.JobEnded{Key: jo.key, Answer: ans})
	lo.releaseEndedJob(jo)
}

// giveUp ends a job of which no task was started as NotRun.
func (lo *controlLoop) giveUp(jo *job) {
	jo.givenUp = true
	lo.in.counts.jobsGivenUp.Inc(1)
	lo.stepCore(lovagedispatch.Cancel{Job: jo.id})
}

// releaseEndedJob removes an ended job once none of its tasks is at a worker.
func (lo *controlLoop) releaseEndedJob(jo *job) {
	if jo.ended && len(jo.running) == 0 && lo.jobs[jo.id] == jo {
		delete(lo.jobs, jo.id)
		lo.content.remove(jo.contentBytes)
		lo.content.used -= jo.resultBytes
		lo.in.openJobs.add(-1)
	}
}
