package lovageledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovagejob"
)

// link carries the accepts of one range to its replica, or to the instance that is being added as one.
type acceptQueue struct {
	peer         string
	paused       bool       // the peer does not know the range yet: nothing is sent
	queue        []shortKey // to be sent with the next batch
	inFlight     []shortKey
	batch        uint64
	sentAt       time.Time
	retryAt      time.Time
	waitingSince time.Time // since when keys have waited without any acknowledgement
}

// pending returns the keys without acknowledgement, in the order of their submission.
func (aq *acceptQueue) pending() []shortKey { return slices.Concat(aq.inFlight, aq.queue) }

// idle reports whether no key waits.
func (aq *acceptQueue) idle() bool { return len(aq.inFlight) == 0 && len(aq.queue) == 0 }

// healthy reports whether keys are acknowledged in time.
func (aq *acceptQueue) healthy(now time.Time, timeout time.Duration) bool {
	return aq.idle() || now.Sub(aq.waitingSince) < timeout
}

// requeue makes the keys in flight the first of the next batch. A late reply to the old batch is then ignored.
func (aq *acceptQueue) requeue() {
	aq.queue, aq.inFlight, aq.batch = aq.pending(), nil, 0
}

// await queues a key for the next batch.
func (aq *acceptQueue) add(now time.Time, sk shortKey) {
	if aq.idle() {
		aq.waitingSince = now
	}
	aq.queue = append(aq.queue, sk)
}

// flushAccepts sends the next batch unless one is unacknowledged.
func (le *Ledger) flushAccepts(rg *keyRange) {
	own := rg.owner
	if own == nil || own.accepts == nil || !rg.mayAdmit() {
		return
	}
	aq := own.accepts
	if aq.paused || len(aq.inFlight) > 0 || len(aq.queue) == 0 || le.now.Before(aq.retryAt) {
		return
	}
	n := min(len(aq.queue), le.se.MaxBatchKeys)
	aq.inFlight, aq.queue = slices.Clone(aq.queue[:n]), aq.queue[n:]
	aq.batch, aq.sentAt = le.newID(), le.now
	keys := make([]AcceptKey, 0, n)
	for _, sk := range aq.inFlight {
		re, _ := rg.store.get(sk)
		keys = append(keys, AcceptKey{Key: sk.long(rg.id), Fingerprint: re.fingerprint})
	}
	le.emit(SendAccept{Peer: aq.peer, Range: rg.id, Batch: aq.batch, Epoch: own.epoch, Keys: keys})
}

func (le *Ledger) acceptReplied(ev *AcceptReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.owner == nil || rg.owner.accepts == nil {
		return
	}
	aq := rg.owner.accepts
	if aq.peer != ev.Peer || aq.batch != ev.Batch || len(aq.inFlight) == 0 {
		return
	}
	if ev.Failed || !ev.Accepted || !rg.mayAdmit() {
		if !ev.Failed && !ev.Accepted {
			le.table.rangesStale = true // the replica may be taking over, or this instance has been superseded
		}
		aq.requeue()
		aq.retryAt = le.now.Add(le.se.AcceptTimeout / 5)
		return
	}
	acked := aq.inFlight
	aq.inFlight, aq.batch, aq.waitingSince = nil, 0, le.now
	for _, sk := range acked {
		// Rule A: the replica has acknowledged the accept record under the epoch of the row.
		le.admit(rg, sk)
	}
	le.flushAccepts(rg)
}

// mayAdmit reports whether keys that wait may start. Rule D and Rule F forbid it until the transaction is resolved;
// Rule F forbids it from the moment at which the records are collected.
func (rg *keyRange) mayAdmit() bool {
	return rg.owner != nil && !rg.owner.stopped && (rg.update == nil || rg.update.kind == changeAddReplica)
}

// canStart reports whether new submissions are taken.
func (rg *keyRange) canAccept() bool { return rg.mayAdmit() && !rg.owner.closing }

// start admits a waiting key. The caller names the rule that allows it.
func (le *Ledger) admit(rg *keyRange, sk shortKey) {
	re, ok := rg.store.get(sk)
	if !ok || re.state != stateWaiting {
		return
	}
	if de := rg.store.details[sk]; de != nil && de.cancelled {
		// Rule A: this owner decides the key and has admitted it nowhere; the record refuses it for good.
		ans := lovagejob.Answer{Key: sk.long(rg.id), Outcome: lovagejob.Cancelled, Reason: "cancelled before it was started"}
		le.finishLocal(rg, sk, re, ans)
		return
	}
	re.state = stateRunning
	rg.store.put(sk, re)
	le.emit(Admit{Key: sk.long(rg.id)})
	le.answerStartWaiters(rg, sk)
}

// restart starts a key that waited under an earlier epoch or for a replica that is no longer required.
func (le *Ledger) admitOrQueue(rg *keyRange, sk shortKey) {
	if rg.owner.accepts != nil {
		rg.owner.accepts.add(le.now, sk)
		return
	}
	// Rule A: owner, no replica in the row and none being added, so that no acknowledgement is required.
	le.admit(rg, sk)
}

