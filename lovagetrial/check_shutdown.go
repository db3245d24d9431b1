package lovagetrial

// checkShutdowns judges invariant 7 for processes that no fault has hit: a request that reached the process before it
// began to close its listener gets an answer or a refusal, also if that was after the shutdown had begun.
func (ch *checker) checkShutdowns() {
	for _, sh := range ch.ev.Shutdowns {
		if sh.Faulted {
			continue
		}
		if sh.Cut > 0 {
			ch.add(7, "the shutdown of %s cut %d requests", sh.Process, sh.Cut)
		}
		for i := range ch.ev.Calls {
			cr := &ch.ev.Calls[i]
			if cr.Process == sh.Process && cr.cut() && cr.Returned.After(sh.Began) && sh.reached(cr) {
				ch.add(7, "the shutdown of %s at %s, closed at %s, cut: %s", sh.Process, stamp(sh.Began), stamp(sh.Closed), cr)
			}
		}
	}
}

// cut reports whether the request ended without an answer although its caller was waiting.
func (cr *CallRecord) cut() bool { return cr.Err != nil && !cr.NotSent && !cr.Refused && !cr.GaveUp }

// reached reports whether the request reached the process in time to be answered.
func (sh *Shutdown) reached(cr *CallRecord) bool {
	return cr.Invoked.Before(sh.Began) || !cr.Wrote.IsZero() && cr.Wrote.Before(sh.Closed)
}
