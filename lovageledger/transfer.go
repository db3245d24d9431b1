package lovageledger

import (
	"slices"
	"time"
)

// outgoing is a transfer of a range's records to a new replica (Rule E) or a new owner (Rule F). Records are collected
// bucket by bucket; keys that are accepted meanwhile reach a new replica as accepts, and a new owner not at all,
// because the range is stopped.
type outgoing struct {
	peer       string
	owner      bool
	transfer   uint64
	chunk      int
	buckets    []bucketID // still to be sent
	keys       []shortKey
	current    *TransferChunk // unacknowledged chunk
	sentAt     time.Time
	progressAt time.Time
}

// maxChunkBytes bounds the result bytes in one transfer chunk or result copy.
const maxChunkBytes = 1 << 20

func (le *Ledger) newOutgoing(rg *keyRange, peer string, owner bool) *outgoing {
	return &outgoing{
		peer: peer, owner: owner, transfer: le.newID(), buckets: rg.store.bucketIDs(), progressAt: le.now,
	}
}

// sendChunk sends the next chunk, or the current one again.
func (le *Ledger) sendChunk(rg *keyRange) {
	sent := rg.own.sent
	if sent.current == nil {
		sent.current = le.nextChunk(rg, sent)
	}
	sent.sentAt = le.now
	le.emit(SendTransfer{Peer: sent.peer, Chunk: *sent.current})
}

func (le *Ledger) nextChunk(rg *keyRange, sent *outgoing) *TransferChunk {
	ch := &TransferChunk{
		TransferID: sent.transfer, Index: sent.chunk, HandOver: sent.owner,
		Range: RangeState{Range: rg.id, Row: rg.row, Version: rg.version},
		// A receiver with a slower clock must not start a key whose record has been dropped here.
		DroppedBefore: time.UnixMilli(max(le.floor(), rg.store.floor)).UTC(),
	}
	for bytes := 0; len(ch.Records) < le.se.MaxChunkRecords && bytes < maxChunkBytes; {
		if len(sent.keys) == 0 {
			if len(sent.buckets) == 0 {
				break
			}
			sent.keys = rg.store.bucketKeys(sent.buckets[0])
			sent.buckets = sent.buckets[1:]
			continue
		}
		sk := sent.keys[0]
		sent.keys = sent.keys[1:]
		if rec, ok := rg.export(sk); ok {
			ch.Records = append(ch.Records, rec)
			bytes += answerBytes(&rec.Answer)
		}
	}
	ch.Last = len(sent.keys) == 0 && len(sent.buckets) == 0
	return ch
}

// export returns the record of a key as other instances see it. A key that waits has not started and has none.
func (rg *keyRange) export(sk shortKey) (Record, bool) {
	re, ok := rg.store.get(sk)
	if !ok || re.state == stateWaiting {
		return Record{}, false
	}
	rec := Record{Key: sk.long(rg.id), Fingerprint: re.fingerprint, State: StateAccepted}
	if re.state == stateEnded {
		rec.State, rec.Answer = StateEnded, rg.store.answer(rg.id, sk, re)
	}
	return rec, true
}

func (le *Ledger) transferReplied(ev *TransferReplied) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.own == nil || rg.own.sent == nil {
		return
	}
	sent := rg.own.sent
	if sent.peer != ev.Peer || sent.transfer != ev.TransferID || sent.current == nil || sent.chunk != ev.Chunk || ev.Failed {
		return // a chunk without a reply is repeated by tickTransfer
	}
	if !ev.Accepted {
		sent.progressAt = time.Time{} // given up at the next look
		le.table.wantRanges = true
		le.maintain()
		return
	}
	last := sent.current.Last
	sent.current, sent.progressAt = nil, le.now
	sent.chunk++
	if !last {
		le.sendChunk(rg)
		le.openLink(rg)
		return
	}
	le.openLink(rg)
	own := rg.own
	row := RangeRow{Owner: le.se.Instance, Replica: sent.peer, Epoch: own.epoch + 1, CompleteSince: own.completeSince}
	ch := changeAdd // Rule E: the snapshot is complete, and every accept since requires the peer's acknowledgement
	if sent.owner {
		row.Owner, row.Replica = sent.peer, ""
		ch = changeHandOver // Rule F: the receiver has every record, and nothing has been accepted since
	}
	own.sent = nil
	le.attempt(rg, ch, row)
}

