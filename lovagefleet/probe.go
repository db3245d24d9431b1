package lovagefleet

import (
	"runtime"
	"sync"
	"time"
)

// queueProbe measures how long goroutines wait for a processor. Ticks do not show it: the Go scheduler runs a goroutine whose timer
// fires next, but puts one whose connection has become readable at the end of a queue. So an instance whose processors are
// busy may tick in time and yet read late that a caller has left or that a worker has replied.
//
// Its methods are safe for concurrent use.
type queueProbe struct {
	mu      sync.Mutex
	begunAt time.Time     // of the probe that is under way; zero: none
	last    time.Duration // wait of the probe that ended last
}

// begin begins a probe if none is under way.
func (qp *queueProbe) begin(now time.Time) {
	qp.mu.Lock()
	defer qp.mu.Unlock()
	if qp.begunAt.IsZero() {
		qp.begunAt = now
		go qp.run()
	}
}

// run goes to the end of the scheduler's queue and ends the probe when its turn comes.
func (qp *queueProbe) run() {
	runtime.Gosched()
	qp.mu.Lock()
	defer qp.mu.Unlock()
	qp.last, qp.begunAt = time.Since(qp.begunAt), time.Time{}
}

// wait returns the wait of the last probe, or that of the probe under way if it is longer.
func (qp *queueProbe) wait(now time.Time) time.Duration {
	qp.mu.Lock()
	defer qp.mu.Unlock()
	if qp.begunAt.IsZero() {
		return qp.last
	}
	return max(qp.last, now.Sub(qp.begunAt))
}

// lateness returns how old what this process handles now may be: by its ticks and events of the last latenessPeriod, and by the time
// that its goroutines wait for a processor.
func (no *Node) lateness(now time.Time) time.Duration {
	lateness := no.latenesses.lag(now)
	if waited := no.queueProbe.wait(now); waited >= minLag {
		lateness = max(lateness, waited)
	}
	return lateness
}
