package lovageentry

import (
	"slices"

	"lovagestack/lovagedispatch"
	"lovagestack/lovageresource"
)

// Decides reports whether this instance is ready for new jobs and decides for workers of the service, or for any
// workers if the service is empty. Callers that cannot choose an instance should be routed to such an instance. Under
// policies other than central, every instance decides for all workers.
func (in *Instance) Decides(service string) bool {
	if !in.isReady() {
		return false
	}
	if in.policy == lovagedispatch.Central {
		return in.domainRouter.decides(in.id, service)
	}
	pools, _ := in.store.List(lovageresource.KindPool)
	return slices.ContainsFunc(pools, func(re lovageresource.Resource) bool {
		pool, ok := re.Spec.(lovageresource.Pool)
		return ok && len(pool.Workers) > 0 && (service == "" || slices.Contains(pool.Services, service))
	})
}
