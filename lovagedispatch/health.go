package lovagedispatch

import (
	"math"
	"time"
)

// healthState says whether a worker may get tasks, judging by the outcomes of its earlier tasks.
type healthState int8

const (
	healthy healthState = iota
	ejected             // gets no task until its back-off ends
	probing             // gets one task, whose outcome reinstates the worker or ejects it again
)

const (
	// ejectionEvidence is the evidence at which a worker is ejected. The evidence is the negative natural logarithm of
	// the probability that a worker as good as the others fails as often in succession; 12 is about 1 in 160,000. Each
	// failure adds the negative logarithm of the failure rate that is expected of any worker. A success resets the
	// evidence, time does not.
	ejectionEvidence = 12.0
	// inconclusiveRate is a failure rate of a service or team, or a fraction of suspects (workers with consecutive
	// failures) among the pool's other workers. From this rate on, a failure is no evidence against the worker.
	inconclusiveRate = 1.0 / 3
	minFailureRate   = 0.01 // lower bound of the failure rate, so that an ejection takes at least 3 consecutive failures
	priorFailureRate = 0.2  // initial failure rate of a service or team
	failureWeight    = 0.05 // weight of one outcome in a failure rate
	// maxCountedFailures is the number of consecutive failures of one worker that count towards the failure rate of a
	// service or team, so that a worker that fails every task immediately does not raise the rate of its service.
	maxCountedFailures = 2
	// suspectDecayTime is the time without further failures after which a worker's consecutive failures are halved.
	suspectDecayTime = 10 * time.Second
)

// health is a worker's health, judged by the outcomes of its tasks.
type health struct {
	state                healthState
	probeInFlight        bool
	consecutiveEjections int     // determines the length of the next back-off
	probeAt              instant // end of the back-off after an ejection

	consecutiveFailures int     // counts at most one per job; halved after each suspectDecayTime without a failure
	evidence            float64 // see ejectionEvidence
	lastFailure         instant
	countedJobs         [4]uint64 // latest jobs whose failure was counted against the worker

	consecutiveRefusals int
	blockedUntil        instant // end of the back-off after a refusal
}

// penalty returns the factor, from 1 to 4, that worsens a worker's rank after consecutive failures, so that workers up
// to four times slower go first. Their outcomes show whether the jobs or this worker cause the failures. A probing
// worker has no penalty, or it would not get the task that serves as its probe.
func (wo *worker) penalty() float64 {
	if wo.health.state == probing {
		return 1
	}
	return 1 + min(3, 0.5*float64(wo.health.consecutiveFailures))
}

// failureRate is a moving average of outcomes.
type failureRate float64

func (fa *failureRate) addOutcome(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	*fa += failureRate(failureWeight * (outcome - float64(*fa)))
}

func (po *pool) addWorker(wo *worker) {
	if wo.leaving {
		return
	}
	po.workerCount++
	if wo.health.state != healthy {
		po.ejectedWorkers = append(po.ejectedWorkers, wo)
	}
	if wo.health.consecutiveFailures > 0 {
		po.suspectCount++
	}
}

// removeWorker takes a leaving worker out of the counts of the pool.
func (po *pool) removeWorker(wo *worker) {
	po.workerCount--
	if wo.health.consecutiveFailures > 0 {
		po.suspectCount--
	}
	po.removeEjected(wo)
	wo.health = health{}
}

func (po *pool) removeEjected(wo *worker) {
	for i, it := range po.ejectedWorkers {
		if it == wo {
			po.ejectedWorkers = append(po.ejectedWorkers[:i], po.ejectedWorkers[i+1:]...)
			return
		}
	}
}

// maxEjected returns the maximum number of ejected workers, a fifth of the pool. Probing workers count as ejected.
func (po *pool) maxEjected() int { return po.workerCount / 5 }

// enforceEjectionCap reinstates workers in each pool with more than maxEjected ejected workers, for example after the
// pool has shrunk. Workers with the earliest probe are reinstated first.
func (co *Core) enforceEjectionCap() {
	for _, gr := range co.groups {
		for po := gr.pool; len(po.ejectedWorkers) > po.maxEjected(); {
			first := po.ejectedWorkers[0]
			for _, wo := range po.ejectedWorkers {
				if wo.health.probeAt < first.health.probeAt {
					first = wo
				}
			}
			co.reinstate(first)
		}
	}
}

func (co *Core) reinstate(wo *worker) {
	wo.group.pool.removeEjected(wo)
	co.setConsecutiveFailures(wo, 0)
	wo.health.evidence = 0
	wo.health.state, wo.health.probeInFlight, wo.health.consecutiveEjections = healthy, false, 0
	co.updateWorker(wo)
}

// setConsecutiveFailures sets the worker's count and updates the number of suspects of its pool.
func (co *Core) setConsecutiveFailures(wo *worker, failures int) {
	if wo.group != nil && !wo.leaving {
		if wo.health.consecutiveFailures > 0 {
			wo.group.pool.suspectCount--
		}
		if failures > 0 {
			wo.group.pool.suspectCount++
		}
	}
	wo.health.consecutiveFailures = failures
}

