package lovagepool

import (
	"math"
	"slices"
	"sort"
	"time"

	"lovagestack/lovagejob"
)

const (
	// packing is the share of a worker's cores that tasks of mixed sizes fill.
	packing = 0.85
	// refuseFrom and refuseUntil are the shares of a job's time between which it is refused if it has not begun and is not
	// expected to begin in time. Before, the expectation may change; after, the caller has waited so long that a late answer
	// is better, as long as one is of use.
	refuseFrom  = 0.125
	refuseUntil = 0.3
	// lateFactor is how many times the time to its goal an answer may take to be of use to its caller, as the users say.
	lateFactor = 3
	// sureFactor is by how much the expected wait must exceed the time left for a job to be refused on arrival.
	sureFactor = 1.5
	// minRateShare of the workers is taken to be left for a job by more urgent ones at the least.
	minRateShare = 0.1
	// fullLoad and overLoad are shares of the rate of the workers. Below the first the urgent jobs that are still to come
	// find room that a waiting job cannot use; from the second on they take it from the job.
	fullLoad = 1.0
	overLoad = 1.3
	// minRetry is the shortest time after which a refused caller should come back.
	minRetry = time.Second
	// fitWeight makes a worker that is left with much free room count as that much slower, to keep large holes.
	fitWeight = 0.15
)

func (wo *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(wo.Labels, label)
}

// schedule starts what can start, lends what other owners have room for, and refuses what has no prospect.
func (po *Pool) schedule(now time.Time) {
	if len(po.queue) == 0 {
		return
	}
	po.pass++
	order := po.sortQueue(now)
	for _, jo := range order {
		if !now.Before(jo.Work.Deadline) {
			po.giveUp(now, jo)
			continue
		}
		if jo.Offloaded != nil {
			po.placeLent(now, jo)
			continue
		}
		po.place(now, jo)
	}
	po.lendQueue(now, order)
	po.refuseHopeless(now, order)
	kept := po.queue[:0]
	for _, jo := range po.queue {
		if !jo.ended && jo.waiting > 0 {
			kept = append(kept, jo)
		}
	}
	clear(po.queue[len(kept):])
	po.queue = kept
}

// roster is what a pass of schedule needs to know of the workers of a service, so that it is found out once.
type roster struct {
	pass    int                 // of schedule, for which it holds
	workers []*worker           // that may get starts when the pass begins
	fastest float64             // smallest factor among them; 1 if there are none
	rate    float64             // work that they do per second, in thousandths of a core of speed 1
	most    lovagejob.Resources // at least the most that is free on one of them, by resource
}

// rosterOf returns the roster of a service for this pass.
func (po *Pool) rosterOf(now time.Time, service string) *roster {
	ro := po.rosters[service]
	if ro == nil {
		ro = &roster{}
		po.rosters[service] = ro
	}
	if ro.pass != po.pass {
		ro.pass = po.pass
		po.fill(now, ro, service)
	}
	return ro
}

// fill finds out what a roster holds.
func (po *Pool) fill(now time.Time, ro *roster, service string) {
	ro.workers, ro.fastest, ro.rate, ro.most = ro.workers[:0], 1, 0, lovagejob.Resources{}
	for _, wo := range po.order {
		if wo.Service != service || !po.usable(now, wo) {
			continue
		}
		fa := po.factor(wo)
		if len(ro.workers) == 0 || fa < ro.fastest {
			ro.fastest = fa
		}
		ro.workers = append(ro.workers, wo)
		ro.rate += packing * float64(wo.Capacity.MilliCores) / fa
		ro.most = ro.most.Max(po.free(wo))
	}
}

// sortQueue orders jobs: first those that can still be in time, by the latest moment at which they must start; then the
// late ones, shortest first. Lent tasks come last, as they are only for room that is left.
func (po *Pool) sortQueue(now time.Time) []*Job {
	type entry struct {
		jo    *Job
		tier  int
		value int64
	}
	list := make([]entry, 0, len(po.queue))
	for _, jo := range po.queue {
		if jo.ended || jo.waiting == 0 || jo.after != nil {
			continue
		}
		run := time.Duration(float64(jo.runTime) * po.rosterOf(now, jo.Work.Service).fastest)
		latest := jo.goal.Add(-run)
		en := entry{jo: jo, value: latest.UnixNano()}
		switch {
		case jo.Offloaded != nil:
			en.tier = 2
		case latest.Before(now):
			en.tier, en.value = 1, int64(run)*int64(jo.waiting)
		}
		list = append(list, en)
	}
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].tier != list[j].tier {
			return list[i].tier < list[j].tier
		}
		return list[i].value < list[j].value
	})
	order := make([]*Job, len(list))
	for i := range list {
		order[i] = list[i].jo
	}
	return order
}

