package lovageledger

import (
	"slices"
	"time"
)

// outgoingTransfer is a transfer of a range's records to a new replica (Rule E) or a new owner (Rule F). Records are
// collected bucket by bucket. Keys accepted meanwhile reach a new replica as accepts; during a transfer to a new owner
// no key is accepted, because the range is stopped.
type outgoingTransfer struct {
	peer             string
	handOver         bool
	id               uint64
	chunkIndex       int
	remainingBuckets []bucketID     // still to be sent
	bucketKeys       []shortKey     // keys of the current bucket, still to be sent
	currentChunk     *TransferChunk // unacknowledged chunk
	sentAt           time.Time
	progressAt       time.Time
}

// maxChunkBytes is the total size of answers at which a transfer chunk or a batch of results is full. The answer that
// reaches it is still included.
const maxChunkBytes = 1 << 20

func (le *Ledger) newOutgoingTransfer(rg *keyRange, peer string, handOver bool) *outgoingTransfer {
	return &outgoingTransfer{
		peer: peer, handOver: handOver, id: le.newID(), remainingBuckets: rg.store.bucketIDs(), progressAt: le.now,
	}
}

// sendChunk sends the unacknowledged chunk again, or the next one if there is none.
func (le *Ledger) sendChunk(rg *keyRange) {
	ot := rg.owner.transfer
	if ot.currentChunk == nil {
		ot.currentChunk = le.nextChunk(rg, ot)
	}
	ot.sentAt = le.now
	le.emit(SendTransfer{Peer: ot.peer, Chunk: *ot.currentChunk})
}

func (le *Ledger) nextChunk(rg *keyRange, ot *outgoingTransfer) *TransferChunk {
	ch := &TransferChunk{
		TransferID: ot.id, Index: ot.chunkIndex, HandOver: ot.handOver,
		Range: RangeState{Range: rg.id, Row: rg.row, Version: rg.rowVersion},
		// A receiver with a clock that is behind must not start a key whose record has been dropped here.
		DroppedBefore: time.UnixMilli(max(le.expiredBeforeMillis(), rg.store.droppedBeforeMillis)).UTC(),
	}
	for bytes := 0; len(ch.Records) < le.settings.MaxChunkRecords && bytes < maxChunkBytes; {
		if len(ot.bucketKeys) == 0 {
			if len(ot.remainingBuckets) == 0 {
				break
			}
			ot.bucketKeys = rg.store.sortedKeys(ot.remainingBuckets[0])
			ot.remainingBuckets = ot.remainingBuckets[1:]
			continue
		}
		sk := ot.bucketKeys[0]
		ot.bucketKeys = ot.bucketKeys[1:]
		if rec, ok := rg.exportRecord(sk); ok {
			ch.Records = append(ch.Records, rec)
			bytes += answerBytes(&rec.Answer)
		}
	}
	ch.Last = len(ot.bucketKeys) == 0 && len(ot.remainingBuckets) == 0
	return ch
}

// exportRecord returns the record of a key in the form sent to other instances. It returns false for a waiting key,
// which has not started, and for a key without a record.
func (rg *keyRange) exportRecord(sk shortKey) (Record, bool) {
	re, ok := rg.store.get(sk)
	if !ok || re.state == stateWaiting {
		return Record{}, false
	}
	rec := Record{Key: sk.fullKey(rg.id), Fingerprint: re.fingerprint, State: StateAccepted}
	if re.state == stateEnded {
		rec.State, rec.Answer = StateEnded, rg.store.answer(rg.id, sk, re)
	}
	return rec, true
}

func (le *Ledger) transferReplied(ev *TransferReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.owner == nil || rg.owner.transfer == nil {
		return
	}
	ot := rg.owner.transfer
	if ot.peer != ev.Peer || ot.id != ev.TransferID || ot.currentChunk == nil || ot.chunkIndex != ev.Chunk || ev.Failed {
		return // tickTransfer sends a chunk without a reply again
	}
	if !ev.Accepted {
		ot.progressAt = time.Time{} // makes maintain abort the transfer
		le.table.rangesStale = true
		le.maintain()
		return
	}
	last := ot.currentChunk.Last
	ot.currentChunk, ot.progressAt = nil, le.now
	ot.chunkIndex++
	if !last {
		le.sendChunk(rg)
		le.resumeAccepts(rg)
		return
	}
	le.resumeAccepts(rg)
	own := rg.owner
	row := RangeRow{Owner: le.settings.Instance, Replica: ot.peer, Epoch: own.epoch + 1, CompleteSince: own.completeSince}
	ch := changeAddReplica // Rule E: the records are complete, and every accept since requires the peer's acknowledgement
	if ot.handOver {
		row.Owner, row.Replica = ot.peer, ""
		ch = changeHandOver // Rule F: the receiver has every record, and nothing has been accepted since
	}
	own.transfer = nil
	le.updateRow(rg, ch, row)
}

