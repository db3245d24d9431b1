package lovageentry

import (
	"time"

	"go.uber.org/zap"

	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// memberSummary returns the details about a heartbeat's sender that lovagemember forwards in summaries.
func memberSummary(msg *lovagemessage.Heartbeat) *lovagemessage.MemberSummary {
	return &lovagemessage.MemberSummary{
		Instance: msg.GetInstance(), CallerAddress: msg.GetCallerAddress(), AppliedRevision: msg.GetAppliedRevision(),
		Domains: msg.GetDomains(),
	}
}

// fromSummary encodes a summary. The details about this instance come from ownHeartbeat.
func fromSummary(su *lovagemember.Summary, ownHeartbeat *lovagemessage.Heartbeat) *lovagemessage.DataCentreSummary {
	out := &lovagemessage.DataCentreSummary{
		DataCentre: su.DataCentre, Relay: su.Relay, Members: make([]*lovagemessage.MemberSummary, 0, len(su.Members)),
	}
	for i := range su.Members {
		re := &su.Members[i]
		details, _ := re.Details.(*lovagemessage.MemberSummary)
		if re.Instance == ownHeartbeat.GetInstance() {
			details = memberSummary(ownHeartbeat)
		}
		out.Members = append(out.Members, &lovagemessage.MemberSummary{
			Instance: re.Instance, Address: re.Address, State: fromState(re.State), AgeMillis: re.Age.Milliseconds(),
			LeavingWorkers: re.LeavingWorkers, CallerAddress: details.GetCallerAddress(),
			AppliedRevision: details.GetAppliedRevision(), Domains: details.GetDomains(),
		})
	}
	return out
}

// fromState encodes a state. Live, the state of nearly all instances, is an empty string and takes no bytes.
func fromState(st lovagemember.State) string {
	if st == lovagemember.Live {
		return ""
	}
	return string(st)
}

func toState(text string) lovagemember.State {
	if text == "" {
		return lovagemember.Live
	}
	return lovagemember.State(text)
}

func toSummary(msg *lovagemessage.DataCentreSummary) lovagemember.Summary {
	out := lovagemember.Summary{
		DataCentre: msg.GetDataCentre(), Relay: msg.GetRelay(),
		Members: make([]lovagemember.Report, 0, len(msg.GetMembers())),
	}
	for _, me := range msg.GetMembers() {
		out.Members = append(out.Members, lovagemember.Report{
			Instance: me.GetInstance(), Address: me.GetAddress(), CallerAddress: me.GetCallerAddress(),
			State: toState(me.GetState()), Age: time.Duration(me.GetAgeMillis()) * time.Millisecond,
			LeavingWorkers: me.GetLeavingWorkers(), Details: me,
		})
	}
	return out
}

// summariesReceived is an event with the summaries of a heartbeat or of the reply to a heartbeat.
type summariesReceived struct {
	summaries []*lovagemessage.DataCentreSummary
}

func (sr *summariesReceived) apply(lo *controlLoop) {
	for _, msg := range sr.summaries {
		lo.stepMember(lovagemember.SummaryReceived{Summary: toSummary(lo.deltas.complete(msg))})
		if msg.GetDataCentre() != lo.in.settings.DataCentre {
			lo.rangesReceived(msg.GetDataCentre(), msg.GetRelay(), msg.GetRanges())
		}
	}
}

// rangesReceived passes range rows from a peer to the ledger and records them for this instance's summaries.
func (lo *controlLoop) rangesReceived(dataCentre, peer string, rows []*lovagemessage.RangeState) {
	if len(rows) == 0 {
		return
	}
	lo.deltas.recordRanges(dataCentre, rows...)
	received := &lovageledger.RangesReceived{Peer: peer}
	for _, row := range rows {
		received.Ranges = append(received.Ranges, toRange(row))
	}
	lo.stepLedger(received)
}

// reportApplied records an instance's domain loads and applied revision from a summary, as if that instance had sent a
// heartbeat.
func (lo *controlLoop) reportApplied(cm lovagemember.ReportApplied) {
	details, ok := cm.Details.(*lovagemessage.MemberSummary)
	if !ok {
		return
	}
	lo.in.domainRouter.recordLoads(details.GetDomains(), lo.now.Add(-cm.Age))
	lo.in.syncer.ObserveRevisionAt(cm.Instance, details.GetAppliedRevision(), lo.now.Add(-cm.Age))
}

func (lo *controlLoop) roleChanged(cm lovagemember.RoleChanged) {
	lo.log.Info("role among the instances changed", zap.Bool("relays", cm.Role.UsesRelays), zap.Bool("relay", cm.Role.IsRelay))
	lo.in.usesRelays.Store(cm.Role.UsesRelays)
	lo.in.isRelay.Store(cm.Role.IsRelay)
	for _, ht := range lo.heartbeatTargetStates {
		ht.ackedChange = 0 // the next summaries are full, as another relay may have sent the peer newer fields
	}
	lo.updateSyncTargets()
}

// localSummaries returns the summary of this data centre. An instance that replies to a heartbeat in place of the relay
// sends this summary.
func (lo *controlLoop) localSummaries() []*lovagemessage.DataCentreSummary {
	ownHeartbeat := lo.heartbeatMessage()
	lo.recordOwnRanges()
	var out []*lovagemessage.DataCentreSummary
	for _, su := range lo.membership.Summaries(lovagemember.LocalSummary) {
		msg := fromSummary(&su, ownHeartbeat)
		msg.Ranges = lo.deltas.rangesSince(su.DataCentre, 0)
		out = append(out, msg)
	}
	return out
}

func (lo *controlLoop) recordOwnRanges() {
	for _, rs := range lo.ledger.Ranges() {
		lo.deltas.recordRanges(lo.in.settings.DataCentre, fromRange(rs))
	}
}

// sendHeartbeats sends heartbeats to the instances now, before they are due.
func (lo *controlLoop) sendHeartbeats(ids []string) {
	ro := lo.newHeartbeatRound()
	for _, id := range ids {
		if address := lo.members.address(id); address != "" && lo.in.mesh.Connected(address) {
			if ht := lo.heartbeatTargetStates[address]; ht != nil {
				ht.nextDue = time.Time{}
			}
			ro.send(address)
		}
	}
}

// connectSeeds keeps sessions with the seeds. It releases live seeds with which this instance exchanges no heartbeats.
func (lo *controlLoop) connectSeeds() {
	released := make(map[string]bool)
	if lo.in.usesRelays.Load() {
		for id, me := range lo.members.members {
			if me.State == lovagemember.Live && !lo.membership.ExchangesHeartbeats(id) {
				released[me.Address] = true
			}
		}
	}
	for _, seed := range lo.in.settings.Peers.Seeds {
		address := seed.String()
		switch {
		case address == lo.in.peerAddress:
		case released[address]:
			if !lo.releasedAddresses[address] {
				lo.in.mesh.Release(address)
			}
		default:
			lo.in.mesh.Connect("", address)
		}
	}
	lo.releasedAddresses = released
}
