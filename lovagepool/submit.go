package lovagepool

import (
	"cmp"
	"slices"
	"time"
)

// Submit takes a job. It ends with a Finish command unless it is cancelled before.
func (po *Pool) Submit(now time.Time, jo *Job) {
	if po.jobs[jo.Ref] != nil {
		return
	}
	wo := jo.Work
	if _, ok := po.withdrawn[jo.Ref]; ok {
		delete(po.withdrawn, jo.Ref)
		jo.build()
		po.answer(jo, FinishJob{Outcome: NotRun, Reason: "cancelled before it arrived"})
		return
	}
	jo.class = po.classOf(wo.Queue)
	po.noteRoom(jo)
	jo.build()
	po.jobs[jo.Ref] = jo
	po.list = append(po.list, jo)
	jo.runTime = jo.class.expectedRunTime(wo.Steps[0].RunTime)
	jo.goal = wo.Arrived.Add(po.goal(jo))
	if jo.Offloaded == nil {
		jo.class.service = wo.Service
		jo.class.arrive(now, jo.remaining(), jo.goal.Sub(wo.Arrived)-jo.runTime)
		if older := po.byID[wo.ID]; older != nil {
			po.decide(Decision{Kind: "jobReplaced", Job: wo.ID, Reason: "the caller has sent it again", Age: now.Sub(older.Work.Arrived)})
			po.cancel(now, older)
			jo.replace(older)
		}
		po.byID[wo.ID] = jo
		if po.leaving {
			po.finish(jo, Moved, "the instance is handing over its workers", 0)
			return
		}
		if !po.everFits(jo) {
			po.decide(Decision{Kind: "refusedUnfit", Job: wo.ID, Reason: "no worker is large enough or has the label"})
			po.finish(jo, NotRun, "no worker is large enough or has the label", retryHopeless)
			return
		}
	}
	if jo.after == nil && jo.waiting > 0 {
		po.queue = append(po.queue, jo)
	}
	po.dirty = true
}

// retryHopeless is when a caller may ask again with a job that no present worker can run.
const retryHopeless = 10 * time.Second

