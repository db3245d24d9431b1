package lovageledger

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// maxMintAhead is how far a key's mint time may be ahead of this instance's clock. A key that is further ahead was not
// minted by a Ledger, and its record would be kept too long.
const maxMintAhead = time.Minute

func (le *Ledger) submit(ev *Submit) {
	wa := &waiter{request: ev.Request, key: ev.Key, deadline: ev.WaitUntil, hops: ev.Hops}
	rg, ok := le.findRange(wa)
	if !ok {
		return
	}
	if re, ok := rg.store.get(wa.shortKey); ok && le.canAnswer(rg, re) {
		if re.fingerprint != 0 && ev.Fingerprint != 0 && re.fingerprint != ev.Fingerprint {
			le.replyFault(wa, FaultFingerprint, "the key belongs to a submission with other content")
			return
		}
		le.answerRecord(rg, wa, re)
		return
	}
	if rg.owner == nil {
		le.forwardToOwner(rg, wa)
		return
	}
	if reason := le.refusalReason(rg, wa.shortKey); reason != "" {
		le.replyAnswer(wa, le.unknownAnswer(wa.key, reason))
		return
	}
	if !rg.canAccept() {
		le.blockSubmit(rg, wa, ev.Fingerprint)
		return
	}
	le.acceptKey(rg, wa, ev.Fingerprint)
}

// acceptKey starts a key that has no record, or first asks the replica for an acknowledgement.
func (le *Ledger) acceptKey(rg *keyRange, wa *waiter, fingerprint uint64) {
	if rg.owner.acceptQueue == nil {
		// Rule A lets the key start at once: this instance is the owner, the key's epoch is in range, the key has no
		// record, the row names no replica, and none is being added.
		rg.store.put(wa.shortKey, record{fingerprint: fingerprint, state: stateRunning})
		le.emit(Admit{Key: wa.key, Fingerprint: fingerprint})
		le.waitForEnd(rg, wa)
		return
	}
	rg.store.put(wa.shortKey, record{fingerprint: fingerprint, state: stateWaiting})
	if !wa.deadline.After(le.now) {
		wa.startOnly, wa.deadline = true, le.now.Add(le.settings.ReplicaTimeout)
	}
	le.waitForEnd(rg, wa)
	rg.owner.acceptQueue.add(le.now, wa.shortKey)
	le.flushAccepts(rg)
}

// findRange returns the range of a request's key. If the key is invalid or its range is unknown, it answers the request
// and reports false.
func (le *Ledger) findRange(wa *waiter) (*keyRange, bool) {
	sk, ok := shorten(wa.key)
	if !ok || !lovagejob.ValidName(wa.key.DataCentre) || wa.key.Epoch < 1 {
		le.replyFault(wa, FaultKey, "the key was not minted by an instance")
		return nil, false
	}
	wa.shortKey = sk
	if rg := le.ranges[rangeOf(wa.key)]; rg != nil {
		return rg, true
	}
	le.replyAnswer(wa, le.unknownAnswer(wa.key, "the range of the key is not known here"))
	le.requestRangesRead()
	return nil, false
}

func (le *Ledger) replyFault(wa *waiter, fault Fault, reason string) {
	le.requests.drop(wa.request)
	le.emit(Reply{
		Request: wa.request, Fault: fault,
		Answer: lovagejob.Answer{Key: wa.key, Outcome: lovagejob.Unknown, Reason: reason},
	})
}

// canAnswer reports whether this instance can answer requests from the record. If it is not the owner, the job must
// have ended or run here; otherwise the owner may know more.
func (le *Ledger) canAnswer(rg *keyRange, re record) bool {
	return rg.owner != nil || re.state == stateEnded || re.state == stateRunning
}

// refusalReason returns why this owner may not start a key that has no record, or "" if it may.
func (le *Ledger) refusalReason(rg *keyRange, sk shortKey) string {
	switch {
	case sk.epoch > rg.owner.epoch:
		le.requestRangesRead()
		return "the key is of a later epoch than is known here"
	case sk.epoch < rg.owner.completeSince:
		return "the records of the key's epoch are lost"
	case sk.mintedMillis < max(le.expiredBeforeMillis(), rg.store.droppedBeforeMillis):
		return "the key is older than the records that are kept"
	case sk.mintedMillis > le.maxMintMillis(rg):
		return "the key's mint time lies in the future"
	}
	return ""
}

// maxMintMillis returns the mint time after which no instance known here can have minted a key.
func (le *Ledger) maxMintMillis(rg *keyRange) int64 {
	// senderTime is the clock of a former owner at its last transfer, or later if that owner evicted records.
	senderTime := rg.store.droppedBeforeMillis + le.settings.KeyLifetime.Milliseconds()
	return max(le.latestMillis, rg.lastMintMillis, senderTime) + maxMintAhead.Milliseconds()
}

