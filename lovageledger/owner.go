package lovageledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovagejob"
)

// acceptQueue holds keys of one range that must be acknowledged before they start, by the range's replica or by the
// instance being added as its replica.
type acceptQueue struct {
	peer         string
	paused       bool       // the peer does not know the range yet: nothing is sent
	queue        []shortKey // not sent yet
	inFlight     []shortKey // keys of the unacknowledged batch
	batch        uint64
	sentAt       time.Time
	retryAt      time.Time
	waitingSince time.Time // start of the wait for acknowledgements, or time of the last one
}

// unacknowledged returns the unacknowledged keys in the order of their submission.
func (aq *acceptQueue) unacknowledged() []shortKey { return slices.Concat(aq.inFlight, aq.queue) }

// idle reports whether every key is acknowledged.
func (aq *acceptQueue) idle() bool { return len(aq.inFlight) == 0 && len(aq.queue) == 0 }

// acknowledgesInTime reports whether the peer acknowledges keys within the timeout.
func (aq *acceptQueue) acknowledgesInTime(now time.Time, timeout time.Duration) bool {
	return aq.idle() || now.Sub(aq.waitingSince) < timeout
}

// requeue moves the keys in flight to the front of the queue. A late reply to their batch is then ignored.
func (aq *acceptQueue) requeue() {
	aq.queue, aq.inFlight, aq.batch = aq.unacknowledged(), nil, 0
}

// add queues a key for the next batch.
func (aq *acceptQueue) add(now time.Time, sk shortKey) {
	if aq.idle() {
		aq.waitingSince = now
	}
	aq.queue = append(aq.queue, sk)
}

// flushAccepts sends the next batch of accepts unless one is unacknowledged.
func (le *Ledger) flushAccepts(rg *keyRange) {
	own := rg.owner
	if own == nil || own.acceptQueue == nil || !rg.mayAdmit() {
		return
	}
	aq := own.acceptQueue
	if aq.paused || len(aq.inFlight) > 0 || len(aq.queue) == 0 || le.now.Before(aq.retryAt) {
		return
	}
	n := min(len(aq.queue), le.settings.MaxBatchKeys)
	aq.inFlight, aq.queue = slices.Clone(aq.queue[:n]), aq.queue[n:]
	aq.batch, aq.sentAt = le.newID(), le.now
	keys := make([]AcceptKey, 0, n)
	for _, sk := range aq.inFlight {
		re, _ := rg.store.get(sk)
		keys = append(keys, AcceptKey{Key: sk.fullKey(rg.id), Fingerprint: re.fingerprint})
	}
	le.emit(SendAccept{Peer: aq.peer, Range: rg.id, Batch: aq.batch, Epoch: own.epoch, Keys: keys})
}

func (le *Ledger) acceptReplied(ev *AcceptReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.owner == nil || rg.owner.acceptQueue == nil {
		return
	}
	aq := rg.owner.acceptQueue
	if aq.peer != ev.Peer || aq.batch != ev.Batch || len(aq.inFlight) == 0 {
		return
	}
	if ev.Failed || !ev.Accepted || !rg.mayAdmit() {
		if !ev.Failed && !ev.Accepted {
			le.table.rangesStale = true // the replica may be taking over, or another instance already owns the range
		}
		aq.requeue()
		aq.retryAt = le.now.Add(le.settings.AcceptTimeout / 5)
		return
	}
	ackedKeys := aq.inFlight
	aq.inFlight, aq.batch, aq.waitingSince = nil, 0, le.now
	for _, sk := range ackedKeys {
		// Rule A lets the key start: the replica has acknowledged its record under the epoch of the row.
		le.admitKey(rg, sk)
	}
	le.flushAccepts(rg)
}

// mayAdmit reports whether waiting keys may be admitted. The drop of a replica (Rule D) and a hand-over (Rule F) forbid
// admission until their transaction is resolved. A hand-over forbids it as soon as records are collected for the
// transfer.
func (rg *keyRange) mayAdmit() bool {
	return rg.owner != nil && !rg.owner.stopped && (rg.pendingUpdate == nil || rg.pendingUpdate.kind == changeAddReplica)
}

