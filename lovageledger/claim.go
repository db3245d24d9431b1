package lovageledger

// maintain starts the work that is due apart from single requests: reads, renewals, claims, changes of replicas and
// hand-overs.
func (le *Ledger) maintain() {
	le.renewLease()
	le.scanTable()
	for _, id := range le.rangeIDs {
		rg := le.ranges[id]
		le.maintainReplica(rg)
		le.maintainOwner(rg)
	}
	if le.draining {
		le.maintainDrain()
		return
	}
	le.claimNextRange()
}

// needsRange reports whether to claim a further range.
func (le *Ledger) needsRange() bool {
	unreplicated, replicated := le.missingRanges()
	return !le.draining && (unreplicated > 0 || replicated > 0)
}

// missingRanges returns how many ranges of each kind are still to be claimed.
func (le *Ledger) missingRanges() (unreplicated, replicated int) {
	unreplicated = le.settings.UnreplicatedRanges
	if le.chooseReplica(nil) != "" {
		replicated = le.settings.ReplicatedRanges
	}
	count := func(withReplica bool) {
		if withReplica {
			replicated--
		} else {
			unreplicated--
		}
	}
	for _, rg := range le.ownedRanges {
		count(rg.owner.wantsReplica)
	}
	for _, id := range le.rangeIDs {
		if rg := le.ranges[id]; rg.owner == nil && rg.pendingUpdate != nil && rg.pendingUpdate.kind == changeClaim {
			count(rg.claimWithReplica)
		}
	}
	return unreplicated, replicated
}

// claimNextRange claims a range if one is needed and no claim is in progress. Rule C allows to claim a free range, or
// one whose owner and replica have failed. If there is none, a new range is created.
func (le *Ledger) claimNextRange() {
	if !le.needsRange() || le.table.rangesReadAt.IsZero() || le.table.instancesReadAt.IsZero() || !le.lease.written ||
		le.now.Before(le.nextClaimAt) {
		return
	}
	var target *keyRange
	next, mayExpire := 0, false
	for _, id := range le.rangeIDs {
		rg := le.ranges[id]
		if id.DataCentre != le.settings.DataCentre {
			continue
		}
		if rg.pendingUpdate != nil && rg.pendingUpdate.kind == changeClaim {
			return
		}
		if rg.rowVersion == 0 {
			continue
		}
		next = max(next, id.Index+1)
		switch {
		case rg.owner != nil || rg.replica != nil || rg.incoming != nil || rg.pendingUpdate != nil || le.now.Before(rg.retryAt):
		case le.claimable(rg.row):
			if target == nil {
				target = rg
			}
		case !le.isLive(rg.row.Owner) && !le.isLive(rg.row.Replica):
			mayExpire = true
		}
	}
	if target == nil {
		if mayExpire && len(le.ownedRanges) > 0 {
			// The leases of the owner and the replica of such a range may expire soon, and the range can then be
			// claimed. A row created now would remain as one too many. An instance that owns nothing does not wait,
			// because it could not mint keys until then.
			return
		}
		target = le.rangeFor(RangeID{DataCentre: le.settings.DataCentre, Index: next})
		if target.rowVersion != 0 || target.pendingUpdate != nil {
			return
		}
	}
	unreplicated, _ := le.missingRanges()
	target.claimWithReplica = unreplicated <= 0
	le.nextClaimAt = le.now.Add(le.settings.RetryBackoff / 10)
	le.claimRange(target)
}

// claimRange starts the transaction that makes this instance the owner without the records of earlier epochs (Rule C).
func (le *Ledger) claimRange(rg *keyRange) {
	epoch := rg.row.Epoch + 1
	le.updateRow(rg, changeClaim, RangeRow{Owner: le.settings.Instance, Epoch: epoch, CompleteSince: epoch})
}

// claimable reports whether Rule C allows to take the range: it is free, or its owner and replica are presumed to have
// failed. A live replica takes the range over itself, because it has the records.
func (le *Ledger) claimable(row RangeRow) bool {
	if row.Owner == "" {
		return true
	}
	return le.presumedFailed(row.Owner) && (row.Replica == "" || le.presumedFailed(row.Replica))
}

// observeRangeRow applies a range row. A row that is not newer than the known one is ignored.
func (le *Ledger) observeRangeRow(id RangeID, row RangeRow, version int64) {
	rg := le.rangeFor(id)
	if version <= rg.rowVersion {
		return
	}
	if rg.row.Owner != "" && rg.row.Owner != row.Owner {
		rg.addFormerOwner(rg.row.Owner)
	}
	rg.row, rg.rowVersion = row, version
	committedKind := changeKind("")
	if rg.pendingUpdate != nil {
		if row == rg.pendingUpdate.newRow && version == rg.pendingUpdate.checkedVersion+1 {
			committedKind = rg.pendingUpdate.kind
		}
		rg.pendingUpdate = nil // the checked version has been replaced: the transaction has taken effect or never will
	}
	if row.Owner == le.settings.Instance {
		le.applyOwnedRow(rg, committedKind)
	} else {
		le.applyForeignRow(rg)
	}
	le.unblockSubmits(rg)
}