// place starts tasks of a job where there is room.
func (po *Pool) place(now time.Time, jo *Job) {
	for _, ta := range jo.tasks {
		if jo.waiting == 0 {
			return
		}
		if ta.state != taskReady {
			continue
		}
		wo := po.choose(now, ta, true)
		if wo == nil {
			return
		}
		po.start(now, ta, wo)
	}
}

// startAll starts all ready tasks of a job, or none if there is no room for all of them. With selective false, slow
// workers are not passed over, and tasks for which there is no room here are lent.
func (po *Pool) startAll(now time.Time, jo *Job, selective bool) bool {
	tasks, chosen := po.chooseAll(now, jo, selective)
	elsewhere := 0
	if !selective && jo.Offloaded == nil {
		elsewhere = po.OffloadCapacity(now, jo.Work.Service)
	}
	if len(tasks)+elsewhere < jo.waiting {
		return false
	}
	for i, ta := range tasks {
		po.start(now, ta, chosen[i])
	}
	po.lendWaiting(now, jo, math.Inf(1), true)
	return true
}

// chooseAll returns ready tasks of a job for which there is room, with their workers.
func (po *Pool) chooseAll(now time.Time, jo *Job, selective bool) ([]*task, []*worker) {
	ro := po.rosterOf(now, jo.Work.Service)
	most := ro.most
	var tasks []*task
	var chosen []*worker
	for _, ta := range jo.tasks {
		if ta.state != taskReady {
			continue
		}
		wo := po.choose(now, ta, selective)
		if wo == nil {
			break
		}
		wo.used = wo.used.Plus(jo.Work.Steps[ta.step].Resources) // for the choices that follow
		tasks, chosen = append(tasks, ta), append(chosen, wo)
	}
	for i, ta := range tasks {
		chosen[i].used = chosen[i].used.Minus(jo.Work.Steps[ta.step].Resources)
	}
	ro.most = most // the choices may not be carried out
	return tasks, chosen
}

// choose returns the worker on which the task is expected to end first. If selective is set, a slow worker is passed over
// if the job would be late there and could be in time on a faster one that is busy now.
func (po *Pool) choose(now time.Time, ta *task, selective bool) *worker {
	jo := ta.job
	st := &jo.Work.Steps[ta.step]
	ro := po.rosterOf(now, jo.Work.Service)
	if !st.Resources.Fits(ro.most) {
		return nil
	}
	var best *worker
	var bestCost, bestFactor float64
	var most lovagejob.Resources
	fast := 0.0
	for _, wo := range ro.workers {
		if !po.usable(now, wo) {
			continue // it is on trial since this pass began
		}
		free := po.free(wo)
		most = most.Max(free)
		if !st.Resources.Fits(wo.Capacity) || !wo.hasLabel(st.Constraint) {
			continue
		}
		fa := po.factor(wo)
		if st.Affinity != "" && wo.Rack != st.Affinity {
			fa *= remoteFactor
		}
		if fast == 0 || fa < fast {
			fast = fa
		}
		if !st.Resources.Fits(free) || (st.AntiAffinity > 0 && wo.count(jo, ta.step) >= st.AntiAffinity) {
			continue
		}
		cost := fa * (1 + fitWeight*float64(free.MilliCores-st.Resources.MilliCores)/float64(max(wo.Capacity.MilliCores, 1)))
		if wo.ID == ta.avoid {
			cost *= maxSpeedFactor
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestFactor = wo, cost, fa
		}
	}
	if best == nil {
		ro.most = most
		return nil
	}
	if !selective {
		return best
	}
	run := time.Duration(float64(jo.runTime) * bestFactor)
	latest := jo.goal.Add(-time.Duration(float64(jo.runTime) * fast))
	if now.Add(time.Duration(lateMargin*float64(run))).After(jo.goal) && latest.After(now) {
		return nil
	}
	return best
}

