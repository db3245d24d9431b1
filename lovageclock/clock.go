// Package lovageclock reads a clock that goes on while the machine is suspended, and notices pauses of the process.
//
// The steady clock behind time.Time stands still during a suspension, so that a permission that has run out meanwhile looks
// valid, and the time of day may be set. The boot clock does neither. It differs between machines.
//
// # Usage
//
//	pd := lovageclock.NewPauseDetector(lovageclock.Boot, 800*time.Millisecond)
//	for { // at least every 800 ms
//		if pd.Check() != pauses { ... } // the process did not run for that long
//	}
package lovageclock

import (
	"sync"
	"time"
)

// PauseDetector notices that nothing called Check for longer than a limit: the process was stopped, its machine was suspended,
// or it got no processor time. It is safe for concurrent use.
type PauseDetector struct {
	clock func() time.Duration
	limit time.Duration

	mu        sync.Mutex
	checkedAt time.Duration
	pausedAt  time.Duration // when the end of the last pause was noticed
	length    time.Duration // of the last pause, with the time since the check before it
	pauses    int
}

// NewPauseDetector returns a detector of gaps longer than limit between calls of Check, by a clock such as Boot.
func NewPauseDetector(clock func() time.Duration, limit time.Duration) *PauseDetector {
	return &PauseDetector{clock: clock, limit: limit, checkedAt: clock()}
}

// Check returns the number of pauses so far.
func (pd *PauseDetector) Check() int {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	now := pd.clock()
	if now-pd.checkedAt > pd.limit {
		pd.pauses++
		pd.pausedAt, pd.length = now, now-pd.checkedAt
	}
	pd.checkedAt = now
	return pd.pauses
}

// LastPause returns the length of the last pause; it includes up to the time between two calls of Check.
func (pd *PauseDetector) LastPause() time.Duration {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	return pd.length
}

// PausedWithin reports whether the end of a pause was noticed within the given time. It also checks for a pause.
func (pd *PauseDetector) PausedWithin(du time.Duration) bool {
	pd.Check()
	pd.mu.Lock()
	defer pd.mu.Unlock()
	return pd.pauses > 0 && pd.checkedAt-pd.pausedAt <= du
}
