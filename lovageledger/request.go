package lovageledger

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// maxMintAhead bounds how far a key's mint time may lie ahead of this instance's clock. A key from further ahead was
// not minted by a ledger, and its record would be kept too long.
const maxMintAhead = time.Minute

func (le *Ledger) submit(ev *Submit) {
	wa := &waiter{request: ev.Request, key: ev.Key, until: ev.WaitUntil, hops: ev.Hops}
	rg, ok := le.locate(wa)
	if !ok {
		return
	}
	if re, ok := rg.store.get(wa.sk); ok && le.decides(rg, re) {
		if re.fingerprint != 0 && ev.Fingerprint != 0 && re.fingerprint != ev.Fingerprint {
			le.fault(wa, FaultFingerprint, "the key belongs to a submission with other content")
			return
		}
		le.answerRecord(rg, wa, re)
		return
	}
	if rg.own == nil {
		le.route(rg, wa)
		return
	}
	if reason := le.neverStarts(rg, wa.sk); reason != "" {
		le.reply(wa, le.unknown(wa.key, reason))
		return
	}
	if !rg.canStart() {
		le.block(rg, wa, ev.Fingerprint)
		return
	}
	le.accept(rg, wa, ev.Fingerprint)
}

// accept starts a key that has no record, or asks the replica first.
func (le *Ledger) accept(rg *keyRange, wa *waiter, fingerprint uint64) {
	if rg.own.link == nil {
		// Rule A: owner, epoch in range, no record, no replica in the row and none being added.
		rg.store.put(wa.sk, record{fingerprint: fingerprint, state: stateRunning})
		le.emit(Admit{Key: wa.key})
		le.wait(rg, wa)
		return
	}
	rg.store.put(wa.sk, record{fingerprint: fingerprint, state: stateWaiting})
	if !wa.until.After(le.now) {
		wa.brief, wa.until = true, le.now.Add(le.se.ReplicaTimeout)
	}
	le.wait(rg, wa)
	rg.own.link.await(le.now, wa.sk)
	le.flushAccepts(rg)
}

// locate finds the range of a request's key. It answers requests for keys that no instance can have minted.
func (le *Ledger) locate(wa *waiter) (*keyRange, bool) {
	sk, ok := shorten(wa.key)
	if !ok || !lovagejob.ValidName(wa.key.DataCentre) || wa.key.Epoch < 1 {
		le.fault(wa, FaultKey, "the key was not minted by an instance")
		return nil, false
	}
	wa.sk = sk
	if rg := le.ranges[rangeOf(wa.key)]; rg != nil {
		return rg, true
	}
	le.reply(wa, le.unknown(wa.key, "the range of the key is not known here"))
	le.lookForOwner()
	return nil, false
}

func (le *Ledger) fault(wa *waiter, fault Fault, reason string) {
	le.requests.drop(wa.request)
	le.emit(Reply{
		Request: wa.request, Fault: fault,
		Answer: lovagejob.Answer{Key: wa.key, Outcome: lovagejob.Unknown, Reason: reason},
	})
}

// decides reports whether a record answers requests here. A copy kept for another owner answers only if it tells
// the end; otherwise the owner knows more.
func (le *Ledger) decides(rg *keyRange, re record) bool {
	return rg.own != nil || re.state == stateEnded || re.state == stateRunning
}

// neverStarts returns why a key without a record may not be started by this owner, or "" if it may.
func (le *Ledger) neverStarts(rg *keyRange, sk shortKey) string {
	switch {
	case sk.epoch > rg.own.epoch:
		le.lookForOwner()
		return "the key is of a later epoch than is known here"
	case sk.epoch < rg.own.completeSince:
		return "the records of the key's epoch are lost"
	case sk.minted < max(le.floor(), rg.store.floor):
		return "the key is older than the records that are kept"
	case sk.minted > le.ceiling(rg):
		return "the key's mint time lies in the future"
	}
	return ""
}

