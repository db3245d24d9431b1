package lovageledger

// maintain looks for what is due apart from single requests: reads, renewal, claims, replicas, hand-over.
func (le *Ledger) maintain() {
	le.renew()
	le.scan()
	for _, id := range le.order {
		rg := le.ranges[id]
		le.maintainReplica(rg)
		le.maintainOwner(rg)
	}
	if le.draining {
		le.maintainDrain()
		return
	}
	le.claim()
}

// wants reports whether this instance needs a further range.
func (le *Ledger) wants() bool {
	plain, replicated := le.wanted()
	return !le.draining && (plain > 0 || replicated > 0)
}

// wanted returns how many ranges of each kind are still to be claimed.
func (le *Ledger) wanted() (plain, replicated int) {
	plain = le.se.UnreplicatedRanges
	if le.replicaFor(nil) != "" {
		replicated = le.se.ReplicatedRanges
	}
	count := func(kind bool) {
		if kind {
			replicated--
		} else {
			plain--
		}
	}
	for _, rg := range le.owned {
		count(rg.own.replicated)
	}
	for _, id := range le.order {
		if rg := le.ranges[id]; rg.own == nil && rg.try != nil && rg.try.change == changeClaim {
			count(rg.claimReplicated)
		}
	}
	return plain, replicated
}

// claim claims one range at a time: a free or abandoned one if there is any, else a new one.
func (le *Ledger) claim() {
	if !le.wants() || le.table.rangesAt.IsZero() || le.table.leasesAt.IsZero() || !le.lease.held ||
		le.now.Before(le.claimAt) {
		return
	}
	var free *keyRange
	next, pending := 0, false
	for _, id := range le.order {
		rg := le.ranges[id]
		if id.DataCentre != le.se.DataCentre {
			continue
		}
		if rg.try != nil && rg.try.change == changeClaim {
			return
		}
		if rg.version == 0 {
			continue
		}
		next = max(next, id.Index+1)
		switch {
		case rg.own != nil || rg.rep != nil || rg.inc != nil || rg.try != nil || le.now.Before(rg.retryAt):
		case le.abandoned(rg.row):
			if free == nil {
				free = rg
			}
		case !le.live(rg.row.Owner) && !le.live(rg.row.Replica):
			pending = true
		}
	}
	if free == nil {
		if pending && len(le.owned) > 0 {
			// The lease of its owner may be about to expire; a new row now would be one too many for good. An instance
			// that owns nothing does not wait: it could not take new keys until then.
			return
		}
		free = le.rangeFor(RangeID{DataCentre: le.se.DataCentre, Index: next})
		if free.version != 0 || free.try != nil {
			return
		}
	}
	plain, _ := le.wanted()
	free.claimReplicated = plain <= 0
	le.claimAt = le.now.Add(le.se.RetryBackoff / 10)
	le.claimRange(free)
}

// claimRange commits the row that makes this instance the owner without the records of earlier epochs (Rule C).
func (le *Ledger) claimRange(rg *keyRange) {
	epoch := rg.row.Epoch + 1
	le.attempt(rg, changeClaim, RangeRow{Owner: le.se.Instance, Epoch: epoch, CompleteSince: epoch})
}

// abandoned reports whether Rule C allows to take the range: it is free, or the leases of owner and replica have
// expired. A range whose replica is live is left to the replica, which has the records.
func (le *Ledger) abandoned(row RangeRow) bool {
	if row.Owner == "" {
		return true
	}
	return le.lost(row.Owner) && (row.Replica == "" || le.lost(row.Replica))
}

// rowSeen takes note of a range row. Rows seen late or out of order are ignored.
func (le *Ledger) rowSeen(id RangeID, row RangeRow, version int64) {
	rg := le.rangeFor(id)
	if version <= rg.version {
		return
	}
	if rg.row.Owner != "" && rg.row.Owner != row.Owner {
		rg.addEarlier(rg.row.Owner)
	}
	rg.row, rg.version = row, version
	won := change("")
	if rg.try != nil {
		if row == rg.try.row && version == rg.try.check+1 {
			won = rg.try.change
		}
		rg.try = nil // the checked version is past: the transaction has taken effect or never will
	}
	if row.Owner == le.se.Instance {
		le.applyOwn(rg, won)
	} else {
		le.applyOther(rg)
	}
	le.unblock(rg)
}

