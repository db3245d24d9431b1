package lovageentry

import "time"

// introduction is the time from the start of a process until its peers have told it which workers are leaving. The
// process writes no lease before its end, so that it owns no keys and starts no tasks. It ends when the platform's list
// has been read once and each known peer has answered a heartbeat, at the latest when a silent peer would be suspect.
type introduction struct {
	done     chan struct{} // closed at the end; the only field that other goroutines use
	ended    bool
	deadline time.Time       // zero before the first tick
	answered map[string]bool // addresses of the peers that have answered
	listRead bool            // the first read of the list has ended, with or without success
}

func newIntroduction() introduction {
	return introduction{done: make(chan struct{}), answered: make(map[string]bool)}
}

// endIntroductionIfDue ends the introduction if nothing is left to wait for.
func (lo *controlLoop) endIntroductionIfDue() {
	it := &lo.introduction
	if it.ended {
		return
	}
	if it.deadline.IsZero() {
		it.deadline = lo.now.Add(lo.in.settings.Heartbeat.Suspect)
	}
	if lo.now.Before(it.deadline) {
		if !it.listRead {
			return
		}
		for address := range lo.heartbeatTargets() {
			if !it.answered[address] {
				return
			}
		}
	}
	it.ended = true
	close(it.done)
}

// isIntroduced reports whether the introduction has ended.
func (in *Instance) isIntroduced() bool {
	select {
	case <-in.control.introduction.done:
		return true
	default:
		return false
	}
}

// introductionStep says that the peer at an address has answered, or, without an address, that the first read of the
// list has ended.
type introductionStep struct{ address string }

func (is *introductionStep) apply(lo *controlLoop) {
	if is.address == "" {
		lo.introduction.listRead = true
	} else {
		lo.introduction.answered[is.address] = true
	}
	lo.endIntroductionIfDue()
}
