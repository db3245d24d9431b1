package lovagemodel

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovagepool"
)

// simWorker is a simulated worker. It starts runs without checking its own capacity.
type simWorker struct {
	lovagepool.Worker
	si              *simulation
	owner           *owner
	speed           float64
	processStart    int64
	runs            []*activeRun
	unreportedEnds  []lovagepool.EndedRun // not reported to the owner yet
	maxEndedAttempt map[string]int        // highest attempt stopped or ended, by task
	fault           Fault                 // active until faultUntil
	faultUntil      time.Time
	faults          []faultPeriod // all faults so far
	held            []heldRun     // runs for which the owner's pool holds resources
}

// faultPeriod is a fault of one worker.
type faultPeriod struct {
	kind       FaultKind
	start, end time.Time
}

// heldRun is a run from the command to start it until its end or rejection is reported to the pool.
type heldRun struct {
	task      string
	attempt   int
	resources lovagejob.Resources
}

func (sw *simWorker) release(task string, attempt int) {
	sw.held = slices.DeleteFunc(sw.held, func(he heldRun) bool { return he.task == task && he.attempt == attempt })
}

// isFreeFor reports whether the worker has no fault and has room for one task of the size, both by its own runs and by those for which
// the pool holds resources.
func (sw *simWorker) isFreeFor(size lovagejob.Resources) bool {
	if sw.si.now.Before(sw.faultUntil) {
		return false
	}
	active, held := size, size
	for _, ru := range sw.runs {
		active = active.Plus(ru.resources)
	}
	for _, he := range sw.held {
		held = held.Plus(he.resources)
	}
	return active.Fits(sw.Capacity) && held.Fits(sw.Capacity)
}

type activeRun struct {
	task      string
	attempt   int
	resources lovagejob.Resources
	started   time.Time
	expires   time.Time
	ended     bool
}

func (sw *simWorker) hasFault(kind FaultKind) bool {
	return sw.fault.Kind == kind && sw.si.now.Before(sw.faultUntil)
}

// sendStart delivers a start to the worker, and the reply or a timeout to the pool.
func (sw *simWorker) sendStart(cm lovagepool.StartRun) {
	si, processStart := sw.si, sw.processStart
	expires := cm.LeaseUntil
	id, _, _ := strings.Cut(cm.Task, ".")
	sw.held = append(sw.held, heldRun{cm.Task, cm.Attempt, si.jobs[id].workload.Steps[0].Resources})
	if sw.hasFault(FaultLate) && si.workerRNG.Float64() < 0.3 {
		si.scheduleAfter(2*time.Second+time.Duration(si.workerRNG.Float64()*float64(4*time.Second)), func() { sw.startRun(cm, expires, processStart) })
		si.scheduleAfter(startTimeout, func() { sw.reportStartTimeout(cm) })
		return
	}
	si.scheduleAfter(callLatency, func() {
		switch {
		case sw.hasFault(FaultSilent):
			si.scheduleAfter(startTimeout, func() { sw.reportStartTimeout(cm) })
		case sw.hasFault(FaultCrash):
			si.scheduleAfter(callLatency, func() { sw.reportStartReply(cm, true) })
		default:
			rejected := !sw.startRun(cm, expires, processStart)
			si.scheduleAfter(callLatency, func() { sw.reportStartReply(cm, rejected) })
		}
	})
}

func (sw *simWorker) reportStartTimeout(cm lovagepool.StartRun) {
	sw.owner.pool.HandleStartTimeout(sw.si.now, sw.ID, cm.Task, cm.Attempt)
	sw.owner.execute()
}

func (sw *simWorker) reportStartReply(cm lovagepool.StartRun, rejected bool) {
	if rejected {
		sw.release(cm.Task, cm.Attempt)
	}
	sw.owner.pool.HandleStartReply(sw.si.now, sw.ID, cm.Task, cm.Attempt, rejected, "rejected")
	sw.owner.execute()
}