// openLink lets accepts flow to a new replica once it has taken the first chunk and thereby knows the range.
func (le *Ledger) openLink(rg *keyRange) {
	if li := rg.own.link; li != nil && li.closed {
		li.closed = false
		le.flushAccepts(rg)
		le.tickCopies(rg)
	}
}

// tickTransfer repeats a chunk that was not answered in time.
func (le *Ledger) tickTransfer(rg *keyRange) {
	if rg.own == nil || rg.own.sent == nil || rg.own.sent.current == nil {
		return
	}
	if le.now.Sub(rg.own.sent.sentAt) >= le.se.AcceptTimeout {
		le.sendChunk(rg)
	}
}

// maintainDrain hands every owned range over (Rule F) and reports when nothing is left to do.
func (le *Ledger) maintainDrain() {
	left, busy := len(le.owned), false
	for _, rg := range slices.Clone(le.owned) {
		if le.handOver(rg) {
			busy = true
		}
	}
	if !busy && !le.drained {
		le.drained = true
		le.emit(Drained{Left: left})
	}
}

// handOver takes the next step of a hand-over. It reports false if nothing can be done for the range.
func (le *Ledger) handOver(rg *keyRange) bool {
	own := rg.own
	if rg.try != nil || le.now.Before(rg.retryAt) {
		return true
	}
	if own.sent != nil {
		le.watchHandOver(rg)
		return true
	}
	if le.table.down && !own.stopped {
		return true // the row could not be changed now, so the range goes on
	}
	peer, isReplica := le.receiverFor(rg)
	if peer == "" {
		own.closing, own.stopped = false, false
		le.unblock(rg)
		le.flushAccepts(rg)
		return false
	}
	if !own.closing {
		own.closing, own.closedAt = true, le.now
	}
	if own.link != nil && !own.link.idle() && le.now.Sub(own.closedAt) < 2*le.se.AcceptTimeout {
		return true // keys that the replica is about to acknowledge still start here
	}
	own.stopped = true // Rule F: nothing is accepted or started from here on
	if own.link != nil {
		own.link.requeue()
	}
	if isReplica {
		// The replica has acknowledged every key that has started here, so there is nothing to send before.
		le.attempt(rg, changeHandOver, RangeRow{Owner: peer, Epoch: own.epoch + 1, CompleteSince: own.completeSince})
		return true
	}
	own.sent = le.newOutgoing(rg, peer, true)
	le.sendChunk(rg)
	return true
}

// watchHandOver gives up a transfer whose receiver does not answer; another one is chosen then.
func (le *Ledger) watchHandOver(rg *keyRange) {
	sent := rg.own.sent
	if !sent.owner { // an addition that was under way when the drain began
		le.watchAddition(rg)
		return
	}
	if le.members[sent.peer].State == MemberLive && le.now.Sub(sent.progressAt) < le.se.ReplicaTimeout {
		return
	}
	rg.avoid, rg.own.sent = sent.peer, nil
	rg.retryAt = le.now.Add(le.se.RetryBackoff / 4)
}

// receiverFor chooses the new owner: the replica if it can be reached, because it has the records.
func (le *Ledger) receiverFor(rg *keyRange) (peer string, isReplica bool) {
	if me := le.members[rg.own.replica]; me.State == MemberLive && !me.Leaving && me.ID != rg.avoid {
		return me.ID, true
	}
	return le.replicaFor(rg), false
}
