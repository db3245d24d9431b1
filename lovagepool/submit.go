package lovagepool

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Submit adds a job. The job gets one FinishJob, unless it is first cancelled or submitted again by its caller. A job
// that was cancelled before it arrived gets NotRun.
func (po *Pool) Submit(now time.Time, jo *Job) {
	if po.jobs[jo.Ref] != nil {
		return
	}
	if _, ok := po.earlyCancels[jo.Ref]; ok {
		delete(po.earlyCancels, jo.Ref)
		jo.buildTasks()
		po.emitAnswer(jo, FinishJob{Outcome: NotRun, Reason: "cancelled before it arrived"})
		return
	}
	if po.refuseCancelled(now, jo) {
		return
	}
	wo := jo.Work
	jo.bytes = wo.Bytes()
	if !po.hasRoom(jo) {
		po.refuseWithoutRoom(now, jo)
		return
	}
	if jo.Offloaded == nil {
		po.updateService(now, jo)
	}
	jo.stats = po.ensureQueueStats(wo.Queue)
	po.recordResources(jo)
	jo.buildTasks()
	po.addJob(jo)
	jo.runTime = jo.stats.expectedRunTime(wo.Steps[0].RunTime)
	jo.goal = wo.Arrived.Add(po.responseGoal(jo))
	if jo.Offloaded == nil {
		jo.stats.service = wo.Service
		jo.stats.addArrival(now, jo.unstartedWork(), jo.goal.Sub(wo.Arrived)-jo.runTime)
		if jo.stats.addSize(jo.unstartedWork()) {
			jo.size = 1
		}
		po.notePriority(jo)
		if older := po.jobsByID[wo.ID]; older != nil {
			po.recordDecision(Decision{
				Kind: "jobReplaced", Job: wo.ID, Ref: older.Ref, Reason: "the caller has submitted it again", Age: now.Sub(older.Work.Arrived),
			})
			po.cancelJob(now, older)
			jo.supersede(older)
		}
		po.jobsByID[wo.ID] = jo
		if po.leaving {
			po.finish(jo, Moved, "the instance is handing over its workers", 0)
			return
		}
		if !po.fitsAnyWorker(jo) && !po.AwaitsEntries() { // the entries of restarted workers may have the label or the size
			po.refuseUnfit(jo)
			return
		}
	}
	if jo.predecessor == nil && jo.readyTasks > 0 {
		po.readyJobs = append(po.readyJobs, jo)
	}
	po.needsSchedule = true
}

// refuseUnfit refuses a job that no worker may run.
func (po *Pool) refuseUnfit(jo *Job) {
	de := Decision{Kind: "refusedUnfit", Job: jo.Work.ID, Ref: jo.Ref, Reason: "no worker is large enough or has the label"}
	step := max(po.unfitStep(jo), 0)
	po.recordDecision(jo.withNeeds(de, step, jo.Work.Steps[step].Count))
	po.finish(jo, NotRun, "no worker is large enough or has the label", unfitRetryDelay)
}

// Reject answers a job that must not start any more, because it was under way for too long, with Moved.
func (po *Pool) Reject(now time.Time, jo *Job, reason string) {
	po.recordDecision(Decision{Kind: "jobRejected", Job: jo.Work.ID, Ref: jo.Ref, Reason: reason, Age: now.Sub(jo.Work.Arrived)})
	jo.buildTasks()
	po.emitAnswer(jo, FinishJob{Outcome: Moved, Reason: reason})
}

// CancelForeign cancels the jobs whose Ref does not begin with the prefix. It is called after a pause of the process: the
// instances that sent them may have given up, and their callers may have sent the jobs again.
func (po *Pool) CancelForeign(now time.Time, ownPrefix string) {
	for _, jo := range slices.Clone(po.jobList) {
		if !strings.HasPrefix(jo.Ref, ownPrefix) {
			po.Cancel(now, jo.Ref)
		}
	}
}

// AdvanceDeadlines moves the times of all jobs back by the length of a suspension of the machine, which the clock of now leaves
// out.
func (po *Pool) AdvanceDeadlines(by time.Duration) {
	for _, jo := range po.jobList {
		wo := *jo.Work // the submitter reads the original
		wo.Arrived, wo.Deadline = wo.Arrived.Add(-by), wo.Deadline.Add(-by)
		jo.Work, jo.goal = &wo, jo.goal.Add(-by)
		for _, at := range []*time.Time{&jo.WantedAt, &jo.givenUpAt} {
			if !at.IsZero() {
				*at = at.Add(-by)
			}
		}
	}
	po.needsSchedule = true
}