// build makes the tasks.
func (jo *Job) build() {
	wo := jo.Work
	jo.byStep = make([][]*task, len(wo.Steps))
	add := func(step, index, attempt int, state taskState) {
		ta := &task{job: jo, step: step, index: index, attempt: attempt, state: state}
		jo.tasks = append(jo.tasks, ta)
		jo.byStep[step] = append(jo.byStep[step], ta)
		jo.undone++
		if state == taskReady {
			jo.waiting++
		}
	}
	if jo.Offloaded != nil {
		for _, lt := range jo.Offloaded {
			add(lt.Step, lt.Index, lt.Attempt-1, taskReady)
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

// replace makes the job go on from an earlier submission of the same ID once its runs have ended.
func (jo *Job) replace(older *Job) {
	if len(older.tasks) == len(jo.tasks) {
		for i, ta := range jo.tasks {
			ta.attempt = older.tasks[i].attempt
		}
	}
	if older.running > 0 {
		jo.after = older
	}
}

// goal returns how long after its arrival the job is still served in time.
func (po *Pool) goal(jo *Job) time.Duration {
	wo := jo.Work
	chain := make([]time.Duration, len(wo.Steps))
	var longest time.Duration
	for i, st := range wo.Steps {
		for _, de := range st.DependsOn {
			chain[i] = max(chain[i], chain[de])
		}
		chain[i] += jo.class.expectedRunTime(st.RunTime)
		longest = max(longest, chain[i])
	}
	return time.Duration(wo.SlackFactor*float64(longest)) + wo.TargetLatency
}

// everFits reports whether each step could run on some known worker with nothing else on it. Without any known worker
// it is taken to fit.
func (po *Pool) everFits(jo *Job) bool {
	known := false
	for i := range jo.Work.Steps {
		fits := false
		for _, wo := range po.order {
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
			return false
		}
	}
	return true
}

// withdrawnKept is how long a cancellation is kept that has arrived before its job; both travel on one connection.
const withdrawnKept = 5 * time.Second

// Cancel ends a job whose caller has left. Its runs are stopped. It may arrive before the job. It reports whether the job
// is known; if not, nothing is said about runs, which a former process may have started.
func (po *Pool) Cancel(now time.Time, ref string) bool {
	jo := po.jobs[ref]
	if jo == nil {
		po.withdrawn[ref] = now
		return false
	}
	po.decide(Decision{Kind: "jobCancelled", Job: jo.Work.ID, Reason: "its caller or borrower has left", Age: now.Sub(jo.Work.Arrived)})
	jo.withdrawn = true
	if jo.Offloaded == nil {
		po.cancel(now, jo)
		return true
	}
	po.stopRuns(now, jo) // the ends are reported to the borrower as usual
	return true
}

// stopRuns orders the runs of a job to end that have not been ordered to.
func (po *Pool) stopRuns(now time.Time, jo *Job) {
	for _, ta := range jo.tasks {
		if ta.run != nil && ta.run.state != runStopping {
			po.stop(now, ta.run)
		}
	}
}

// cancel drops what waits and stops what runs. The job is forgotten when nothing of it runs any more.
func (po *Pool) cancel(now time.Time, jo *Job) {
	if jo.ended {
		return
	}
	jo.ended = true
	po.unqueue(jo)
	for _, ta := range jo.tasks {
		if ta.run != nil {
			po.stop(now, ta.run)
		}
	}
	po.recall(jo)
	po.forget(jo)
}

// giveUp answers a job whose caller's time is over. Runs for another owner are only stopped: it would start them again if
// it heard of their ends before these are certain.
func (po *Pool) giveUp(now time.Time, jo *Job) {
	if jo.Offloaded != nil && jo.running > 0 {
		po.stopRuns(now, jo)
		return
	}
	kind := "deadlineRunning"
	if jo.begun == 0 {
		kind = "deadlineWaiting"
	}
	po.decide(Decision{Kind: kind, Job: jo.Work.ID, Reason: "the caller's deadline has passed", Age: now.Sub(jo.Work.Arrived)})
	if jo.begun == 0 {
		po.finish(jo, NotRun, "no room before the caller's deadline", minRetry)
		return
	}
	po.answer(jo, FinishJob{Outcome: Unknown, Reason: "not ended before the caller's deadline"})
	po.cancel(now, jo)
}

// finish answers a job of which nothing runs.
func (po *Pool) finish(jo *Job, oc Outcome, reason string, retryIn time.Duration) {
	po.end(jo, FinishJob{Outcome: oc, Reason: reason, RetryIn: retryIn})
}

func (po *Pool) end(jo *Job, fi FinishJob) {
	if jo.ended {
		return
	}
	po.answer(jo, fi)
	jo.ended = true
	po.unqueue(jo)
	po.forget(jo)
}

// passOn hands a job of which nothing has begun back, to be passed to another owner.
func (po *Pool) passOn(now time.Time, jo *Job, to string) {
	po.decide(Decision{
		Kind: "passedOn", Job: jo.Work.ID, Worker: to, Reason: "not expected to start in time here", Age: now.Sub(jo.Work.Arrived),
	})
	po.end(jo, FinishJob{Outcome: Moved, Reason: "another owner is expected to start it in time", To: to})
}

// answer counts and emits the end of a job.
func (po *Pool) answer(jo *Job, fi FinishJob) {
	po.Counts["job:"+string(fi.Outcome)]++
	fi.Ref = jo.Ref
	if jo.Offloaded != nil {
		for _, ta := range jo.tasks {
			fi.Results = append(fi.Results, OffloadResult{OffloadedTask{ta.step, ta.index, ta.attempt}, cmp.Or(ta.how, RunDeclined)})
		}
	}
	po.emit(fi)
}

// forget drops an ended job when nothing of it runs any more.
func (po *Pool) forget(jo *Job) {
	if !jo.ended || jo.running > 0 {
		return
	}
	delete(po.jobs, jo.Ref)
	if jo.withdrawn {
		po.emit(JobStopped{jo.Ref})
	}
	if at := slices.Index(po.list, jo); at >= 0 {
		po.list = slices.Delete(po.list, at, at+1)
	}
	if po.byID[jo.Work.ID] == jo {
		delete(po.byID, jo.Work.ID)
	}
	for _, ot := range po.list {
		if ot.after == jo {
			ot.after = nil
			if ot.waiting > 0 && !ot.ended {
				po.queue = append(po.queue, ot)
				po.dirty = true
			}
		}
	}
}

func (po *Pool) unqueue(jo *Job) {
	if at := slices.Index(po.queue, jo); at >= 0 {
		po.queue = slices.Delete(po.queue, at, at+1)
	}
}

// taskEnded takes the end of a task's run, here or with another owner.
func (po *Pool) taskEnded(now time.Time, ta *task, how RunOutcome) {
	jo := ta.job
	jo.running--
	if how == RunRejected || how == RunDeclined {
		jo.begun--
	}
	po.dirty = true
	if jo.ended {
		po.forget(jo)
		return
	}
	if jo.Offloaded != nil {
		ta.state, ta.how = taskDone, how
		if jo.undone--; jo.undone == 0 {
			po.finish(jo, Completed, "", 0)
		}
		return
	}
	switch how {
	case RunDone:
		ta.state = taskDone
		jo.undone--
		po.unblock(jo)
		if jo.undone == 0 {
			po.finish(jo, Completed, "", 0)
		}
	case RunFailed:
		ta.failed++
		if ta.failed >= max(jo.Work.MaxAttempts, 1) {
			po.answer(jo, FinishJob{Outcome: Failed, Reason: "task " + jo.Work.TaskName(ta.step, ta.index) + " failed too often"})
			po.cancel(now, jo)
			return
		}
		po.ready(jo, ta)
	default:
		po.ready(jo, ta)
	}
}

// ready puts a task back into the queue.
func (po *Pool) ready(jo *Job, ta *task) {
	ta.state = taskReady
	jo.waiting++
	if !slices.Contains(po.queue, jo) {
		po.queue = append(po.queue, jo)
	}
	po.dirty = true
}

// unblock makes tasks ready whose steps no longer wait for others.
func (po *Pool) unblock(jo *Job) {
	for i, st := range jo.Work.Steps {
		if len(st.DependsOn) == 0 || jo.byStep[i][0].state != taskBlocked {
			continue
		}
		open := slices.ContainsFunc(st.DependsOn, func(de int) bool {
			return slices.ContainsFunc(jo.byStep[de], func(ta *task) bool { return ta.state != taskDone })
		})
		if open {
			continue
		}
		jo.runTime = jo.class.expectedRunTime(st.RunTime)
		for _, ta := range jo.byStep[i] {
			po.ready(jo, ta)
		}
	}
}

// Leave makes the pool refuse new jobs as moved and hand back those that have not begun.
func (po *Pool) Leave() {
	po.leaving = true
	for _, jo := range slices.Clone(po.list) {
		if jo.begun == 0 && !jo.ended && jo.Offloaded == nil {
			po.finish(jo, Moved, "the instance is handing over its workers", 0)
		}
	}
}

// PendingJobs returns how many jobs of a queue have not begun.
func (po *Pool) PendingJobs(queue string) int {
	n := 0
	for _, jo := range po.list {
		if jo.Offloaded == nil && !jo.ended && jo.begun == 0 && jo.Work.Queue == queue {
			n++
		}
	}
	return n
}
