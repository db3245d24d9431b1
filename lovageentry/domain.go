package lovageentry

import (
	"slices"

	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagedomain"
	"lovagestack/lovagemessage"
)

// domains is the control loop's view of the decision domains. The layout changes when resources are applied. The
// deciding instances are recomputed then and when the set of live members changes, but not with each heartbeat.
type domains struct {
	layout       *lovagedomain.Layout
	workerSizes  []map[string][]workerSize // distinct sizes of the workers by domain index and service
	liveMembers  []lovagedomain.Member     // live and suspect members, including this instance unless it is leaving
	lastDeciding map[string]string         // deciding instance by domain ID, as last logged
	decided      []bool                    // whether this instance decides for the domain, by domain index
	candidates   [][]string                // IDs by domain index: deciding instance (this one even if leaving), then successors
	decidedSlots int                       // slots in the domains for which this instance decides
	expansions   expansions
}

// decidedCount returns the number of domains for which this instance decides.
func (ds *domains) decidedCount() (n int) {
	for _, decided := range ds.decided {
		if decided {
			n++
		}
	}
	return n
}

// replaceLayout replaces the domains after a change of the resources. The caller must then update the teams and workers
// of the dispatch core.
func (lo *controlLoop) replaceLayout(rl *resourcesLoaded) {
	lo.domains.layout, lo.domains.workerSizes = rl.layout, rl.workerSizes
	lo.domains.decided = nil
	lo.computeDecidingInstances()
}

// liveMembersChanged does nothing if live is unchanged.
func (lo *controlLoop) liveMembersChanged(live []lovagedomain.Member) {
	if slices.Equal(live, lo.domains.liveMembers) {
		return
	}
	lo.domains.liveMembers = live
	changed := lo.computeDecidingInstances()
	lo.updateTeams()
	if changed {
		lo.updateWorkers()
	}
}

// computeDecidingInstances computes the deciding instance of each domain. It reports whether this instance now decides
// for other domains than before.
//
// A leaving instance keeps deciding for its domains until it stops, because its remaining jobs need workers and quota.
// But no instance, itself included, chooses it to mint keys.
func (lo *controlLoop) computeDecidingInstances() (changed bool) {
	ds := &lo.domains
	candidates := ds.layout.Candidates(ds.liveMembers, 1+estimateReceiversPerDomain)
	lo.logDecidingChanges(candidates)
	lo.in.domainRouter.setLayout(ds.layout, candidates)
	if self := (lovagedomain.Member{ID: lo.in.id, DataCentre: lo.in.settings.DataCentre}); !slices.Contains(ds.liveMembers, self) {
		candidates = ds.layout.Candidates(append(slices.Clone(ds.liveMembers), self), 1+estimateReceiversPerDomain)
	}
	ds.candidates = candidates
	decided := make([]bool, len(candidates))
	ds.decidedSlots = 0
	for i, ids := range candidates {
		// Under policies other than central, each instance dispatches the jobs of its own keys to all workers, and
		// decides for no domain.
		if decided[i] = ids[0] == lo.in.id && lo.in.policy == lovagedispatch.Central; decided[i] {
			ds.decidedSlots += ds.layout.Domains[i].Slots
		}
	}
	if changed = !slices.Equal(decided, ds.decided); changed {
		ds.decided = decided
		lo.expandForJobs()
	}
	lo.in.domainRouter.decidedCount.Store(int64(ds.decidedCount()))
	return changed
}

// logDecidingChanges logs the domains that are new or whose deciding instance has changed. It does not log a domain
// that no longer has a deciding instance.
func (lo *controlLoop) logDecidingChanges(candidates [][]string) {
	current := make(map[string]string, len(candidates))
	for i, ids := range candidates {
		if len(ids) == 0 {
			continue
		}
		id := lo.domains.layout.Domains[i].ID
		current[id] = ids[0]
		if before := lo.domains.lastDeciding[id]; before != ids[0] {
			lo.log.Info("deciding instance changed", zap.String("domain", id), zap.String("before", before),
				zap.String("now", ids[0]))
		}
	}
	lo.domains.lastDeciding = current
}

// quotaShare returns this instance's share of a team's quota of running tasks.
func (lo *controlLoop) quotaShare(runningTasks int) int {
	return lovagedomain.QuotaShare(runningTasks, lo.domains.decidedSlots, lo.domains.layout.Slots, len(lo.domains.liveMembers))
}

// domainLoads returns the load of each domain for which this instance decides. This instance has one queue per service
// for all these domains. domainLoads splits the queued tasks among the service's domains in proportion to their slots.
func (lo *controlLoop) domainLoads(load *lovagedispatch.Load) []*lovagemessage.DomainLoad {
	ds := &lo.domains
	queued := make([]int, len(ds.decided))
	for _, sl := range load.Services {
		if sl.QueuedTasks == 0 {
			continue
		}
		decided, slots := slices.Clone(ds.layout.ForService(sl.Service)), 0
		decided = slices.DeleteFunc(decided, func(i int) bool { return !ds.decided[i] })
		for _, i := range decided {
			slots += ds.layout.Domains[i].Slots
		}
		for _, i := range decided {
			queued[i] += sl.QueuedTasks * ds.layout.Domains[i].Slots / slots
		}
	}
	var out []*lovagemessage.DomainLoad
	for i, decided := range ds.decided {
		if !decided {
			continue
		}
		id := ds.layout.Domains[i].ID
		slots, free := lo.core.DomainSlots(id)
		out = append(out, &lovagemessage.DomainLoad{
			Domain: id, Slots: int32(slots), FreeSlots: int32(free), QueuedTasks: int32(queued[i]),
		})
	}
	lo.in.domainRouter.recordLoads(out, lo.now)
	return out
}
