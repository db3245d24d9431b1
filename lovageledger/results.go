package lovageledger

import (
	"slices"
	"time"
)

// resultQueue holds ended keys whose results are to be sent. An owner sends them to the replica, a former owner to the
// current owner. At most one batch is unacknowledged. Safety does not depend on these messages; they let the receiver
// answer with the outcome instead of "unknown". The answer of a job that ended here waits for the acknowledgement, see
// ackWaitQueue.
type resultQueue struct {
	queue    []shortKey
	inFlight []shortKey
	batch    uint64
	peer     string
	retryAt  time.Time
	sentAt   time.Time
}

// maxResultQueue is the maximum number of keys in a resultQueue. The results of further keys are not sent.
const maxResultQueue = 100_000

// replicateResult queues the result of a key for the replica or the new owner, and sends it at once unless a batch is
// unacknowledged. It reports whether answers have to wait for the acknowledgement.
func (le *Ledger) replicateResult(rg *keyRange, sk shortKey) (wait bool) {
	paused := rg.owner != nil && rg.owner.acceptQueue != nil && rg.owner.acceptQueue.paused
	if len(rg.resultQueue.queue) >= maxResultQueue || !paused && le.resultPeer(rg) == "" {
		return false
	}
	rg.resultQueue.queue = append(rg.resultQueue.queue, sk)
	if paused {
		// The transfer may hold the key as running, so the result is sent afterwards. Answers do not wait for a
		// replica that is still being added.
		le.holdAnswer(rg, sk, 0)
		return false
	}
	held := le.holdAnswer(rg, sk, le.settings.ResultAckTimeout)
	le.flushResults(rg)
	return held
}

// resultPeer returns the instance to send results to, or "" if there is none.
func (le *Ledger) resultPeer(rg *keyRange) string {
	switch {
	case rg.owner != nil && rg.owner.acceptQueue != nil && !rg.owner.acceptQueue.paused:
		return rg.owner.acceptQueue.peer
	case rg.owner == nil && rg.row.Owner != "" && rg.row.Owner != le.settings.Instance:
		return rg.row.Owner
	}
	return ""
}

// queueRetainedResults queues every result that is still kept in full for the new owner of the range.
func (le *Ledger) queueRetainedResults(rg *keyRange) {
	for sk, de := range rg.store.details {
		if de.answer.Outcome != "" {
			rg.resultQueue.queue = append(rg.resultQueue.queue, sk)
		}
	}
	slices.SortFunc(rg.resultQueue.queue, shortKey.compare)
	if len(rg.resultQueue.queue) > maxResultQueue {
		rg.resultQueue.queue = rg.resultQueue.queue[:maxResultQueue]
	}
}

// flushResults sends the next batch of results unless one is unacknowledged.
func (le *Ledger) flushResults(rg *keyRange) {
	rq := &rg.resultQueue
	if len(rq.inFlight) > 0 && le.now.Sub(rq.sentAt) >= 4*le.settings.AcceptTimeout {
		rq.requeue()
	}
	if len(rq.queue) == 0 || len(rq.inFlight) > 0 || le.now.Before(rq.retryAt) {
		return
	}
	peer := le.resultPeer(rg)
	me, known := le.members[peer]
	switch {
	case peer == "" && rg.owner != nil && rg.owner.acceptQueue != nil:
		return // the results are sent when the new replica knows the range
	case rg.owner != nil && !le.draining && (!known || me.State == MemberGone):
		return // the owner will drop the replica (Rule D), or the replica will come back
	case !known || me.State == MemberGone:
		le.discardResults(rg) // no instance is left that could use them
		return
	case me.State != MemberLive:
		return
	}
	var records []Record
	n := 0
	for bytes := 0; n < len(rq.queue) && len(records) < le.settings.MaxBatchKeys && bytes < maxChunkBytes; n++ {
		if rec, ok := rg.exportRecord(rq.queue[n]); ok {
			records = append(records, rec)
			bytes += answerBytes(&rec.Answer)
		}
	}
	rq.inFlight, rq.queue = slices.Clone(rq.queue[:n]), rq.queue[n:]
	if len(records) == 0 {
		rq.inFlight = nil
		return
	}
	rq.batch, rq.peer, rq.sentAt = le.newID(), peer, le.now
	le.emit(SendResult{Peer: peer, Range: rg.id, Batch: rq.batch, Records: records})
}

func (rq *resultQueue) requeue() {
	rq.queue, rq.inFlight, rq.batch = slices.Concat(rq.inFlight, rq.queue), nil, 0
}

func (le *Ledger) resultReplied(ev *ResultReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.resultQueue.batch != ev.Batch || rg.resultQueue.peer != ev.Peer || len(rg.resultQueue.inFlight) == 0 {
		return
	}
	if ev.Failed {
		rg.resultQueue.requeue()
		rg.resultQueue.retryAt = le.now.Add(le.settings.AcceptTimeout / 5)
		return
	}
	if !ev.Accepted {
		le.table.rangesStale = true // the peer is neither the replica nor the new owner
	}
	sentKeys := rg.resultQueue.inFlight
	rg.resultQueue.inFlight, rg.resultQueue.batch = nil, 0
	for _, sk := range sentKeys {
		le.releaseAnswer(rg, sk, !ev.Accepted)
	}
	le.flushResults(rg)
}

// UnreplicatedResults returns the number of results that no peer has acknowledged yet. An instance that shuts down
// waits for zero, so that its last answers are known elsewhere.
func (le *Ledger) UnreplicatedResults() int {
	n := 0
	for _, rg := range le.ranges {
		n += len(rg.resultQueue.queue) + len(rg.resultQueue.inFlight)
	}
	return n
}
