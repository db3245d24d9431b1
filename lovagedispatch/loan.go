package lovagedispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// slotsLent takes the answer to an ask. Slots that nobody waits for are given back at once: an answer to an ask that
// was given up, or slots on workers that may get no task.
func (co *Core) slotsLent(ev SlotsLent) {
	ke := loanKey{ev.From, ev.Loan}
	if len(ev.Slots) > 0 && co.loans[ke] != nil {
		return // a duplicate of an answer that was taken
	}
	sv := co.askedFor(ev)
	if sv != nil {
		if len(ev.Slots) == 0 {
			co.counters.AsksInVain++
			if pe := co.peers[ev.From]; pe != nil && pe.idle[sv.spec.Name] > 0 {
				sv.peerIdle -= pe.idle[sv.spec.Name]
				pe.idle[sv.spec.Name] = 0
			}
		}
	}
	if len(ev.Slots) == 0 {
		return
	}
	until := co.instantOf(ev.Until)
	if sv == nil || until <= co.now || co.se.Policy != Lending {
		co.emit(ReturnSlots{To: ev.From, Loan: ev.Loan, Slots: slices.Clone(ev.Slots)})
		return
	}
	lo := &loan{id: ev.Loan, from: ev.From, sv: sv, until: until}
	var unusable []LentSlots
	for _, sl := range ev.Slots {
		wo := co.workers[sl.Worker]
		if wo == nil || !wo.usable() || sl.Slots <= 0 || sl.Slots > wo.spec.Slots || lo.has(wo) {
			unusable = append(unusable, sl)
			continue
		}
		co.counters.SlotsBorrowed += uint64(sl.Slots)
		lo.slots = append(lo.slots, &loanSlots{loan: lo, wo: wo, given: sl.Slots, slots: sl.Slots, lastUse: co.now})
	}
	if len(unusable) > 0 {
		co.emit(ReturnSlots{To: ev.From, Loan: ev.Loan, Slots: unusable})
	}
	if len(lo.slots) == 0 {
		return
	}
	co.loans[ke] = lo
	for _, ls := range lo.slots {
		ls.wo.loans = append(ls.wo.loans, ls)
		co.update(ls.wo)
	}
	co.setTimer(lo.until, loanTimer{lo: lo})
	co.watchIdle(lo)
}

// askedFor returns the service whose open ask the event answers, and closes the ask.
func (co *Core) askedFor(ev SlotsLent) *service {
	for _, sv := range co.serviceList {
		if sv.dropAsk(func(as ask) bool { return as.id == ev.Ask && as.to == ev.From }) {
			return sv
		}
	}
	return nil
}

func (lo *loan) has(wo *worker) bool {
	return slices.ContainsFunc(lo.slots, func(ls *loanSlots) bool { return ls.wo == wo })
}

// sortedLoans returns the borrowed loans in a fixed order.
func (co *Core) sortedLoans() []*loan {
	loans := make([]*loan, 0, len(co.loans))
	for _, lo := range co.loans {
		loans = append(loans, lo)
	}
	slices.SortFunc(loans, func(a, b *loan) int {
		return cmp.Or(strings.Compare(a.from, b.from), cmp.Compare(a.id, b.id))
	})
	return loans
}

// borrowedSlot returns the free borrowed slot of the worker whose loan ends last. If the task is not expected to end
// before the lender uses the slot again, the free slots of the worker's loans are given back and nil is returned.
func (co *Core) borrowedSlot(wo *worker, runTime float64) *loanSlots {
	var best *loanSlots
	for _, ls := range wo.loans {
		if ls.free() > 0 && (best == nil || ls.loan.until > best.loan.until) {
			best = ls
		}
	}
	if best == nil {
		co.update(wo)
		return nil
	}
	if end := co.now + instant(runTime*wo.factor*1e9); end <= best.loan.until.after(co.se.LoanGrace) {
		return best
	}
	for _, ls := range slices.Clone(wo.loans) {
		co.endLoan(ls.loan)
	}
	return nil
}

// endLoan gives back the free slots of a loan. No task starts on it any more; the slots of tasks in flight are given
// back when the last of them has ended. The lender takes its slots back by itself, so lost messages do no harm.
func (co *Core) endLoan(lo *loan) {
	if lo.over {
		return
	}
	lo.over = true
	co.shrinkLoan(lo, forever)
}

// shrinkLoan gives back the free slots that were last used before the given time.
func (co *Core) shrinkLoan(lo *loan, before instant) {
	for _, ls := range lo.slots {
		if ls.slots > ls.used && ls.lastUse < before {
			ls.giveBack()
			co.update(ls.wo)
		}
	}
	co.returnSlots(lo)
	lo.slots = slices.DeleteFunc(lo.slots, func(ls *loanSlots) bool {
		if ls.slots == 0 {
			co.unlinkLoan(ls)
		}
		return ls.slots == 0
	})
	if len(lo.slots) == 0 {
		lo.over = true
		delete(co.loans, loanKey{lo.from, lo.id})
	}
}

// returnSlots tells the lender which slots were given back, unless it is gone.
func (co *Core) returnSlots(lo *loan) {
	if !lo.changed || co.peers[lo.from] == nil {
		return
	}
	lo.changed = false
	slots := make([]LentSlots, 0, len(lo.slots))
	for _, ls := range lo.slots {
		if n := ls.given - ls.slots; n > 0 {
			slots = append(slots, LentSlots{Worker: ls.wo.spec.ID, Slots: n})
		}
	}
	co.emit(ReturnSlots{To: lo.from, Loan: lo.id, Slots: slots})
}

func (co *Core) unlinkLoan(ls *loanSlots) {
	ls.wo.loans = slices.DeleteFunc(ls.wo.loans, func(it *loanSlots) bool { return it == ls })
	co.forgetGone(ls.wo)
}

// loanTaskEnded frees the slot of a task that ran on a borrowed slot.
func (co *Core) loanTaskEnded(ls *loanSlots) {
	lo := ls.loan
	ls.used--
	lo.used--
	ls.lastUse = co.now
	switch {
	case !lo.over:
		co.watchIdle(lo)
	case lo.used == 0:
		co.shrinkLoan(lo, forever)
	default:
		ls.giveBack()
	}
}

// loanTimer ends a loan at its deadline.
type loanTimer struct{ lo *loan }

func (ti loanTimer) fire(co *Core) { co.endLoan(ti.lo) }

func (sv *service) idleTime() time.Duration {
	if sv.fewerMessages() {
		return sparingIdleTime
	}
	return eagerIdleTime
}

// watchIdle gives slots of the loan back if they stay unused.
func (co *Core) watchIdle(lo *loan) {
	if lo.idleAt == 0 {
		lo.idleAt = co.now.after(lo.sv.idleTime())
		co.setTimer(lo.idleAt, idleTimer{lo: lo})
	}
}

// idleTimer gives back what was not used for a while, and comes again while other slots are free.
type idleTimer struct{ lo *loan }

func (ti idleTimer) fire(co *Core) {
	lo := ti.lo
	lo.idleAt = 0
	if lo.over {
		return
	}
	co.shrinkLoan(lo, co.now.after(1-lo.sv.idleTime()))
	if slices.ContainsFunc(lo.slots, func(ls *loanSlots) bool { return ls.free() > 0 }) {
		co.watchIdle(lo)
	}
}