// ceiling returns the mint time after which a key cannot have been minted by an instance that is known here.
func (le *Ledger) ceiling(rg *keyRange) int64 {
	// The clock of an earlier owner at its last transfer, or a later time if that owner dropped records early.
	sender := rg.store.floor + le.se.KeyLifetime.Milliseconds()
	return max(le.highest, rg.mintMax, sender) + maxMintAhead.Milliseconds()
}

// answerRecord answers a request for a key that has a record.
func (le *Ledger) answerRecord(rg *keyRange, wa *waiter, re record) {
	switch {
	case re.state == stateEnded:
		le.replyEnd(rg, wa, re)
	case re.state == stateForeign && !le.endMayCome(rg):
		le.replyState(wa)
	default:
		le.wait(rg, wa)
	}
}

// endMayCome reports whether an earlier holder of the range may still tell the end of a foreign job.
func (le *Ledger) endMayCome(rg *keyRange) bool {
	for _, holder := range rg.earlier {
		if le.live(holder) {
			return true
		}
	}
	return false
}

// route sends a request towards the instance that may decide it.
func (le *Ledger) route(rg *keyRange, wa *waiter) {
	if wa.hops > 0 {
		le.reply(wa, le.unknown(wa.key, "this instance does not own the range of the key"))
		return
	}
	var targets []string
	for _, id := range []string{rg.row.Owner, rg.row.Replica} {
		if id != "" && id != le.se.Instance {
			targets = append(targets, id)
		}
	}
	if len(targets) == 0 {
		le.lookForOwner()
		le.reply(wa, le.unknown(wa.key, "no owner of the key's range is known"))
		return
	}
	le.requests.drop(wa.request)
	le.emit(Forward{Request: wa.request, Key: wa.key, Targets: targets})
}

// lookForOwner reads the range rows for a request that cannot be routed, at most once per RetryBackoff, because callers
// can name any range.
func (le *Ledger) lookForOwner() {
	if le.now.Sub(le.table.triedRanges) >= le.se.RetryBackoff {
		le.table.wantRanges = true
		le.scan()
	}
}

// block keeps a submission until the range's owner or epoch is certain again.
func (le *Ledger) block(rg *keyRange, wa *waiter, fingerprint uint64) {
	if len(rg.blocked) >= le.se.MaxBlocked || !wa.until.After(le.now) {
		le.replyState(wa)
		return
	}
	le.requests.add(wa)
	rg.blocked = append(rg.blocked, blockedSubmit{wa.request, wa.key, fingerprint, wa.hops})
}

// unblock submits the blocked submissions again.
func (le *Ledger) unblock(rg *keyRange) {
	if len(rg.blocked) == 0 || rg.own != nil && !rg.canStart() {
		return
	}
	blocked := rg.blocked
	rg.blocked = nil
	for _, bs := range blocked {
		wa := le.requests.waiting[bs.request]
		if wa == nil || wa.key != bs.key {
			continue
		}
		le.requests.drop(bs.request)
		le.submit(&Submit{
			Request: bs.request, Key: bs.key, Fingerprint: bs.fingerprint, Hops: bs.hops, WaitUntil: wa.until,
		})
	}
}

func (le *Ledger) ask(ev *Query) {
	wa := &waiter{request: ev.Request, key: ev.Key, until: ev.WaitUntil, hops: ev.Hops}
	rg, ok := le.locate(wa)
	if !ok {
		return
	}
	re, ok := rg.store.get(wa.sk)
	switch {
	case ok && le.decides(rg, re):
		le.answerRecord(rg, wa, re)
	case rg.own == nil:
		le.route(rg, wa)
	default:
		le.reply(wa, le.unknown(wa.key, "no submission of this key is known; submit it with the same key"))
	}
}

