package lovageledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lovagestack/lovageplatform"
)

// leaseState holds this instance's lease row and what it has observed of the others.
type leaseState struct {
	version  int64 // of the own row, as far as known
	renewal  int64
	renewAt  time.Time
	renewing bool
	written  bool // the row has been written at least once

	observed map[string]*observedVersion
}

// observedLease is the last version seen of an instance row. Expiry is measured on this instance's clock from the
// moment at which the version was first seen; no clock is compared across machines.
type observedVersion struct {
	version   int64
	firstSeen time.Time
	lastSeen  time.Time // when the last read that showed the version was issued
}

func newLeaseState() leaseState { return leaseState{observed: map[string]*observedVersion{}} }

// renew writes the lease row when it is due: one write for all ranges.
func (le *Ledger) renew() {
	if le.lease.renewing || le.now.Before(le.lease.renewAt) {
		return
	}
	le.lease.renewing = true
	le.lease.renewal++
	le.lease.renewAt = le.now.Add(le.se.RenewInterval)
	value, err := json.Marshal(instanceRow{DataCentre: le.se.DataCentre, Address: le.se.Address, Renewal: le.lease.renewal})
	if err != nil {
		panic(err) // strings and integers always encode
	}
	id, key := le.newID(), instancePrefix+le.se.Instance
	tx := lovageplatform.Transaction{
		OperationID: fmt.Sprintf("%s-%d", le.se.Instance, id),
		Checks:      []lovageplatform.Check{{Key: key, Version: le.lease.version}},
		Writes:      []lovageplatform.Write{{Key: key, Value: value}},
	}
	le.enqueue(transaction{id: id, tx: tx})
}

func (le *Ledger) renewalReplied(ev *TableCommitted) {
	le.lease.renewing = false
	key := instancePrefix + le.se.Instance
	switch ev.State {
	case Committed:
		le.lease.written = true
		le.lease.version++
		if version, ok := ev.Versions[key]; ok {
			le.lease.version = version
		}
	case Conflict:
		for _, row := range ev.Conflicts {
			if row.Key == key {
				le.lease.version = row.Version
			}
		}
		le.lease.renewAt = le.now.Add(le.se.RetryBackoff / 4)
	case Ambiguous:
		le.lease.renewAt = le.now.Add(le.se.RetryBackoff)
	}
}

// leasesRead takes note of all instance rows.
func (le *Ledger) instancesRead(re *read, rows []lovageplatform.Row) {
	le.table.lastInstancesRead, le.table.instancesReadAt = re.id, re.issuedAt
	present := map[string]bool{}
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, instancePrefix)
		if id == le.se.Instance {
			continue
		}
		present[id] = true
		ov := le.lease.observed[id]
		if ov == nil || ov.version != row.Version {
			le.lease.observed[id] = &observedVersion{version: row.Version, firstSeen: le.now, lastSeen: re.issuedAt}
			continue
		}
		ov.lastSeen = re.issuedAt
	}
	for id := range le.lease.observed {
		if !present[id] {
			delete(le.lease.observed, id)
		}
	}
}

// expired reports whether the lease of an instance has expired: its row does not exist, or a read that was issued a
// TTL after the version was first seen still showed that version.
func (le *Ledger) leaseExpired(id string) bool {
	if id == le.se.Instance || le.table.instancesReadAt.IsZero() {
		return false
	}
	ov := le.lease.observed[id]
	return ov == nil || ov.lastSeen.Sub(ov.firstSeen) >= le.se.LeaseTTL
}

// lost reports whether a take-over from the instance is worth attempting. No rule depends on it.
func (le *Ledger) presumedFailed(id string) bool {
	return !le.live(id) && le.leaseExpired(id)
}