// canAccept reports whether new submissions are accepted.
func (rg *keyRange) canAccept() bool { return rg.mayAdmit() && !rg.owner.closing }

// admitKey starts a waiting key. Each call site names the rule that allows it.
func (le *Ledger) admitKey(rg *keyRange, sk shortKey) {
	re, ok := rg.store.get(sk)
	if !ok || re.state != stateWaiting {
		return
	}
	if de := rg.store.details[sk]; de != nil && de.cancelled {
		// Rule A lets the owner say that the key has not run: it never admitted the key, and the record now refuses it.
		ans := lovagejob.Answer{Key: sk.fullKey(rg.id), Outcome: lovagejob.Cancelled, Reason: "cancelled before it was started"}
		le.finishLocal(rg, sk, re, ans)
		return
	}
	re.state = stateRunning
	rg.store.put(sk, re)
	le.emit(Admit{Key: sk.fullKey(rg.id), Fingerprint: re.fingerprint})
	le.answerStartWaiters(rg, sk)
}

// admitOrQueue handles a key that waited for an acknowledgement under an earlier epoch: it admits the key, or queues it
// if a replica must acknowledge it.
func (le *Ledger) admitOrQueue(rg *keyRange, sk shortKey) {
	if rg.owner.acceptQueue != nil {
		rg.owner.acceptQueue.add(le.now, sk)
		return
	}
	// Rule A: the row names this owner and no replica, and none is being added, so no acknowledgement is required.
	le.admitKey(rg, sk)
}

// tickAccepts sends accepts again that were not acknowledged in time.
func (le *Ledger) tickAccepts(rg *keyRange) {
	if rg.owner == nil || rg.owner.acceptQueue == nil {
		return
	}
	aq := rg.owner.acceptQueue
	if len(aq.inFlight) > 0 && le.now.Sub(aq.sentAt) >= le.settings.AcceptTimeout {
		aq.requeue()
	}
	le.flushAccepts(rg)
}

// maintainOwner drops or adds the replica of an owned range, or releases the range, when that is due. It claims a
// range anew if this instance lacks records of the range.
func (le *Ledger) maintainOwner(rg *keyRange) {
	if rg.recordsLost && rg.pendingUpdate == nil && !le.draining && !le.now.Before(rg.retryAt) {
		le.claimRange(rg)
	}
	own := rg.owner
	if own == nil || rg.pendingUpdate != nil || own.stopped {
		return
	}
	if own.transfer != nil {
		le.checkAddition(rg)
		return
	}
	if le.now.Before(rg.retryAt) || le.table.failing || le.draining {
		return
	}
	switch {
	case own.replica != "" && le.replicaFailed(own.acceptQueue):
		// Rule D: no key is admitted until the transaction is known to have succeeded or failed.
		own.acceptQueue.requeue()
		le.updateRow(rg, changeDropReplica, RangeRow{
			Owner: le.settings.Instance, Epoch: own.epoch + 1, CompleteSince: own.completeSince,
		})
	case le.releasable(rg):
		le.updateRow(rg, changeRelease, RangeRow{Epoch: own.epoch + 1, CompleteSince: own.epoch + 1})
	case own.replica == "" && own.wantsReplica && (rg.store.recordCount > 0 || !le.isSurplus(rg)):
		if peer := le.chooseReplica(rg); peer != "" {
			le.beginAddition(rg, peer)
		}
	}
}

// replicaFailed reports whether the replica is to be dropped.
func (le *Ledger) replicaFailed(aq *acceptQueue) bool {
	me, known := le.members[aq.peer]
	return !known || me.State == MemberGone || me.Leaving || !aq.acknowledgesInTime(le.now, le.settings.ReplicaTimeout)
}

// beginAddition starts to send the records to a new replica and requires its acknowledgements from now on (Rule E).
func (le *Ledger) beginAddition(rg *keyRange, peer string) {
	rg.owner.acceptQueue = &acceptQueue{peer: peer, paused: true}
	rg.owner.transfer = le.newOutgoingTransfer(rg, peer, false)
	le.sendChunk(rg)
}

