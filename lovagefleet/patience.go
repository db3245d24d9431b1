package lovagefleet

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// pollWait is how long a worker may wait for a run to end before it replies to a poll. A poll extends the leases of the
	// worker's runs to 1 s after it is sent. They outlast three lost polls in a row, as the next poll follows within 960 ms:
	// pollWait until the last reply, pollWait+pollGrace for a lost poll, pollGrace for each of two retries that do not wait.
	pollWait = 300 * time.Millisecond
	// pollGrace is how long after a poll's wait a poll without a reply counts as lost.
	pollGrace = 120 * time.Millisecond
	// requestTimeout limits the duration of a start or stop call; a worker replies within a few ms.
	requestTimeout = 120 * time.Millisecond

	// lossyPeriod is how long after a lost call more losses are expected. Timeouts are then shorter, because a loss delays the
	// start of a task, or the news of ended runs, until it is noticed.
	lossyPeriod = 3 * time.Second
	// lossyPollWait replaces pollWait, and lossyTimeout replaces pollGrace and requestTimeout, while calls are being lost.
	// lossyPollWait is the run time of short tasks; lossyTimeout outlasts a pause of a process with 0.4 of a core.
	lossyPollWait = 60 * time.Millisecond
	lossyTimeout  = 60 * time.Millisecond

	// maxPollsPerCore is the number of polls a second and core of CPU above which lossyPollWait is extended: about a fifth of the
	// CPU time, at some 0.2 ms for a poll and its reply.
	maxPollsPerCore = 1000
	// minLag is the lateness of this process above which a missing reply says more about this process than about the worker.
	minLag = 30 * time.Millisecond
	// lagPeriod is how long a lag counts: lateness that makes replies look late, and so lengthens timeouts. latenessPeriod is how long
	// lateness counts that makes what this process knows old, and so shortens leases and callers' deadlines: after a stall, it has
	// soon read what has arrived meanwhile.
	lagPeriod      = time.Second
	latenessPeriod = 200 * time.Millisecond
)

// patience decides how long calls to workers may take. It answers two loads: links that lose calls, where a short wait brings the
// news of ended runs sooner, and an instance that gets too little CPU time for its workers. There, short waits and timeouts add
// polls and new connections, whose cost makes further replies late.
type patience struct {
	lossy bool          // a call was lost within lossyPeriod
	lag   time.Duration // how late this process was within lagPeriod
	links int           // number of workers that are polled
	cores float64       // CPU cores that the process may use; 0: one
}

// overloaded reports whether this process is too late to judge others by their replies.
func (pa patience) overloaded() bool { return pa.lag >= minLag }

// pollWait returns how long a worker may wait for a run to end before it replies to a poll.
func (pa patience) pollWait() time.Duration {
	if !pa.lossy || pa.overloaded() {
		return pollWait
	}
	cores := pa.cores
	if cores <= 0 {
		cores = 1
	}
	affordable := time.Duration(float64(pa.links) / (maxPollsPerCore * cores) * float64(time.Second))
	return min(max(lossyPollWait, affordable), pollWait)
}

// timeout returns how long to wait for a reply beyond the request's own wait.
func (pa patience) timeout(usual time.Duration) time.Duration {
	if pa.overloaded() {
		return usual + 2*pa.lag
	}
	if pa.lossy {
		return lossyTimeout
	}
	return usual
}

// withPatience returns a context for a call whose reply is missing at giveUpAt. If this process notices that time late, it waits
// for extra once more: the reply may be waiting in the socket, and a call that is given up costs a new connection. expired reports
// whether the context ended for want of a reply.
func (no *Node) withPatience(ctx context.Context, giveUpAt time.Time, extra time.Duration) (
	callCtx context.Context, cancel func(), expired func() bool,
) {
	callCtx, end := context.WithCancelCause(ctx)
	due, extended := giveUpAt, false // accessed only by the timer's function, which does not run twice at a time
	var timer *time.Timer
	created := make(chan struct{})
	timer = time.AfterFunc(time.Until(giveUpAt), func() {
		<-created
		now := time.Now()
		late := now.Sub(due)
		if late >= minLag {
			no.lags.note(now, late)
			if !extended {
				due, extended = now.Add(extra), true
				timer.Reset(extra)
				return
			}
		}
		end(context.DeadlineExceeded)
	})
	close(created)
	cancel = func() {
		timer.Stop()
		end(nil)
	}
	return callCtx, cancel, func() bool { return errors.Is(context.Cause(callCtx), context.DeadlineExceeded) }
}

// lagMeter holds the greatest lateness of this process within the last half to whole period. It is safe for concurrent use.
type lagMeter struct {
	period   time.Duration
	mu       sync.Mutex
	halves   [2]time.Duration // greatest lateness in the current and in the last half of the period
	changeAt time.Time        // end of the current half
}

// note records that something happened later than it was due.
func (lm *lagMeter) note(now time.Time, lag time.Duration) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.advance(now)
	lm.halves[0] = max(lm.halves[0], lag)
}

// lag returns the greatest lateness within the period.
func (lm *lagMeter) lag(now time.Time) time.Duration {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.advance(now)
	return max(lm.halves[0], lm.halves[1])
}

func (lm *lagMeter) advance(now time.Time) {
	if now.Before(lm.changeAt) {
		return
	}
	lm.halves[1] = lm.halves[0]
	if now.Sub(lm.changeAt) > lm.period/2 {
		lm.halves[1] = 0
	}
	lm.halves[0], lm.changeAt = 0, now.Add(lm.period/2)
}

// patience returns the present input of the decisions on timeouts.
func (no *Node) patience() patience {
	return patience{
		lossy: no.lostCallRecently(), lag: no.lags.lag(time.Now()), links: int(no.linkCount.Load()), cores: no.settings.Cores,
	}
}

// lostCallRecently reports whether a call was lost within lossyPeriod.
func (no *Node) lostCallRecently() bool {
	at := no.lastLostCallAt.Load()
	return at != nil && time.Since(*at) < lossyPeriod
}

// noteLostCall records that a call to a reachable worker got no reply in time. It returns false if this process itself is late, so
// that the worker may not be to blame.
func (no *Node) noteLostCall() bool {
	now := time.Now()
	if no.patience().overloaded() {
		no.countEvent("callsTimedOutLate")
		return false
	}
	no.countEvent("callsLost")
	no.lastLostCallAt.Store(&now)
	return true
}