// startRun starts a run and reports whether the run is active now. It rejects a start for an earlier process of the
// worker, with an expired lease, for an ended attempt, or while another attempt is active.
func (sw *simWorker) startRun(cm lovagepool.StartRun, expires time.Time, processStart int64) bool {
	si := sw.si
	if sw.processStart != processStart || !si.now.Before(expires) || cm.Attempt <= sw.maxEndedAttempt[cm.Task] {
		return false
	}
	for _, ru := range sw.runs {
		if ru.task == cm.Task {
			return ru.attempt == cm.Attempt
		}
	}
	id, _, _ := strings.Cut(cm.Task, ".")
	jr := si.jobs[id]
	resources := jr.workload.Steps[0].Resources
	used := resources
	for _, ru := range sw.runs {
		used = used.Plus(ru.resources)
	}
	if !used.Fits(sw.Capacity) {
		si.result.addViolation("%s is filled to %+v of a capacity of %+v", sw.ID, used, sw.Capacity)
	}
	if si.runCounts[cm.Task]++; si.runCounts[cm.Task] > 1 {
		si.result.addViolation("task %s has %d runs at the same time", cm.Task, si.runCounts[cm.Task])
	}
	jr.anyTaskStarted = true
	ru := &activeRun{task: cm.Task, attempt: cm.Attempt, resources: resources, started: si.now, expires: expires}
	sw.runs = append(sw.runs, ru)
	factor := jr.drawFactor(si, cm.Task)
	took := time.Duration(float64(jr.runTime) * factor / sw.speed)
	outcome := lovagepool.RunDone
	switch {
	case sw.hasFault(FaultErrors):
		took, outcome = took/10, lovagepool.RunFailed
	case sw.hasFault(FaultHang):
		took = time.Hour
	case sw.hasFault(FaultSlow):
		took *= slowFaultFactor
	case si.workerRNG.Float64() < runFailureShare:
		outcome = lovagepool.RunFailed
	}
	si.scheduleAfter(took, func() { sw.endRun(ru, outcome) })
	sw.checkLease(ru)
	return true
}

// taskIndex returns the index of a task in its step, which ends its name.
func taskIndex(task string) int {
	index, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:]) // the pool has made the name
	return index
}

// drawFactor returns the factor on the run time of a run of the task that starts now.
func (jr *jobRecord) drawFactor(si *simulation, task string) float64 {
	if jr.taskFactors == nil {
		return logNormal(si.workerRNG, taskSigma)
	}
	at := taskIndex(task)
	slow := jr.firstSlow[at]
	if jr.hasRun[at] {
		slow = si.workerRNG.Float64() < si.load.SlowRunShare
	}
	jr.hasRun[at] = true
	if slow {
		return jr.taskFactors[at] * si.load.SlowRunFactor
	}
	return jr.taskFactors[at]
}

// checkLease kills a run when its lease expires.
func (sw *simWorker) checkLease(ru *activeRun) {
	sw.si.scheduleAt(ru.expires, func() {
		switch {
		case ru.ended:
		case sw.si.now.Before(ru.expires):
			sw.checkLease(ru)
		default:
			sw.endRun(ru, lovagepool.RunLapsed)
		}
	})
}

func (sw *simWorker) endRun(ru *activeRun, outcome lovagepool.RunOutcome) {
	if ru.ended {
		return
	}
	ru.ended = true
	sw.si.countRun(sw, ru, outcome)
	sw.si.runCounts[ru.task]--
	sw.runs = slices.DeleteFunc(sw.runs, func(ot *activeRun) bool { return ot == ru })
	sw.markEnded(ru.task, ru.attempt)
	sw.unreportedEnds = append(sw.unreportedEnds, lovagepool.EndedRun{Task: ru.task, Attempt: ru.attempt, Outcome: outcome})
	if !sw.hasFault(FaultSilent) {
		sw.si.scheduleAfter(callLatency, sw.reportRuns)
	}
}

func (sw *simWorker) markEnded(task string, attempt int) {
	if sw.maxEndedAttempt == nil {
		sw.maxEndedAttempt = map[string]int{}
	}
	sw.maxEndedAttempt[task] = max(sw.maxEndedAttempt[task], attempt)
}