// checkAddition aborts the addition of a replica if the peer is not live or does not answer in time, or if this
// instance drains. The transaction that would name the peer has not been sent, so the peer's acknowledgements are no
// longer required.
func (le *Ledger) checkAddition(rg *keyRange) {
	own := rg.owner
	if le.members[own.transfer.peer].State == MemberLive && !le.draining &&
		le.now.Sub(own.transfer.progressAt) < le.settings.ReplicaTimeout &&
		own.acceptQueue.acknowledgesInTime(le.now, le.settings.ReplicaTimeout) {
		return
	}
	rg.failedPeer = own.transfer.peer
	rg.retryAt = le.now.Add(le.settings.RetryBackoff)
	le.abortAddition(rg)
}

// abortAddition gives up the addition of a replica and admits the waiting keys. The transaction that would name the
// replica has not been sent, or is proven to have failed.
func (le *Ledger) abortAddition(rg *keyRange) {
	pendingKeys := rg.owner.acceptQueue.unacknowledged()
	rg.owner.transfer, rg.owner.acceptQueue = nil, nil
	le.discardResults(rg)
	for _, sk := range pendingKeys {
		// Rule A: the row names no replica, and cannot come to name one without a new addition.
		le.admitKey(rg, sk)
	}
}

// chooseReplica returns a live peer that can replicate the range, or "" if there is none. It prefers a peer other than
// failedPeer, then one in this data centre, then one in the nearest other data centre. A hash spreads the ranges over
// equal candidates. If rg is nil, any such peer is returned.
func (le *Ledger) chooseReplica(rg *keyRange) string {
	type candidate struct {
		failed, remote bool
		roundTrip      time.Duration
		hash           uint64
	}
	best, bestID := candidate{}, ""
	for _, me := range le.peers {
		if me.State != MemberLive || me.Leaving {
			continue
		}
		if rg == nil {
			return me.ID
		}
		ca := candidate{failed: me.ID == rg.failedPeer, remote: me.DataCentre != le.settings.DataCentre}
		if ca.remote {
			ca.roundTrip = me.RoundTrip
		}
		ca.hash = xxhash.Sum64String(rg.id.String() + "/" + me.ID)
		order := cmp.Or(compareBool(ca.failed, best.failed), compareBool(ca.remote, best.remote),
			cmp.Compare(ca.roundTrip, best.roundTrip), cmp.Compare(ca.hash, best.hash))
		if bestID == "" || order < 0 {
			best, bestID = ca, me.ID
		}
	}
	return bestID
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// releaseAfter is the time for which a new owner keeps a range even if it has no records.
const releaseAfter = time.Minute

// releasable reports whether this instance may give up the range. The range must be surplus, owned for releaseAfter,
// and without records or blocked submissions, and its known keys must have expired. Keys that a former owner minted
// and nobody has submitted are not known here: they can be submitted for releaseAfter, and are answered with "unknown"
// after that.
func (le *Ledger) releasable(rg *keyRange) bool {
	return rg.store.recordCount == 0 && len(rg.blockedSubmits) == 0 &&
		max(rg.lastMintMillis, rg.store.newestMintMillis) < le.expiredBeforeMillis() &&
		le.latestMillis-rg.ownedSinceMillis >= releaseAfter.Milliseconds() && le.isSurplus(rg)
}

// isSurplus reports whether the instance owns enough ranges of the same kind before this one in ownedRanges. New keys
// are minted in a surplus range only if no other range accepts them.
func (le *Ledger) isSurplus(rg *keyRange) bool {
	wanted := le.settings.UnreplicatedRanges
	if rg.owner.wantsReplica {
		wanted = le.settings.ReplicatedRanges
	}
	for _, other := range le.ownedRanges {
		if other.owner.wantsReplica != rg.owner.wantsReplica {
			continue
		}
		if other == rg {
			return wanted <= 0
		}
		wanted--
	}
	return false
}
