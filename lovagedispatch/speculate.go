package lovagedispatch

import "time"

// Speculative starts use slots that belong to other instances without asking. A worker that has no free slot answers
// "not started", which costs one message and a round trip, and the task is tried elsewhere.
//
// Each refusal of a speculative start is paid from a budget of the service that grows with its starts. Without budget
// only own and borrowed slots are used. So the messages wasted are a bounded part of the starts, and the bound is the
// operators' choice between response time and messages.

// speculationBurst bounds the budget saved up, so that a long quiet time is not followed by a storm of refusals. A job of
// 350 tasks that finds all workers half full needs about this many.
const speculationBurst = 50

// speculationMargin is the part of the run time that a speculative start must save over an own slot, so that instances
// prefer their own slots on workers of equal speed.
const speculationMargin = 0.05

// speculates reports whether the policy uses slots of others without asking.
func (co *Core) speculates() bool { return co.se.Policy == Speculative }

// lends reports whether the policy lends and borrows slots.
func (co *Core) lends() bool { return co.se.Policy == Lending || co.se.Policy == Speculative }

// maySpeculate reports whether the class may use slots of others now.
func (co *Core) maySpeculate(cl *class) bool { return co.speculates() && cl.sv.speculation >= 1 }

// addSpeculation fills the budget of a service by one start.
func (co *Core) addSpeculation(sv *service) {
	sv.speculation = min(sv.speculation+co.speculationRatio(sv), speculationBurst)
}

// speculationRatio is the retry ratio of the service. A service that prefers fewer messages gets a quarter of it.
func (co *Core) speculationRatio(sv *service) float64 {
	ratio := co.retryRatio(sv)
	if sv.fewerMessages() {
		ratio /= 4
	}
	return ratio
}

// foreignFree reports whether a speculative start on the worker is worth a try.
func (co *Core) foreignFree(wo *worker) bool {
	return co.speculates() && wo.usable() && wo.health.state == healthy && wo.freeOwn() <= 0 && wo.freeBorrowed() == 0 &&
		wo.inFlight()+wo.lent < wo.spec.Slots && wo.health.blockedUntil <= co.now && wo.health.foreignUntil <= co.now
}

// updateForeign sets the worker's rank among the workers for speculative starts.
func (co *Core) updateForeign(wo *worker) {
	if !co.speculates() {
		return
	}
	rank := unavailable
	if co.foreignFree(wo) {
		rank = co.ranker.rank(wo)
	}
	wo.grp.foreign.set(wo.leaf, rank)
}

// chooseForeign returns the worker for a speculative start with the least cost, including the margin.
func (co *Core) chooseForeign(cl *class, runTime float64) (wo *worker, cost float64) {
	cost = unavailable
	for _, gr := range cl.groups {
		i, ra, ok := gr.foreign.first()
		if !ok {
			continue
		}
		if c := co.ranker.cost(ra, runTime, gr.latency) + speculationMargin*runTime; c < cost {
			wo, cost = gr.workers[i], c
		}
	}
	return wo, cost
}

// speculationRefused notes that a speculative start was refused. The worker gets no further ones for a time that doubles
// with each refusal in a row; its own slots stay in use.
func (co *Core) speculationRefused(wo *worker, sv *service) {
	sv.speculation--
	co.counters.SpeculationsRefused++
	backOff := co.doubled(co.se.SpeculationBackOff, co.se.MaxRefusalBackOff, wo.health.foreignRefusals)
	wo.health.foreignRefusals++
	wo.health.foreignUntil = co.now.after(backOff)
	co.setTimer(wo.health.foreignUntil, foreignTimer{wo: wo})
}

// foreignTimer makes a worker available for speculative starts again.
type foreignTimer struct{ wo *worker }

func (ti foreignTimer) fire(co *Core) {
	if ti.wo.grp != nil && ti.wo.health.foreignUntil <= co.now {
		co.update(ti.wo)
	}
}

// defaultSpeculationBackOff is about a fifth of a usual run time: slots become free at that rate on a worker of 8.
const defaultSpeculationBackOff = 40 * time.Millisecond