// recordSuccess clears a worker's failures, or reinstates it after its probe.
func (co *Core) recordSuccess(wo *worker, jo *job, probe bool) {
	jo.service.failureRate.addOutcome(false)
	jo.team.failureRate.addOutcome(false)
	wo.health.consecutiveRefusals = 0
	switch wo.health.state {
	case healthy:
		co.setConsecutiveFailures(wo, 0)
		wo.health.evidence = 0
	case probing:
		if probe {
			co.reinstate(wo)
		}
	case ejected: // the task started before the ejection
	}
}

// recordFailure records that a task of the job failed on the worker. It is called only for the first failure of a job,
// because further failures are more likely due to the job than to the worker.
func (co *Core) recordFailure(wo *worker, jo *job, probe bool) {
	rate := float64(max(jo.service.failureRate, jo.team.failureRate))
	counted := wo.health.consecutiveFailures < maxCountedFailures
	if counted {
		jo.service.failureRate.addOutcome(true)
		jo.team.failureRate.addOutcome(true)
	}
	if wo.group == nil || wo.leaving {
		return
	}
	po := wo.group.pool
	if wo.health.state != healthy {
		if probe {
			co.probeFailed(wo, rate)
		}
		return
	}
	otherSuspects := po.suspectCount
	if wo.health.consecutiveFailures > 0 {
		otherSuspects--
	}
	rate = max(rate, float64(otherSuspects)/float64(max(1, po.workerCount)), minFailureRate)
	for _, id := range wo.health.countedJobs {
		if id == jo.id {
			return
		}
	}
	copy(wo.health.countedJobs[1:], wo.health.countedJobs[:])
	wo.health.countedJobs[0] = jo.id
	co.setConsecutiveFailures(wo, wo.health.consecutiveFailures+1)
	wo.health.lastFailure = co.now
	if rate >= inconclusiveRate {
		return
	}
	wo.health.evidence -= math.Log(rate)
	if wo.health.evidence >= ejectionEvidence && len(po.ejectedWorkers) < po.maxEjected() {
		po.ejectedWorkers = append(po.ejectedWorkers, wo)
		co.eject(wo)
	}
}

// probeFailed ejects a worker again after a failed probe. If the failure rate of the service or team is at least
// inconclusiveRate, the failure says nothing about the worker, and another probe follows.
func (co *Core) probeFailed(wo *worker, rate float64) {
	if rate >= inconclusiveRate {
		wo.health.probeInFlight = false
		return
	}
	co.eject(wo)
}

func (co *Core) eject(wo *worker) {
	co.counters.Ejections++
	co.startBackOff(wo)
}

// startBackOff marks the worker as ejected until its next probe.
func (co *Core) startBackOff(wo *worker) {
	backOff := co.jitteredBackOff(co.settings.EjectionBackOff, co.settings.MaxEjectionBackOff, wo.health.consecutiveEjections)
	wo.health.consecutiveEjections++
	wo.health.state, wo.health.probeInFlight = ejected, false
	wo.health.probeAt = co.now.after(backOff)
	co.setTimer(wo.health.probeAt, probeTimer{worker: wo, probeAt: wo.health.probeAt})
}

// probeTimer ends the back-off of an ejected worker; the worker's next task is its probe.
type probeTimer struct {
	worker  *worker
	probeAt instant
}

func (ti probeTimer) fire(co *Core) {
	if ti.worker.health.state == ejected && ti.worker.health.probeAt == ti.probeAt {
		ti.worker.health.state = probing
		co.updateWorker(ti.worker)
	}
}

// recordRefusal records that the worker did not start a task. The worker gets no task until a back-off ends, so the
// task is tried on another worker. Refusals do not lead to ejection, because the slot may be in use by a task of
// another instance after a change of membership.
func (co *Core) recordRefusal(wo *worker) {
	backOff := co.jitteredBackOff(co.settings.RefusalBackOff, co.settings.MaxRefusalBackOff, wo.health.consecutiveRefusals)
	wo.health.consecutiveRefusals++
	wo.health.blockedUntil = max(wo.health.blockedUntil, co.now.after(backOff))
	co.setTimer(wo.health.blockedUntil, unblockTimer{worker: wo})
}

// unblockTimer makes a worker available again after a refusal.
type unblockTimer struct{ worker *worker }

func (ti unblockTimer) fire(co *Core) {
	if ti.worker.health.blockedUntil <= co.now {
		co.updateWorker(ti.worker)
	}
}

// jitteredBackOff returns the base doubled for each earlier round up to a limit, plus up to a quarter at random so that
// instances do not act at the same time.
func (co *Core) jitteredBackOff(base, limit time.Duration, rounds int) time.Duration {
	du := base
	for range min(rounds, 30) {
		if du *= 2; du >= limit {
			du = limit
			break
		}
	}
	return du + time.Duration(float64(du)*0.25*co.rng.Float64())
}
