package lovagetrial

import (
	"slices"
	"time"

	"lovagestack/lovagefake"
	"lovagestack/lovageplatform"
)

// Limits of invariant 6 (a leaving worker soon gets no more tasks) in a cell.
const (
	// listedLeavingLimit applies if only the platform's list shows that a worker is leaving. It is the 3 s of invariant 6,
	// because ShortTiming does not scale the interval of 2 s at which instances read the list.
	listedLeavingLimit = 3 * time.Second
	// reportedLeavingLimit applies if a worker's replies say that it is leaving. The 3 s of invariant 6 are three heartbeats,
	// which take 0.3 s under ShortTiming; the rest allows for goroutines that wait for a processor while cells run in
	// parallel.
	reportedLeavingLimit = time.Second
	// workAfterLimit is how long work goes on after such a limit has passed, so that a task sent too late is recorded.
	workAfterLimit = 300 * time.Millisecond
	// leavingSignTimeout is the time without a sign of leaving after which another worker leaves, too. A worker without
	// tasks sends no replies and so gives no sign.
	leavingSignTimeout = 2 * time.Second
)

// faultsDelayingSign are the faults that can prevent an instance from learning that a worker is leaving, or end the
// process that has learned it. The limit starts no earlier than the end of these faults.
var faultsDelayingSign = []Fault{
	FaultPause, FaultLinksCut, FaultSilentConnection, FaultReplyLost, FaultLateReply, FaultPartition, FaultKill,
	FaultKillOwnerAndReplica,
}

// leavingWorker is the worker that leaves: at first the faster one of the two in the first data centre.
func (run *cellRun) leavingWorker() *Worker { return run.de.workers[run.leavingIndex.Load()] }

// makeUsedWorkerLeave makes the worker leave that got the latest task. The first leaving worker gets none if the
// deciding instance has learned that another is faster. Invariant 6 would then not be checked.
func (run *cellRun) makeUsedWorkerLeave() {
	var id string
	run.de.evidence.update(func(ev *Evidence) {
		if n := len(ev.Offers); n > 0 {
			id = ev.Offers[n-1].Worker
		}
	})
	index := slices.IndexFunc(run.de.workers, func(wo *Worker) bool { return wo.ID == id })
	if index <= 0 || !run.leavingIndex.CompareAndSwap(0, int64(index)) {
		return
	}
	for _, sg := range run.allStages() {
		for _, fa := range sg.Faults {
			run.beginLeaving(fa)
		}
	}
}

func (run *cellRun) beginLeaving(fa Fault) {
	wo := run.leavingWorker()
	switch fa {
	case FaultLeavingByList:
		in := wo.Instance()
		in.State = lovageplatform.StateLeaving
		run.de.platform.PutInstance(in)
		run.mu.Lock()
		run.leavingListedAt = time.Now()
		run.mu.Unlock()
	case FaultLeavingByHeader:
		run.changeWorkerFaults(wo, func(wf *lovagefake.WorkerFaults) { wf.Leaving = true })
	case FaultLeavingByRefusal:
		run.changeWorkerFaults(wo, func(wf *lovagefake.WorkerFaults) { wf.Leaving, wf.Refuse = true, true })
	}
}

// recordLeavingReply records when a worker replies that it is leaving.
func (run *cellRun) recordLeavingReply(worker string, leaving bool) {
	if !leaving {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.leavingReplies = append(run.leavingReplies, time.Now())
}

// leavingRecord returns the record for checkLeaving, or false if there was no sign yet. The limit starts no earlier than
// notBefore: the end of the cell's faultsDelayingSign, or zero.
func (run *cellRun) leavingRecord(notBefore time.Time) (LeavingRecord, bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	out := LeavingRecord{Worker: run.leavingWorker().ID, Limit: reportedLeavingLimit}
	if !run.leavingListedAt.IsZero() {
		out.Since, out.Limit = run.leavingListedAt, listedLeavingLimit
		if notBefore.After(run.leavingListedAt) {
			out.Since = notBefore
		}
	}
	earlySign := false
	for _, signTime := range run.leavingReplies {
		if signTime.Before(notBefore) {
			earlySign = true
			continue
		}
		if out.Since.IsZero() || signTime.Add(reportedLeavingLimit).Before(out.Since.Add(out.Limit)) {
			out.Since, out.Limit = signTime, reportedLeavingLimit
		}
	}
	if out.Since.IsZero() && earlySign && time.Since(notBefore) > reportedLeavingLimit {
		out.Since = notBefore // no sign since the faults ended, so every instance knows the earlier one
	}
	return out, !out.Since.IsZero()
}

// awaitLeaving lets the work go on until some worker gets a task after the limit, so that invariant 6 can be checked.
func (run *cellRun) awaitLeaving() {
	if !run.hasAnyFault(FaultLeavingByList, FaultLeavingByHeader, FaultLeavingByRefusal) {
		return
	}
	var notBefore time.Time
	if run.hasAnyFault(faultsDelayingSign...) || run.hasAnyFault(FaultStoreDown) && run.hasAnyFault(FaultLeavingByList) {
		notBefore = time.Now() // links work, and ended processes have been restarted
	}
	began := time.Now()
	for end := began.Add(stepTimeout); time.Now().Before(end); _ = pauseFor(run.ctx, pollInterval) {
		le, ok := run.leavingRecord(notBefore)
		if !ok && time.Since(began) > leavingSignTimeout {
			run.makeUsedWorkerLeave()
		}
		limitEnd := le.Since.Add(le.Limit)
		if !ok || time.Now().Before(limitEnd.Add(workAfterLimit)) {
			continue
		}
		offeredAfter := false
		run.de.evidence.update(func(ev *Evidence) {
			offeredAfter = slices.ContainsFunc(ev.Offers, func(of Offer) bool { return of.At.After(limitEnd) })
			if offeredAfter {
				ev.LeavingWorkers = append(ev.LeavingWorkers, le)
			}
		})
		if offeredAfter {
			return
		}
	}
	run.addProblem(
		"invariant 6 was not judged: the worker gave no sign that it is leaving, or no task was started after its limit",
	)
}

// checkLeaving checks invariant 6: a leaving worker gets no task after the limit, not even one that it refuses.
func (ch *checker) checkLeaving() {
	for _, le := range ch.ev.LeavingWorkers {
		for _, of := range ch.ev.Offers {
			if of.Worker == le.Worker && of.At.After(le.Since.Add(le.Limit)) {
				ch.addViolation(6, "%s got task %s at %s, %s after the first sign that it is leaving", of.Worker, of.Task,
					formatSeconds(of.At), of.At.Sub(le.Since).Round(time.Millisecond))
			}
		}
	}
}
