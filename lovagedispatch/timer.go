package lovagedispatch

import "time"

// instant is a point in time, in nanoseconds since the first step.
type instant int64

// maxInstant is later than any deadline.
const maxInstant = instant(1<<63 - 1)

func (in instant) after(du time.Duration) instant { return in + instant(du) }

func (in instant) seconds() float64 { return float64(in) / 1e9 }

// timer is an action that is due at some time. An obsolete timer is not removed; fire checks whether the action still
// applies.
type timer interface{ fire(co *Core) }

// recheckTimer only makes the core request a Tick; the step of the Tick dispatches tasks.
type recheckTimer struct{}

func (recheckTimer) fire(*Core) {}

func (co *Core) setNow(now time.Time) {
	if co.firstStepTime.IsZero() {
		co.firstStepTime, co.nowTime = now, now
		return
	}
	if at := instant(now.Sub(co.firstStepTime)); at > co.now {
		co.now, co.nowTime = at, now
	}
}

func (co *Core) instantOf(ti time.Time) instant { return co.now.after(ti.Sub(co.nowTime)) }

func (co *Core) timeOf(in instant) time.Time { return co.nowTime.Add(time.Duration(in - co.now)) }

func (co *Core) setTimer(at instant, ti timer) {
	co.timerSeq++
	co.timers.push(float64(at), co.timerSeq, ti)
}

// runTimers fires the timers that are due. A timer's key is a float64: exact for the first 104 days, and off by a
// nanosecond after that.
func (co *Core) runTimers() {
	for co.timers.len() > 0 && co.timers.top().key <= float64(co.now) {
		ti := co.timers.top().item
		co.timers.remove(0)
		ti.fire(co)
	}
}

// requestTick requests a Tick for the next timer or deadline, unless one is already requested for that time or an
// earlier future time.
func (co *Core) requestTick() {
	next := maxInstant
	if co.timers.len() > 0 {
		next = instant(co.timers.top().key)
	}
	if co.deadlines.len() > 0 {
		next = min(next, co.deadlines.top().item.deadline)
	}
	if next == maxInstant || co.wakeAt > co.now && co.wakeAt <= next {
		return
	}
	co.wakeAt = max(next, co.now+1)
	co.emit(WakeAt{At: co.timeOf(co.wakeAt)})
}