// answerRecord answers a request for a key that has a record, or makes the request wait.
func (le *Ledger) answerRecord(rg *keyRange, wa *waiter, re record) {
	switch {
	case re.state == stateEnded:
		le.replyEnded(rg, wa, re)
	case re.state == stateRemote && !le.resultMayArrive(rg):
		le.replyCurrentState(wa)
	default:
		le.waitForEnd(rg, wa)
	}
}

// resultMayArrive reports whether a former owner of the range may still send the result of a job that it started.
func (le *Ledger) resultMayArrive(rg *keyRange) bool {
	for _, holder := range rg.formerOwners {
		if le.isLive(holder) {
			return true
		}
	}
	return false
}

// forwardToOwner forwards a request to the owner and the replica of the range. A request that a peer has forwarded is
// answered with "unknown".
func (le *Ledger) forwardToOwner(rg *keyRange, wa *waiter) {
	if wa.hops > 0 {
		le.replyAnswer(wa, le.unknownAnswer(wa.key, "this instance does not own the range of the key"))
		return
	}
	var targets []string
	for _, id := range []string{rg.row.Owner, rg.row.Replica} {
		if id != "" && id != le.settings.Instance {
			targets = append(targets, id)
		}
	}
	if len(targets) == 0 {
		le.requestRangesRead()
		le.replyAnswer(wa, le.unknownAnswer(wa.key, "no owner of the key's range is known"))
		return
	}
	le.requests.drop(wa.request)
	le.emit(Forward{Request: wa.request, Key: wa.key, Targets: targets})
}

// requestRangesRead reads the range rows for a request that cannot be routed. It does so at most once per RetryBackoff,
// because callers can name any range.
func (le *Ledger) requestRangesRead() {
	if le.now.Sub(le.table.rangesTriedAt) >= le.settings.RetryBackoff {
		le.table.rangesStale = true
		le.scanTable()
	}
}

// blockSubmit holds a submission back until the range's owner and epoch are known for certain.
func (le *Ledger) blockSubmit(rg *keyRange, wa *waiter, fingerprint uint64) {
	if len(rg.blockedSubmits) >= le.settings.MaxBlocked || !wa.deadline.After(le.now) {
		le.replyCurrentState(wa)
		return
	}
	le.requests.add(wa)
	rg.blockedSubmits = append(rg.blockedSubmits, blockedSubmit{wa.request, wa.key, fingerprint, wa.hops})
}

// unblockSubmits processes the blocked submissions again, unless the range still cannot accept them.
func (le *Ledger) unblockSubmits(rg *keyRange) {
	if len(rg.blockedSubmits) == 0 || rg.owner != nil && !rg.canAccept() {
		return
	}
	blockedSubmits := rg.blockedSubmits
	rg.blockedSubmits = nil
	for _, bs := range blockedSubmits {
		wa := le.requests.waiters[bs.request]
		if wa == nil || wa.key != bs.key {
			continue
		}
		le.requests.drop(bs.request)
		le.submit(&Submit{
			Request: bs.request, Key: bs.key, Fingerprint: bs.fingerprint, Hops: bs.hops, WaitUntil: wa.deadline,
		})
	}
}

func (le *Ledger) query(ev *Query) {
	wa := &waiter{request: ev.Request, key: ev.Key, deadline: ev.WaitUntil, hops: ev.Hops}
	rg, ok := le.findRange(wa)
	if !ok {
		return
	}
	re, ok := rg.store.get(wa.shortKey)
	switch {
	case ok && le.canAnswer(rg, re):
		le.answerRecord(rg, wa, re)
	case rg.owner == nil:
		le.forwardToOwner(rg, wa)
	default:
		le.replyAnswer(wa, le.unknownAnswer(wa.key, "no submission of this key is known; submit it with the same key"))
	}
}

func (le *Ledger) cancel(ev *Cancel) {
	wa := &waiter{request: ev.Request, key: ev.Key, deadline: ev.WaitUntil, hops: ev.Hops}
	rg, ok := le.findRange(wa)
	if !ok {
		return
	}
	re, ok := rg.store.get(wa.shortKey)
	switch {
	case ok && re.state == stateRunning:
		le.emit(CancelJob{Key: ev.Key})
		le.answerRecord(rg, wa, re)
	case ok && re.state == stateWaiting && rg.owner != nil:
		rg.store.detail(wa.shortKey).cancelled = true
		le.answerRecord(rg, wa, re)
	case ok && le.canAnswer(rg, re):
		le.answerRecord(rg, wa, re)
	case rg.owner == nil:
		le.forwardToOwner(rg, wa)
	default:
		le.unblockCancelled(rg, ev.Key)
		le.replyAnswer(wa, le.unknownAnswer(wa.key, "no submission of this key is known"))
	}
}

