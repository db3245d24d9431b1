package lovagepool

import (
	"iter"
	"slices"
	"time"
)

// A caller may cancel its job by ID at any instance, which asks every owner. An owner cancels what it has of the job and remembers the
// ID, because the job may still be on its way to it, be forwarded to it, or be submitted again by its caller.

const (
	// cancelRetention is how long cancelled IDs are remembered. Callers submit a job again up to seconds after its answer.
	cancelRetention = time.Minute
	// maxCancelledJobs bounds the memory for them, to 3 MB. The oldest are forgotten first, which is safe while they are older than a copy
	// of a job can be under way between instances (0.6 s).
	maxCancelledJobs = 1 << 14
)

// jobKey is what a caller names a job by.
type jobKey struct{ queue, id string }

// cancelledJob is a job whose cancellation was requested.
type cancelledJob struct {
	at    time.Time
	known bool // the job was here and has been cancelled, or has arrived since and was refused
}

// CancelJob cancels all submissions of a job and the tasks of it that peers have offloaded, and refuses those that arrive later. It
// returns the Refs of what is here: a JobStopped follows for each. It reports whether the job was here earlier and has been cancelled.
//
// The submitter gets Cancelled once no run of the job can be active any more, at its caller's deadline at the latest, or Completed if all
// tasks have ended as done before they could be stopped.
func (po *Pool) CancelJob(now time.Time, queue, id string) (refs []string, before bool) {
	key := jobKey{queue, id}
	before = po.cancelledJobs[key].known
	po.rememberCancelled(now, key)
	for _, jo := range slices.Clone(po.jobList) {
		if jo.Work.ID != id || jo.Work.Queue != queue {
			continue
		}
		refs = append(refs, jo.Ref)
		jo.cancelled = true
		if jo.ended {
			continue // its runs are being stopped
		}
		po.recordDecision(Decision{
			Kind: "jobCancelledByID", Job: id, Ref: jo.Ref, Reason: "its caller has cancelled it", Age: now.Sub(jo.Work.Arrived),
		})
		if jo.Offloaded != nil {
			po.stopRuns(now, jo)
			po.declineWaiting(jo)
			continue
		}
		jo.answerOnStop = true
		po.cancelJob(now, jo)
	}
	return refs, before
}

// NoteCancelled records jobs, by queue and ID, that were cancelled at other instances. It cancels those that have arrived before the note.
func (po *Pool) NoteCancelled(now time.Time, jobs iter.Seq2[string, string]) {
	for queue, id := range jobs {
		po.rememberCancelled(now, jobKey{queue, id})
	}
	for _, jo := range slices.Clone(po.jobList) {
		if _, ok := po.cancelledJobs[jobKey{jo.Work.Queue, jo.Work.ID}]; ok && !jo.cancelled {
			po.CancelJob(now, jo.Work.Queue, jo.Work.ID)
		}
	}
}

// CancelledJobs calls yield with the queue and ID of each job whose cancellation is remembered, oldest first.
func (po *Pool) CancelledJobs(yield func(queue, id string)) {
	for _, key := range po.cancelOrder {
		yield(key.queue, key.id)
	}
}

func (po *Pool) rememberCancelled(now time.Time, key jobKey) {
	if _, ok := po.cancelledJobs[key]; ok {
		return
	}
	po.cancelledJobs[key] = cancelledJob{at: now}
	po.cancelOrder = append(po.cancelOrder, key)
	if len(po.cancelOrder) > maxCancelledJobs {
		delete(po.cancelledJobs, po.cancelOrder[0])
		po.cancelOrder = po.cancelOrder[1:]
		po.Counts["cancelForgotten"]++
	}
}

func (po *Pool) forgetCancelledJobs(now time.Time) {
	for len(po.cancelOrder) > 0 && now.Sub(po.cancelledJobs[po.cancelOrder[0]].at) > cancelRetention {
		delete(po.cancelledJobs, po.cancelOrder[0])
		po.cancelOrder = po.cancelOrder[1:]
	}
}

// markKnown records that a cancelled job was here.
func (po *Pool) markKnown(key jobKey) {
	if cj, ok := po.cancelledJobs[key]; ok {
		cj.known = true
		po.cancelledJobs[key] = cj
	}
}

// refuseCancelled answers a job that has been cancelled before it arrived, and reports whether it was. Tasks of a peer's job are
// declined.
func (po *Pool) refuseCancelled(now time.Time, jo *Job) bool {
	key := jobKey{jo.Work.Queue, jo.Work.ID}
	if _, ok := po.cancelledJobs[key]; !ok {
		return false
	}
	po.markKnown(key)
	po.recordDecision(Decision{
		Kind: "cancelledJobRefused", Job: jo.Work.ID, Ref: jo.Ref, Reason: "its caller has cancelled it", Age: now.Sub(jo.Work.Arrived),
	})
	jo.buildTasks()
	outcome := Cancelled
	if jo.Offloaded != nil {
		outcome = NotRun
	}
	po.emitAnswer(jo, FinishJob{Outcome: outcome, Reason: "cancelled by its caller"})
	return true
}

// answerCancelled answers a job that its caller has cancelled, unless it has been answered.
func (po *Pool) answerCancelled(jo *Job) {
	if !jo.answerOnStop {
		return
	}
	jo.answerOnStop = false
	if jo.allDone() {
		po.emitAnswer(jo, FinishJob{Outcome: Completed})
		return
	}
	po.markKnown(jobKey{jo.Work.Queue, jo.Work.ID})
	po.emitAnswer(jo, FinishJob{Outcome: Cancelled, Reason: "cancelled by its caller"})
}

// allDone reports whether all tasks have ended as done.
func (jo *Job) allDone() bool {
	return !slices.ContainsFunc(jo.tasks, func(ta *task) bool {
		return ta.state != taskDone || jo.Offloaded != nil && ta.outcome != RunDone
	})
}
