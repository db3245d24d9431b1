package lovagetrial

// checkShutdowns judges invariant 7 for processes that no fault has hit: a request that reached the process before it
// began to close its listener gets an answer or a refusal, also if that was after the shutdown had begun.
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
				ch.addViolation(7, "the shutdown of %s at %s, closed at %s, cut: %s", sh.Process, formatSeconds(sh.Began), formatSeconds(sh.AcceptedUntil), cr)
			}
		}
	}
}

// endedWithoutReply reports whether the request ended without an answer although its caller was waiting.
func (cr *CallRecord) endedWithoutReply() bool {
	return cr.Err != nil && !cr.NotSent && !cr.Refused && !cr.CallerGaveUp
}

// reachedInTime reports whether the request reached the process in time to be answered.
func (sh *ShutdownRecord) reachedInTime(cr *CallRecord) bool {
	return cr.Invoked.Before(sh.Began) || !cr.Written.IsZero() && cr.Written.Before(sh.AcceptedUntil)
}
