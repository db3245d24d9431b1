package lovageentry

import (
	"time"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
)

// An instance uses the workers of the domains for which it decides. If it must dispatch a job that none of these
// workers can run, it also uses all workers of the job's service in its own region, or in all regions if no worker of
// its region can run the job. Such an expansion is needed when membership views differ or the key was minted elsewhere.
// Several instances may then use the same worker. If the worker has no free slot for a task, it answers "not started".

type expansions map[string]expansion

type expansion struct {
	lastNeeded time.Time // when a job last needed workers of other domains
	allRegions bool      // uses workers of all regions, not only of the local ones
}

// expansionRetention is how long workers of other domains stay in use after the last job that needed them. Changing the
// set of workers with each such job would cost more than keeping the workers.
const expansionRetention = 10 * time.Second

// workerSize is the capacity of a worker in the resources that a job may require.
type workerSize struct{ cores, memoryBytes, accelerators int64 }

func sizeOfWorker(wo *lovagedispatch.Worker) workerSize {
	return workerSize{wo.Cores, wo.MemoryBytes, wo.Accelerators}
}

func (ws workerSize) fitsJob(sub *lovagejob.Submission) bool {
	return ws.cores >= sub.DeclaredCores && ws.memoryBytes >= sub.DeclaredMemoryBytes && ws.accelerators >= sub.DeclaredAccelerators
}

// anyWorkerFits reports whether a worker in a domain for which selected returns true can run the job.
func (lo *controlLoop) anyWorkerFits(sub *lovagejob.Submission, selected func(domain int) bool) bool {
	ds := &lo.domains
	for _, i := range ds.layout.ForService(sub.Service) {
		if !selected(i) {
			continue
		}
		for _, size := range ds.workerSizes[i][sub.Service] {
			if size.fitsJob(sub) {
				return true
			}
		}
	}
	return false
}

// decides, inOwnRegion and anyDomain are passed to anyWorkerFits. They select the domains for which this instance
// decides, the domains in a region of this data centre, and all domains. A data centre without pools has no region.
func (lo *controlLoop) decides(domain int) bool { return lo.domains.decided[domain] }

func (lo *controlLoop) inOwnRegion(domain int) bool {
	return lo.localRegions[lo.domains.layout.Domains[domain].Region]
}

func anyDomain(int) bool { return true }

// expandFor records an expansion for a job that only workers of other domains can run. It reports whether the dispatch
// core's set of workers must be updated.
func (lo *controlLoop) expandFor(sub *lovagejob.Submission) bool {
	if lo.in.policy != lovagedispatch.Central || lo.anyWorkerFits(sub, lo.decides) || !lo.anyWorkerFits(sub, anyDomain) {
		return false
	}
	ex, known := lo.domains.expansions[sub.Service]
	allRegions := ex.allRegions || !lo.anyWorkerFits(sub, lo.inOwnRegion)
	lo.domains.expansions[sub.Service] = expansion{lastNeeded: lo.now, allRegions: allRegions}
	return !known || allRegions != ex.allRegions
}

// expandForJobs recomputes the expansions for this instance's jobs after a change of the domains for which it decides.
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

// usableWorkers returns the workers that the dispatch core may use.
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
				if !added[id] && lo.workers[id].runsService(service) {
					added[id] = true
					add(id, "")
				}
			}
		}
	}
	return out
}
