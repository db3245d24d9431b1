package lovageledger

import (
	"fmt"
	"time"

	"lovagestack/lovageplatform"
)

// tableState holds the transactions and reads of this instance.
type tableState struct {
	queue    []transaction // to be committed in this order; one at a time is in flight
	inFlight *transaction

	reads       map[string]*read // by prefix; at most one at a time per prefix is in flight
	wantRanges  bool             // read the range rows as soon as possible
	lastRanges  uint64           // ID of the last successful read of the range rows
	lastLeases  uint64
	rangesAt    time.Time // when the last successful read of the range rows was issued
	leasesAt    time.Time
	triedRanges time.Time // when the last read was issued, successful or not
	triedLeases time.Time
	down        bool // the last operation failed
}

type transaction struct {
	id  uint64
	rg  *keyRange // with try: the attempt that the transaction carries out
	try *attempt
	tx  lovageplatform.Transaction
}

type read struct {
	id     uint64
	issued time.Time
}

// change is what an attempt wants to do with a range row.
type change string

const (
	changeClaim    change = "claim"    // create a row, or take a free or abandoned one (Rule C)
	changeTakeOver change = "takeOver" // Rule B
	changeDrop     change = "drop"     // Rule D
	changeAdd      change = "add"      // Rule E
	changeHandOver change = "handOver" // Rule F
	changeRelease  change = "release"  // makes a range free whose keys have all exceeded their lifetime
)

// attempt is a transaction on a range row whose result is not known yet. It ends when the row is seen in a later
// version, or in the same version by a read that was issued after the transaction could no longer take effect.
type attempt struct {
	change change
	row    RangeRow // the row's new value
	check  int64    // the row's version that the transaction checks
	id     uint64
	state  attemptState
	after  uint64 // with attemptProven: a read with a higher ID shows the final state of the row
}

type attemptState uint8

const (
	attemptSent   attemptState = iota
	attemptDoubt               // ambiguous: may take effect until a later transaction of this instance has committed
	attemptProven              // can no longer take effect, unless it already has; to be read back
)

// attempt starts a transaction on the range's row.
func (le *Ledger) attempt(rg *keyRange, ch change, row RangeRow) {
	id := le.newID()
	rg.try = &attempt{change: ch, row: row, check: rg.version, id: id}
	le.enqueue(transaction{id: id, rg: rg, try: rg.try, tx: lovageplatform.Transaction{
		OperationID: fmt.Sprintf("%s-%d", le.se.Instance, id),
		Checks:      []lovageplatform.Check{{Key: rg.id.String(), Version: rg.version}},
		Writes:      []lovageplatform.Write{{Key: rg.id.String(), Value: row.encode()}},
	}})
}

func (le *Ledger) enqueue(tr transaction) {
	le.table.queue = append(le.table.queue, tr)
	le.sendNext()
}

func (le *Ledger) sendNext() {
	if le.table.inFlight != nil || len(le.table.queue) == 0 {
		return
	}
	tr := le.table.queue[0]
	le.table.queue = le.table.queue[1:]
	le.table.inFlight = &tr
	le.emit(CommitTable{ID: tr.id, Transaction: tr.tx})
}

func (le *Ledger) tableCommitted(ev *TableCommitted) {
	tr := le.table.inFlight
	if tr == nil || tr.id != ev.ID {
		return
	}
	le.table.inFlight = nil
	le.table.down = ev.State == Ambiguous
	if ev.State == Committed {
		le.fence(tr.id)
	}
	switch {
	case tr.try == nil:
		le.renewed(ev)
	case tr.rg.try != tr.try:
		// Resolved already by a row that was seen in a later version.
	case ev.State == Committed:
		le.rowSeen(tr.rg.id, tr.try.row, tr.try.check+1)
	case ev.State == Conflict:
		// Rule B and D: the read-back decides, issued after the transaction is known to have failed for good.
		tr.try.state, tr.try.after = attemptProven, le.nextID
		le.table.wantRanges = true
		for _, row := range ev.Conflicts {
			le.rowRead(row)
		}
	default:
		tr.try.state = attemptDoubt
		le.table.wantRanges = true
		le.lease.renewAt = le.now.Add(le.se.RetryBackoff / 4) // the next committed renewal is the fence
	}
	le.sendNext()
	le.maintain()
}