// unfitRetryDelay is the retry delay for a job that fits no present worker.
const unfitRetryDelay = 10 * time.Second

// buildTasks creates the tasks of the job.
func (jo *Job) buildTasks() {
	wo := jo.Work
	jo.tasksByStep = make([][]*task, len(wo.Steps))
	add := func(step, index, attempt int, state taskState) {
		ta := &task{job: jo, step: step, index: index, attempt: attempt, state: state}
		jo.tasks = append(jo.tasks, ta)
		jo.tasksByStep[step] = append(jo.tasksByStep[step], ta)
		jo.unfinishedTasks++
		if state == taskReady {
			jo.readyTasks++
		}
	}
	if jo.Offloaded != nil {
		for _, ot := range jo.Offloaded {
			add(ot.Step, ot.Index, ot.Attempt-1, taskReady)
		}
		return
	}
	for i, st := range wo.Steps {
		state := taskReady
		if len(st.DependsOn) > 0 {
			state = taskBlocked
		}
		for k := range st.Count {
			add(i, k, 0, state)
		}
	}
}

// supersede continues the attempt numbers of an earlier submission of the same job ID, if both have the same number of
// tasks, and makes the new job wait until the earlier one's runs have ended.
func (jo *Job) supersede(older *Job) {
	if len(older.tasks) == len(jo.tasks) {
		for i, ta := range jo.tasks {
			ta.attempt = older.tasks[i].attempt
		}
	}
	jo.predecessor = older.predecessor // an older submission whose runs the one between still waits for
	if older.activeTasks > 0 {
		jo.predecessor = older
	}
	if jo.predecessor != nil {
		jo.predecessor.hasSuccessor = true
	}
}

// responseGoal returns the time from arrival within which the job should be answered.
func (po *Pool) responseGoal(jo *Job) time.Duration {
	wo := jo.Work
	pathTime := make([]time.Duration, len(wo.Steps))
	var criticalPath time.Duration
	for i, st := range wo.Steps {
		for _, dep := range st.DependsOn {
			pathTime[i] = max(pathTime[i], pathTime[dep])
		}
		pathTime[i] += jo.stats.expectedRunTime(st.RunTime)
		criticalPath = max(criticalPath, pathTime[i])
	}
	return time.Duration(wo.SlackFactor*float64(criticalPath)) + wo.TargetLatency
}

// fitsAnyWorker reports whether each step would fit an empty worker of the service, or true if the pool knows no such worker.
func (po *Pool) fitsAnyWorker(jo *Job) bool { return po.unfitStep(jo) < 0 }

// unfitStep returns the first step that would fit no empty worker of the service, or -1 if each does or the pool knows no such worker.
func (po *Pool) unfitStep(jo *Job) int {
	known := false
	for i := range jo.Work.Steps {
		fits := false
		for _, wo := range po.workerList {
			if wo.Service != jo.Work.Service {
				continue
			}
			known = true
			if jo.Work.Steps[i].Resources.Fits(wo.Capacity) && wo.hasLabel(jo.Work.Steps[i].Constraint) {
				fits = true
				break
			}
		}
		if known && !fits {
			return i
		}
	}
	return -1
}

// earlyCancelRetention is how long a cancellation that arrived before its job is kept. Both are sent on one connection,
// so the job follows soon.
const earlyCancelRetention = 5 * time.Second

// Cancel stops the runs of a job that its caller or a peer has cancelled. A cancellation may arrive before its job.
// Cancel reports whether the job is known; if not, a former process of this instance may have left runs of the job on
// workers.
func (po *Pool) Cancel(now time.Time, ref string) bool {
	jo := po.jobs[ref]
	if jo == nil {
		po.earlyCancels[ref] = now
		return false
	}
	po.recordDecision(Decision{
		Kind: "jobCancelled", Job: jo.Work.ID, Ref: jo.Ref, Reason: "cancelled by its caller or by a peer",
		Age: now.Sub(jo.Work.Arrived),
	})
	jo.cancelled = true
	if jo.Offloaded == nil {
		po.cancelJob(now, jo)
		return true
	}
	po.stopRuns(now, jo) // the peer gets the runs' outcomes as usual
	po.declineWaiting(jo)
	return true
}

