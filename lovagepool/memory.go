package lovagepool

import "time"

// roomRetryDelay is the retry delay for a job for which there is no memory.
const roomRetryDelay = time.Second

// hasRoom reports whether there is memory for the job. A job that its caller has submitted again takes the place of the former submission,
// of which tasks may have started.
func (po *Pool) hasRoom(jo *Job) bool {
	limit := po.settings.MaxJobBytes
	switch {
	case limit <= 0, jo.Offloaded == nil && po.jobsByID[jo.Work.ID] != nil:
		return true
	case po.isSmall(jo):
		return po.jobBytes+jo.bytes <= limit
	}
	return po.jobBytes+jo.bytes <= limit && po.largeJobBytes+jo.bytes <= limit-limit/4
}

func (po *Pool) isSmall(jo *Job) bool { return jo.bytes <= po.settings.SmallJobBytes }

// refuseWithoutRoom answers a job for which there is no memory. Tasks of a peer's job are declined.
func (po *Pool) refuseWithoutRoom(now time.Time, jo *Job) {
	const reason = "no memory for more jobs"
	po.recordDecision(Decision{Kind: "refusedWithoutRoom", Job: jo.Work.ID, Ref: jo.Ref, Reason: reason, Age: now.Sub(jo.Work.Arrived)})
	if jo.Offloaded != nil {
		jo.buildTasks()
	}
	po.emitAnswer(jo, FinishJob{Outcome: NotRun, Reason: reason, RetryIn: roomRetryDelay})
}

func (po *Pool) addJob(jo *Job) {
	po.jobs[jo.Ref] = jo
	po.jobList = append(po.jobList, jo)
	po.jobBytes += jo.bytes
	if !po.isSmall(jo) {
		po.largeJobBytes += jo.bytes
	}
}

func (po *Pool) deleteJob(jo *Job) {
	delete(po.jobs, jo.Ref)
	po.jobBytes -= jo.bytes
	if !po.isSmall(jo) {
		po.largeJobBytes -= jo.bytes
	}
}
