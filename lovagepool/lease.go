package lovagepool

import "time"

// A worker keeps its runs alive until its lease ends. Each start and each poll of the owner may extend the lease, always for all runs
// of the worker. A caller without an answer submits its job again after Settings.RetryDelay, to any instance, so by then no run of the
// first submission may be alive, even if this instance is late, paused or cut off by then and its stops are lost. So a lease may only
// be extended as far as every run on the worker is permitted:
//
//   - a run that belongs to no job of this pool: not at all;
//   - a run of a job: until retryReserve before its caller may submit it again, counted from the moment at which the job was given up,
//     from its caller's deadline, or from the last confirmation of the instance that has sent it, whichever is earliest;
//   - any run: not as long by as much as this instance is late, because it may not have read yet that a caller has left.

const (
	// retryReserve is the part of RetryDelay that is kept for noticing that a caller has left, and for the comparison of clocks.
	retryReserve = 100 * time.Millisecond
	// ExtensionInterval is the least time between polls that extend a lease. Polls follow each other more closely while calls are being
	// lost; if each of them extended the lease, no job whose sender confirmed it a little earlier could start on the worker.
	ExtensionInterval = 200 * time.Millisecond
	// maxStartLease is the longest that Settings.minStartLease returns.
	maxStartLease = 500 * time.Millisecond
)

// GrantLease returns until when a poll of the worker that is sent now may extend its lease, or the zero time if it must not extend it or
// need not. lost says that the reply to the last poll was lost, so that it may not have extended the lease.
func (po *Pool) GrantLease(now time.Time, id string, lost bool) time.Time {
	wo := po.workers[id]
	if wo == nil || len(wo.runs) == 0 {
		return time.Time{}
	}
	if !lost && now.Sub(wo.extendedAt) < ExtensionInterval {
		return time.Time{}
	}
	until := po.grantLease(now, wo)
	if !until.IsZero() {
		wo.extendedAt = now
	}
	return until
}

func (po *Pool) grantLease(now time.Time, wo *worker) time.Time {
	lease := po.longestLease()
	if limit := po.leaseLimit(wo); !limit.IsZero() {
		lease = min(lease, po.settings.leaseWithin(limit.Sub(now)))
	}
	if lease <= 0 || wo.orphanRuns > 0 {
		return time.Time{}
	}
	wo.extendRunsEnd(now.Add(po.settings.runLifetime(lease)))
	return now.Add(lease)
}

// longestLease returns the longest lease that may be granted now.
func (po *Pool) longestLease() time.Duration {
	return min(po.settings.Lease, po.settings.leaseWithin(po.settings.RetryDelay-retryReserve-po.lateness))
}

// mayStartRuns reports whether leases are long enough for starts.
func (po *Pool) mayStartRuns() bool { return po.longestLease() >= po.settings.minStartLease() }

// extendRunsEnd records that a call may keep the runs of the worker alive until end.
func (wo *worker) extendRunsEnd(end time.Time) {
	if end.After(wo.runsEndBy) {
		wo.runsEndBy = end
	}
}

// leaseLimit returns the time by which all present runs of the worker must have ended unless they are permitted for longer by then, or
// the zero time if there is none. Runs that belong to no job are not considered.
func (po *Pool) leaseLimit(wo *worker) time.Time {
	var limit time.Time
	for _, ru := range wo.runs {
		if ru.task != nil {
			limit = earlier(limit, po.runsLimit(ru.task.job))
		}
	}
	return limit
}

// runsLimit returns the time by which all runs of the job must have ended, as far as is known now.
func (po *Pool) runsLimit(jo *Job) time.Time {
	wantedAt := earlier(earlier(jo.givenUpAt, jo.WantedAt), jo.Work.Deadline)
	return wantedAt.Add(po.settings.RetryDelay - retryReserve)
}

// Renew records that the sender of a job waited for it at the given time.
func (po *Pool) Renew(ref string, at time.Time) {
	jo := po.jobs[ref]
	if jo == nil || !at.After(jo.WantedAt) || jo.WantedAt.IsZero() {
		return
	}
	jo.WantedAt = at
	po.needsSchedule = po.needsSchedule || jo.readyTasks > 0
}

// mayRunOn reports whether the worker's restriction allows a run of the job, and a run that starts now would end in time: the worker's
// lease may have been extended for other runs.
func (po *Pool) mayRunOn(now time.Time, jo *Job, wo *worker) bool {
	if jo.Offloaded != nil && wo.restriction != Unrestricted {
		return false
	}
	limit := po.runsLimit(jo)
	return !wo.runsEndBy.After(limit) && limit.Sub(now) >= po.settings.runLifetime(po.settings.minStartLease())
}

// earlier returns the earlier of two times, of which the zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// runLifetime returns how long a run may go on after a call was sent that extended its lease by the given time.
func (se Settings) runLifetime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+se.ClockDrift)) + se.StopGrace
}

// leaseWithin returns the longest lease, in whole milliseconds, whose runLifetime is at most du.
func (se Settings) leaseWithin(du time.Duration) time.Duration {
	return time.Duration(float64(du-se.StopGrace) / (1 + se.ClockDrift)).Truncate(time.Millisecond)
}

// minStartLease returns the shortest lease with which a run is started: a poll must follow before it ends.
func (se Settings) minStartLease() time.Duration {
	return min(maxStartLease, se.leaseWithin(se.RetryDelay-retryReserve)/2)
}

// maxRunLifetime returns how long a run may go on after the call that last extended its lease was sent.
func (se Settings) maxRunLifetime() time.Duration { return se.runLifetime(se.Lease) }
