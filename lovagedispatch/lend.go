package lovagedispatch

import "time"

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

// slotsAsked lends up to half of the free slots that can run the service, all of them while draining. Nothing is lent
// while own tasks wait for such slots. A repeated ask gets the same answer.
func (co *Core) slotsAsked(ev SlotsAsked) {
	ke := askKey{ev.From, ev.Ask}
	if le := co.lentAsks[ke]; le != nil {
		co.emit(le.answer(co))
		return
	}
	none := LendSlots{To: ev.From, Ask: ev.Ask, Until: co.nowTime}
	sv := co.services[ev.Service]
	until := min(co.instantOf(ev.Until), co.now.after(co.maxLoanTerm(sv)))
	if co.se.Policy != Lending || sv == nil || co.peers[ev.From] == nil || until < co.now.after(minLoanTerm) {
		co.emit(none)
		return
	}
	spare := 0
	for _, gr := range co.groups {
		if sv.runsIn(gr.key.pool) && !co.needs(gr) {
			spare += gr.freeOwn
		}
	}
	if !co.draining {
		spare /= 2
	}
	want := min(ev.Slots, spare, co.se.MaxLoanSlots)
	if want <= 0 {
		co.emit(none)
		return
	}
	co.loanSeq++
	le := &lentLoan{id: co.loanSeq, ask: ke, until: until}
	co.takeSlots(le, sv, want)
	if le.left == 0 {
		co.emit(none)
		return
	}
	co.lent[le.id], co.lentAsks[ke] = le, le
	co.setTimer(le.until.after(co.se.LoanGrace), lentTimer{le: le})
	co.emit(le.answer(co))
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

// lentTimer takes back what the borrower has not returned, for example because it died.
type lentTimer struct{ le *lentLoan }

func (ti lentTimer) fire(co *Core) {
	if co.lent[ti.le.id] != ti.le {
		return
	}
	for i := range ti.le.slots {
		co.takeBack(ti.le, &ti.le.slots[i], ti.le.slots[i].slots)
	}
	co.forgetLent(ti.le)
}
