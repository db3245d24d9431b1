package lovageledger

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageplatform"
)

// Guards against a lease that counts as expired because the last read is older than the lease.
func TestRangeOfLateOwnerIsNotClaimed(t *testing.T) {
	sl := newSingleLedger(Settings{})
	sl.settle()
	id := RangeID{DataCentre: "kandla", Index: 9}
	renew := func() {
		version := sl.table.rows[instancePrefix+"late"].Version + 1
		sl.table.rows[instancePrefix+"late"] = lovageplatform.Row{Key: instancePrefix + "late", Value: []byte("{}"), Version: version}
	}
	renew()
	row := RangeRow{Owner: "late", Epoch: 1, CompleteSince: 1}
	sl.table.rows[id.String()] = lovageplatform.Row{Key: id.String(), Value: row.encode(), Version: 1}
	sl.step(&RangesReceived{Peer: "late", Ranges: []RangeState{{Range: id, Row: row, Version: 1}}})
	// The live peer makes this instance need a range for a replica.
	sl.step(&MembersChanged{Members: []Member{
		{ID: "late", DataCentre: "kandla", State: MemberSuspect}, {ID: "peer", DataCentre: "kandla", State: MemberLive},
	}})
	for range 20 {
		for range 10 {
			sl.tick(100 * time.Millisecond)
		}
		renew()
		must.Eq(t, "late", sl.ledger.ranges[id].row.Owner)
	}
	for range 100 {
		sl.tick(100 * time.Millisecond) // without renewals the lease expires
	}
	must.Eq(t, "a", sl.ledger.ranges[id].row.Owner)
}

// Guards against a take-over from an owner that is late but renews a lease that its replica has not read yet.
func TestReplicaLeavesRangeToLateOwner(t *testing.T) {
	lp := &ledgerPair{now: time.UnixMilli(1_796_000_000_000).UTC(), table: newFakeTable()}
	lp.owner = New(Settings{Instance: "a", DataCentre: "kandla", Rand: newRand(1)})
	lp.replica = New(Settings{Instance: "b", DataCentre: "kandla", Rand: newRand(2)})
	lp.step(lp.replica, &Tick{}) // reads the instance rows before the owner starts
	lp.step(lp.owner, &MembersChanged{Members: []Member{{ID: "b", DataCentre: "kandla", State: MemberLive}}})
	lp.step(lp.replica, &MembersChanged{Members: []Member{{ID: "a", DataCentre: "kandla", State: MemberLive}}})
	for range 40 {
		lp.tick(100 * time.Millisecond)
	}
	replicated := slices.DeleteFunc(lp.owner.Ranges(), func(rs RangeState) bool { return rs.Row.Replica != "b" })
	must.Len(t, 1, replicated)
	lp.step(lp.replica, &MembersChanged{Members: []Member{{ID: "a", DataCentre: "kandla", State: MemberSuspect}}})
	for range 100 {
		lp.tick(100 * time.Millisecond)
		must.Eq(t, "a", lp.replica.ranges[replicated[0].Range].row.Owner)
	}
}
