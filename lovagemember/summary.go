package lovagemember

import (
	"slices"
	"strings"
	"time"
)

// lastContact returns the time of the last contact with the instance, by this instance or, as reported, by its relay.
func (it *instance) lastContact() time.Time {
	if it.reportedAt.After(it.contactAt) {
		return it.reportedAt
	}
	return it.contactAt
}

// summaryReceived merges a summary. Reports are ordered by the last contact with the instance, so that an older one, which
// may come late or from a second relay, never replaces a newer one.
func (co *Core) summaryReceived(ev SummaryReceived) {
	if ev.DataCentre == "" || ev.DataCentre == co.settings.DataCentre {
		return // instances of the local data centre are contacted directly
	}
	for i := range ev.Members {
		re := &ev.Members[i]
		if re.Instance == "" || re.Instance == co.settings.Instance {
			continue
		}
		co.mergeReport(&ev.Summary, re)
	}
}

func (co *Core) mergeReport(su *Summary, re *Report) {
	age := max(0, re.Age)
	at := co.latestTime.Add(-age)
	it := co.instances[re.Instance]
	if it == nil {
		if re.State == Gone || age >= co.settings.GoneAfter+co.relayDelay() {
			return // pruneInstances would remove it again
		}
		it = co.ensureInstance(re.Instance)
	}
	if it.dataCentre == co.settings.DataCentre {
		return
	}
	if !at.After(it.reportedAt) {
		// A relay can report a worse state without newer contact, because it has noticed the instance's silence.
		if it.reportedAt.Sub(at) < co.settings.HeartbeatInterval/2 &&
			relayRank(re.State) > relayRank(it.reportedState) && re.State != Leaving {
			it.reportedState = re.State
			co.refreshState(it)
		}
		return
	}
	it.reportedAt, it.reportedState = at, re.State
	if at.After(it.namedAt) {
		it.namedAt = at
	}
	if co.latestTime.Sub(it.heartbeatAt) < co.settings.SuspectAfter && su.Relay != re.Instance {
		return // its heartbeats take precedence; a relay's report about itself counts as a heartbeat
	}
	if at.After(it.refusedSince) {
		it.refusedSince = time.Time{}
	}
	it.dataCentre, it.address, it.leaving, it.details = su.DataCentre, re.Address, re.State == Leaving, re.Details
	it.callerAddress = re.CallerAddress
	co.refreshState(it)
	co.leavingWorkersReceived(re.Instance, re.LeavingWorkers)
	co.emit(ReportApplied{Instance: re.Instance, DataCentre: su.DataCentre, Age: age, Details: re.Details})
}

// SummaryScope determines which summaries a heartbeat holds.
type SummaryScope string

// Scopes of the summaries in heartbeats.
const (
	NoSummaries     SummaryScope = ""
	LocalSummary    SummaryScope = "own" // summary of the local data centre, for relays of other data centres
	RemoteSummaries SummaryScope = "far" // summaries of the other data centres, for instances of the local one
)

// SummaryScopeFor returns the scope of the summaries in a heartbeat to an instance.
func (co *Core) SummaryScopeFor(id string) SummaryScope {
	it := co.instances[id]
	if !co.role.IsRelay || !co.role.UsesRelays && (it == nil || !it.usesRelays) {
		return NoSummaries
	}
	if it != nil && it.dataCentre == co.settings.DataCentre {
		return RemoteSummaries
	}
	return LocalSummary
}

// Summaries returns the summaries of a scope.
func (co *Core) Summaries(scope SummaryScope) []Summary {
	switch scope {
	case LocalSummary:
		return []Summary{co.localSummary()}
	case RemoteSummaries:
		return co.remoteSummaries()
	case NoSummaries:
	}
	return nil
}

// RepliesWithSummary reports whether the reply to a heartbeat with summaries must hold the summary of the local data
// centre, because this instance's heartbeats to the sender do not hold it.
func (co *Core) RepliesWithSummary(from string) bool {
	it := co.instances[from]
	if it == nil || it.dataCentre == co.settings.DataCentre {
		return false
	}
	return !co.role.IsRelay || !it.exchangesHeartbeats || !co.role.UsesRelays && !it.usesRelays
}

// localSummary returns the summary of the local data centre, this instance included.
func (co *Core) localSummary() Summary {
	self := Report{
		Instance: co.settings.Instance, Address: co.settings.Address, State: Live, LeavingWorkers: co.LeavingWorkers(),
	}
	if co.draining {
		self.State = Leaving
	}
	out := Summary{DataCentre: co.settings.DataCentre, Relay: co.settings.Instance, Members: []Report{self}}
	for _, id := range co.instanceIDs {
		if it := co.instances[id]; it.dataCentre == co.settings.DataCentre {
			out.Members = co.appendReport(out.Members, it)
		}
	}
	return out
}

// remoteSummaries returns the summaries of the other data centres, sorted by name.
func (co *Core) remoteSummaries() []Summary {
	var out []Summary
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		if it.dataCentre == "" || it.dataCentre == co.settings.DataCentre {
			continue
		}
		i, found := slices.BinarySearchFunc(out, it.dataCentre, func(su Summary, name string) int {
			return strings.Compare(su.DataCentre, name)
		})
		if !found {
			out = slices.Insert(out, i, Summary{DataCentre: it.dataCentre, Relay: co.settings.Instance})
		}
		out[i].Members = co.appendReport(out[i].Members, it)
	}
	return out
}

// appendReport appends the report about an instance, unless there was no contact yet or the last contact is so old that
// every other instance considers it gone without a report.
func (co *Core) appendReport(list []Report, it *instance) []Report {
	contact := it.lastContact()
	age := co.latestTime.Sub(contact)
	if contact.IsZero() || age >= co.settings.GoneAfter+co.relayDelay() {
		return list
	}
	leaving := make([]string, 0, len(co.leavingByPeer[it.id]))
	for id := range co.leavingByPeer[it.id] {
		leaving = append(leaving, id)
	}
	slices.Sort(leaving)
	st, _ := co.computeState(it)
	return append(list, Report{
		Instance: it.id, Address: it.address, CallerAddress: it.callerAddress, State: st, Age: age, LeavingWorkers: leaving,
		Details: it.details,
	})
}