// declineWaiting declines those tasks of a peer's job that have not started, and ends the job if it has no others.
func (po *Pool) declineWaiting(jo *Job) {
	for _, ta := range jo.tasks {
		if ta.state == taskReady {
			ta.state = taskDone
			jo.readyTasks--
			jo.unfinishedTasks--
		}
	}
	if jo.unfinishedTasks == 0 {
		po.finish(jo, NotRun, "cancelled before it started", 0)
	}
}

// stopRuns stops the runs of a job that are not being stopped yet.
func (po *Pool) stopRuns(now time.Time, jo *Job) {
	po.giveUp(now, jo)
	for _, ta := range jo.tasks {
		if ta.run != nil && ta.run.state != runStopping {
			po.stopRun(now, ta.run)
		}
	}
}

// giveUp records that a job's runs are no longer wanted. This instance may have learned it late.
func (po *Pool) giveUp(now time.Time, jo *Job) {
	jo.givenUpAt = earlier(jo.givenUpAt, now.Add(-po.lateness))
}

// cancelJob drops the waiting tasks of a job and stops its runs. The job is removed once its runs have ended.
func (po *Pool) cancelJob(now time.Time, jo *Job) {
	if jo.ended {
		return
	}
	jo.ended = true
	po.giveUp(now, jo)
	po.dequeue(jo)
	for _, ta := range jo.tasks {
		if ta.run != nil {
			po.stopRun(now, ta.run)
		}
	}
	po.cancelOffloads(jo)
	po.removeIfStopped(jo)
}

// handleDeadline answers a job whose deadline has passed. If a peer has offloaded the tasks and some still run, it only stops
// the runs: if the peer got an answer before these have certainly ended, it would start the tasks again.
func (po *Pool) handleDeadline(now time.Time, jo *Job) {
	if jo.Offloaded != nil && jo.activeTasks > 0 {
		po.stopRuns(now, jo)
		return
	}
	po.returnCredit(jo)
	kind := "deadlineRunning"
	if jo.possibleStarts == 0 {
		kind = "deadlineWaiting"
	}
	po.recordDecision(Decision{
		Kind: kind, Job: jo.Work.ID, Ref: jo.Ref, Reason: "the caller's deadline has passed", Age: now.Sub(jo.Work.Arrived),
	})
	if jo.possibleStarts == 0 {
		po.finish(jo, NotRun, "no room before the caller's deadline", minRetryDelay)
		return
	}
	po.emitAnswer(jo, FinishJob{Outcome: Unknown, Reason: "not ended before the caller's deadline"})
	po.cancelJob(now, jo)
}

// finish answers and ends a job without runs.
func (po *Pool) finish(jo *Job, oc Outcome, reason string, retryIn time.Duration) {
	po.endJob(jo, FinishJob{Outcome: oc, Reason: reason, RetryIn: retryIn})
}

func (po *Pool) endJob(jo *Job, fi FinishJob) {
	if jo.ended {
		return
	}
	po.emitAnswer(jo, fi)
	jo.ended = true
	po.dequeue(jo)
	po.removeIfStopped(jo)
}

// forwardJob ends a job that has not started with Moved, so that it is submitted to a peer.
func (po *Pool) forwardJob(now time.Time, jo *Job, peerID string) {
	jo.stats.removeWork(now, jo.unstartedWork())
	po.recordDecision(Decision{
		Kind: "passedOn", Job: jo.Work.ID, Ref: jo.Ref, Worker: peerID, Reason: "not expected to start in time here",
		Age: now.Sub(jo.Work.Arrived),
	})
	po.endJob(jo, FinishJob{Outcome: Moved, Reason: "another owner is expected to start it in time", To: peerID})
}

// emitAnswer counts the outcome of a job and emits a FinishJob, with the results of offloaded tasks.
func (po *Pool) emitAnswer(jo *Job, fi FinishJob) {
	po.Counts["job:"+string(fi.Outcome)]++
	fi.Ref = jo.Ref
	if jo.Offloaded != nil {
		for _, ta := range jo.tasks {
			fi.Results = append(fi.Results, OffloadResult{OffloadedTask{ta.step, ta.index, ta.attempt}, cmp.Or(ta.outcome, RunDeclined)})
		}
	}
	po.emit(fi)
}