// unblockCancelled answers the blocked submissions of a cancelled key. The job has not started here, but another
// instance may become the owner of the range, so the answer cannot be final.
func (le *Ledger) unblockCancelled(rg *keyRange, key lovagejob.Key) {
	rg.blockedSubmits = slices.DeleteFunc(rg.blockedSubmits, func(bs blockedSubmit) bool {
		if bs.key != key {
			return false
		}
		if wa := le.requests.waiters[bs.request]; wa != nil && wa.key == key {
			le.replyCurrentState(wa)
		}
		return true
	})
}

// mint mints keys in a range that accepts submissions now.
func (le *Ledger) mint(ev *Mint) {
	if !le.draining && le.atCapacity() {
		// Peers are not listed, because the records of keys that they mint may be replicated to this instance.
		le.emit(Minted{Request: ev.Request, Full: true})
		return
	}
	rg := le.selectMintRange(ev.Repeatable)
	if rg == nil || le.draining {
		minted := Minted{Request: ev.Request}
		for _, me := range le.peers {
			if me.State == MemberLive && !me.Leaving {
				minted.Peers = append(minted.Peers, me.ID)
			}
		}
		le.emit(minted)
		return
	}
	// Mint times never go back and never precede droppedBeforeMillis, so that a new key is never mistaken for an
	// expired one.
	rg.lastMintMillis = max(rg.lastMintMillis, le.latestMillis, rg.store.droppedBeforeMillis)
	keys := make([]lovagejob.Key, 0, ev.Count)
	for range ev.Count {
		sk := shortKey{epoch: rg.owner.epoch, mintedMillis: rg.lastMintMillis, nonce: le.settings.Rand.Uint64()}
		keys = append(keys, sk.fullKey(rg.id))
	}
	le.emit(Minted{Request: ev.Request, Keys: keys})
}

// selectMintRange returns the range to mint in, or nil: preferably one of the wanted kind that accepts submissions now,
// otherwise one of the other kind.
func (le *Ledger) selectMintRange(repeatable bool) *keyRange {
	var best *keyRange
	bestScore := 0
	for _, rg := range le.ownedRanges {
		if !rg.canAccept() {
			continue
		}
		if aq := rg.owner.acceptQueue; aq != nil && (!le.isLive(aq.peer) ||
			!aq.acknowledgesInTime(le.now, le.settings.AcceptTimeout)) {
			continue
		}
		score := 1
		switch {
		case le.isSurplus(rg):
		case repeatable && !rg.owner.wantsReplica, !repeatable && rg.owner.replica != "":
			score = 3
		case rg.owner.acceptQueue == nil || rg.owner.replica != "":
			score = 2
		}
		if score > bestScore {
			best, bestScore = rg, score
		}
	}
	return best
}

// jobEnded records the outcome of a key that this instance admitted.
func (le *Ledger) jobEnded(ev *JobEnded) {
	sk, ok := shorten(ev.Key)
	rg := le.ranges[rangeOf(ev.Key)]
	if !ok || rg == nil {
		return
	}
	re, ok := rg.store.get(sk)
	if !ok || re.state != stateRunning {
		return
	}
	ans := ev.Answer
	ans.Key = ev.Key
	if !ans.Outcome.Final() {
		// Without a known outcome a task may have started, so the job counts as failed and never as not run.
		ans.Outcome, ans.Results = lovagejob.Failed, nil
	}
	// Rule A allows NotRun here: only this instance has admitted the key, and this record refuses it from now on.
	le.finishLocal(rg, sk, re, ans)
}

// finishLocal records the result of a key that this instance decided. Waiting requests are answered when the replica
// has acknowledged the result, or at once if no acknowledgement is required.
func (le *Ledger) finishLocal(rg *keyRange, sk shortKey, re record, ans lovagejob.Answer) {
	le.storeAnswer(rg, sk, re, ans)
	if !le.replicateResult(rg, sk) {
		le.answerWaiters(rg, sk, ans, le.resultPeer(rg) != "")
	}
}

// finishRemote records a result that another instance has sent, and answers the waiting requests.
func (le *Ledger) finishRemote(rg *keyRange, sk shortKey, re record, ans lovagejob.Answer) {
	le.storeAnswer(rg, sk, re, ans)
	le.answerWaiters(rg, sk, ans, false)
}

func (le *Ledger) storeAnswer(rg *keyRange, sk shortKey, re record, ans lovagejob.Answer) {
	rg.store.recordOutcome(sk, re, ans)
	rg.store.detail(sk).answer = ans
	le.retainedAnswers.add(le, rg, sk, &ans)
}
