package lovagedispatch

import (
	"slices"
	"strings"
)

// service is the record of a service, also of a removed one while tasks of it are queued or running.
type service struct {
	spec           Service
	removed        bool
	classes        []*class
	queuedTasks    int
	runningTasks   int     // number of tasks in flight
	meanRunTime    float64 // mean run time in seconds on a worker of average speed
	meanLogRunTime float64 // mean of the natural logarithm of that run time
	sampleCount    int     // number of run times learned
	lastSample     instant
	failureRate    failureRate
	retryBudget    float64 // retries that are allowed now
}

func (sv *service) runsIn(pool string) bool {
	return len(sv.spec.Pools) == 0 || slices.Contains(sv.spec.Pools, pool)
}

// sharesPool reports whether some worker may run both services.
func (sv *service) sharesPool(other *service) bool {
	return len(sv.spec.Pools) == 0 || slices.ContainsFunc(sv.spec.Pools, other.runsIn)
}

// addRetries adds the retries earned by one start to the retry budget.
func (sv *service) addRetries(ratio float64, burst int) {
	sv.retryBudget = min(sv.retryBudget+ratio, float64(burst))
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (sv *service) takeRetry() bool {
	if sv.retryBudget < 1 {
		return false
	}
	sv.retryBudget--
	return true
}

func (co *Core) retryRatio(sv *service) float64 {
	if sv.spec.RetryRatio > 0 {
		return sv.spec.RetryRatio
	}
	return co.settings.RetryRatio
}

func (co *Core) servicesChanged(ev ServicesChanged) {
	names := make(map[string]bool, len(ev.Services))
	for _, sp := range ev.Services {
		names[sp.Name] = true
		sv := co.services[sp.Name]
		if sv == nil {
			sv = &service{failureRate: priorFailureRate, retryBudget: float64(co.settings.RetryBurst)}
			co.services[sp.Name] = sv
			co.serviceList = append(co.serviceList, sv)
		}
		sv.spec, sv.removed = sp, false
	}
	for _, sv := range slices.Clone(co.serviceList) {
		if !names[sv.spec.Name] {
			sv.removed = true
			co.forgetService(sv)
		}
	}
	slices.SortFunc(co.serviceList, func(a, b *service) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	co.rebuildClasses(false)
	co.adoptEstimates()
}

// forgetService drops the record of a removed service that has no job left.
func (co *Core) forgetService(sv *service) {
	if !sv.removed || sv.queuedTasks > 0 || sv.runningTasks > 0 || co.services[sv.spec.Name] != sv {
		return
	}
	delete(co.services, sv.spec.Name)
	co.serviceList = slices.DeleteFunc(co.serviceList, func(it *service) bool { return it == sv })
	for ke := range co.classCache {
		if ke.sv == sv {
			delete(co.classCache, ke)
		}
	}
}

func (co *Core) serviceLoads() []ServiceLoad {
	loads := make([]ServiceLoad, 0, len(co.serviceList))
	for _, sv := range co.serviceList {
		if sv.removed {
			continue
		}
		lo := ServiceLoad{Service: sv.spec.Name, QueuedTasks: sv.queuedTasks}
		for _, gr := range co.groups {
			if sv.runsIn(gr.key.pool) {
				lo.FreeSlots += gr.freeSlots
			}
		}
		loads = append(loads, lo)
	}
	return loads
}