// removeIfStopped removes an ended job once it has no runs left, and queues the jobs that wait for it.
func (po *Pool) removeIfStopped(jo *Job) {
	if !jo.ended || jo.activeTasks > 0 {
		return
	}
	po.deleteJob(jo)
	po.answerCancelled(jo)
	if jo.cancelled {
		po.emit(JobStopped{jo.Ref, jo.allDone()})
	}
	if po.inPass {
		po.removedInPass = true
	} else if at := slices.Index(po.jobList, jo); at >= 0 {
		po.jobList = slices.Delete(po.jobList, at, at+1)
	}
	switch {
	case po.jobsByID[jo.Work.ID] != jo:
	case jo.predecessor != nil: // its runs go on; a later submission must wait for them
		po.jobsByID[jo.Work.ID] = jo.predecessor
	default:
		delete(po.jobsByID, jo.Work.ID)
	}
	if !jo.hasSuccessor {
		return
	}
	for _, ot := range po.jobList {
		if ot.predecessor == jo {
			ot.predecessor = nil
			if ot.readyTasks > 0 && !ot.ended {
				po.readyJobs = append(po.readyJobs, ot)
				po.needsSchedule = true
			}
		}
	}
}

func (po *Pool) dequeue(jo *Job) {
	if po.inPass {
		return
	}
	if at := slices.Index(po.readyJobs, jo); at >= 0 {
		po.readyJobs = slices.Delete(po.readyJobs, at, at+1)
	}
}

// taskEnded handles the end of a task's run, here or at a peer.
func (po *Pool) taskEnded(now time.Time, ta *task, outcome RunOutcome) {
	jo := ta.job
	jo.activeTasks--
	if outcome == RunRejected || outcome == RunDeclined {
		jo.possibleStarts--
	}
	po.needsSchedule = true
	if jo.ended {
		ta.state = taskReady // if it was held, it must not end again
		if outcome == RunDone {
			ta.state = taskDone
			jo.unfinishedTasks--
		}
		po.removeIfStopped(jo)
		return
	}
	if jo.Offloaded != nil {
		ta.state, ta.outcome = taskDone, outcome
		if jo.unfinishedTasks--; jo.unfinishedTasks == 0 {
			po.finish(jo, Completed, "", 0)
		}
		return
	}
	switch outcome {
	case RunDone:
		ta.state = taskDone
		jo.unfinishedTasks--
		po.unblockSteps(jo)
		if jo.unfinishedTasks == 0 {
			po.finish(jo, Completed, "", 0)
		}
	case RunFailed:
		ta.failures++
		if ta.failures >= max(jo.Work.MaxAttempts, 1) {
			po.emitAnswer(jo, FinishJob{Outcome: Failed, Reason: "task " + jo.Work.TaskName(ta.step, ta.index) + " failed too often"})
			po.cancelJob(now, jo)
			return
		}
		po.requeue(jo, ta)
	default:
		po.requeue(jo, ta)
	}
}

// requeue makes a task ready and queues its job.
func (po *Pool) requeue(jo *Job, ta *task) {
	ta.state = taskReady
	jo.readyTasks++
	if !slices.Contains(po.readyJobs, jo) {
		po.readyJobs = append(po.readyJobs, jo)
	}
	po.needsSchedule = true
}

// unblockSteps makes the tasks of a step ready once all steps that it depends on are done.
func (po *Pool) unblockSteps(jo *Job) {
	for i, st := range jo.Work.Steps {
		if len(st.DependsOn) == 0 || jo.tasksByStep[i][0].state != taskBlocked {
			continue
		}
		pending := slices.ContainsFunc(st.DependsOn, func(dep int) bool {
			return slices.ContainsFunc(jo.tasksByStep[dep], func(ta *task) bool { return ta.state != taskDone })
		})
		if pending {
			continue
		}
		jo.runTime = jo.stats.expectedRunTime(st.RunTime)
		for _, ta := range jo.tasksByStep[i] {
			po.requeue(jo, ta)
		}
	}
}

// Leave makes the pool answer new jobs, and present ones that have not started, with Moved, except for offloaded tasks of
// peers.
func (po *Pool) Leave() {
	po.leaving = true
	for _, jo := range slices.Clone(po.jobList) {
		if jo.possibleStarts == 0 && !jo.ended && jo.Offloaded == nil {
			po.finish(jo, Moved, "the instance is handing over its workers", 0)
		}
	}
}

// PendingJobs returns how many jobs of a queue have not started.
func (po *Pool) PendingJobs(queue string) int {
	n := 0
	for _, jo := range po.jobList {
		if jo.Offloaded == nil && !jo.ended && jo.possibleStarts == 0 && jo.Work.Queue == queue {
			n++
		}
	}
	return n
}
