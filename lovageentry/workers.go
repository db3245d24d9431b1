package lovageentry

import (
	"time"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
)

// An instance uses the workers of the domains for which it decides. If none of them can run a job that it has to decide,
// because views differ or the key was minted elsewhere, it uses all workers of the service in its own region, or all
// workers of the service if none of those can run the job. Workers that are thereby oversubscribed answer "not started".

// wideServices are the services for which the instance uses workers of other domains.
type expansions map[string]expansion

type expansion struct {
	lastNeeded time.Time // when a job needed them
	allRegions bool      // those of all regions
}

// wideKept is how long workers of other domains stay in use after the last job that needed them. A set of workers that
// changes with each such job would cost more than the workers do.
const expansionRetention = 10 * time.Second

// workerSize is what a job may demand of a worker.
type workerSize struct{ cores, memory, accelerators int64 }

func sizeOf(wo *lovagedispatch.Worker) workerSize {
	return workerSize{wo.Cores, wo.MemoryBytes, wo.Accelerators}
}

func (ws workerSize) fits(sub *lovagejob.Submission) bool {
	return ws.cores >= sub.DeclaredCores && ws.memory >= sub.DeclaredMemoryBytes && ws.accelerators >= sub.DeclaredAccelerators
}

// canRun reports whether a worker of those domains that are in the selection can run the job.
func (lo *controlLoop) anyWorkerFits(sub *lovagejob.Submission, in func(domain int) bool) bool {
	ds := &lo.domains
	for _, i := range ds.layout.ForService(sub.Service) {
		if !in(i) {
			continue
		}
		for _, size := range ds.sizes[i][sub.Service] {
			if size.fits(sub) {
				return true
			}
		}
	}
	return false
}

// Selections of domains: those for which this instance decides, those of a region of the own data centre, and all. A
// data centre without pools has no region.
func (lo *controlLoop) decides(domain int) bool { return lo.domains.decided[domain] }

func (lo *controlLoop) inOwnRegion(domain int) bool {
	return lo.localRegions[lo.domains.layout.Domains[domain].Region]
}

func anyDomain(int) bool { return true }

// widen notes the service of a job that only workers of other domains can run. It reports whether the core needs them
// now.
func (lo *controlLoop) expandFor(sub *lovagejob.Submission) bool {
	if lo.in.policy != lovagedispatch.Central || lo.anyWorkerFits(sub, lo.decides) || !lo.anyWorkerFits(sub, anyDomain) {
		return false
	}
	ex, known := lo.domains.expansions[sub.Service]
	far := ex.allRegions || !lo.anyWorkerFits(sub, lo.inOwnRegion)
	lo.domains.expansions[sub.Service] = expansion{lastNeeded: lo.now, allRegions: far}
	return !known || far != ex.allRegions
}

// widenForJobs keeps workers for the jobs that are held when the domains change.
func (lo *controlLoop) expandForJobs() {
	clear(lo.domains.expansions)
	for _, jo := range lo.jobsByKey {
		lo.expandFor(jo.sub)
	}
}

// narrow gives up workers of other domains that no job needs any more.
func (lo *controlLoop) dropUnneededExpansions() {
	if len(lo.domains.expansions) == 0 {
		return
	}
	for _, jo := range lo.jobsByKey {
		lo.expandFor(jo.sub)
	}
	changed := false
	for service, ex := range lo.domains.expansions {
		if lo.now.Sub(ex.lastNeeded) >= expansionRetention {
			delete(lo.domains.expansions, service)
			changed = true
		}
	}
	if changed {
		lo.updateWorkers()
	}
}

// workersToUse returns the workers that the core is given.
func (lo *controlLoop) usableWorkers() []lovagedispatch.Worker {
	var out []lovagedispatch.Worker
	add := func(id, domain string) {
		wo := lo.workers[id].declared
		wo.Leaving, wo.Domain = lo.leavingWorkers[id], domain
		out = append(out, wo)
	}
	if lo.in.policy != lovagedispatch.Central {
		for id := range lo.workers {
			add(id, "")
		}
		return out
	}
	ds := &lo.domains
	used := make(map[string]bool)
	for i, own := range ds.decided {
		if !own {
			continue
		}
		for _, id := range ds.layout.Domains[i].Workers {
			used[id] = true
			add(id, ds.layout.Domains[i].ID)
		}
	}
	for service, ex := range ds.expansions {
		for _, i := range ds.layout.ForService(service) {
			if !ex.allRegions && !lo.inOwnRegion(i) {
				continue
			}
			for _, id := range ds.layout.Domains[i].Workers {
				if !used[id] && lo.workers[id].runs(service) {
					used[id] = true
					add(id, "")
				}
			}
		}
	}
	return out
}
