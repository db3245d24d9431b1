package lovageentry

import (
	"time"

	"lovagestack/lovageadmission"
	"lovagestack/lovagejob"
)

// contentMemory accounts for the content of submissions, which is held until their jobs have ended, also after their callers have left.
type contentMemory struct {
	settings lovageadmission.Settings
	used     int64
	large    int64 // part of used by submissions above settings.SmallRequest
}

// taskBytes is the memory of a task beside its payload.
const taskBytes = 512

func contentBytes(sub *lovagejob.Submission) int64 {
	n := int64(taskBytes * len(sub.Tasks))
	for i := range sub.Tasks {
		n += int64(len(sub.Tasks[i].Payload))
	}
	return n
}

func (cm *contentMemory) isLarge(n int64) bool { return n > cm.settings.SmallRequest }

// fits reports whether there is room for n more bytes. A quarter is left to small submissions.
func (cm *contentMemory) fits(n int64) bool {
	limit := cm.settings.JobBytes
	return cm.used+n <= limit && (!cm.isLarge(n) || cm.large+n <= limit-limit/4)
}

// add notes a submission of n bytes, and remove its end.
func (cm *contentMemory) add(n int64) {
	cm.used += n
	if cm.isLarge(n) {
		cm.large += n
	}
}

func (cm *contentMemory) remove(n int64) {
	cm.used -= n
	if cm.isLarge(n) {
		cm.large -= n
	}
}

// noContentRetry is how long a caller should wait before a retry if there is no room for its submission.
const noContentRetry = time.Second

// makeContentRoom reports whether there is room for a submission of n bytes. For it, large jobs are given up whose deadlines are later and
// of which no task has started, the latest first.
func (lo *controlLoop) makeContentRoom(n int64, deadline time.Time) bool {
	for !lo.content.fits(n) {
		var latest *job
		for _, jo := range lo.jobs {
			if jo.ended || jo.started || !lo.content.isLarge(jo.contentBytes) || !jo.sub.Deadline.After(deadline) {
				continue
			}
			if latest == nil || jo.sub.Deadline.After(latest.sub.Deadline) {
				latest = jo
			}
		}
		if latest == nil {
			return false
		}
		lo.giveUp(latest)
	}
	return true
}

// dropSubmission drops the content of a submission whose key was not admitted.
func (lo *controlLoop) dropSubmission(id submissionID) {
	if ps := lo.submissions[id]; ps != nil {
		lo.content.remove(ps.contentBytes)
		delete(lo.submissions, id)
	}
}