// lateMargin is by how much the last of several tasks is expected to take longer than estimated.
const lateMargin = 1.25

// remoteFactor is how much longer a task takes away from its data, where the settings say nothing else.
const remoteFactor = 2.0

func (wo *worker) count(jo *Job, step int) int {
	n := 0
	for _, ru := range wo.runs {
		if ru.task != nil && ru.task.job == jo && ru.task.step == step {
			n++
		}
	}
	return n
}

// remaining is the work of the job's waiting tasks, in thousandths of a core times seconds.
func (jo *Job) remaining() float64 {
	sum := 0.0
	for _, ta := range jo.tasks {
		if ta.state == taskReady || ta.state == taskBlocked {
			sum += float64(jo.Work.Steps[ta.step].Resources.MilliCores)
		}
	}
	return sum * jo.runTime.Seconds()
}

// refuseHopeless refuses jobs of which nothing has started and that are not expected to start in time: at once when the
// wait is far too long, else after a part of their time, so that callers can go elsewhere or come back. A job that is kept
// for a late answer is refused when even that would be of no use any more.
func (po *Pool) refuseHopeless(now time.Time, order []*Job) {
	ahead := map[string]float64{}
	for _, jo := range order {
		if jo.ended || jo.waiting == 0 || jo.Offloaded != nil {
			continue
		}
		service := jo.Work.Service
		ro := po.rosterOf(now, service)
		own := jo.remaining()
		before := ahead[service]
		ahead[service] += own
		if jo.begun > 0 {
			continue
		}
		if ro.rate == 0 {
			po.refuseWithoutWorkers(now, jo)
			continue
		}
		run := time.Duration(float64(jo.runTime) * ro.fastest)
		left := jo.goal.Sub(now) - run
		speed := po.speedFor(now, service, ro.rate, left)
		wait := time.Duration((before + own*float64(jo.waiting-1)/float64(jo.waiting)) / speed * float64(time.Second))
		age := now.Sub(jo.Work.Arrived)
		share := float64(age) / float64(jo.goal.Sub(jo.Work.Arrived))
		early := float64(wait) > sureFactor*float64(left) && share < refuseFrom
		due := wait > left && share >= refuseFrom && share < refuseUntil
		reason := ""
		switch {
		case left > 0 && (early || due):
			reason = "not expected to start in time"
		case left <= 0 && !now.Add(run).Before(jo.useUntil()):
			reason = "an answer would be too late to be of use"
		}
		if reason != "" && !po.startAll(now, jo, false) { // never refused while there is room for it
			if to := po.ownerInTime(now, jo, left); to != "" {
				po.passOn(now, jo, to)
				ahead[service] -= own
				continue
			}
			po.decide(Decision{
				Kind: RefusedInfeasible, Job: jo.Work.ID, Reason: reason, Age: age, Wait: wait, Slack: left, ExpectedRunTime: run,
				FreeTasks: po.LoadReport(now, service).FreeTasks(), PeerFreeTasks: po.OffloadCapacity(now, service),
			})
			po.finish(jo, NotRun, reason, max(wait-left, minRetry))
			ahead[service] -= own
		}
	}
}

// useUntil returns until when an answer is of use to the caller.
func (jo *Job) useUntil() time.Time {
	return jo.Work.Arrived.Add(lateFactor * jo.goal.Sub(jo.Work.Arrived))
}

// speedFor returns the work per second that is left for a job by more urgent ones that are still to come.
func (po *Pool) speedFor(now time.Time, service string, rate float64, left time.Duration) float64 {
	urgent, all := po.urgentLoad(now, service, left)
	share := min(max((all/rate-fullLoad)/(overLoad-fullLoad), 0), 1)
	return max(rate-share*urgent, minRateShare*rate)
}

// withoutWorkersHold is how long a job waits while no worker can be used, as after a take-over.
const withoutWorkersHold = 100 * time.Millisecond

func (po *Pool) refuseWithoutWorkers(now time.Time, jo *Job) {
	if now.Sub(jo.Work.Arrived) >= withoutWorkersHold {
		po.decide(Decision{
			Kind: "refusedWithoutWorkers", Job: jo.Work.ID, Reason: "no worker can be used", Age: now.Sub(jo.Work.Arrived),
		})
		po.finish(jo, NotRun, "no worker can be used", minRetry)
	}
}
