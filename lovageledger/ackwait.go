package lovageledger

import "time"

// ackWaitQueue holds ended keys in the order of their ends. The answer to such a key waits until a peer has
// acknowledged the result, but at most ResultAckTimeout. A failing replica would otherwise delay answers until the owner
// drops it from the range (Rule D).
type ackWaitQueue struct {
	queue []ackWait
	head  int // index of the first wait in queue
}

type ackWait struct {
	keyRange *keyRange
	shortKey shortKey
	deadline time.Time
}

// holdAnswer makes answers for the key wait for the acknowledgement of its result, and reports whether they wait. It
// sets ackDeadline even if they do not, so that answers are marked as unreplicated until the acknowledgement.
func (le *Ledger) holdAnswer(rg *keyRange, sk shortKey, timeout time.Duration) bool {
	de := rg.store.detail(sk)
	if de.answer.Outcome == "" {
		timeout = 0
	}
	until := le.now.Add(timeout)
	de.ackDeadline = until
	if timeout <= 0 {
		return false
	}
	le.ackWaits.queue = append(le.ackWaits.queue, ackWait{keyRange: rg, shortKey: sk, deadline: until})
	le.scheduleWake(until)
	return true
}

// scheduleWake asks for a Wake at the time unless one has been requested for that time or an earlier one.
func (le *Ledger) scheduleWake(at time.Time) {
	if le.wakeAt.IsZero() || at.Before(le.wakeAt) {
		le.wakeAt = at
		le.emit(WakeAt{At: at})
	}
}

// releaseAnswer ends the wait, if any, for the acknowledgement of a key's result, and answers the waiting requests.
func (le *Ledger) releaseAnswer(rg *keyRange, sk shortKey, unreplicated bool) {
	de := rg.store.details[sk]
	if de == nil || de.ackDeadline.IsZero() {
		return
	}
	de.ackDeadline = time.Time{}
	if de.answer.Outcome == "" {
		le.dropAnswer(rg, sk)
		return
	}
	le.answerWaiters(rg, sk, de.answer, unreplicated)
}

// discardResults empties the result queue of a range and ends the waits for acknowledgements. While the row names a
// replica, the keys keep an ackDeadline, so that their answers still count as unreplicated.
func (le *Ledger) discardResults(rg *keyRange) {
	rg.resultQueue = resultQueue{}
	for _, aw := range le.ackWaits.queue[le.ackWaits.head:] {
		if de := rg.store.details[aw.shortKey]; aw.keyRange == rg && de != nil &&
			!de.ackDeadline.IsZero() && de.answer.Outcome != "" {
			le.answerWaiters(rg, aw.shortKey, de.answer, true)
		}
	}
	deadline := time.Time{}
	if rg.owner != nil && rg.owner.replica != "" {
		deadline = le.now
	}
	for sk, de := range rg.store.details {
		if !de.ackDeadline.IsZero() {
			de.ackDeadline = deadline
		}
		if deadline.IsZero() && de.answer.Outcome == "" && len(de.waitingRequests) == 0 && !de.cancelled {
			rg.store.dropDetail(sk) // the detail held only the ackDeadline
		}
	}
}

// expireWaits answers the requests that have reached their deadline and those whose wait for an acknowledgement has
// timed out.
func (le *Ledger) expireWaits() {
	aw := &le.ackWaits
	for aw.head < len(aw.queue) && !aw.queue[aw.head].deadline.After(le.now) {
		wait := aw.queue[aw.head]
		aw.queue[aw.head] = ackWait{}
		aw.head++
		// ackDeadline stays set, so that later answers are marked as unreplicated.
		if de := wait.keyRange.store.details[wait.shortKey]; de != nil && !de.ackDeadline.IsZero() && de.answer.Outcome != "" {
			le.answerWaiters(wait.keyRange, wait.shortKey, de.answer, true)
		}
	}
	if aw.head > len(aw.queue)/2 {
		n := copy(aw.queue, aw.queue[aw.head:])
		clear(aw.queue[n:])
		aw.queue, aw.head = aw.queue[:n], 0
	}
	le.requests.answerExpired(le)
	// Waits that ended early are still in the queue. Only a wait that still holds an answer needs a Wake.
	for _, wait := range aw.queue[aw.head:] {
		if de := wait.keyRange.store.details[wait.shortKey]; de != nil && !de.ackDeadline.IsZero() {
			le.scheduleWake(wait.deadline)
			break
		}
	}
}

// replyEnded answers a request for a key that has ended, or lets it wait for the acknowledgement of the result.
func (le *Ledger) replyEnded(rg *keyRange, wa *waiter, re record) {
	de := rg.store.details[wa.shortKey]
	if de == nil || de.ackDeadline.IsZero() {
		le.replyAnswer(wa, rg.store.answer(rg.id, wa.shortKey, re))
		return
	}
	if until := de.ackDeadline; until.After(le.now) {
		le.requests.drop(wa.request)
		// The end of the wait answers the request, at the latest at this time.
		wa.deadline = until
		le.requests.add(wa)
		de.waitingRequests = append(de.waitingRequests, wa.request)
		return
	}
	le.requests.drop(wa.request)
	le.emit(Reply{Request: wa.request, Answer: rg.store.answer(rg.id, wa.shortKey, re), Unreplicated: true})
}
