package lovagedispatch

import (
	"math"
	"time"
)

const (
	// trustedSamples is the number of run times after which a service's learned mean replaces declared run times.
	trustedSamples = 8
	// meanRunTimeWeight is the weight of a new run time in a service's means after the first 200. One task in a hundred may
	// run twenty times as long as the others; such a task moves the mean by a tenth.
	meanRunTimeWeight = 0.005
	// slowdownWeight is the weight of a new run time in a worker's slowdown. The slowdown is learned from logarithms of
	// run times, so that such long tasks do not mask the differences between workers. With run times that vary by a factor
	// of 1.8, the slowdown is known to 4%.
	slowdownWeight = 0.01
	// recentSlowdownWeight is the weight of a new run time in recentLogSlowdown, a second average that follows a change of
	// a worker's speed within about ten tasks. If recentLogSlowdown differs from the logarithm of the slowdown by more
	// than slowdownChangeThreshold, the speed is assumed to have changed. The threshold is about three times the variation
	// of recentLogSlowdown.
	recentSlowdownWeight    = 0.1
	slowdownChangeThreshold = 0.5
	// slowdownPrior is the number of samples that the assumption of average speed counts as.
	slowdownPrior = 10
	minRunTime    = 50 * time.Microsecond
	// slowdownDecayTime is the time after which a slow worker that got no task is assumed to be a little faster, so
	// that a straggler is tried again.
	slowdownDecayTime = 10 * time.Second
	// housekeepingPeriod is the period of the scan over all workers.
	housekeepingPeriod = time.Second
)

// expectedRunTime returns the expected run time of a task on a worker of average speed, in seconds.
func (co *Core) expectedRunTime(sv *service, declared time.Duration) float64 {
	switch {
	case sv.sampleCount >= trustedSamples:
		return sv.meanRunTime
	case declared > 0:
		return max(declared, minRunTime).Seconds()
	case sv.sampleCount > 0:
		return sv.meanRunTime
	}
	return co.settings.DefaultRunTime.Seconds()
}

// learnRunTime updates the estimates of the service and the worker with the run time of a succeeded task.
func (co *Core) learnRunTime(sv *service, wo *worker, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	if wo.group != nil {
		seconds -= wo.group.latency
	}
	seconds = max(seconds, minRunTime.Seconds())
	sv.sampleCount++
	sv.lastSample = co.now
	weight := max(meanRunTimeWeight, 1/float64(sv.sampleCount))
	sv.meanRunTime += weight * (seconds/wo.slowdown - sv.meanRunTime)
	logTime := math.Log(seconds)
	sv.meanLogRunTime += weight * (logTime - math.Log(wo.slowdown) - sv.meanLogRunTime)
	if sv.sampleCount == 1 {
		return
	}
	wo.sampleCount++
	wo.lastSample = co.now
	logSlowdown := math.Log(wo.slowdown)
	observed := logTime - sv.meanLogRunTime
	wo.recentLogSlowdown += max(recentSlowdownWeight, 1/float64(wo.sampleCount+slowdownPrior)) * (observed - wo.recentLogSlowdown)
	if math.Abs(wo.recentLogSlowdown-logSlowdown) > slowdownChangeThreshold {
		logSlowdown = wo.recentLogSlowdown
	} else {
		logSlowdown += max(slowdownWeight, 1/float64(wo.sampleCount+slowdownPrior)) * (observed - logSlowdown)
	}
	wo.setSlowdown(math.Exp(logSlowdown))
}

// housekeepingTimer moves the slowdown of an idle slow worker without recent samples towards 1, and halves the
// consecutive failures of a worker without a recent failure. It fires once a second and takes time linear in the
// number of workers.
type housekeepingTimer struct{}

func (ti housekeepingTimer) fire(co *Core) {
	for _, wo := range co.workerList {
		changed := false
		if wo.slowdown > 1 && co.now >= wo.lastSample.after(slowdownDecayTime) && wo.inFlight == 0 {
			wo.setSlowdown(1 + 0.8*(wo.slowdown-1))
			wo.recentLogSlowdown = math.Log(wo.slowdown)
			wo.lastSample = co.now
			changed = true
		}
		he := &wo.health
		if he.consecutiveFailures > 0 && he.state == healthy && co.now >= he.lastFailure.after(suspectDecayTime) {
			he.lastFailure = co.now
			co.setConsecutiveFailures(wo, he.consecutiveFailures/2)
			changed = true
		}
		if changed {
			co.updateWorker(wo)
		}
	}
	co.setTimer(co.now.after(housekeepingPeriod), ti)
}