// applyOwn applies a row that names this instance as the owner.
func (le *Ledger) applyOwn(rg *keyRange, won change) {
	complete := won == changeClaim || won == changeTakeOver ||
		rg.own != nil && (won == changeDrop || won == changeAdd) ||
		rg.rep != nil && rg.rep.complete && rg.row.Epoch == rg.rep.epoch+2 ||
		rg.inc != nil && rg.inc.complete && rg.row.Epoch == rg.inc.epoch+1
	if !complete {
		// The row names this instance, but it has no complete records: it must claim the range anew (Rule C).
		le.stopOwning(rg)
		rg.rep, rg.inc, rg.orphan = nil, nil, true
		return
	}
	before := rg.own
	own := &ownerState{
		epoch: rg.row.Epoch, completeSince: rg.row.CompleteSince, replica: rg.row.Replica,
		replicated: rg.claimReplicated || rg.rep != nil,
	}
	if before != nil {
		own.replicated = before.replicated
	} else {
		le.becomeOwner(rg)
	}
	rg.rep, rg.inc, rg.orphan = nil, nil, false
	le.setOwner(rg, own)
	if own.replica != "" {
		own.link = &link{peer: own.replica}
	} else {
		le.dropCopies(rg) // without a replica answers are given at once
	}
	if before != nil && before.link != nil {
		// Waiting keys start under the new epoch: at once without a replica, else after its acknowledgement.
		for _, sk := range before.link.pending() {
			le.restart(rg, sk)
		}
	}
	le.flushAccepts(rg)
}

// becomeOwner prepares records that were kept for another owner.
func (le *Ledger) becomeOwner(rg *keyRange) {
	le.dropCopies(rg)
	rg.retryAt = le.now
	rg.ownedSince = le.highest
}

// applyOther applies a row that names another owner, or none.
func (le *Ledger) applyOther(rg *keyRange) {
	rg.orphan = false
	le.stopOwning(rg)
	if rep := rg.rep; rep != nil && rg.version > rep.version {
		confirmed := rep.confirms(rg.row, le.se.Instance)
		if confirmed {
			rep.confirmed = true
		} else {
			rg.rep = nil // replaced or dropped (Rule D), or the addition has failed for good
		}
	}
	if inc := rg.inc; inc != nil && rg.version > inc.version {
		rg.inc = nil
	}
}

// stopOwning ends the ownership after the row has named another owner. Keys that have not started are decided there.
func (le *Ledger) stopOwning(rg *keyRange) {
	own := rg.own
	if own == nil {
		return
	}
	le.setOwner(rg, nil)
	rg.copies = resultCopies{}
	if own.link != nil {
		for _, sk := range own.link.pending() {
			le.passOn(rg, sk)
		}
	}
	le.copyKept(rg)
}

// passOn sends the waiting requests of a key that has not started here to the new owner.
func (le *Ledger) passOn(rg *keyRange, sk shortKey) {
	re, ok := rg.store.get(sk)
	if !ok || re.state != stateWaiting {
		return
	}
	de := rg.store.details[sk]
	rg.store.remove(sk) // never admitted here, and never will be: this instance is no longer the owner
	if de == nil {
		return
	}
	for _, request := range de.waiters {
		if wa := le.requests.waiting[request]; wa != nil && wa.sk == sk {
			le.requests.drop(request)
			le.route(rg, wa)
		}
	}
}

// attemptFailed goes on after a transaction that has been proven not to take effect.
func (le *Ledger) attemptFailed(rg *keyRange) {
	failed := rg.try.change
	rg.try = nil
	rg.retryAt = le.now.Add(le.se.RetryBackoff)
	if rg.own != nil && failed == changeAdd {
		le.endAddition(rg)
	}
	le.unblock(rg)
	le.flushAccepts(rg)
}

const maxEarlier = 4 // holders of a range that are remembered as possible sources of results

func (rg *keyRange) addEarlier(id string) {
	if len(rg.earlier) == maxEarlier {
		rg.earlier = rg.earlier[1:]
	}
	rg.earlier = append(rg.earlier, id)
}
