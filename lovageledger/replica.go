package lovageledger

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// replicaState is the state of a range at its replica, or at an instance that is being added as one. It belongs to one
// addition of a replica: the row {owner, self, epoch+1} confirms this addition, and any other later row ends it.
type replicaState struct {
	incomingTransfer
	confirmed      bool      // the row names this instance as the replica
	ownerGoneSince time.Time // zero while the owner is not presumed to have failed
	lastContact    time.Time // time of the last accept or chunk from the owner
}

// incomingTransfer is a transfer of records from a range's owner.
type incomingTransfer struct {
	owner          string
	epoch          int64 // epoch of the row under which the owner sent the records
	rowVersion     int64 // version of that row
	transferID     uint64
	nextChunkIndex int  // index of the next expected chunk
	complete       bool // every chunk has arrived
}

// confirms reports whether the row commits this addition.
func (rep *replicaState) confirms(row RangeRow, self string) bool {
	return row.Owner == rep.owner && row.Replica == self && row.Epoch == rep.epoch+1
}

// peerAccept records the keys of jobs that the owner wants to start, and acknowledges them. The owner may then start
// the jobs, so this instance refuses the accept if it might start them itself.
func (le *Ledger) peerAccept(ev *PeerAccept) {
	rg := le.rangeFor(ev.Range)
	if !le.mayAcknowledge(rg, ev) {
		le.emit(ReplyAccept{Call: ev.Call, Epoch: rg.row.Epoch})
		return
	}
	rg.replica.lastContact = le.now
	for _, ak := range ev.Keys {
		sk, ok := shorten(ak.Key)
		if !ok || rangeOf(ak.Key) != ev.Range {
			le.emit(ReplyAccept{Call: ev.Call, Epoch: rg.row.Epoch})
			return
		}
		if _, known := rg.store.get(sk); !known {
			rg.store.put(sk, record{fingerprint: ak.Fingerprint, state: stateRemote})
		}
	}
	le.emit(ReplyAccept{Call: ev.Call, Accepted: true, Epoch: ev.Epoch})
}

// mayAcknowledge reports whether an accept may be acknowledged. Rule B forbids it from the start of a take-over until
// the take-over is proven to have failed.
func (le *Ledger) mayAcknowledge(rg *keyRange, ev *PeerAccept) bool {
	rep := rg.replica
	if rg.owner != nil || rep == nil || rg.pendingUpdate != nil || rep.owner != ev.Peer {
		return false
	}
	if rep.confirmed {
		return ev.Epoch == rep.epoch+1
	}
	return ev.Epoch == rep.epoch || ev.Epoch == rep.epoch+1
}

// peerTransfer handles one chunk of a range's records.
func (le *Ledger) peerTransfer(ev *PeerTransfer) {
	ch := &ev.Chunk
	le.observeRangeRow(ch.Range.Range, ch.Range.Row, ch.Range.Version)
	le.emit(ReplyTransfer{Call: ev.Call, Accepted: le.applyChunk(ev.Peer, ch)})
}

func (le *Ledger) applyChunk(peer string, ch *TransferChunk) bool {
	rg := le.rangeFor(ch.Range.Range)
	if rg.owner != nil || rg.pendingUpdate != nil || rg.rowVersion != ch.Range.Version ||
		ch.Range.Row.Owner != peer || le.draining {
		return false
	}
	var in *incomingTransfer
	switch {
	case ch.HandOver:
		if rg.incoming == nil {
			rg.incoming = &incomingTransfer{}
		}
		in = rg.incoming
	default:
		if rg.replica == nil {
			rg.replica = &replicaState{}
		}
		if rg.replica.confirmed {
			return false
		}
		rg.replica.lastContact = le.now
		in = &rg.replica.incomingTransfer
	}
	if ch.TransferID > in.transferID && ch.Index == 0 {
		*in = incomingTransfer{
			owner: peer, epoch: ch.Range.Row.Epoch, rowVersion: ch.Range.Version, transferID: ch.TransferID,
		}
	}
	if ch.TransferID != in.transferID || ch.Index > in.nextChunkIndex {
		return false
	}
	if ch.Index < in.nextChunkIndex {
		return true // a duplicate of a chunk that has been applied
	}
	for i := range ch.Records {
		le.mergeRecord(rg, &ch.Records[i])
	}
	if !ch.DroppedBefore.IsZero() {
		rg.store.droppedBeforeMillis = max(rg.store.droppedBeforeMillis, ch.DroppedBefore.UnixMilli())
	}
	in.nextChunkIndex++
	in.complete = ch.Last
	return true
}

