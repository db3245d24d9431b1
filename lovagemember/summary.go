package lovagemember

import (
	"slices"
	"strings"
	"time"
)

// lastHeard returns when the instance was last heard from, by this instance or by its relay.
func (it *instance) lastHeard() time.Time {
	if it.reported.After(it.heard) {
		return it.reported
	}
	return it.heard
}

// summarySeen merges a summary. Reports are ordered by when the instance was heard from, so that an older one, which may
// come from a second relay or late, never replaces a newer one.
func (co *Core) summarySeen(ev SummaryReceived) {
	if ev.DataCentre == "" || ev.DataCentre == co.se.DataCentre {
		return // instances of the own data centre are heard directly
	}
	for i := range ev.Members {
		re := &ev.Members[i]
		if re.Instance == "" || re.Instance == co.se.Instance {
			continue
		}
		co.reportSeen(&ev.Summary, re)
	}
}

func (co *Core) reportSeen(su *Summary, re *Report) {
	age := max(0, re.Age)
	at := co.now.Add(-age)
	it := co.instances[re.Instance]
	if it == nil {
		if re.State == Gone || age >= co.se.GoneAfter+co.relayDelay() {
			return // it would only be forgotten again
		}
		it = co.instance(re.Instance)
	}
	if it.dataCentre == co.se.DataCentre {
		return
	}
	if !at.After(it.reported) {
		// A relay notices silence without having heard anything newer.
		if it.reported.Sub(at) < co.se.HeartbeatInterval/2 && relayRank(re.State) > relayRank(it.said) && re.State != Leaving {
			it.said = re.State
			co.refresh(it)
		}
		return
	}
	it.reported, it.said = at, re.State
	if at.After(it.known) {
		it.known = at
	}
	if co.now.Sub(it.told) < co.se.SuspectAfter && su.Relay != re.Instance {
		return // its heartbeats say it better; what a relay says of itself counts as one
	}
	if at.After(it.refusedSince) {
		it.refusedSince = time.Time{}
	}
	it.dataCentre, it.address, it.leaving, it.details = su.DataCentre, re.Address, re.State == Leaving, re.Details
	it.callerAddress = re.CallerAddress
	co.refresh(it)
	co.leavingHeard(re.Instance, re.LeavingWorkers)
	co.emit(ReportApplied{Instance: re.Instance, DataCentre: su.DataCentre, Age: age, Details: re.Details})
}

// SummaryScope says which summaries a heartbeat holds.
type SummaryScope string

// Contents of heartbeats.
const (
	NoSummaries     SummaryScope = ""
	LocalSummary    SummaryScope = "own" // that of the own data centre, for a relay elsewhere
	RemoteSummaries SummaryScope = "far" // those of the other data centres, for an instance of the own one
)

// SummaryScopeFor returns what a heartbeat to an instance is to hold.
func (co *Core) SummaryScopeFor(id string) SummaryScope {
	it := co.instances[id]
	if !co.role.IsRelay || !co.role.UsesRelays && (it == nil || !it.relays) {
		return NoSummaries
	}
	if it != nil && it.dataCentre == co.se.DataCentre {
		return RemoteSummaries
	}
	return LocalSummary
}

// Summaries returns the summaries of a kind.
func (co *Core) Summaries(kind SummaryScope) []Summary {
	switch kind {
	case LocalSummary:
		return []Summary{co.ownSummary()}
	case RemoteSummaries:
		return co.farSummaries()
	case NoSummaries:
	}
	return nil
}

// RepliesWithSummary reports whether the reply to a heartbeat with summaries is to hold the summary of the own data centre,
// because the sender does not get it with heartbeats of this instance.
func (co *Core) RepliesWithSummary(from string) bool {
	it := co.instances[from]
	if it == nil || it.dataCentre == co.se.DataCentre {
		return false
	}
	return !co.role.IsRelay || !it.wanted || !co.role.UsesRelays && !it.relays
}

// ownSummary returns the summary of the own data centre, this instance included.
func (co *Core) ownSummary() Summary {
	own := Report{
		Instance: co.se.Instance, Address: co.se.Address, State: Live, LeavingWorkers: co.LeavingWorkers(),
	}
	if co.draining {
		own.State = Leaving
	}
	out := Summary{DataCentre: co.se.DataCentre, Relay: co.se.Instance, Members: []Report{own}}
	for _, id := range co.order {
		if it := co.instances[id]; it.dataCentre == co.se.DataCentre {
			out.Members = co.appendReport(out.Members, it)
		}
	}
	return out
}

// farSummaries returns the summaries of the other data centres, sorted by name, for the instances of the own one.
func (co *Core) farSummaries() []Summary {
	var out []Summary
	for _, id := range co.order {
		it := co.instances[id]
		if it.dataCentre == "" || it.dataCentre == co.se.DataCentre {
			continue
		}
		i, found := slices.BinarySearchFunc(out, it.dataCentre, func(su Summary, name string) int {
			return strings.Compare(su.DataCentre, name)
		})
		if !found {
			out = slices.Insert(out, i, Summary{DataCentre: it.dataCentre, Relay: co.se.Instance})
		}
		out[i].Members = co.appendReport(out[i].Members, it)
	}
	return out
}

// appendReport adds what is known of an instance, unless it was never heard from or is gone for so long that every other
// instance counts it as gone by itself.
func (co *Core) appendReport(list []Report, it *instance) []Report {
	heard := it.lastHeard()
	age := co.now.Sub(heard)
	if heard.IsZero() || age >= co.se.GoneAfter+co.relayDelay() {
		return list
	}
	leaving := make([]string, 0, len(co.reported[it.id]))
	for id := range co.reported[it.id] {
		leaving = append(leaving, id)
	}
	slices.Sort(leaving)
	st, _ := co.state(it)
	return append(list, Report{
		Instance: it.id, Address: it.address, CallerAddress: it.callerAddress, State: st, Age: age, LeavingWorkers: leaving,
		Details: it.details,
	})
}