// resumeAccepts starts to send accepts to a new replica once it has applied the first chunk and so knows the range.
func (le *Ledger) resumeAccepts(rg *keyRange) {
	if aq := rg.owner.acceptQueue; aq != nil && aq.paused {
		aq.paused = false
		le.flushAccepts(rg)
		le.flushResults(rg)
	}
}

// tickTransfer sends a chunk again that was not acknowledged in time.
func (le *Ledger) tickTransfer(rg *keyRange) {
	if rg.owner == nil || rg.owner.transfer == nil || rg.owner.transfer.currentChunk == nil {
		return
	}
	if le.now.Sub(rg.owner.transfer.sentAt) >= le.settings.AcceptTimeout {
		le.sendChunk(rg)
	}
}

// maintainDrain hands over every owned range (Rule F) and emits Drained when nothing is left to do.
func (le *Ledger) maintainDrain() {
	left, busy := len(le.ownedRanges), false
	for _, rg := range slices.Clone(le.ownedRanges) {
		if le.handOver(rg) {
			busy = true
		}
	}
	if left > 0 && le.now.Before(le.drainGiveUpAt) && le.receiverMayReturn() {
		return
	}
	if !busy && !le.drainedEmitted {
		le.drainedEmitted = true
		le.emit(Drained{Left: left})
	}
}

// receiverMayReturn reports whether a peer that is not leaving is suspect or gone. Late heartbeats make a live peer look so.
func (le *Ledger) receiverMayReturn() bool {
	return slices.ContainsFunc(le.peers, func(me Member) bool { return !me.Leaving && me.State != MemberLive })
}

// handOver takes the next step of a hand-over. It reports false if there is no receiver for the range.
func (le *Ledger) handOver(rg *keyRange) bool {
	own := rg.owner
	if rg.pendingUpdate != nil || le.now.Before(rg.retryAt) {
		return true
	}
	if own.transfer != nil {
		le.checkHandOver(rg)
		return true
	}
	if le.table.failing && !own.stopped {
		return true // the row cannot be changed now, so the range continues
	}
	peer, isReplica := le.handOverTarget(rg)
	if peer == "" {
		own.closing, own.stopped = false, false
		le.unblockSubmits(rg)
		le.flushAccepts(rg)
		return false
	}
	if !own.closing {
		own.closing, own.closingSince = true, le.now
	}
	if own.acceptQueue != nil && !own.acceptQueue.idle() && le.now.Sub(own.closingSince) < 2*le.settings.AcceptTimeout {
		return true // keys that the replica is about to acknowledge can still start here
	}
	own.stopped = true // Rule F: no key is accepted or started from here on
	if own.acceptQueue != nil {
		own.acceptQueue.requeue()
	}
	if isReplica {
		// The replica has acknowledged every key that has started here, so no transfer is needed.
		le.updateRow(rg, changeHandOver, RangeRow{Owner: peer, Epoch: own.epoch + 1, CompleteSince: own.completeSince})
		return true
	}
	own.transfer = le.newOutgoingTransfer(rg, peer, true)
	le.sendChunk(rg)
	return true
}

// checkHandOver aborts a transfer to a receiver that does not answer. The next attempt chooses another one.
func (le *Ledger) checkHandOver(rg *keyRange) {
	ot := rg.owner.transfer
	if !ot.handOver { // addition of a replica that was in progress when the drain began
		le.checkAddition(rg)
		return
	}
	if le.members[ot.peer].State == MemberLive && le.now.Sub(ot.progressAt) < le.settings.ReplicaTimeout {
		return
	}
	rg.failedPeer, rg.owner.transfer = ot.peer, nil
	rg.retryAt = le.now.Add(le.settings.RetryBackoff / 4)
}

// handOverTarget returns the instance that is to become the owner: the replica if it is live, because it has the
// records.
func (le *Ledger) handOverTarget(rg *keyRange) (peer string, isReplica bool) {
	if me := le.members[rg.owner.replica]; me.State == MemberLive && !me.Leaving && me.ID != rg.failedPeer {
		return me.ID, true
	}
	return le.chooseReplica(rg), false
}
