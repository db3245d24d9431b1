package lovagefleet

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// startMargin is the time from the decision to start a task until the worker gets the start: it may wait for maxStall, and the call
	// may take requestTimeout.
	startMargin = maxStall + requestTimeout
	// minRegistrationBound is the least bound of the age of registrations. They are read every registryInterval, and a shorter bound would
	// keep starts from all workers whenever one read fails.
	minRegistrationBound = time.Second
	// maxContactGap is the time without a successful call to the store after which the store counts as unreachable. The calls for the
	// configuration alone succeed every configPollWait and a slow call of 240 ms. lateContactGap applies while this instance is late,
	// when its own calls may be the reason. After minFailedCalls in a row failedContactGap suffices; an owner makes several calls every
	// renewInterval.
	maxContactGap    = 1300 * time.Millisecond
	lateContactGap   = 2 * time.Second
	failedContactGap = 800 * time.Millisecond
	minFailedCalls   = 4
	// regainGrace is the time that reads of the registered workers get when the store can be reached again. After an outage of up to
	// lateContactGap, one call reads the few changes since.
	regainGrace      = time.Second
	shortRegainGrace = 300 * time.Millisecond
	// staleLogPause is how long no worker must have been excluded before the log says that it is over.
	staleLogPause = time.Second
)

// storeContact tells whether calls to the store succeed. It is safe for concurrent use.
type storeContact struct {
	mu         sync.Mutex
	last       time.Time // when a call last succeeded
	failed     int       // number of other calls than reads of the registered workers that have failed since
	graceUntil time.Time // after an outage
}

// note records a successful call, and reports whether the store was unreachable before.
func (sc *storeContact) note(now time.Time, maxGap time.Duration) (regained bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if regained = !sc.reachable(now, maxGap); regained {
		grace := regainGrace
		if now.Sub(sc.last) <= lateContactGap {
			grace = shortRegainGrace
		}
		sc.graceUntil = now.Add(grace)
	}
	sc.last, sc.failed = now, 0
	return regained
}

// noteFailure records a failed call.
func (sc *storeContact) noteFailure() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.failed++
}

// reachable reports whether the store can be reached. The caller holds mu.
func (sc *storeContact) reachable(now time.Time, maxGap time.Duration) bool {
	gap := now.Sub(sc.last)
	return gap <= maxGap && (gap <= failedContactGap || sc.failed < minFailedCalls)
}

// lasts reports whether calls succeed and have done so since before the grace after an outage.
func (sc *storeContact) lasts(now time.Time, maxGap time.Duration) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.reachable(now, maxGap) && now.After(sc.graceUntil)
}

// noteStoreCall records whether a call to the store succeeded. Failed reads of the registered workers are not recorded: if only these
// fail, the bound applies.
func (no *Node) noteStoreCall(err error) {
	if err != nil {
		no.contact.noteFailure()
		return
	}
	if no.contact.note(time.Now(), no.contactGap()) && no.ownsWorkers.Load() {
		no.wakeRegistryLoop()
	}
}

func (no *Node) contactGap() time.Duration {
	if no.patience().overloaded() {
		return lateContactGap
	}
	return maxContactGap
}

// registrationBound returns the age of a registration above which its worker gets no starts; 0: there is none. While the store as a whole
// cannot be reached, the workers are used as they are known.
func (no *Node) registrationBound(now time.Time) time.Duration {
	if no.settings.DrainBound <= 0 || !no.contact.lasts(now, no.contactGap()) {
		return 0
	}
	return max(no.settings.DrainBound-startMargin, minRegistrationBound)
}

// updateRegistrationBound passes the bound to the pool, and reports when workers begin to be excluded by it and when no more are. Only
// loop calls it.
func (no *Node) updateRegistrationBound(now time.Time) {
	bound := no.registrationBound(now)
	no.pool.SetRegistrationBound(bound)
	stale, oldest := no.pool.StaleWorkers(now)
	no.staleWorkers.Update(float64(stale))
	switch {
	case stale > 0:
		no.lastStaleAt = now
		if !no.staleReported {
			no.staleReported = true
			no.log.Warn("registrations of workers are too old for starts", zap.Int("workers", stale),
				zap.Duration("oldestMs", oldest), zap.Duration("boundMs", bound))
		}
	case no.staleReported && now.Sub(no.lastStaleAt) >= staleLogPause:
		no.staleReported = false
		no.log.Info("no registration of a worker is too old for starts")
	}
}
