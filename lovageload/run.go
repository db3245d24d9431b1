package lovageload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
)

// Target is the system under test.
type Target interface {
	// Submit submits a job and waits for its answer. If the submission has no key, the target assigns one.
	Submit(ctx context.Context, sub *lovagejob.Submission) (lovagejob.Answer, error)
	// Mint returns a key for a job that the run will cancel.
	Mint(ctx context.Context, repeatable bool) (lovagejob.Key, error)
	// Cancel cancels the job with the key.
	Cancel(ctx context.Context, key lovagejob.Key) error
}

// Options configure a run.
type Options struct {
	Name   string // labels the row in tables and the line in plots
	Model  Model
	Target Target

	RoundTrip   time.Duration   // network round trip between caller and worker, included in the ideal response time
	FreeWorkers func() []Worker // returns the workers with their free slots; called before each job is sent
	AllWorkers  []Worker        // workers with all their slots, for Report.ResponseOverBound; may be empty
	Messages    func() Messages // returns counts of the messages sent so far; may be nil
	WarmUp      time.Duration   // jobs with an earlier intended send time are sent but not measured

	MaxOutstanding int           // maximum number of jobs in progress; further jobs get OutcomeNotSent; default 20000
	AnswerTimeout  time.Duration // how long to wait for an answer after the job's deadline; default 10 s
}

func (op Options) withDefaults() Options {
	if op.MaxOutstanding <= 0 {
		op.MaxOutstanding = 20000
	}
	if op.AnswerTimeout <= 0 {
		op.AnswerTimeout = 10 * time.Second
	}
	return op
}

// Run sends the jobs of the model and waits for their answers. If ctx is done first, Run returns only the error of ctx.
func Run(ctx context.Context, op Options) (*Report, error) {
	op = op.withDefaults()
	if op.Target == nil || op.FreeWorkers == nil {
		return nil, errors.New("a load run needs the options Target and FreeWorkers")
	}
	jobs, err := op.Model.Jobs()
	if err != nil {
		return nil, errors.Wrap(err, "generate the jobs")
	}
	ru := &run{op: op, rec: newRecorder(), start: time.Now()}
	if op.Messages != nil && op.WarmUp <= 0 {
		ru.messagesBefore = op.Messages()
	}
	ru.sendJobs(ctx, jobs)
	ru.wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "load run")
	}
	re := ru.rec.report()
	re.Name, re.Rate, re.Seed = op.Name, op.Model.Rate, op.Model.Seed
	if op.Messages != nil {
		re.Messages = op.Messages().sub(ru.messagesBefore)
	}
	return re, nil
}

// run is a load run in progress.
type run struct {
	op             Options
	rec            *recorder
	start          time.Time
	messagesBefore Messages
	outstanding    atomic.Int64
	wg             sync.WaitGroup
}

// sendJobs sends each job at its intended send time.
func (ru *run) sendJobs(ctx context.Context, jobs []Job) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	warmedUp := ru.op.WarmUp <= 0
	for i := range jobs {
		jo := &jobs[i]
		if wait := time.Until(ru.start.Add(jo.SendAt)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		if !warmedUp && jo.SendAt >= ru.op.WarmUp {
			warmedUp = true
			if ru.op.Messages != nil {
				ru.messagesBefore = ru.op.Messages()
			}
		}
		me := measurement{job: jo, afterWarmUp: warmedUp, sendDelay: time.Since(ru.start.Add(jo.SendAt))}
		if ru.outstanding.Load() >= int64(ru.op.MaxOutstanding) {
			me.outcome = OutcomeNotSent
			ru.rec.add(me)
			continue
		}
		work := taskWork(jo)
		me.idealResponse = IdealResponseTime(ru.op.RoundTrip, work, ru.op.FreeWorkers())
		if len(ru.op.AllWorkers) > 0 {
			me.responseBound = ResponseTimeBound(ru.op.RoundTrip, work, ru.op.AllWorkers)
		}
		ru.outstanding.Add(1)
		oj := &outstandingJob{ru: ru, ctx: ctx, me: me}
		ru.wg.Go(oj.run)
	}
}

func taskWork(jo *Job) []time.Duration {
	out := make([]time.Duration, len(jo.Tasks))
	for i, ta := range jo.Tasks {
		out[i] = ta.Work()
	}
	return out
}

// outstandingJob is a job between its send time and its answer.
type outstandingJob struct {
	ru  *run
	ctx context.Context // context of the load run
	me  measurement
}

// run submits the job and records its measurement. The response time counts from the intended send time.
func (oj *outstandingJob) run() {
	ru, me := oj.ru, oj.me
	defer ru.outstanding.Add(-1)
	ctx, cancel := context.WithDeadline(oj.ctx, ru.start.Add(me.job.Deadline+ru.op.AnswerTimeout))
	defer cancel()
	answer, err := ru.submitJob(ctx, me.job)
	me.response = time.Since(ru.start.Add(me.job.SendAt))
	me.outcome = string(answer.Outcome)
	if err != nil {
		me.outcome = OutcomeError
	}
	ru.rec.add(me)
}

func (ru *run) submitJob(ctx context.Context, jo *Job) (lovagejob.Answer, error) {
	sub, err := jo.Submission(ru.start)
	if err != nil {
		return lovagejob.Answer{}, err
	}
	if jo.CancelAt > 0 {
		if sub.Key, err = ru.op.Target.Mint(ctx, jo.Repeatable); err != nil {
			return lovagejob.Answer{}, errors.Wrap(err, "mint a key")
		}
		stop := ru.scheduleCancel(ctx, jo, sub.Key)
		defer stop()
	}
	answer, err := ru.op.Target.Submit(ctx, sub)
	return answer, errors.Wrap(err, "submit a job")
}

// scheduleCancel cancels a job at its CancelAt. The returned function stops the timer, or waits for a cancellation that has
// already started.
func (ru *run) scheduleCancel(ctx context.Context, jo *Job, key lovagejob.Key) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(time.Until(ru.start.Add(jo.CancelAt)), func() {
		defer close(done)
		if err := ru.op.Target.Cancel(ctx, key); err != nil {
			ru.rec.cancelFailed.Add(1)
		}
	})
	return func() {
		if !timer.Stop() {
			<-done
		}
	}
}
