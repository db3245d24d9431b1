package lovagefleet

import "time"

const (
	// slowLag is the lateness from which an instance counts as slow. An owner's lateness delays a task twice, at its start and when its
	// end is read, and the goals of the shortest tasks leave about 100 ms for both. Owners on sound machines were 15 to 25 ms
	// late at 2.6 times the usual load, and 80 to 270 ms on a machine that was slowed 6 times.
	slowLag = 60 * time.Millisecond
	// slowSamples is the number of late samples among the last sampleWindow, one each renewInterval, from which an instance counts as
	// slow. A stall shows in up to three samples. On a slowed machine a third of the samples are below slowLag.
	slowSamples  = 4
	sampleWindow = 6
	// lateSamples is the number from which an instance gets no domain. A stall that is over does not rule it out.
	lateSamples = 3
	// slowFor is how long an instance counts as slow after it was last late. Without a domain it has little to do, so that its lag no
	// longer shows a slow machine, and the domain must not come back at once.
	slowFor = 10 * time.Second
	// minReliefShare is the least share of a slow owner's CPU cores with which another instance relieves it. With less, that one
	// could be late on a sound machine.
	minReliefShare = 0.5
)

// slowness decides whether this instance is too slow to own workers. It answers the load of an owner whose machine has lost most of its
// speed: its tasks start late and their ends are read late, while other instances of its data centre are idle.
type slowness struct {
	samples   [sampleWindow]bool // whether the lag of each of the last samples was slowLag or more
	next      int                // index of the oldest sample
	sampledAt time.Time
	slowUntil time.Time
}

// note records the lag of this instance, unless the last sample is too recent: a stall must not show in more of them. It reports whether
// the instance has begun to count as slow.
func (sl *slowness) note(now time.Time, lag time.Duration) bool {
	if now.Sub(sl.sampledAt) < renewInterval/2 {
		return false
	}
	sl.sampledAt = now
	sl.samples[sl.next] = lag >= slowLag
	sl.next = (sl.next + 1) % sampleWindow
	if sl.countLate() < slowSamples {
		return false
	}
	began := !sl.slow(now)
	sl.slowUntil = now.Add(slowFor)
	return began
}

func (sl *slowness) countLate() int {
	n := 0
	for _, late := range sl.samples {
		if late {
			n++
		}
	}
	return n
}

// slow reports whether the instance counts as slow.
func (sl *slowness) slow(now time.Time) bool { return now.Before(sl.slowUntil) }

// late reports whether the instance was late in half of the recent samples, or counts as slow. Where the whole machine or the links are slow, all
// instances are late, and a domain stays where it is.
func (sl *slowness) late(now time.Time) bool { return sl.countLate() >= lateSamples || sl.slow(now) }