func (le *Ledger) cancel(ev *Cancel) {
	wa := &waiter{request: ev.Request, key: ev.Key, until: ev.WaitUntil, hops: ev.Hops}
	rg, ok := le.locate(wa)
	if !ok {
		return
	}
	re, ok := rg.store.get(wa.sk)
	switch {
	case ok && re.state == stateRunning:
		le.emit(CancelJob{Key: ev.Key})
		le.answerRecord(rg, wa, re)
	case ok && re.state == stateWaiting && rg.own != nil:
		rg.store.detail(wa.sk).cancelled = true
		le.answerRecord(rg, wa, re)
	case ok && le.decides(rg, re):
		le.answerRecord(rg, wa, re)
	case rg.own == nil:
		le.route(rg, wa)
	default:
		le.unblockCancelled(rg, ev.Key)
		le.reply(wa, le.unknown(wa.key, "no submission of this key is known"))
	}
}

// unblockCancelled answers the blocked submissions of a key that is cancelled. Nothing has started, but another
// instance may come to own the range, so the answer cannot be final.
func (le *Ledger) unblockCancelled(rg *keyRange, key lovagejob.Key) {
	rg.blocked = slices.DeleteFunc(rg.blocked, func(bs blockedSubmit) bool {
		if bs.key != key {
			return false
		}
		if wa := le.requests.waiting[bs.request]; wa != nil && wa.key == key {
			le.replyState(wa)
		}
		return true
	})
}

// mint issues keys from a range that can accept now.
func (le *Ledger) mint(ev *Mint) {
	if !le.draining && le.full() {
		// Peers are not asked: the records of their keys could come here with their ranges' copies.
		le.emit(Minted{Request: ev.Request, Full: true})
		return
	}
	rg := le.mintFrom(ev.Repeatable)
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
	// Mint times never go back and never lie below the floor, so that a new key is never taken for an old one.
	rg.mintMax = max(rg.mintMax, le.highest, rg.store.floor)
	keys := make([]lovagejob.Key, 0, ev.Count)
	for range ev.Count {
		sk := shortKey{epoch: rg.own.epoch, minted: rg.mintMax, nonce: le.se.Rand.Uint64()}
		keys = append(keys, sk.long(rg.id))
	}
	le.emit(Minted{Request: ev.Request, Keys: keys})
}

// mintFrom chooses the range to mint from: one of the wanted kind that can accept now, else one of the other kind.
func (le *Ledger) mintFrom(repeatable bool) *keyRange {
	var best *keyRange
	bestScore := 0
	for _, rg := range le.owned {
		if !rg.canStart() {
			continue
		}
		if li := rg.own.link; li != nil && (!le.live(li.peer) || !li.healthy(le.now, le.se.AcceptTimeout)) {
			continue
		}
		score := 1
		switch {
		case le.surplus(rg):
		case repeatable && !rg.own.replicated, !repeatable && rg.own.replica != "":
			score = 3
		case rg.own.link == nil || rg.own.replica != "":
			score = 2
		}
		if score > bestScore {
			best, bestScore = rg, score
		}
	}
	return best
}

// jobEnded records dispatch's last word on a key that this instance admitted.
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
		// An end without a known outcome may hide a start, so it is a failure and never "not run".
		ans.Outcome, ans.Results = lovagejob.Failed, nil
	}
	// NotRun here, Rule A: the key was admitted by this instance alone and is refused for good by this record.
	le.endHere(rg, sk, re, ans)
}

// endHere records the end of a key that this instance decided. Those who wait for it are answered when the replica has
// a copy, or at once if none is due.
func (le *Ledger) endHere(rg *keyRange, sk shortKey, re record, ans lovagejob.Answer) {
	le.storeEnd(rg, sk, re, ans)
	if !le.copyResult(rg, sk) {
		le.answerWaiters(rg, sk, ans, le.copyPeer(rg) != "")
	}
}

// recordEnd stores the end of a key that another instance told, and answers everyone who waits for it.
func (le *Ledger) recordEnd(rg *keyRange, sk shortKey, re record, ans lovagejob.Answer) {
	le.storeEnd(rg, sk, re, ans)
	le.answerWaiters(rg, sk, ans, false)
}

func (le *Ledger) storeEnd(rg *keyRange, sk shortKey, re record, ans lovagejob.Answer) {
	rg.store.end(sk, re, ans)
	rg.store.detail(sk).answer = ans
	le.kept.add(le, rg, sk, &ans)
}
