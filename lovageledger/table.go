package lovageledger

import (
	"fmt"
	"time"

	"lovagestack/lovageplatform"
)

type tableState struct {
	transactionQueue []transaction // transactions to commit in this order, one at a time
	inFlight         *transaction

	pendingReads        map[string]*pendingRead // reads in flight by prefix, at most one per prefix
	rangesStale         bool                    // the range rows are to be read as soon as possible
	lastRangesReadID    uint64                  // ID of the last successful read of the range rows
	lastInstancesReadID uint64
	rangesReadAt        time.Time // when the last successful read of the range rows was issued
	instancesReadAt     time.Time
	rangesTriedAt       time.Time // when the last read of the range rows was issued, successful or not
	instancesTriedAt    time.Time
	failing             bool // the last table operation failed
}

type transaction struct {
	id       uint64
	keyRange *keyRange  // range of the row; nil for a renewal of the lease
	update   *rowUpdate // update of the range row; nil for a renewal
	tableTx  lovageplatform.Transaction
}

type pendingRead struct {
	id       uint64
	issuedAt time.Time
}

type changeKind string

const (
	changeClaim       changeKind = "claim"    // create a range, or own one that is free or whose owner and replica failed (Rule C)
	changeTakeOver    changeKind = "takeOver" // become the owner as the replica (Rule B)
	changeDropReplica changeKind = "drop"     // remove the replica (Rule D)
	changeAddReplica  changeKind = "add"      // add a replica (Rule E)
	changeHandOver    changeKind = "handOver" // name another owner (Rule F)
	changeRelease     changeKind = "release"  // free a range whose keys have all exceeded their lifetime
)

// rowUpdate is a transaction on a range row with an outcome that is not known yet. It is resolved when the row is seen
// in a later version, or in the same version by a read issued after the transaction could no longer take effect.
type rowUpdate struct {
	kind           changeKind
	newRow         RangeRow
	checkedVersion int64 // version of the row that the transaction checks
	transactionID  uint64
	state          updateState
	settledAfterID uint64 // if settled: a read with a higher ID shows whether the transaction took effect
}

type updateState uint8

const (
	updateSent      updateState = iota
	updateAmbiguous             // may take effect until a later transaction of this instance has committed
	updateSettled               // can no longer take effect, but may have done so: a read decides
)

// updateRow starts a transaction on the range's row.
func (le *Ledger) updateRow(rg *keyRange, ch changeKind, row RangeRow) {
	id := le.newID()
	rg.pendingUpdate = &rowUpdate{kind: ch, newRow: row, checkedVersion: rg.rowVersion, transactionID: id}
	le.enqueueTransaction(transaction{id: id, keyRange: rg, update: rg.pendingUpdate, tableTx: lovageplatform.Transaction{
		OperationID: fmt.Sprintf("%s-%d", le.settings.Instance, id),
		Checks:      []lovageplatform.Check{{Key: rg.id.String(), Version: rg.rowVersion}},
		Writes:      []lovageplatform.Write{{Key: rg.id.String(), Value: row.encode()}},
	}})
}

func (le *Ledger) enqueueTransaction(tr transaction) {
	le.table.transactionQueue = append(le.table.transactionQueue, tr)
	le.commitNext()
}

func (le *Ledger) commitNext() {
	if le.table.inFlight != nil || len(le.table.transactionQueue) == 0 {
		return
	}
	tr := le.table.transactionQueue[0]
	le.table.transactionQueue = le.table.transactionQueue[1:]
	le.table.inFlight = &tr
	le.emit(CommitTable{ID: tr.id, Transaction: tr.tableTx})
}

func (le *Ledger) tableCommitted(ev *TableCommitted) {
	tr := le.table.inFlight
	if tr == nil || tr.id != ev.ID {
		return
	}
	le.table.inFlight = nil
	le.table.failing = ev.State == Ambiguous
	if ev.State == Committed {
		le.fence(tr.id)
	}
	switch {
	case tr.update == nil:
		le.renewalReplied(ev)
	case tr.keyRange.pendingUpdate != tr.update:
		// A later version of the row has already resolved the update.
	case ev.State == Committed:
		le.observeRangeRow(tr.keyRange.id, tr.update.newRow, tr.update.checkedVersion+1)
	case ev.State == Conflict:
		// The transaction has failed for good. Under Rules B and D the range continues only when a read issued from now
		// on shows the row.
		tr.update.state, tr.update.settledAfterID = updateSettled, le.lastID
		le.table.rangesStale = true
		for _, row := range ev.Conflicts {
			le.observeTableRow(row)
		}
	default:
		tr.update.state = updateAmbiguous
		le.table.rangesStale = true
		le.lease.renewAt = le.now.Add(le.settings.RetryBackoff / 4) // the renewal settles this update, see fence
	}
	le.commitNext()
	le.maintain()
}

