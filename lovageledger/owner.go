package lovageledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovagejob"
)

// link carries the accepts of one range to its replica, or to the instance that is being added as one.
type link struct {
	peer     string
	closed   bool       // the peer does not know the range yet: nothing is sent
	queue    []shortKey // to be sent with the next batch
	inFlight []shortKey
	batch    uint64
	sentAt   time.Time
	retryAt  time.Time
	since    time.Time // since when keys have waited without any acknowledgement
}

// pending returns the keys without acknowledgement, in the order of their submission.
func (li *link) pending() []shortKey { return slices.Concat(li.inFlight, li.queue) }

// idle reports whether no key waits.
func (li *link) idle() bool { return len(li.inFlight) == 0 && len(li.queue) == 0 }

// healthy reports whether keys are acknowledged in time.
func (li *link) healthy(now time.Time, timeout time.Duration) bool {
	return li.idle() || now.Sub(li.since) < timeout
}

// requeue makes the keys in flight the first of the next batch. A late reply to the old batch is then ignored.
func (li *link) requeue() {
	li.queue, li.inFlight, li.batch = li.pending(), nil, 0
}

// await queues a key for the next batch.
func (li *link) await(now time.Time, sk shortKey) {
	if li.idle() {
		li.since = now
	}
	li.queue = append(li.queue, sk)
}

// flushAccepts sends the next batch unless one is unacknowledged.
func (le *Ledger) flushAccepts(rg *keyRange) {
	own := rg.own
	if own == nil || own.link == nil || !rg.mayAdmit() {
		return
	}
	li := own.link
	if li.closed || len(li.inFlight) > 0 || len(li.queue) == 0 || le.now.Before(li.retryAt) {
		return
	}
	n := min(len(li.queue), le.se.MaxBatchKeys)
	li.inFlight, li.queue = slices.Clone(li.queue[:n]), li.queue[n:]
	li.batch, li.sentAt = le.newID(), le.now
	keys := make([]AcceptKey, 0, n)
	for _, sk := range li.inFlight {
		re, _ := rg.store.get(sk)
		keys = append(keys, AcceptKey{Key: sk.long(rg.id), Fingerprint: re.fingerprint})
	}
	le.emit(SendAccept{Peer: li.peer, Range: rg.id, Batch: li.batch, Epoch: own.epoch, Keys: keys})
}

func (le *Ledger) acceptReplied(ev *AcceptReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.own == nil || rg.own.link == nil {
		return
	}
	li := rg.own.link
	if li.peer != ev.Peer || li.batch != ev.Batch || len(li.inFlight) == 0 {
		return
	}
	if ev.Failed || !ev.Accepted || !rg.mayAdmit() {
		if !ev.Failed && !ev.Accepted {
			le.table.wantRanges = true // the replica may be taking over, or this instance has been superseded
		}
		li.requeue()
		li.retryAt = le.now.Add(le.se.AcceptTimeout / 5)
		return
	}
	acked := li.inFlight
	li.inFlight, li.batch, li.since = nil, 0, le.now
	for _, sk := range acked {
		// Rule A: the replica has acknowledged the accept record under the epoch of the row.
		le.start(rg, sk)
	}
	le.flushAccepts(rg)
}

// mayAdmit reports whether keys that wait may start. Rule D and Rule F forbid it until the transaction is resolved;
// Rule F forbids it from the moment at which the records are collected.
func (rg *keyRange) mayAdmit() bool {
	return rg.own != nil && !rg.own.stopped && (rg.try == nil || rg.try.change == changeAdd)
}

// canStart reports whether new submissions are taken.
func (rg *keyRange) canStart() bool { return rg.mayAdmit() && !rg.own.closing }

// start admits a waiting key. The caller names the rule that allows it.
func (le *Ledger) start(rg *keyRange, sk shortKey) {
	re, ok := rg.store.get(sk)
	if !ok || re.state != stateWaiting {
		return
	}
	if de := rg.store.details[sk]; de != nil && de.cancelled {
		// Rule A: this owner decides the key and has admitted it nowhere; the record refuses it for good.
		ans := lovagejob.Answer{Key: sk.long(rg.id), Outcome: lovagejob.Cancelled, Reason: "cancelled before it was started"}
		le.endHere(rg, sk, re, ans)
		return
	}
	re.state = stateRunning
	rg.store.put(sk, re)
	le.emit(Admit{Key: sk.long(rg.id)})
	le.answerBrief(rg, sk)
}

