package lovageentry

import (
	"time"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
)

// An instance uses the workers of the domains for which it decides. If none of them can run a job that it has to decide,
// because views differ or the key was minted elsewhere, it uses all workers of the service in its own region, or all
// workers of the service if none of those can run the job; both are called an expansion. Workers that are thereby
// oversubscribed answer "not started".

// expansions holds the services for which the instance uses workers of other domains.
type expansions map[string]expansion

type expansion struct {
	lastNeeded time.Time // when a job last needed these workers
	allRegions bool      // not only those of the own region
}

// expansionRetention is how long workers of other domains stay in use after the last job that needed them. Changing the
// set of workers with each such job would cost more than keeping the workers.
const expansionRetention = 10 * time.Second

// workerSize holds the resources of a worker that a job may require.
type workerSize struct{ cores, memory, accelerators int64 }

func sizeOf(wo *lovagedispatch.Worker) workerSize {
	return workerSize{wo.Cores, wo.MemoryBytes, wo.Accelerators}
}

func (ws workerSize) fits(sub *lovagejob.Submission) bool {
	return ws.cores >= sub.DeclaredCores && ws.memory >= sub.DeclaredMemoryBytes && ws.accelerators >= sub.DeclaredAccelerators
}

// anyWorkerFits reports whether a worker of a selected domain can run the job.
func (lo *controlLoop) anyWorkerFits(sub *lovagejob.Submission, selected func(domain int) bool) bool {
	ds := &lo.domains
	for _, i := range ds.layout.ForService(sub.Service) {
		if !selected(i) {
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

// decides, inOwnRegion and anyDomain select domains: those for which this instance decides, those in a region of the
// own data centre, and all. A data centre without pools has no region.
func (lo *controlLoop) decides(domain int) bool { return lo.domains.decided[domain] }

func (lo *controlLoop) inOwnRegion(domain int) bool {
	return lo.localRegions[lo.domains.layout.Domains[domain].Region]
}

func anyDomain(int) bool { return true }

// expandFor records an expansion for a job that only workers of other domains can run. It reports whether the core's
// set of workers must be updated.
func (lo *controlLoop) expandFor(sub *lovagejob.Submission) bool {
	if lo.in.policy != lovagedispatch.Central || lo.anyWorkerFits(sub, lo.decides) || !lo.anyWorkerFits(sub, anyDomain) {
		return false
	}
	ex, known := lo.domains.expansions[sub.Service]
	allRegions := ex.allRegions || !lo.anyWorkerFits(sub, lo.inOwnRegion)
	lo.domains.expansions[sub.Service] = expansion{lastNeeded: lo.now, allRegions: allRegions}
	return !known || allRegions != ex.allRegions
}

// expandForJobs recomputes the expansions for the jobs that the instance holds, after its domains have changed.
func (lo *controlLoop) expandForJobs() {
	clear(lo.domains.expansions)
	for _, jo := range lo.jobsByKey {
		lo.expandFor(jo.sub)
	}
}

// dropUnneededExpansions ends the expansions that no job has needed for expansionRetention.
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

// usableWorkers returns the workers that the core may use.
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
	added := make(map[string]bool)
	for i, decided := range ds.decided {
		if !decided {
			continue
		}
		for _, id := range ds.layout.Domains[i].Workers {
			added[id] = true
			add(id, ds.layout.Domains[i].ID)
		}
	}
	for service, ex := range ds.expansions {
		for _, i := range ds.layout.ForService(service) {
			if !ex.allRegions && !lo.inOwnRegion(i) {
				continue
			}
			for _, id := range ds.layout.Domains[i].Workers {
				if !added[id] && lo.workers[id].runs(service) {
					added[id] = true
					add(id, "")
				}
			}
		}
	}
	return out
}