// fence marks the attempts in doubt that precede a committed transaction: the table row operation/<instance> has
// moved on, so they can no longer take effect.
func (le *Ledger) fence(committed uint64) {
	for _, id := range le.order {
		if try := le.ranges[id].try; try != nil && try.state == attemptDoubt && try.id < committed {
			try.state, try.after = attemptProven, le.nextID
			le.table.wantRanges = true
		}
	}
}

// rowRead takes note of a range row as the table returned it.
func (le *Ledger) rowRead(tr lovageplatform.Row) {
	id, err := ParseRangeID(tr.Key)
	if err != nil || tr.Version == 0 {
		return
	}
	row, err := decodeRow(tr.Value)
	if err != nil {
		return
	}
	le.rowSeen(id, row, tr.Version)
}

// readTable issues a read unless one of the same prefix is in flight.
func (le *Ledger) readTable(prefix string) bool {
	if le.table.reads == nil {
		le.table.reads = map[string]*read{}
	}
	if le.table.reads[prefix] != nil {
		return false
	}
	re := &read{id: le.newID(), issued: le.now}
	le.table.reads[prefix] = re
	le.emit(ReadTable{ID: re.id, Prefix: prefix})
	return true
}

func (le *Ledger) tableRead(ev *TableRead) {
	for prefix, re := range le.table.reads {
		if re.id != ev.ID {
			continue
		}
		delete(le.table.reads, prefix)
		le.table.down = ev.Failed
		switch {
		case ev.Failed && prefix == rangePrefix:
			le.table.wantRanges = true
		case ev.Failed:
		case prefix == rangePrefix:
			le.rangesRead(re, ev.Rows)
		case prefix == instancePrefix:
			le.leasesRead(re, ev.Rows)
		}
		break
	}
	le.maintain()
}

// rangesRead takes note of all range rows and of the attempts that they prove to have failed.
func (le *Ledger) rangesRead(re *read, rows []lovageplatform.Row) {
	le.table.lastRanges, le.table.rangesAt = re.id, re.issued
	seen := map[string]int64{}
	for _, row := range rows {
		seen[row.Key] = row.Version
		le.rowRead(row)
	}
	for _, id := range le.order {
		rg := le.ranges[id]
		if try := rg.try; try != nil && try.state == attemptProven && re.id > try.after && seen[id.String()] == try.check {
			// The row is as it was and the transaction can no longer take effect: what it stopped may go on.
			le.attemptFailed(rg)
		}
	}
}

// scan issues the reads that are due.
func (le *Ledger) scan() {
	every := le.se.ScanInterval
	if le.ownerMissing() {
		every = le.se.RenewInterval // an observer has to see the lease row unchanged for a whole TTL
	}
	due := func(tried time.Time, after time.Duration) bool { return tried.IsZero() || le.now.Sub(tried) >= after }
	if due(le.table.triedRanges, every) || le.table.wantRanges && due(le.table.triedRanges, le.readPause()) {
		if le.readTable(rangePrefix) {
			le.table.triedRanges, le.table.wantRanges = le.now, false
		}
	}
	if due(le.table.triedLeases, every) && le.readTable(instancePrefix) {
		le.table.triedLeases = le.now
	}
}

// readPause bounds the rate of reads on demand: five a second, or one per RetryBackoff while the table fails.
func (le *Ledger) readPause() time.Duration {
	if le.table.down {
		return le.se.RetryBackoff
	}
	return le.se.RetryBackoff / 5
}

// ownerMissing reports whether the owner of a range of this data centre, or of a range kept here, is not live.
func (le *Ledger) ownerMissing() bool {
	for _, id := range le.order {
		rg := le.ranges[id]
		if rg.row.Owner != "" && !le.live(rg.row.Owner) && (rg.rep != nil || le.wants()) {
			return true
		}
	}
	return false
}
