package lovageledger

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// replicaState is the state of a range as its replica, or as an instance that is being added as one. It belongs to
// exactly one addition: the row {owner, self, epoch+1} confirms it, and any other later row ends it.
type replicaState struct {
	incomingTransfer
	confirmed      bool      // the row names this instance as the replica
	ownerGoneSince time.Time // since when the owner has been gone
	lastContact    time.Time
}

// incomingState is a transfer of records from a range's owner.
type incomingTransfer struct {
	owner     string
	epoch     int64 // of the row under which the owner sent the records
	version   int64 // of that row
	id        uint64
	nextChunk int  // next chunk
	complete  bool // every chunk has arrived
}

// confirms reports whether the row makes this instance the replica under this addition.
func (rep *replicaState) confirms(row RangeRow, self string) bool {
	return row.Owner == rep.owner && row.Replica == self && row.Epoch == rep.epoch+1
}

// peerAccept records keys that the owner wants to start. The acknowledgement allows the owner to start them, so it is
// given only while this instance can be sure not to start them itself.
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

// mayAcknowledge reports whether an accept may be acknowledged. Rule B: not from the moment at which a take-over is
// attempted until it is proven not to take effect.
func (le *Ledger) mayAcknowledge(rg *keyRange, ev *PeerAccept) bool {
	rep := rg.replica
	if rg.owner != nil || rep == nil || rg.update != nil || rep.owner != ev.Peer {
		return false
	}
	if rep.confirmed {
		return ev.Epoch == rep.epoch+1
	}
	return ev.Epoch == rep.epoch || ev.Epoch == rep.epoch+1
}

// peerTransfer takes one chunk of a range's records.
func (le *Ledger) peerTransfer(ev *PeerTransfer) {
	ch := &ev.Chunk
	le.observeRow(ch.Range.Range, ch.Range.Row, ch.Range.Version)
	le.emit(ReplyTransfer{Call: ev.Call, Accepted: le.applyChunk(ev.Peer, ch)})
}

func (le *Ledger) applyChunk(peer string, ch *TransferChunk) bool {
	rg := le.rangeFor(ch.Range.Range)
	if rg.owner != nil || rg.update != nil || rg.version != ch.Range.Version || ch.Range.Row.Owner != peer || le.draining {
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
	if ch.TransferID > in.id && ch.Index == 0 {
		*in = incomingTransfer{
			owner: peer, epoch: ch.Range.Row.Epoch, version: ch.Range.Version, id: ch.TransferID,
		}
	}
	if ch.TransferID != in.id || ch.Index > in.nextChunk {
		return false
	}
	if ch.Index < in.nextChunk {
		return true // a repeat of a chunk that has been taken
	}
	for i := range ch.Records {
		le.mergeRecord(rg, &ch.Records[i])
	}
	if !ch.DroppedBefore.IsZero() {
		rg.store.droppedBefore = max(rg.store.droppedBefore, ch.DroppedBefore.UnixMilli())
	}
	in.nextChunk++
	in.complete = ch.Last
	return true
}

// mergeRecord takes a record from another instance. Records are facts, so they are only ever added to: a key that may
// have started stays one, and an end stays as it is.
func (le *Ledger) mergeRecord(rg *keyRange, rec *Record) {
	sk, ok := shorten(rec.Key)
	if !ok || rangeOf(rec.Key) != rg.id || sk.minted < le.expiredBefore() {
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
	// NotRun from a peer, Rule A: the instance that admitted the key recorded the refusal before it told anyone.
	ans := rec.Answer
	ans.Key = rec.Key
	if ans.Outcome == lovagejob.Complete && len(ans.Results) == 0 {
		rg.store.finish(sk, re, ans) // the sender no longer keeps the results
		if re, ok := rg.store.get(sk); ok {
			le.answerWaiters(rg, sk, rg.store.answer(rg.id, sk, re), rg.owner != nil && le.resultPeer(rg) != "")
		}
		if rg.owner != nil {
			le.replicateResult(rg, sk)
		}
		return
	}
	if rg.owner != nil {
		le.finishLocal(rg, sk, re, ans) // the replica of this owner has to learn of it too
		return
	}
	le.finishRemote(rg, sk, re, ans)
}

// peerResult takes ends of keys, as the replica or as the new owner. The acknowledgement allows the sender to answer
// callers, so it is given only by an instance that will answer for the range after the sender's death.
func (le *Ledger) peerResult(ev *PeerResult) {
	rg := le.ranges[ev.Range]
	if rg == nil || rg.owner == nil && rg.replica == nil && rg.incoming == nil {
		le.emit(ReplyResult{Call: ev.Call})
		return
	}
	for i := range ev.Records {
		le.mergeRecord(rg, &ev.Records[i])
	}
	accepted := rg.owner != nil || rg.replica != nil && rg.replica.owner == ev.Peer || rg.incoming != nil && rg.incoming.owner == ev.Peer
	le.emit(ReplyResult{Call: ev.Call, Accepted: accepted})
}

// tickReplica forgets an addition that was never committed and whose owner has fallen silent.
func (le *Ledger) tickReplica(rg *keyRange) {
	rep := rg.replica
	if rep != nil && !rep.confirmed && rg.update == nil && le.now.Sub(rep.lastContact) > 10*le.se.LeaseTTL {
		rg.replica = nil
	}
}

// maintainReplica takes over a range whose owner is gone (Rule B).
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
	// The table must have answered since: a take-over that cannot be committed would only stop the owner.
	if rg.update != nil || le.table.failing || le.table.rangesReadAt.Before(rep.ownerGoneSince) || le.now.Before(rg.retryAt) {
		return
	}
	// Rule B: from here on nothing is acknowledged, see mayAcknowledge.
	le.updateRow(rg, changeTakeOver, RangeRow{
		Owner: le.se.Instance, Epoch: rg.row.Epoch + 1, CompleteSince: rg.row.CompleteSince,
	})
}