// fence settles the ambiguous updates that precede a committed transaction of this instance. These updates check the
// row operation/<instance>, which the commit has changed, so they can no longer take effect.
func (le *Ledger) fence(committed uint64) {
	for _, id := range le.rangeIDs {
		if up := le.ranges[id].pendingUpdate; up != nil && up.state == updateAmbiguous && up.transactionID < committed {
			up.state, up.settledAfterID = updateSettled, le.lastID
			le.table.rangesStale = true
		}
	}
}

// observeTableRow decodes a range row that the table returned and applies it. Invalid rows are ignored.
func (le *Ledger) observeTableRow(tr lovageplatform.Row) {
	id, err := ParseRangeID(tr.Key)
	if err != nil || tr.Version == 0 {
		return
	}
	row, err := decodeRow(tr.Value)
	if err != nil {
		return
	}
	le.observeRangeRow(id, row, tr.Version)
}

// readTable issues a read unless one of the same prefix is in flight. It reports whether it issued one.
func (le *Ledger) readTable(prefix string) bool {
	if le.table.pendingReads == nil {
		le.table.pendingReads = map[string]*pendingRead{}
	}
	if le.table.pendingReads[prefix] != nil {
		return false
	}
	re := &pendingRead{id: le.newID(), issuedAt: le.now}
	le.table.pendingReads[prefix] = re
	le.emit(ReadTable{ID: re.id, Prefix: prefix})
	return true
}

func (le *Ledger) tableRead(ev *TableRead) {
	for prefix, re := range le.table.pendingReads {
		if re.id != ev.ID {
			continue
		}
		delete(le.table.pendingReads, prefix)
		le.table.failing = ev.Failed
		switch {
		case ev.Failed && prefix == rangePrefix:
			le.table.rangesStale = true
		case ev.Failed:
		case prefix == rangePrefix:
			le.rangesRead(re, ev.Rows)
		case prefix == instancePrefix:
			le.instancesRead(re, ev.Rows)
		}
		break
	}
	le.maintain()
}

// rangesRead applies the result of a read of all range rows, and resolves the updates that the read proves to have
// failed.
func (le *Ledger) rangesRead(re *pendingRead, rows []lovageplatform.Row) {
	le.table.lastRangesReadID, le.table.rangesReadAt = re.id, re.issuedAt
	versionByKey := map[string]int64{}
	for _, row := range rows {
		versionByKey[row.Key] = row.Version
		le.observeTableRow(row)
	}
	for _, id := range le.rangeIDs {
		rg := le.ranges[id]
		if up := rg.pendingUpdate; up != nil && up.state == updateSettled && re.id > up.settledAfterID &&
			versionByKey[id.String()] == up.checkedVersion {
			// The row is unchanged and the transaction can no longer take effect, so the range continues as before.
			le.resumeAfterFailedUpdate(rg)
		}
	}
}

// scanTable issues the reads that are due.
func (le *Ledger) scanTable() {
	every := le.settings.ScanInterval
	if le.ownerMissing() {
		every = le.settings.RenewInterval // so that an expired lease is noticed soon after its TTL
	}
	due := func(triedAt time.Time, after time.Duration) bool {
		return triedAt.IsZero() || le.now.Sub(triedAt) >= after
	}
	if due(le.table.rangesTriedAt, every) || le.table.rangesStale && due(le.table.rangesTriedAt, le.minReadInterval()) {
		if le.readTable(rangePrefix) {
			le.table.rangesTriedAt, le.table.rangesStale = le.now, false
		}
	}
	if due(le.table.instancesTriedAt, every) && le.readTable(instancePrefix) {
		le.table.instancesTriedAt = le.now
	}
}

// minReadInterval returns the minimum time between reads on demand: a fifth of RetryBackoff, which by default allows
// five reads a second, or RetryBackoff while the table fails.
func (le *Ledger) minReadInterval() time.Duration {
	if le.table.failing {
		return le.settings.RetryBackoff
	}
	return le.settings.RetryBackoff / 5
}

// ownerMissing reports whether the owner of a range that this instance replicates is not live. While this instance
// needs a further range, the owners of all ranges count.
func (le *Ledger) ownerMissing() bool {
	for _, id := range le.rangeIDs {
		rg := le.ranges[id]
		if rg.row.Owner != "" && !le.isLive(rg.row.Owner) && (rg.replica != nil || le.needsRange()) {
			return true
		}
	}
	return false
}
