package lovagedispatch

import (
	"math"
	"slices"
	"strings"
	"time"
)

// ServiceEstimate is what a core has learned about a service.
type ServiceEstimate struct {
	Service    string
	RunTime    time.Duration // mean run time on a worker of average speed
	LogRunTime float64       // mean of the natural logarithm of the run time in seconds
}

// WorkerEstimate is what a core has learned about a worker.
type WorkerEstimate struct {
	Worker    string
	Factor    float64 // run time relative to a worker of average speed
	Failures  int     // consecutive failures
	Evidence  float64 // negative logarithm of the probability of these failures if the worker is as good as the others
	Ejections int     // consecutive ejections; 0 if the worker is healthy
}

// Estimates is what a core has learned, sorted by name. It shares no memory with the core.
type Estimates struct {
	Services []ServiceEstimate
	Workers  []WorkerEstimate
}

// EstimatesReceived passes the estimates of another instance's core to this core. This core ignores an estimate of a
// service or worker of which it has a sample younger than [ownEstimateAge]. An estimate of a service or worker that is
// not in this core's sets is kept and applied when a set contains the name.
type EstimatesReceived struct{ Estimates Estimates }

func (EstimatesReceived) isEvent() {}

const (
	// ownEstimateAge is the time for which this core's own samples take precedence over received estimates.
	ownEstimateAge = 30 * time.Second
	// receivedSamples is the number of samples that a received slowdown counts as. It equals slowdownPrior, so that
	// ten tasks correct a wrong slowdown.
	receivedSamples = 10
	// maxPendingEstimates is the maximum number of kept estimates of workers that are not in the set, and separately of
	// services. It is enough for the workers of a few domains.
	maxPendingEstimates = 20_000
)

// Estimates returns what the core has learned about the services and workers in its sets.
func (co *Core) Estimates() Estimates {
	var es Estimates
	for _, sv := range co.serviceList {
		if sv.sampleCount >= trustedSamples && !sv.removed {
			es.Services = append(es.Services, ServiceEstimate{
				Service: sv.spec.Name, RunTime: time.Duration(sv.meanRunTime * 1e9), LogRunTime: sv.meanLogRunTime,
			})
		}
	}
	for _, wo := range co.workerList {
		if we, ok := wo.estimate(); ok {
			es.Workers = append(es.Workers, we)
		}
	}
	return es
}

// estimate returns what the core has learned about the worker, or false if it has learned nothing.
func (wo *worker) estimate() (WorkerEstimate, bool) {
	we := WorkerEstimate{
		Worker: wo.spec.ID, Factor: wo.slowdown, Failures: wo.health.consecutiveFailures, Evidence: wo.health.evidence,
	}
	if wo.health.state != healthy {
		we.Ejections = max(1, wo.health.consecutiveEjections)
	}
	return we, wo.sampleCount > 0 || we.Failures > 0 || we.Ejections > 0
}

// retainEstimate keeps the estimate of a worker that is removed from the set. The worker may return soon, because
// another instance may decide for it only for a short time.
func (co *Core) retainEstimate(wo *worker) {
	if we, ok := wo.estimate(); ok && !wo.leaving {
		co.addPendingEstimate(we)
	}
}

func (co *Core) addPendingEstimate(we WorkerEstimate) {
	if len(co.pendingWorkerEstimates) < maxPendingEstimates || co.pendingWorkerEstimates[we.Worker].Worker != "" {
		co.pendingWorkerEstimates[we.Worker] = we
	}
}