// tickOwner repeats accepts that were not acknowledged in time.
func (le *Ledger) tickAccepts(rg *keyRange) {
	if rg.owner == nil || rg.owner.accepts == nil {
		return
	}
	aq := rg.owner.accepts
	if len(aq.inFlight) > 0 && le.now.Sub(aq.sentAt) >= le.se.AcceptTimeout {
		aq.requeue()
	}
	le.flushAccepts(rg)
}

// maintainOwner changes the replica of an owned range, or releases it, when that is due.
func (le *Ledger) maintainOwner(rg *keyRange) {
	if rg.recordsLost && rg.update == nil && !le.draining && !le.now.Before(rg.retryAt) {
		le.claimRange(rg)
	}
	own := rg.owner
	if own == nil || rg.update != nil || own.stopped {
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
	case own.replica != "" && le.replicaFailed(own.accepts):
		// Rule D: nothing is started from here on until the transaction is known to have succeeded or failed.
		own.accepts.requeue()
		le.updateRow(rg, changeDropReplica, RangeRow{Owner: le.se.Instance, Epoch: own.epoch + 1, CompleteSince: own.completeSince})
	case le.releasable(rg):
		le.updateRow(rg, changeRelease, RangeRow{Epoch: own.epoch + 1, CompleteSince: own.epoch + 1})
	case own.replica == "" && own.wantsReplica && (rg.store.count > 0 || !le.surplus(rg)):
		if peer := le.chooseReplica(rg); peer != "" {
			le.beginAddition(rg, peer)
		}
	}
}

// replicaFails reports whether the replica is to be dropped.
func (le *Ledger) replicaFailed(aq *acceptQueue) bool {
	me, known := le.members[aq.peer]
	return !known || me.State == MemberGone || me.Leaving || !aq.healthy(le.now, le.se.ReplicaTimeout)
}

// beginAddition sends the snapshot to a new replica and requires its acknowledgement from now on (Rule E).
func (le *Ledger) beginAddition(rg *keyRange, peer string) {
	rg.owner.accepts = &acceptQueue{peer: peer, paused: true}
	rg.owner.transfer = le.newOutgoing(rg, peer, false)
	le.sendChunk(rg)
}

// watchAddition gives up an addition whose peer does not answer. Its transaction has not been sent, so the row cannot
// come to name the peer and its acknowledgements are no longer required.
func (le *Ledger) checkAddition(rg *keyRange) {
	own := rg.owner
	if le.members[own.transfer.peer].State == MemberLive && !le.draining &&
		le.now.Sub(own.transfer.progressAt) < le.se.ReplicaTimeout && own.accepts.healthy(le.now, le.se.ReplicaTimeout) {
		return
	}
	rg.failedPeer = own.transfer.peer
	rg.retryAt = le.now.Add(le.se.RetryBackoff)
	le.abortAddition(rg)
}

// endAddition goes on without a replica. No transaction that could name one has been sent, or it has been proven not
// to take effect.
func (le *Ledger) abortAddition(rg *keyRange) {
	pending := rg.owner.accepts.pending()
	rg.owner.transfer, rg.owner.accepts = nil, nil
	le.discardResults(rg)
	for _, sk := range pending {
		// Rule A: no replica in the row, and none can come to be in it without a new addition.
		le.admit(rg, sk)
	}
}

// replicaFor chooses an instance to hold a copy of the range: in the same data centre if possible, else in the
// nearest other one. Among equals a hash spreads the ranges.
func (le *Ledger) chooseReplica(rg *keyRange) string {
	type candidate struct {
		avoid, remote bool
		roundTrip     time.Duration
		hash          uint64
	}
	best, bestID := candidate{}, ""
	for _, me := range le.peers {
		if me.State != MemberLive || me.Leaving {
			continue
		}
		if rg == nil {
			return me.ID
		}
		ca := candidate{avoid: me.ID == rg.failedPeer, remote: me.DataCentre != le.se.DataCentre}
		if ca.remote {
			ca.roundTrip = me.RoundTrip
		}
		ca.hash = xxhash.Sum64String(rg.id.String() + "/" + me.ID)
		order := cmp.Or(compareBool(ca.avoid, best.avoid), compareBool(ca.remote, best.remote),
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

// releaseAfter is how long a range without records is kept after it came from another owner.
const releaseAfter = time.Minute

// releasable reports whether the range is one more than wanted and hardly any of its keys can still be of use. Keys
// that an earlier owner minted and nobody has submitted are not known here: they get a minute, and the answer
// "unknown" after that.
func (le *Ledger) releasable(rg *keyRange) bool {
	return rg.store.count == 0 && len(rg.blocked) == 0 &&
		max(rg.lastMinted, rg.store.newestMint) < le.expiredBefore() &&
		le.latestTime-rg.ownedSince >= releaseAfter.Milliseconds() && le.surplus(rg)
}

// surplus reports whether enough other ranges of the same kind are owned. New keys avoid surplus ranges.
func (le *Ledger) surplus(rg *keyRange) bool {
	wanted := le.se.UnreplicatedRanges
	if rg.owner.wantsReplica {
		wanted = le.se.ReplicatedRanges
	}
	for _, other := range le.owned {
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
