package lovagedispatch

import (
	"slices"
	"time"
)

// askKey identifies a peer's ask.
type askKey struct {
	from string
	ask  uint64
}

// lentLoan is a set of own slots lent to a peer. They stay out of use until the peer has returned them, at the latest
// until the loan's end and the grace time have passed.
type lentLoan struct {
	id    uint64
	ask   askKey
	until instant
	slots []lentSlots
	left  int // slots not returned
}

// lentSlots is the part of a lent loan that concerns one worker.
type lentSlots struct {
	wo    *worker
	slots int
	given int // slots at the start
}

// minLoanTerm is the shortest loan that is worth its messages.
const minLoanTerm = 10 * time.Millisecond

// heldAsk is an ask that waits for free slots.
type heldAsk struct {
	ask   askKey
	sv    *service
	slots int
	until instant // wanted end of the loan
}

// slotsAsked lends slots or, if there are none to spare, holds the ask until there are. A repeated ask gets the same
// answer.
func (co *Core) slotsAsked(ev SlotsAsked) {
	ke := askKey{ev.From, ev.Ask}
	if le := co.lentAsks[ke]; le != nil {
		co.emit(le.answer(co))
		return
	}
	if slices.ContainsFunc(co.held, func(he *heldAsk) bool { return he.ask == ke }) {
		return
	}
	sv, pe := co.services[ev.Service], co.peers[ev.From]
	he := &heldAsk{ask: ke, sv: sv, slots: ev.Slots}
	he.until = min(co.instantOf(ev.Until), co.now.after(co.maxLoanTerm(sv)))
	if co.se.Policy != Lending || sv == nil || pe == nil || ev.Slots <= 0 || he.until < co.now.after(minLoanTerm) {
		co.answerNone(ke)
		return
	}
	pe.needy = co.now
	sv.peerIdle -= max(0, pe.idle[ev.Service])
	delete(pe.idle, ev.Service)
	if !co.lendFor(he) {
		co.held = append(co.held, he)
		co.setTimer(co.now.after(co.se.AskHold), heldTimer{he: he})
	}
}

func (co *Core) answerNone(ke askKey) {
	co.emit(LendSlots{To: ke.from, Ask: ke.ask, Until: co.nowTime})
}

// heldTimer answers an ask that was held in vain.
type heldTimer struct{ he *heldAsk }

func (ti heldTimer) fire(co *Core) {
	if i := slices.Index(co.held, ti.he); i >= 0 {
		co.held = slices.Delete(co.held, i, i+1)
		co.answerNone(ti.he.ask)
	}
}

// serveHeld lends to the peers whose asks are held, in the order of their arrival.
func (co *Core) serveHeld() {
	if len(co.held) > 0 {
		co.held = slices.DeleteFunc(co.held, co.lendFor)
	}
}

// lendFor lends up to half of the free slots that can run the service, all of them while draining. Nothing is lent
// while own tasks wait for such slots. It reports whether the ask is done with.
func (co *Core) lendFor(he *heldAsk) bool {
	spare := 0
	for _, gr := range co.groups {
		if gr.freeOwn > 0 && he.sv.runsIn(gr.key.pool) && !co.needs(gr) {
			spare += gr.freeOwn
		}
	}
	if !co.draining {
		spare /= 2
	}
	want := min(he.slots, spare, co.se.MaxLoanSlots)
	if want <= 0 {
		return false
	}
	if co.peers[he.ask.from] == nil || he.until < co.now.after(minLoanTerm) {
		co.answerNone(he.ask)
		return true
	}
	co.loanSeq++
	le := &lentLoan{id: co.loanSeq, ask: he.ask, until: he.until}
	co.takeSlots(le, he.sv, want)
	if le.left == 0 {
		return false
	}
	co.counters.SlotsLent += uint64(le.left)
	co.lent[le.id], co.lentAsks[he.ask] = le, le
	co.setTimer(le.until.after(co.se.LoanGrace), lentTimer{le: le})
	co.emit(le.answer(co))
	return true
}

