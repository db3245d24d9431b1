package lovageledger

import (
	"slices"
	"time"
)

// resultCopies is the queue of ended keys to be copied: by an owner to the replica, by a former owner to the current
// one. One batch at a time is unacknowledged. Safety does not depend on copies; they let the receiver answer with the
// outcome instead of "unknown". The answer of a job that ended here waits for the acknowledgement of its copy, see
// copyWaits.
type resultCopies struct {
	queue    []shortKey
	inFlight []shortKey
	batch    uint64
	peer     string
	retryAt  time.Time
	sentAt   time.Time
}

// maxCopyQueue bounds the keys that wait to be copied. Beyond it the newest are not copied.
const maxCopyQueue = 100_000

// copyResult queues the end of a key for the instance that may have to tell it, and sends it at once unless a batch is
// unacknowledged. It reports whether answers have to wait for the acknowledgement.
func (le *Ledger) copyResult(rg *keyRange, sk shortKey) (wait bool) {
	closed := rg.own != nil && rg.own.link != nil && rg.own.link.closed
	if len(rg.copies.queue) >= maxCopyQueue || !closed && le.copyPeer(rg) == "" {
		return false
	}
	rg.copies.queue = append(rg.copies.queue, sk)
	if closed {
		// The snapshot may hold the key as running, so its end follows. The range has no replica yet: nobody waits.
		le.holdAnswer(rg, sk, 0)
		return false
	}
	held := le.holdAnswer(rg, sk, le.se.ResultAckTimeout)
	le.tickCopies(rg)
	return held
}

// copyPeer returns the instance to copy results to, or "" if there is none.
func (le *Ledger) copyPeer(rg *keyRange) string {
	switch {
	case rg.own != nil && rg.own.link != nil && !rg.own.link.closed:
		return rg.own.link.peer
	case rg.own == nil && rg.row.Owner != "" && rg.row.Owner != le.se.Instance:
		return rg.row.Owner
	}
	return ""
}

// copyKept queues every end that is still kept in full for the new owner of the range.
func (le *Ledger) copyKept(rg *keyRange) {
	for sk, de := range rg.store.details {
		if de.answer.Outcome != "" {
			rg.copies.queue = append(rg.copies.queue, sk)
		}
	}
	slices.SortFunc(rg.copies.queue, shortKey.compare)
	if len(rg.copies.queue) > maxCopyQueue {
		rg.copies.queue = rg.copies.queue[:maxCopyQueue]
	}
}

// tickCopies sends the next batch of ends unless one is unacknowledged.
func (le *Ledger) tickCopies(rg *keyRange) {
	rc := &rg.copies
	if len(rc.inFlight) > 0 && le.now.Sub(rc.sentAt) >= 4*le.se.AcceptTimeout {
		rc.requeue()
	}
	if len(rc.queue) == 0 || len(rc.inFlight) > 0 || le.now.Before(rc.retryAt) {
		return
	}
	peer := le.copyPeer(rg)
	me, known := le.members[peer]
	switch {
	case peer == "" && rg.own != nil && rg.own.link != nil:
		return // sent when the new replica knows the range
	case rg.own != nil && !le.draining && (!known || me.State == MemberGone):
		return // Rule D is due, or the instance comes back
	case !known || me.State == MemberGone:
		le.dropCopies(rg) // nobody is left who could use them
		return
	case me.State != MemberLive:
		return
	}
	var records []Record
	n := 0
	for bytes := 0; n < len(rc.queue) && len(records) < le.se.MaxBatchKeys && bytes < maxChunkBytes; n++ {
		if rec, ok := rg.export(rc.queue[n]); ok {
			records = append(records, rec)
			bytes += answerBytes(&rec.Answer)
		}
	}
	rc.inFlight, rc.queue = slices.Clone(rc.queue[:n]), rc.queue[n:]
	if len(records) == 0 {
		rc.inFlight = nil
		return
	}
	rc.batch, rc.peer, rc.sentAt = le.newID(), peer, le.now
	le.emit(SendResult{Peer: peer, Range: rg.id, Batch: rc.batch, Records: records})
}

func (rc *resultCopies) requeue() {
	rc.queue, rc.inFlight, rc.batch = slices.Concat(rc.inFlight, rc.queue), nil, 0
}

func (le *Ledger) resultReplied(ev *ResultReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.copies.batch != ev.Batch || rg.copies.peer != ev.Peer || len(rg.copies.inFlight) == 0 {
		return
	}
	if ev.Failed {
		rg.copies.requeue()
		rg.copies.retryAt = le.now.Add(le.se.AcceptTimeout / 5)
		return
	}
	if !ev.Accepted {
		le.table.wantRanges = true // the peer is neither the replica nor the new owner
	}
	done := rg.copies.inFlight
	rg.copies.inFlight, rg.copies.batch = nil, 0
	for _, sk := range done {
		le.releaseAnswer(rg, sk, !ev.Accepted)
	}
	le.tickCopies(rg)
}

// UnreplicatedResults returns the number of ends that have not been copied to the replica or the new owner yet. An instance that
// shuts down waits for zero, so that its last answers are known elsewhere.
func (le *Ledger) UnreplicatedResults() int {
	n := 0
	for _, rg := range le.ranges {
		n += len(rg.copies.queue) + len(rg.copies.inFlight)
	}
	return n
}