// mergeRecord merges a record from another instance. Merging never removes knowledge: the record of a key that may
// have started is never removed or reset, and an outcome never changes.
func (le *Ledger) mergeRecord(rg *keyRange, rec *Record) {
	sk, ok := shorten(rec.Key)
	if !ok || rangeOf(rec.Key) != rg.id {
		return
	}
	if cutoff := le.expiredBeforeMillis(); sk.mintedMillis < cutoff {
		rg.store.droppedBeforeMillis = max(rg.store.droppedBeforeMillis, cutoff) // KeyLifetime may become longer
		return
	}
	re, known := rg.store.get(sk)
	if !known {
		re = record{fingerprint: rec.Fingerprint, state: stateRemote}
		rg.store.put(sk, re)
	}
	if rec.State != StateEnded || re.state != stateRemote || !slices.Contains(finalOutcomes[:], rec.Answer.Outcome) {
		return
	}
	// Rule A allows NotRun from a peer: the instance that admitted the key had recorded that the key never starts
	// before it sent this result.
	ans := rec.Answer
	ans.Key = rec.Key
	if ans.Outcome == lovagejob.Complete && len(ans.Results) == 0 {
		rg.store.recordOutcome(sk, re, ans) // the sender no longer keeps the results
		if re, ok := rg.store.get(sk); ok {
			le.answerWaiters(rg, sk, rg.store.answer(rg.id, sk, re), rg.owner != nil && le.resultPeer(rg) != "")
		}
		if rg.owner != nil {
			le.replicateResult(rg, sk)
		}
		return
	}
	if rg.owner != nil {
		le.finishLocal(rg, sk, re, ans) // sends the result to the replica of this owner, too
		return
	}
	le.finishRemote(rg, sk, re, ans)
}

// peerResult stores results as the replica or as the new owner. The sender may answer callers after an
// acknowledgement, so this instance acknowledges only if it will answer for the range should the sender fail.
func (le *Ledger) peerResult(ev *PeerResult) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.owner == nil && rg.replica == nil && rg.incoming == nil {
		le.emit(ReplyResult{Call: ev.Call})
		return
	}
	for i := range ev.Records {
		le.mergeRecord(rg, &ev.Records[i])
	}
	accepted := rg.owner != nil || rg.replica != nil && rg.replica.owner == ev.Peer ||
		rg.incoming != nil && rg.incoming.owner == ev.Peer
	le.emit(ReplyResult{Call: ev.Call, Accepted: accepted})
}

// tickReplica drops the state of an addition that is not confirmed if the owner has sent no accept or chunk for more
// than 10 LeaseTTL.
func (le *Ledger) tickReplica(rg *keyRange) {
	rep := rg.replica
	if rep != nil && !rep.confirmed && rg.pendingUpdate == nil && le.now.Sub(rep.lastContact) > 10*le.settings.LeaseTTL {
		rg.replica = nil
	}
}

// maintainReplica takes over a range from an owner that is presumed to have failed (Rule B).
func (le *Ledger) maintainReplica(rg *keyRange) {
	rep := rg.replica
	if rep == nil || !rep.confirmed || !rep.complete {
		return
	}
	if le.members[rep.owner].State != MemberGone && !le.presumedFailed(rep.owner) {
		rep.ownerGoneSince = time.Time{}
		return
	}
	if rep.ownerGoneSince.IsZero() {
		rep.ownerGoneSince = le.now
		le.table.rangesStale = true
	}
	// The table must have answered a read issued since the owner was found to be gone. Otherwise a take-over that
	// cannot be committed would only keep the owner from starting keys.
	if rg.pendingUpdate != nil || le.table.failing || le.table.rangesReadAt.Before(rep.ownerGoneSince) ||
		le.now.Before(rg.retryAt) {
		return
	}
	// Rule B: no accept is acknowledged from here on, see mayAcknowledge.
	le.updateRow(rg, changeTakeOver, RangeRow{
		Owner: le.settings.Instance, Epoch: rg.row.Epoch + 1, CompleteSince: rg.row.CompleteSince,
	})
}