// maxLoanTerm bounds the term that a borrower may ask for.
func (co *Core) maxLoanTerm(sv *service) time.Duration {
	if sv == nil {
		return co.se.LoanTerm
	}
	return co.loanTerm(co.taskTime(sv, 0))
}

// needs reports whether own queued tasks can use the slots of the group.
func (co *Core) needs(gr *group) bool {
	for _, cl := range co.active {
		if cl.ready == 0 {
			continue
		}
		for _, it := range cl.groups {
			if it == gr {
				return true
			}
		}
	}
	return false
}

// takeSlots takes one free slot of each worker in turn, starting at a random one, so that the loan is a mix of fast and
// slow workers. It costs time linear in the number of workers, once per loan.
func (co *Core) takeSlots(le *lentLoan, sv *service, want int) {
	var pick []*worker
	for _, gr := range co.groups {
		if sv.runsIn(gr.key.pool) && gr.freeOwn > 0 && !co.needs(gr) {
			for _, wo := range gr.workers {
				if wo.ownFree > 0 && wo.health.state == healthy {
					pick = append(pick, wo)
				}
			}
		}
	}
	if len(pick) == 0 {
		return
	}
	first := co.rng.IntN(len(pick))
	taken := make([]int, len(pick))
	for more := true; more && le.left < want; {
		more = false
		for i := range pick {
			at := (first + i) % len(pick)
			if le.left < want && taken[at] < pick[at].ownFree {
				taken[at]++
				le.left++
				more = true
			}
		}
	}
	for i, n := range taken {
		if n > 0 {
			pick[i].lent += n
			le.slots = append(le.slots, lentSlots{wo: pick[i], slots: n, given: n})
			co.update(pick[i])
		}
	}
}

func (le *lentLoan) answer(co *Core) LendSlots {
	cm := LendSlots{To: le.ask.from, Ask: le.ask.ask, Loan: le.id, Until: co.timeOf(le.until)}
	for _, ls := range le.slots {
		cm.Slots = append(cm.Slots, LentSlots{Worker: ls.wo.spec.ID, Slots: ls.given})
	}
	return cm
}

// slotsReturned takes slots back. Slots that are not lent, or not to this peer, are ignored: the message is a duplicate
// or late.
func (co *Core) slotsReturned(ev SlotsReturned) {
	le := co.lent[ev.Loan]
	if le == nil || le.ask.from != ev.From {
		return
	}
	for _, sl := range ev.Slots {
		for i := range le.slots {
			if le.slots[i].wo.spec.ID == sl.Worker {
				ls := &le.slots[i]
				before := ls.given - ls.slots // slots that were given back already
				co.takeBack(le, ls, min(max(sl.Slots-before, 0), ls.slots))
			}
		}
	}
	if le.left == 0 {
		co.forgetLent(le)
	}
}

func (co *Core) takeBack(le *lentLoan, ls *lentSlots, slots int) {
	ls.slots -= slots
	le.left -= slots
	ls.wo.lent -= slots
	co.update(ls.wo)
	co.forgetGone(ls.wo)
}

func (co *Core) forgetLent(le *lentLoan) {
	delete(co.lent, le.id)
	delete(co.lentAsks, le.ask)
}

// lentTimer takes back what the borrower has not returned. While the borrower is heard of, its tasks may still run: the
// lender waits on, but not for ever, as the return may have been lost.
type lentTimer struct{ le *lentLoan }

func (ti lentTimer) fire(co *Core) {
	le := ti.le
	if co.lent[le.id] != le {
		return
	}
	pe := co.peers[le.ask.from]
	if pe != nil && co.now < pe.heard.after(peerLoadAge) && co.now < le.until.after(co.se.MaxLoanGrace) {
		co.setTimer(co.now.after(co.se.LoanGrace), ti)
		return
	}
	for i := range le.slots {
		co.takeBack(le, &le.slots[i], le.slots[i].slots)
	}
	co.forgetLent(le)
}
