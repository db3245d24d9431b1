package lovagetrial

// checkShutdowns checks invariant 7 for processes that no fault has hit. A request that reached the process before its
// listener closed must get an answer or a refusal, even if it arrived after the shutdown began.
func (ch *checker) checkShutdowns() {
	for _, sh := range ch.ev.Shutdowns {
		if sh.Faulted {
			continue
		}
		if sh.CutRequests > 0 {
			ch.addViolation(7, "the shutdown of %s cut %d requests", sh.Process, sh.CutRequests)
		}
		for i := range ch.ev.Calls {
			cr := &ch.ev.Calls[i]
			if cr.Process == sh.Process && cr.endedWithoutReply() && cr.Returned.After(sh.Began) && sh.reachedInTime(cr) {
				ch.addViolation(7, "the shutdown of %s at %s, closed at %s, cut: %s", sh.Process, formatSeconds(sh.Began),
					formatSeconds(sh.AcceptedUntil), cr)
			}
		}
	}
}

// endedWithoutReply reports whether the request got no answer and no refusal although its caller was still waiting.
func (cr *CallRecord) endedWithoutReply() bool {
	return cr.Err != nil && !cr.NotSent && !cr.Refused && !cr.CallerGaveUp
}

// reachedInTime reports whether the request reached the process early enough to be answered.
func (sh *ShutdownRecord) reachedInTime(cr *CallRecord) bool {
	return cr.Invoked.Before(sh.Began) || !cr.Written.IsZero() && cr.Written.Before(sh.AcceptedUntil)
}
