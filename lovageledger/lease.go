package lovageledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lovagestack/lovageplatform"
)

// leaseState holds the state of this instance's row, which is its lease, and the observed rows of other instances.
type leaseState struct {
	rowVersion    int64 // last known version of this instance's row
	renewalNumber int64
	renewAt       time.Time
	renewing      bool
	written       bool // the row has been written at least once

	observedVersions map[string]*observedVersion
}

// observedVersion is the last version seen of a table row. The time for which a row is unchanged is measured on this
// instance's clock, from when the version was first seen; clocks of different machines are not compared.
type observedVersion struct {
	version   int64
	firstSeen time.Time
	lastSeen  time.Time // issue time of the last read that showed the version
}

func newLeaseState() leaseState { return leaseState{observedVersions: map[string]*observedVersion{}} }

// renewLease writes the instance row when it is due. One write renews the lease for all ranges.
func (le *Ledger) renewLease() {
	if le.lease.renewing || le.now.Before(le.lease.renewAt) {
		return
	}
	le.lease.renewing = true
	le.lease.renewalNumber++
	le.lease.renewAt = le.now.Add(le.settings.RenewInterval)
	value, err := json.Marshal(instanceRow{
		DataCentre: le.settings.DataCentre, Address: le.settings.Address, Renewal: le.lease.renewalNumber,
	})
	if err != nil {
		panic(err) // strings and integers always encode
	}
	id, key := le.newID(), instancePrefix+le.settings.Instance
	tx := lovageplatform.Transaction{
		OperationID: fmt.Sprintf("%s-%d", le.settings.Instance, id),
		Checks:      []lovageplatform.Check{{Key: key, Version: le.lease.rowVersion}},
		Writes:      []lovageplatform.Write{{Key: key, Value: value}},
	}
	le.enqueueTransaction(transaction{id: id, tableTx: tx})
}

func (le *Ledger) renewalReplied(ev *TableCommitted) {
	le.lease.renewing = false
	key := instancePrefix + le.settings.Instance
	switch ev.State {
	case Committed:
		le.lease.written = true
		le.lease.rowVersion++
		if version, ok := ev.Versions[key]; ok {
			le.lease.rowVersion = version
		}
	case Conflict:
		for _, row := range ev.Conflicts {
			if row.Key == key {
				le.lease.rowVersion = row.Version
			}
		}
		le.lease.renewAt = le.now.Add(le.settings.RetryBackoff / 4)
	case Ambiguous:
		le.lease.renewAt = le.now.Add(le.settings.RetryBackoff)
	}
}

// instancesRead records the versions of all instance rows. The row of an instance that a range row names has version 0
// if it does not exist.
func (le *Ledger) instancesRead(re *pendingRead, rows []lovageplatform.Row) {
	le.table.lastInstancesReadID, le.table.instancesReadAt = re.id, re.issuedAt
	versions := map[string]int64{}
	for _, rg := range le.ranges {
		versions[rg.row.Owner], versions[rg.row.Replica] = 0, 0
	}
	for _, row := range rows {
		versions[strings.TrimPrefix(row.Key, instancePrefix)] = row.Version
	}
	delete(versions, "")
	delete(versions, le.settings.Instance)
	for id, version := range versions {
		ov := le.lease.observedVersions[id]
		if ov == nil || ov.version != version {
			le.lease.observedVersions[id] = &observedVersion{version: version, firstSeen: le.now, lastSeen: re.issuedAt}
			continue
		}
		ov.lastSeen = re.issuedAt
	}
	for id := range le.lease.observedVersions {
		if _, present := versions[id]; !present {
			delete(le.lease.observedVersions, id)
		}
	}
}

// leaseExpired reports whether the lease of an instance has expired: a read issued at least a TTL after the version of
// its row was first seen still showed that version. An instance that no read has covered yet has just been named.
func (le *Ledger) leaseExpired(id string) bool {
	ov := le.lease.observedVersions[id]
	return ov != nil && ov.lastSeen.Sub(ov.firstSeen) >= le.settings.LeaseTTL
}

// presumedFailed reports whether the instance is not live and its lease has expired, so that an attempt to take its
// ranges is worthwhile. No rule depends on this guess.
func (le *Ledger) presumedFailed(id string) bool {
	return !le.isLive(id) && le.leaseExpired(id)
}
