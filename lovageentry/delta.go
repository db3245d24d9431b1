package lovageentry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// summaryRefresh is the time after which a relay sends a peer full summaries again although they were acknowledged.
const summaryRefresh = time.Minute

// deltaTracker numbers the changes of the parts of summaries that change rarely, so that a heartbeat contains only
// those that the peer has not acknowledged. When each heartbeat contained all of them, a relay sent 20 KB/s with 48
// instances in 14 data centres.
type deltaTracker struct {
	rows       map[lovageledger.RangeID]*rangeChange
	members    map[string]*memberChange                // contents as last sent, by instance ID
	received   map[string]*lovagemessage.MemberSummary // last received report with contents, by instance ID
	lastChange uint64                                  // number of the latest change
}

// rangeChange is the newest known version of a range row: an own row or one from a heartbeat or summary.
type rangeChange struct {
	row        *lovagemessage.RangeState
	dataCentre string // data centre of the instances that sent the row
	change     uint64
}

type memberChange struct {
	contents *lovagemessage.MemberSummary // the fields that the function brief leaves out
	change   uint64
}

func newDeltaTracker() deltaTracker {
	return deltaTracker{
		rows: make(map[lovageledger.RangeID]*rangeChange), members: make(map[string]*memberChange),
		received: make(map[string]*lovagemessage.MemberSummary),
	}
}

// dropUnknown drops the entries of instances that are not members.
func (dt *deltaTracker) dropUnknown(members map[string]lovagemember.Member) {
	for id := range dt.members {
		if _, ok := members[id]; !ok {
			delete(dt.members, id)
		}
	}
	for id := range dt.received {
		if _, ok := members[id]; !ok {
			delete(dt.received, id)
		}
	}
}

func (dt *deltaTracker) recordRanges(dataCentre string, rows ...*lovagemessage.RangeState) {
	for _, row := range rows {
		id := toRange(row).Range
		if old := dt.rows[id]; old != nil && old.row.GetVersion() >= row.GetVersion() {
			continue
		}
		dt.lastChange++
		dt.rows[id] = &rangeChange{row: row, dataCentre: dataCentre, change: dt.lastChange}
	}
}

// rangesSince returns the range rows from the data centre's instances that are newer than the change with the number.
func (dt *deltaTracker) rangesSince(dataCentre string, change uint64) []*lovagemessage.RangeState {
	var out []*lovagemessage.RangeState
	if change == dt.lastChange {
		return nil
	}
	for _, rc := range dt.rows {
		if rc.dataCentre == dataCentre && rc.change > change {
			out = append(out, rc.row)
		}
	}
	return out
}

// recordMember records the contents of a report and returns the number of their last change.
func (dt *deltaTracker) recordMember(full *lovagemessage.MemberSummary) uint64 {
	contents := &lovagemessage.MemberSummary{
		Address: full.GetAddress(), CallerAddress: full.GetCallerAddress(), Domains: full.GetDomains(),
	}
	if old := dt.members[full.GetInstance()]; old != nil && proto.Equal(old.contents, contents) {
		return old.change
	}
	dt.lastChange++
	dt.members[full.GetInstance()] = &memberChange{contents: contents, change: dt.lastChange}
	return dt.lastChange
}

// complete returns a received summary in which brief reports are completed with the contents received earlier. It drops
// a brief report if no contents are known for its instance; the sender repeats them within summaryRefresh.
func (dt *deltaTracker) complete(msg *lovagemessage.DataCentreSummary) *lovagemessage.DataCentreSummary {
	out := &lovagemessage.DataCentreSummary{DataCentre: msg.GetDataCentre(), Relay: msg.GetRelay()}
	for _, me := range msg.GetMembers() {
		if me.GetAddress() != "" {
			dt.received[me.GetInstance()] = me
			out.Members = append(out.Members, me)
			continue
		}
		if received := dt.received[me.GetInstance()]; received != nil {
			full := brief(me)
			full.Address, full.CallerAddress = received.GetAddress(), received.GetCallerAddress()
			full.Domains = received.GetDomains()
			out.Members = append(out.Members, full)
		}
	}
	return out
}

// brief returns a report without the contents that change rarely: the addresses and the domain loads.
func brief(full *lovagemessage.MemberSummary) *lovagemessage.MemberSummary {
	return &lovagemessage.MemberSummary{
		Instance: full.GetInstance(), State: full.GetState(), AgeMillis: full.GetAgeMillis(),
		AppliedRevision: full.GetAppliedRevision(), LeavingWorkers: full.GetLeavingWorkers(),
	}
}

// versionedSummary is a summary with the number of the last change of each member's contents.
type versionedSummary struct {
	full    *lovagemessage.DataCentreSummary
	brief   []*lovagemessage.MemberSummary // members of full, without contents
	changes []uint64                       // number of the last change, by index in brief
}

func (dt *deltaTracker) newVersionedSummary(full *lovagemessage.DataCentreSummary) *versionedSummary {
	vs := &versionedSummary{full: full}
	for _, me := range full.GetMembers() {
		vs.brief = append(vs.brief, brief(me))
		vs.changes = append(vs.changes, dt.recordMember(me))
	}
	return vs
}

// since returns the summary with full reports on the members that changed after acked, the change that the receiver has
// acknowledged, and brief reports on the others.
func (vs *versionedSummary) since(acked uint64) *lovagemessage.DataCentreSummary {
	out := &lovagemessage.DataCentreSummary{
		DataCentre: vs.full.GetDataCentre(), Relay: vs.full.GetRelay(),
		Members: make([]*lovagemessage.MemberSummary, len(vs.brief)),
	}
	for i, change := range vs.changes {
		out.Members[i] = vs.brief[i]
		if change > acked {
			out.Members[i] = vs.full.GetMembers()[i]
		}
	}
	return out
}

// summaries returns the summaries for a heartbeat to an instance, with what changed after acked, the last change that
// the instance has acknowledged.
func (ro *heartbeatRound) summaries(instance string, acked uint64) []*lovagemessage.DataCentreSummary {
	lo := ro.lo
	scope := lo.membership.SummaryScopeFor(instance)
	if scope == lovagemember.NoSummaries {
		return nil
	}
	list, ok := ro.summaryCache[scope]
	if !ok {
		for _, su := range lo.membership.Summaries(scope) {
			list = append(list, lo.deltas.newVersionedSummary(fromSummary(&su, ro.brief)))
		}
		ro.summaryCache[scope] = list
	}
	out := make([]*lovagemessage.DataCentreSummary, len(list))
	for i, vs := range list {
		out[i] = vs.since(acked)
		out[i].Ranges = lo.deltas.rangesSince(vs.full.GetDataCentre(), acked)
	}
	return out
}
