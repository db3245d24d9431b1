package lovagedispatch

import "time"

// instant is a point in time, in nanoseconds since the first step.
type instant int64

// maxInstant is later than any deadline.
const maxInstant = instant(1<<63 - 1)

func (in instant) after(du time.Duration) instant { return in + instant(du) }

func (in instant) seconds() float64 { return float64(in) / 1e9 }

// timer is an action that is due at some time. A timer is not removed when it becomes obsolete; fire checks for that.
type timer interface{ fire(co *Core) }

// recheckTimer only causes a step at its time; each step dispatches.
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

// runTimers fires the timers that are due. The key of a timer is rounded to a float64, which is exact for the first 104
// days and off by a nanosecond after them.
func (co *Core) runTimers() {
	for co.timers.len() > 0 && co.timers.top().key <= float64(co.now) {
		ti := co.timers.top().item
		co.timers.remove(0)
		ti.fire(co)
	}
}

// requestTick requests the next tick unless one is already requested for that time or for an earlier time to come.
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