func (co *Core) estimatesReceived(ev EstimatesReceived) {
	for _, se := range ev.Estimates.Services {
		if se.Service == "" || se.RunTime <= 0 || !isFinite(se.LogRunTime) {
			continue // invalid; a peer of another version may send it
		}
		if len(co.pendingServiceEstimates) < maxPendingEstimates || co.pendingServiceEstimates[se.Service].Service != "" {
			co.pendingServiceEstimates[se.Service] = se
		}
	}
	for _, we := range ev.Estimates.Workers {
		if we.Worker == "" || we.Factor <= 0 || !isFinite(we.Factor) || we.Evidence < 0 || !isFinite(we.Evidence) {
			continue
		}
		co.addPendingEstimate(we)
	}
	co.adoptEstimates()
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// adoptEstimates applies the pending estimates of services and workers that are in the sets now. It takes time linear
// in the number of services and workers, and is called when estimates arrive or a set changes.
func (co *Core) adoptEstimates() {
	for _, sv := range co.serviceList {
		se, ok := co.pendingServiceEstimates[sv.spec.Name]
		if !ok || sv.removed {
			continue
		}
		delete(co.pendingServiceEstimates, sv.spec.Name)
		if sv.sampleCount < trustedSamples || co.now >= sv.lastSample.after(ownEstimateAge) {
			sv.meanRunTime, sv.meanLogRunTime, sv.sampleCount = se.RunTime.Seconds(), se.LogRunTime, trustedSamples
		}
	}
	if len(co.pendingWorkerEstimates) == 0 {
		return
	}
	for _, wo := range co.workerList {
		we, ok := co.pendingWorkerEstimates[wo.spec.ID]
		if !ok {
			continue
		}
		delete(co.pendingWorkerEstimates, wo.spec.ID)
		co.adoptWorkerEstimate(wo, we)
	}
}

func (co *Core) adoptWorkerEstimate(wo *worker, we WorkerEstimate) {
	if wo.sampleCount > 0 && co.now < wo.lastSample.after(ownEstimateAge) {
		return
	}
	wo.setSlowdown(we.Factor)
	wo.recentLogSlowdown = math.Log(wo.slowdown)
	wo.sampleCount = receivedSamples
	if wo.health.state == healthy && !wo.leaving {
		co.adoptHealth(wo, we)
	}
	co.updateWorker(wo)
}

// maxReceivedCount is the maximum of each count in a received estimate: consecutive failures and ejections. Penalty and
// back-off reach their limits at lower counts.
const maxReceivedCount = 30

func (co *Core) adoptHealth(wo *worker, we WorkerEstimate) {
	co.setConsecutiveFailures(wo, min(max(we.Failures, 0), maxReceivedCount))
	wo.health.evidence, wo.health.lastFailure = we.Evidence, co.now
	if po := wo.group.pool; we.Ejections > 0 && len(po.ejectedWorkers) < po.maxEjected() {
		po.ejectedWorkers = append(po.ejectedWorkers, wo)
		wo.health.consecutiveEjections = min(we.Ejections, maxReceivedCount) - 1
		co.startBackOff(wo)
	}
}

// differsBy reports whether two factors differ by more than the fraction.
func differsBy(a, b, fraction float64) bool { return math.Abs(math.Log(a/b)) > fraction }

// minEstimateChange is the fraction by which an estimate must have changed to be sent again.
const minEstimateChange = 0.05

// differsFrom reports whether the difference from the other estimate is large enough to be sent.
func (we WorkerEstimate) differsFrom(other WorkerEstimate) bool {
	return we.Ejections != other.Ejections || we.Failures != other.Failures || differsBy(we.Factor, other.Factor, minEstimateChange)
}

// Since returns the estimates of services and workers that are missing from the earlier estimates or have changed
// enough to be sent again.
func (es Estimates) Since(earlier Estimates) Estimates {
	var out Estimates
	for _, se := range es.Services {
		i, ok := slices.BinarySearchFunc(earlier.Services, se.Service, func(a ServiceEstimate, name string) int {
			return strings.Compare(a.Service, name)
		})
		if !ok || differsBy(float64(se.RunTime), float64(earlier.Services[i].RunTime), minEstimateChange) {
			out.Services = append(out.Services, se)
		}
	}
	for _, we := range es.Workers {
		i, ok := slices.BinarySearchFunc(earlier.Workers, we.Worker, func(a WorkerEstimate, id string) int {
			return strings.Compare(a.Worker, id)
		})
		if !ok || earlier.Workers[i].differsFrom(we) {
			out.Workers = append(out.Workers, we)
		}
	}
	return out
}

// Merged returns both sets of estimates as one. Of two estimates with the same name, the newer one is kept.
func (es Estimates) Merged(newer Estimates) Estimates {
	return Estimates{
		Services: mergeByName(es.Services, newer.Services, func(se ServiceEstimate) string { return se.Service }),
		Workers:  mergeByName(es.Workers, newer.Workers, func(we WorkerEstimate) string { return we.Worker }),
	}
}

// mergeByName merges two sorted lists, see Merged.
func mergeByName[T any](old, newer []T, name func(T) string) []T {
	out := make([]T, 0, len(old)+len(newer))
	for len(old) > 0 && len(newer) > 0 {
		switch strings.Compare(name(old[0]), name(newer[0])) {
		case -1:
			out, old = append(out, old[0]), old[1:]
		case 0:
			out, old, newer = append(out, newer[0]), old[1:], newer[1:]
		case 1:
			out, newer = append(out, newer[0]), newer[1:]
		}
	}
	return append(append(out, old...), newer...)
}
