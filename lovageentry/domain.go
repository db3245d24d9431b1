package lovageentry

import (
	"slices"

	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagedomain"
	"lovagestack/lovagemessage"
)

// domains is the control loop's view of the decision domains. They are computed when resources are applied, the deciding
// instances when the set of live members changes as well, and neither with a heartbeat.
type domains struct {
	layout       *lovagedomain.Layout
	sizes        []map[string][]workerSize // of the workers of a domain, by service
	live         []lovagedomain.Member     // live members, this instance included unless it is leaving
	lastDeciding map[string]string         // deciding instance by domain ID
	decided      []bool                    // by domain: this instance decides for it
	candidates   [][]string                // by domain: the deciding instance as own has it, and those that decide next
	slots        int                       // of the domains for which it decides
	expansions   expansions
}

// number returns how many domains this instance decides for.
func (ds *domains) decidedCount() (n int) {
	for _, own := range ds.decided {
		if own {
			n++
		}
	}
	return n
}

// divide replaces the domains after a change of the resources. The caller gives the teams and workers to the core.
func (lo *controlLoop) replaceLayout(rl *resourcesLoaded) {
	lo.domains.layout, lo.domains.sizes = rl.layout, rl.sizes
	lo.domains.decided = nil
	lo.computeDeciding()
}

// liveChanged recomputes the deciding instances if the set of live members has changed.
func (lo *controlLoop) liveMembersChanged(live []lovagedomain.Member) {
	if slices.Equal(live, lo.domains.live) {
		return
	}
	lo.domains.live = live
	changed := lo.computeDeciding()
	lo.updateTeams()
	if changed {
		lo.updateWorkers()
	}
}

// decide computes the deciding instance of each domain and reports whether those for which this instance decides have
// changed.
//
// A leaving instance decides for its domains until it ends, because the jobs that it holds need workers and quota, but
// keys are minted where the other instances mint them.
func (lo *controlLoop) computeDeciding() (changed bool) {
	ds := &lo.domains
	deciding := ds.layout.Candidates(ds.live, 1+estimateReceivers)
	lo.logDecidingChanges(deciding)
	lo.in.domainRouter.set(ds.layout, deciding)
	if self := (lovagedomain.Member{ID: lo.in.id, DataCentre: lo.in.settings.DataCentre}); !slices.Contains(ds.live, self) {
		deciding = ds.layout.Candidates(append(slices.Clone(ds.live), self), 1+estimateReceivers)
	}
	ds.candidates = deciding
	own := make([]bool, len(deciding))
	ds.slots = 0
	for i, ids := range deciding {
		// Under the policies other than central each instance decides its own keys with all workers.
		if own[i] = ids[0] == lo.in.id && lo.in.policy == lovagedispatch.Central; own[i] {
			ds.slots += ds.layout.Domains[i].Slots
		}
	}
	if changed = !slices.Equal(own, ds.decided); changed {
		ds.decided = own
		lo.expandForJobs()
	}
	lo.in.domainRouter.decidedCount.Store(int64(ds.decidedCount()))
	return changed
}

// logDeciding logs the domains whose deciding instance has changed.
func (lo *controlLoop) logDecidingChanges(deciding [][]string) {
	now := make(map[string]string, len(deciding))
	for i, ids := range deciding {
		if len(ids) == 0 {
			continue
		}
		id := lo.domains.layout.Domains[i].ID
		now[id] = ids[0]
		if before := lo.domains.lastDeciding[id]; before != ids[0] {
			lo.log.Info("deciding instance changed", zap.String("domain", id), zap.String("before", before),
				zap.String("now", ids[0]))
		}
	}
	lo.domains.lastDeciding = now
}

// quota returns this instance's part of a team's quota of running tasks.
func (lo *controlLoop) quotaShare(runningTasks int) int {
	return lovagedomain.QuotaShare(runningTasks, lo.domains.slots, lo.domains.layout.Slots, len(lo.domains.live))
}

// domainLoads returns the load of each domain for which this instance decides. The jobs of a service wait for the workers
// of all these domains together, so each domain reports a part of the queue in proportion to its slots.
func (lo *controlLoop) domainLoads(load *lovagedispatch.Load) []*lovagemessage.DomainLoad {
	ds := &lo.domains
	queued := make([]int, len(ds.decided))
	for _, sl := range load.Services {
		if sl.QueuedTasks == 0 {
			continue
		}
		own, slots := slices.Clone(ds.layout.ForService(sl.Service)), 0
		own = slices.DeleteFunc(own, func(i int) bool { return !ds.decided[i] })
		for _, i := range own {
			slots += ds.layout.Domains[i].Slots
		}
		for _, i := range own {
			queued[i] += sl.QueuedTasks * ds.layout.Domains[i].Slots / slots
		}
	}
	var out []*lovagemessage.DomainLoad
	for i, own := range ds.decided {
		if !own {
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
