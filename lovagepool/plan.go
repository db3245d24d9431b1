package lovagepool

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// plan is a choice of workers for ready tasks of one job within one pass of schedule. Every start goes through a plan: all
// ways of placing make one, and startRun takes only what a plan has admitted. Until the plan is started or dropped, it counts
// what its choices take of each worker, so that they are allowed together:
//
//   - room: the resources of the worker's runs and of the choices fit its capacity;
//   - anti_affinity: the worker's runs of the step and the choices are at most AntiAffinity. Runs of every submission and offload
//     of the job ID count, because workers and callers know only the ID, and runs that are being stopped count too;
//   - constraints: the worker has the step's label;
//   - the probe: a worker whose ejection is over gets one task, and no other until that one tells of the worker's health;
//   - the lease: the worker's runs and the choices may be kept alive for long enough.
//
// A worker with runs that belong to no job of this pool is no candidate, as neither their resources nor their steps are known.
// The pool knows no slots or connections of workers: the users' pages bound tasks by capacity alone.
//
// A plan is only valid until the pool handles the next event. There is one plan at a time for a service.
type plan struct {
	po         *Pool
	now        time.Time
	job        *Job
	candidates *candidates
	maxFree    lovagejob.Resources // as candidates.maxFree, but with the choices counted
	admitted   []admission
	stepTasks  map[stepOnWorker]int // number of choices, of steps with AntiAffinity
}

// admission is a task and the worker that a plan lets it start on. Only plan.admit makes one.
type admission struct {
	task   *task
	worker *worker
}

type stepOnWorker struct {
	worker *worker
	step   int
}

// share is what the choices of a plan take of a worker.
type share struct {
	resources lovagejob.Resources
	tasks     int
}

func (po *Pool) newPlan(now time.Time, jo *Job) plan {
	ca := po.candidatesOf(now, jo.Work.Service)
	return plan{po: po, now: now, job: jo, candidates: ca, maxFree: ca.maxFree}
}

// step returns the step of a task of the plan's job.
func (pl *plan) step(ta *task) *lovagejob.Step { return &pl.job.Work.Steps[ta.step] }

// free returns the resources that the worker's runs and the choices leave free. Workers are given by their index in candidates.
func (pl *plan) free(at int) lovagejob.Resources {
	free := pl.po.freeResources(pl.candidates.workers[at])
	if len(pl.admitted) > 0 {
		free = free.Minus(pl.candidates.shares[at].resources)
	}
	return free
}

// probeTaken reports whether the ejection of the worker is over and the one task to probe it is chosen or started. What else
// may keep a candidate from starts does not change within a pass.
func (pl *plan) probeTaken(at int) bool {
	wo := pl.candidates.workers[at]
	return !wo.ejectedUntil.IsZero() && (wo.probing || len(pl.admitted) > 0 && pl.candidates.shares[at].tasks > 0)
}

// suits reports whether the worker has the label and the size for a step.
func (wo *worker) suits(st *lovagejob.Step) bool {
	return st.Resources.Fits(wo.Capacity) && wo.hasLabel(st.Constraint)
}

// hasStepRoom reports whether the worker may get one more task of the step.
func (pl *plan) hasStepRoom(wo *worker, step int) bool {
	most := pl.job.Work.Steps[step].AntiAffinity
	return most <= 0 || wo.countRuns(pl.job.Work.ID, step)+pl.stepTasks[stepOnWorker{wo, step}] < most
}

// countRuns returns the number of runs of a step on the worker, of all submissions of the job ID.
func (wo *worker) countRuns(jobID string, step int) int {
	n := 0
	for _, ru := range wo.runs {
		if ru.task != nil && ru.task.step == step && ru.task.job.Work.ID == jobID {
			n++
		}
	}
	return n
}

// admit adds the start of a task on a worker to the plan, if the plan allows it beside its other choices.
func (pl *plan) admit(ta *task, at int) bool {
	wo, st := pl.candidates.workers[at], pl.step(ta)
	allowed := wo.Service == pl.job.Work.Service && wo.suits(st) && pl.po.mayGetStart(pl.now, wo) && !pl.probeTaken(at) &&
		st.Resources.Fits(pl.free(at)) && pl.po.mayRunOn(pl.now, pl.job, wo) && pl.hasStepRoom(wo, ta.step)
	if !allowed {
		return false
	}
	ca := pl.candidates
	if len(pl.admitted) == 0 {
		ca.clearShares()
	}
	ca.shares[at].resources = ca.shares[at].resources.Plus(st.Resources)
	ca.shares[at].tasks++
	ca.shared = append(ca.shared, at)
	if st.AntiAffinity > 0 {
		if pl.stepTasks == nil {
			pl.stepTasks = map[stepOnWorker]int{}
		}
		pl.stepTasks[stepOnWorker{wo, ta.step}]++
	}
	pl.admitted = append(pl.admitted, admission{ta, wo})
	return true
}

// leavesOutLimited reports whether a ready task is not in the plan whose step has AntiAffinity. Such tasks are not offloaded.
func (pl *plan) leavesOutLimited() bool {
	return slices.ContainsFunc(pl.job.tasks, func(ta *task) bool {
		return ta.state == taskReady && pl.step(ta).AntiAffinity > 0 &&
			!slices.ContainsFunc(pl.admitted, func(ad admission) bool { return ad.task == ta })
	})
}

// start starts all tasks of the plan, which is then used up.
func (pl *plan) start() {
	for _, ad := range pl.admitted {
		pl.po.startRun(pl.now, ad)
	}
	pl.candidates.maxFree = pl.maxFree
	pl.admitted, pl.stepTasks = nil, nil
}

// clearShares drops the shares of an earlier plan.
func (ca *candidates) clearShares() {
	for _, at := range ca.shared {
		ca.shares[at] = share{}
	}
	ca.shared = ca.shared[:0]
	if n := len(ca.workers); len(ca.shares) < n {
		ca.shares = make([]share, n)
	}
}
