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

// job is an admitted submission.
type job struct {
	id       uint64
	key      lovagejob.Key
	keyText  string
	sub      *lovagejob.Submission
	span     trace.SpanContext // parent of the task spans
	admitted time.Time
	results  []lovagejob.TaskResult
	running  map[int]context.CancelFunc
	ended    bool
}

// queueFullRetry is how long a caller is asked to wait when the instance holds as many jobs as it may.
const queueFullRetry = time.Second

// admit submits the job of an admitted key to the dispatch core.
func (lo *controlLoop) admit(cm lovageledger.Admit) {
	ps := lo.submissions[cm.Key]
	if ps == nil {
		// Nothing of the job was started and nothing can be, so refusing the key for good is correct.
		lo.refuse(lovagejob.Answer{Key: cm.Key, Reason: "the submission's content is no longer held"})
		return
	}
	if limit := lo.in.settings.Limits.QueuedJobs; len(lo.jobsByKey) >= limit {
		delete(lo.submissions, cm.Key)
		lo.refuse(lovagejob.Answer{
			Key: cm.Key, Tasks: len(ps.sub.Tasks), RetryAt: lo.now.Add(queueFullRetry),
			Reason: fmt.Sprintf("the instance holds %d jobs, which is its limit", limit),
		})
		return
	}
	lo.in.reportStep(StepQueue)
	delete(lo.submissions, cm.Key)
	lo.lastJob++
	jo := &job{
		id: lo.lastJob, key: cm.Key, keyText: cm.Key.String(), sub: ps.sub,
		span: trace.SpanContextFromContext(ps.ctx), admitted: lo.now,
		results: make([]lovagejob.TaskResult, len(ps.sub.Tasks)),
		running: make(map[int]context.CancelFunc),
	}
	lo.jobs[jo.id] = jo
	lo.jobsByKey[cm.Key] = jo
	lo.in.counts.admitted.Inc(1)
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

// refuse ends an admitted job that the dispatch core was not given, so that nothing of it was started.
func (lo *controlLoop) refuse(ans lovagejob.Answer) {
	ans.Outcome = lovagejob.NotRun
	lo.stepLedger(&lovageledger.JobEnded{Key: ans.Key, Answer: ans})
}

func (lo *controlLoop) cancelJob(cm lovageledger.CancelJob) {
	if jo := lo.jobsByKey[cm.Key]; jo != nil {
		lo.stepCore(lovagedispatch.Cancel{Job: jo.id})
	}
}

// startTask sends a task to a worker from a goroutine of its own.
func (lo *controlLoop) startTask(cm lovagedispatch.StartTask) {
	jo := lo.jobs[cm.Job]
	wo, ok := lo.workers[cm.Worker]
	if jo == nil || !ok {
		// The core knows only the jobs and workers that it was given, so the worker's pool has just
		// changed. Nothing was sent.
		lo.in.counts.tasksNotSent.Inc(1)
		go (&coreEvent{in: lo.in, ev: lovagedispatch.TaskEnded{
			Job: cm.Job, Task: cm.Task, Worker: cm.Worker, State: lovagedispatch.NotStarted, Err: "worker is not declared",
		}}).run()
		return
	}
	lo.in.reportStep(StepChoose)
	ctx, cancel := context.WithCancel(trace.ContextWithSpanContext(lo.in.lifetimeContext(), jo.span))
	lo.in.tracer.Record(ctx, lovagetrace.QueueWait, jo.admitted, lo.now)
	jo.running[cm.Task] = cancel
	lo.in.counts.tasksStarted.Inc(1)
	tr := &taskRun{
		lo: lo, job: cm.Job, task: cm.Task, worker: cm.Worker, ctx: ctx, cancel: cancel,
		req: lovagebackend.Request{
			Worker: cm.Worker, Address: wo.address, MaxConns: connectionLimit(wo.connections, wo.declared.Slots, lo.sharingInstances),
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
	if limit := lo.services[jo.sub.Service].maxRunTime; limit > 0 && lo.now.Add(limit).Before(deadline) {
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

// taskRun is one task at a worker. run sends it and reports its end to the control loop.
type taskRun struct {
	lo     *controlLoop
	job    uint64
	task   int
	worker string
	ctx    context.Context
	cancel context.CancelFunc
	req    lovagebackend.Request
	res    lovagebackend.Result
	took   time.Duration
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
	tr.took = time.Since(started)
	// The control loop must learn of the end of a cancelled task too, so this does not use tr.ctx.
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
		}
	}
	lo.in.counts.taskEnded(tr.res.State, tr.took)
	if tr.res.Leaving {
		lo.workerReportedLeaving(tr.worker)
	}
	lo.stepCore(ev)
	if jo != nil {
		lo.releaseEndedJob(jo)
	}
}

// finishJob reports the outcome of a job to the ledger.
func (lo *controlLoop) finishJob(cm lovagedispatch.FinishJob) {
	jo := lo.jobs[cm.Job]
	if jo == nil || jo.ended {
		return
	}
	jo.ended = true
	ans := lovagejob.Answer{
		Key: jo.key, Outcome: cm.Outcome, Reason: cm.Reason, RetryAt: cm.RetryAt, Tasks: len(jo.sub.Tasks), Started: cm.Started,
	}
	if cm.Outcome == lovagejob.Complete {
		ans.Results = jo.results
	}
	jo.results = make([]lovagejob.TaskResult, len(jo.sub.Tasks)) // late results must not reach the answer
	delete(lo.jobsByKey, jo.key)
	lo.stepLedger(&lovageledger.JobEnded{Key: jo.key, Answer: ans})
	lo.releaseEndedJob(jo)
}

// releaseEndedJob drops an ended job once no task of it is at a worker.
func (lo *controlLoop) releaseEndedJob(jo *job) {
	if jo.ended && len(jo.running) == 0 && lo.jobs[jo.id] == jo {
		delete(lo.jobs, jo.id)
		lo.in.openJobs.add(-1)
	}
}