// restart starts a key that waited under an earlier epoch or for a replica that is no longer required.
func (le *Ledger) restart(rg *keyRange, sk shortKey) {
	if rg.own.link != nil {
		rg.own.link.await(le.now, sk)
		return
	}
	// Rule A: owner, no replica in the row and none being added, so that no acknowledgement is required.
	le.start(rg, sk)
}

// tickOwner repeats accepts that were not acknowledged in time.
func (le *Ledger) tickOwner(rg *keyRange) {
	if rg.own == nil || rg.own.link == nil {
		return
	}
	li := rg.own.link
	if len(li.inFlight) > 0 && le.now.Sub(li.sentAt) >= le.se.AcceptTimeout {
		li.requeue()
	}
	le.flushAccepts(rg)
}

// maintainOwner changes the replica of an owned range, or releases it, when that is due.
func (le *Ledger) maintainOwner(rg *keyRange) {
	if rg.orphan && rg.try == nil && !le.draining && !le.now.Before(rg.retryAt) {
		le.claimRange(rg)
	}
	own := rg.own
	if own == nil || rg.try != nil || own.stopped {
		return
	}
	if own.sent != nil {
		le.watchAddition(rg)
		return
	}
	if le.now.Before(rg.retryAt) || le.table.down || le.draining {
		return
	}
	switch {
	case own.replica != "" && le.replicaFails(own.link):
		// Rule D: nothing is started from here on until the transaction is known to have succeeded or failed.
		own.link.requeue()
		le.attempt(rg, changeDrop, RangeRow{Owner: le.se.Instance, Epoch: own.epoch + 1, CompleteSince: own.completeSince})
	case le.releasable(rg):
		le.attempt(rg, changeRelease, RangeRow{Epoch: own.epoch + 1, CompleteSince: own.epoch + 1})
	case own.replica == "" && own.replicated && (rg.store.count > 0 || !le.surplus(rg)):
		if peer := le.replicaFor(rg); peer != "" {
			le.beginAddition(rg, peer)
		}
	}
}

// replicaFails reports whether the replica is to be dropped.
func (le *Ledger) replicaFails(li *link) bool {
	me, known := le.members[li.peer]
	return !known || me.State == MemberGone || me.Leaving || !li.healthy(le.now, le.se.ReplicaTimeout)
}

// beginAddition sends the snapshot to a new replica and requires its acknowledgement from now on (Rule E).
func (le *Ledger) beginAddition(rg *keyRange, peer string) {
	rg.own.link = &link{peer: peer, closed: true}
	rg.own.sent = le.newOutgoing(rg, peer, false)
	le.sendChunk(rg)
}

// watchAddition gives up an addition whose peer does not answer. Its transaction has not been sent, so the row cannot
// come to name the peer and its acknowledgements are no longer required.
func (le *Ledger) watchAddition(rg *keyRange) {
	own := rg.own
	if le.members[own.sent.peer].State == MemberLive && !le.draining &&
		le.now.Sub(own.sent.progressAt) < le.se.ReplicaTimeout && own.link.healthy(le.now, le.se.ReplicaTimeout) {
		return
	}
	rg.avoid = own.sent.peer
	rg.retryAt = le.now.Add(le.se.RetryBackoff)
	le.endAddition(rg)
}

// endAddition goes on without a replica. No transaction that could name one has been sent, or it has been proven not
// to take effect.
func (le *Ledger) endAddition(rg *keyRange) {
	pending := rg.own.link.pending()
	rg.own.sent, rg.own.link = nil, nil
	le.dropCopies(rg)
	for _, sk := range pending {
		// Rule A: no replica in the row, and none can come to be in it without a new addition.
		le.start(rg, sk)
	}
}

// replicaFor chooses an instance to hold a copy of the range: in the same data centre if possible, else in the
// nearest other one. Among equals a hash spreads the ranges.
func (le *Ledger) replicaFor(rg *keyRange) string {
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
		ca := candidate{avoid: me.ID == rg.avoid, remote: me.DataCentre != le.se.DataCentre}
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
		max(rg.mintMax, rg.store.newest) < le.floor() &&
		le.highest-rg.ownedSince >= releaseAfter.Milliseconds() && le.surplus(rg)
}

// surplus reports whether enough other ranges of the same kind are owned. New keys avoid surplus ranges.
func (le *Ledger) surplus(rg *keyRange) bool {
	wanted := le.se.UnreplicatedRanges
	if rg.own.replicated {
		wanted = le.se.ReplicatedRanges
	}
	for _, other := range le.owned {
		if other.own.replicated != rg.own.replicated {
			continue
		}
		if other == rg {
			return wanted <= 0
		}
		wanted--
	}
	return false
}