func (sw *simWorker) sendStop(cm lovagepool.StopRun) {
	si := sw.si
	si.scheduleAfter(callLatency, func() {
		if sw.hasFault(FaultSilent) || sw.hasFault(FaultCrash) {
			return
		}
		processStart := sw.processStart
		sw.markEnded(cm.Task, cm.Attempt)
		if !slices.ContainsFunc(sw.runs, func(ru *activeRun) bool { return ru.task == cm.Task && ru.attempt == cm.Attempt }) {
			sw.release(cm.Task, cm.Attempt)
		}
		for _, ru := range sw.runs {
			if ru.task == cm.Task && ru.attempt == cm.Attempt {
				si.scheduleAfter(si.load.PoolSettings.StopGrace, func() { sw.endRun(ru, lovagepool.RunStopped) })
			}
		}
		si.scheduleAfter(callLatency, func() {
			sw.owner.pool.HandleStopReply(si.now, sw.ID, cm.Task, cm.Attempt, processStart)
			sw.owner.execute()
		})
	})
}

// poll extends the leases and reports the runs, every pollInterval. During FaultSilent and FaultCrash, it marks the worker
// unreachable instead.
func (sw *simWorker) poll() {
	si := sw.si
	switch {
	case sw.hasFault(FaultSilent):
		si.scheduleAfter(silentPollTimeout, func() {
			sw.owner.pool.MarkUnreachable(si.now, sw.ID)
			sw.owner.execute()
			sw.poll()
		})
		return
	case sw.hasFault(FaultCrash):
		sw.owner.pool.MarkUnreachable(si.now, sw.ID)
	default:
		leaseUntil := sw.owner.pool.GrantLease(si.now, sw.ID, false)
		for _, ru := range sw.runs {
			if leaseUntil.After(ru.expires) {
				ru.expires = leaseUntil
			}
		}
		sw.reportRuns()
	}
	si.scheduleAfter(pollInterval, sw.poll)
}

// reportRuns passes the active and the ended runs to the pool.
func (sw *simWorker) reportRuns() {
	if sw.hasFault(FaultSilent) || sw.hasFault(FaultCrash) {
		return
	}
	var active []lovagepool.ActiveRun
	for _, ru := range sw.runs {
		active = append(active, lovagepool.ActiveRun{Task: ru.task, Attempt: ru.attempt})
	}
	ends := sw.unreportedEnds
	for _, en := range ends {
		sw.release(en.Task, en.Attempt)
	}
	sw.unreportedEnds = nil
	sw.owner.pool.HandleRunList(sw.si.now, sw.si.now.Add(-callLatency), sw.ID, active, ends)
	sw.owner.execute()
}

// injectFault starts a fault on a random part of the workers that have no fault.
func (si *simulation) injectFault(fa Fault) {
	for i, ow := range si.owners {
		if fa.FirstOwnerOnly && i > 0 {
			break
		}
		for _, sw := range ow.workers {
			if si.workerRNG.Float64() >= fa.WorkerShare || si.now.Before(sw.faultUntil) {
				continue
			}
			sw.fault, sw.faultUntil = fa, si.now.Add(fa.Duration)
			sw.faults = append(sw.faults, faultPeriod{fa.Kind, si.now, sw.faultUntil})
			if fa.Kind == FaultCrash {
				sw.crash()
			}
		}
	}
}

// crash loses all runs without reporting their ends. The new process is registered at the end of the fault and does not
// know these runs.
func (sw *simWorker) crash() {
	for _, ru := range sw.runs {
		ru.ended = true
		sw.si.countRun(sw, ru, lovagepool.RunLapsed)
		sw.si.runCounts[ru.task]--
	}
	sw.runs, sw.unreportedEnds, sw.maxEndedAttempt, sw.held = nil, nil, nil, nil
	sw.processStart++
	sw.si.scheduleAt(sw.faultUntil, sw.owner.setWorkers)
}
