package lovageledger

import "time"

// copyWaits is the queue of ended keys whose answers wait for the replica, in the order of their ends. An answer waits
// until the copy of the end is acknowledged, but at most ResultAckTimeout: a failing replica must not hold up answers for as
// long as it takes to drop it (Rule D).
type ackWaitQueue struct {
	queue []ackWait
	head  int
}

type ackWait struct {
	rg    *keyRange
	sk    shortKey
	until time.Time
}

// holdAnswer makes answers to the key wait for the copy of its end. It reports false if
// there is nothing to wait for; the key is then marked only, so that answers count as given before the copy.
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
	le.ackWaits.queue = append(le.ackWaits.queue, ackWait{rg: rg, sk: sk, until: until})
	le.scheduleWake(until)
	return true
}

// wakeNoLaterThan asks for a Wake unless an earlier one is due.
func (le *Ledger) scheduleWake(at time.Time) {
	if le.wakeAt.IsZero() || at.Before(le.wakeAt) {
		le.wakeAt = at
		le.emit(WakeAt{At: at})
	}
}

// releaseAnswer ends the wait for the copy of a key's end. A key that is not held is left alone.
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

// dropCopies gives up the copies of a range and the waits for them. While the row names a replica, the keys stay marked.
func (le *Ledger) discardResults(rg *keyRange) {
	rg.results = resultQueue{}
	for _, aw := range le.ackWaits.queue[le.ackWaits.head:] {
		if de := rg.store.details[aw.sk]; aw.rg == rg && de != nil && !de.ackDeadline.IsZero() && de.answer.Outcome != "" {
			le.answerWaiters(rg, aw.sk, de.answer, true)
		}
	}
	mark := time.Time{}
	if rg.owner != nil && rg.owner.replica != "" {
		mark = le.now
	}
	for sk, de := range rg.store.details {
		if !de.ackDeadline.IsZero() {
			de.ackDeadline = mark
		}
		if mark.IsZero() && de.answer.Outcome == "" && len(de.waiters) == 0 && !de.cancelled {
			rg.store.dropDetail(sk) // only the mark was left of it
		}
	}
}

// expireWaits answers the requests whose time has come, and those that have waited for a copy for too long.
func (le *Ledger) expireWaits() {
	aw := &le.ackWaits
	for aw.head < len(aw.queue) && !aw.queue[aw.head].until.After(le.now) {
		wait := aw.queue[aw.head]
		aw.queue[aw.head] = ackWait{}
		aw.head++
		// The key stays marked until its copy is acknowledged, so that later answers count as given before the copy.
		if de := wait.rg.store.details[wait.sk]; de != nil && !de.ackDeadline.IsZero() && de.answer.Outcome != "" {
			le.answerWaiters(wait.rg, wait.sk, de.answer, true)
		}
	}
	if aw.head > len(aw.queue)/2 {
		n := copy(aw.queue, aw.queue[aw.head:])
		clear(aw.queue[n:])
		aw.queue, aw.head = aw.queue[:n], 0
	}
	le.requests.expire(le)
	// Waits that ended early keep their place in the queue. A Wake is asked for only if one is still held.
	for _, wait := range aw.queue[aw.head:] {
		if de := wait.rg.store.details[wait.sk]; de != nil && !de.ackDeadline.IsZero() {
			le.scheduleWake(wait.until)
			break
		}
	}
}

// replyEnd answers a request for a key that has ended, or lets it wait for the copy of the end.
func (le *Ledger) replyEnded(rg *keyRange, wa *waiter, re record) {
	de := rg.store.details[wa.sk]
	if de == nil || de.ackDeadline.IsZero() {
		le.reply(wa, rg.store.answer(rg.id, wa.sk, re))
		return
	}
	if until := de.ackDeadline; until.After(le.now) {
		le.requests.drop(wa.request)
		// The wait for the copy answers it; this is the time at which it would do so without an acknowledgement.
		wa.until = until
		le.requests.add(wa)
		de.waiters = append(de.waiters, wa.request)
		return
	}
	le.requests.drop(wa.request)
	le.emit(Reply{Request: wa.request, Answer: rg.store.answer(rg.id, wa.sk, re), Unreplicated: true})
}
