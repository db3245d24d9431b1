package lovageentry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// summaryRefresh is the interval at which a relay sends a peer full summaries, even if the peer has acknowledged them.
const summaryRefresh = time.Minute

// deltaTracker numbers the changes of range rows and of the rarely changing fields of member reports. A heartbeat
// contains only changes that the peer has not acknowledged. When each heartbeat contained all rows and fields, a relay
// sent 20 KB/s with 48 instances in 14 data centres.
type deltaTracker struct {
	rows       map[lovageledger.RangeID]*rangeChange
	members    map[string]*memberChange                // last change of each member's rare fields, by instance ID
	received   map[string]*lovagemessage.MemberSummary // last received full report, by instance ID
	lastChange uint64                                  // number of the latest change
}

// rangeChange is the newest known version of a range row, from this instance's ledger, a heartbeat or a summary.
type rangeChange struct {
	row          *lovagemessage.RangeState
	dataCentre   string // data centre of the instance that reported the row
	changeNumber uint64
}

type memberChange struct {
	rareFields   *lovagemessage.MemberSummary // addresses and domain loads, which the function brief leaves out
	changeNumber uint64
}

func newDeltaTracker() deltaTracker {
	return deltaTracker{
		rows: make(map[lovageledger.RangeID]*rangeChange), members: make(map[string]*memberChange),
		received: make(map[string]*lovagemessage.MemberSummary),
	}
}

// dropUnknown drops the entries of non-members.
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
		dt.rows[id] = &rangeChange{row: row, dataCentre: dataCentre, changeNumber: dt.lastChange}
	}
}

// rangesSince returns the range rows with a change number above change that instances of the data centre reported.
func (dt *deltaTracker) rangesSince(dataCentre string, change uint64) []*lovagemessage.RangeState {
	var out []*lovagemessage.RangeState
	if change == dt.lastChange {
		return nil
	}
	for _, rc := range dt.rows {
		if rc.dataCentre == dataCentre && rc.changeNumber > change {
			out = append(out, rc.row)
		}
	}
	return out
}

// recordMember stores a member's addresses and domain loads, which change rarely. It returns the number of the change
// that last altered them.
func (dt *deltaTracker) recordMember(full *lovagemessage.MemberSummary) uint64 {
	rareFields := &lovagemessage.MemberSummary{
		Address: full.GetAddress(), CallerAddress: full.GetCallerAddress(), Domains: full.GetDomains(),
	}
	if old := dt.members[full.GetInstance()]; old != nil && proto.Equal(old.rareFields, rareFields) {
		return old.changeNumber
	}
	dt.lastChange++
	dt.members[full.GetInstance()] = &memberChange{rareFields: rareFields, changeNumber: dt.lastChange}
	return dt.lastChange
}

// complete returns a received summary in which brief reports are completed with the addresses and domain loads of
// earlier full reports. It drops a brief report if no full report on the instance was received. The sender sends a full
// one within summaryRefresh.
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

// brief returns a report without the addresses and domain loads, which change rarely.
func brief(full *lovagemessage.MemberSummary) *lovagemessage.MemberSummary {
	return &lovagemessage.MemberSummary{
		Instance: full.GetInstance(), State: full.GetState(), AgeMillis: full.GetAgeMillis(),
		AppliedRevision: full.GetAppliedRevision(), LeavingWorkers: full.GetLeavingWorkers(),
	}
}

type versionedSummary struct {
	full          *lovagemessage.DataCentreSummary
	brief         []*lovagemessage.MemberSummary // brief reports on the members of full
	changeNumbers []uint64                       // number of the member's last change, by index in brief
}

func (dt *deltaTracker) newVersionedSummary(full *lovagemessage.DataCentreSummary) *versionedSummary {
	vs := &versionedSummary{full: full}
	for _, me := range full.GetMembers() {
		vs.brief = append(vs.brief, brief(me))
		vs.changeNumbers = append(vs.changeNumbers, dt.recordMember(me))
	}
	return vs
}

// since returns the summary for a receiver that has acknowledged the changes up to acked. Members that changed later
// have full reports, and the other members have brief ones.
func (vs *versionedSummary) since(acked uint64) *lovagemessage.DataCentreSummary {
	out := &lovagemessage.DataCentreSummary{
		DataCentre: vs.full.GetDataCentre(), Relay: vs.full.GetRelay(),
		Members: make([]*lovagemessage.MemberSummary, len(vs.brief)),
	}
	for i, change := range vs.changeNumbers {
		out.Members[i] = vs.brief[i]
		if change > acked {
			out.Members[i] = vs.full.GetMembers()[i]
		}
	}
	return out
}

// summaries returns the summaries for a heartbeat to an instance that has acknowledged the changes up to acked.
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
