package lovagedispatch

import (
	"cmp"
	"slices"
	"strings"
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
		sv.ask = ask{}
		if len(ev.Slots) == 0 {
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
	lo := &loan{id: ev.Loan, from: ev.From, sv: sv, until: until, idle: co.now}
	var unusable []LentSlots
	for _, sl := range ev.Slots {
		wo := co.workers[sl.Worker]
		if wo == nil || !wo.usable() || sl.Slots <= 0 || sl.Slots > wo.spec.Slots || lo.has(wo) {
			unusable = append(unusable, sl)
			continue
		}
		lo.slots = append(lo.slots, &loanSlots{loan: lo, wo: wo, slots: sl.Slots})
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

// askedFor returns the service whose pending ask the event answers.
func (co *Core) askedFor(ev SlotsLent) *service {
	for _, sv := range co.serviceList {
		if sv.ask.id != 0 && sv.ask.id == ev.Ask && sv.ask.to == ev.From {
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
	co.returnSlots(lo)
	for _, ls := range lo.slots {
		if ls.used == 0 {
			co.unlinkLoan(ls)
		}
		co.update(ls.wo)
	}
	if lo.used == 0 {
		delete(co.loans, loanKey{lo.from, lo.id})
	}
}

// returnSlots sends all slots back that are not in use. It sends nothing if the lender is gone, or if the lender takes
// the slots back by itself before long and fewer messages are wanted.
func (co *Core) returnSlots(lo *loan) {
	if co.peers[lo.from] == nil || lo.sv.fewerMessages() && co.now >= lo.until {
		return
	}
	slots := make([]LentSlots, 0, len(lo.slots))
	for _, ls := range lo.slots {
		if n := ls.slots - ls.used; n > 0 {
			slots = append(slots, LentSlots{Worker: ls.wo.spec.ID, Slots: n})
		}
	}
	if len(slots) > 0 {
		co.emit(ReturnSlots{To: lo.from, Loan: lo.id, Slots: slots})
	}
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
	if !lo.over {
		if lo.used == 0 {
			lo.idle = co.now
			co.watchIdle(lo)
		}
		return
	}
	if ls.used == 0 {
		co.unlinkLoan(ls)
	}
	if lo.used > 0 {
		return
	}
	delete(co.loans, loanKey{lo.from, lo.id})
	if co.now < lo.until.after(co.se.LoanGrace) {
		co.returnSlots(lo)
	}
}

// loanTimer ends a loan at its deadline.
type loanTimer struct{ lo *loan }

func (ti loanTimer) fire(co *Core) { co.endLoan(ti.lo) }

// watchIdle gives a loan back if it stays unused.
func (co *Core) watchIdle(lo *loan) {
	if !lo.sv.fewerMessages() {
		co.setTimer(lo.idle.after(idleLoanTime), idleTimer{lo: lo})
	}
}

type idleTimer struct{ lo *loan }

func (ti idleTimer) fire(co *Core) {
	if lo := ti.lo; lo.used == 0 && co.now >= lo.idle.after(idleLoanTime) {
		co.endLoan(lo)
	}
}