// applyOwnedRow applies a row that names this instance as the owner.
func (le *Ledger) applyOwnedRow(rg *keyRange, committedKind changeKind) {
	complete := committedKind == changeClaim || committedKind == changeTakeOver ||
		rg.owner != nil && (committedKind == changeDropReplica || committedKind == changeAddReplica) ||
		rg.replica != nil && rg.replica.complete && rg.row.Epoch == rg.replica.epoch+2 ||
		rg.incoming != nil && rg.incoming.complete && rg.row.Epoch == rg.incoming.epoch+1
	if !complete {
		// This instance does not have all the records, so it must claim the range anew (Rule C).
		le.endOwnership(rg)
		rg.replica, rg.incoming, rg.recordsLost = nil, nil, true
		return
	}
	before := rg.owner
	own := &ownerState{
		epoch: rg.row.Epoch, completeSince: rg.row.CompleteSince, replica: rg.row.Replica,
		wantsReplica: rg.claimWithReplica || rg.replica != nil,
	}
	if before != nil {
		own.wantsReplica = before.wantsReplica
	} else {
		le.beginOwnership(rg)
	}
	rg.replica, rg.incoming, rg.recordsLost = nil, nil, false
	le.setOwner(rg, own)
	if own.replica != "" {
		own.acceptQueue = &acceptQueue{peer: own.replica}
	} else {
		le.discardResults(rg) // without a replica, answers do not wait
	}
	if before != nil && before.acceptQueue != nil {
		// Waiting keys start under the new epoch: at once without a replica, otherwise after the replica's
		// acknowledgement.
		for _, sk := range before.acceptQueue.unacknowledged() {
			le.admitOrQueue(rg, sk)
		}
	}
	le.flushAccepts(rg)
}

// beginOwnership prepares the range for this instance as its new owner.
func (le *Ledger) beginOwnership(rg *keyRange) {
	le.discardResults(rg)
	rg.retryAt = le.now
	rg.ownedSinceMillis = le.latestMillis
}

// applyForeignRow applies a row that names another owner or none.
func (le *Ledger) applyForeignRow(rg *keyRange) {
	rg.recordsLost = false
	le.endOwnership(rg)
	if rep := rg.replica; rep != nil && rg.rowVersion > rep.rowVersion {
		confirmed := rep.confirms(rg.row, le.settings.Instance)
		if confirmed {
			rep.confirmed = true
		} else {
			rg.replica = nil // the owner replaced or dropped this replica (Rule D), or its addition can no longer succeed
		}
	}
	if inc := rg.incoming; inc != nil && rg.rowVersion > inc.rowVersion {
		rg.incoming = nil
	}
}

// endOwnership ends the ownership of a range. The next owner decides whether the keys that have not started here may
// start.
func (le *Ledger) endOwnership(rg *keyRange) {
	own := rg.owner
	if own == nil {
		return
	}
	le.setOwner(rg, nil)
	rg.resultQueue = resultQueue{}
	if own.acceptQueue != nil {
		for _, sk := range own.acceptQueue.unacknowledged() {
			le.forwardWaiters(rg, sk)
		}
	}
	le.queueRetainedResults(rg)
}

// forwardWaiters forwards the waiting requests of a key that has not started here to the new owner.
func (le *Ledger) forwardWaiters(rg *keyRange, sk shortKey) {
	re, ok := rg.store.get(sk)
	if !ok || re.state != stateWaiting {
		return
	}
	de := rg.store.details[sk]
	rg.store.remove(sk) // the key will never be admitted here, because this instance is no longer the owner
	if de == nil {
		return
	}
	for _, request := range de.waitingRequests {
		if wa := le.requests.waiters[request]; wa != nil && wa.shortKey == sk {
			le.requests.drop(request)
			le.forwardToOwner(rg, wa)
		}
	}
}

// resumeAfterFailedUpdate is called when the range's transaction is proven to have failed.
func (le *Ledger) resumeAfterFailedUpdate(rg *keyRange) {
	failedKind := rg.pendingUpdate.kind
	rg.pendingUpdate = nil
	rg.retryAt = le.now.Add(le.settings.RetryBackoff)
	if rg.owner != nil && failedKind == changeAddReplica {
		le.abortAddition(rg)
	}
	le.unblockSubmits(rg)
	le.flushAccepts(rg)
}

const maxFormerOwners = 4 // former owners per range that are remembered as possible sources of results

func (rg *keyRange) addFormerOwner(id string) {
	if len(rg.formerOwners) == maxFormerOwners {
		rg.formerOwners = rg.formerOwners[1:]
	}
	rg.formerOwners = append(rg.formerOwners, id)
}
