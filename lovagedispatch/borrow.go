package lovagedispatch

import (
	"slices"
	"strings"
	"time"
)

// peer is what the core knows about another instance.
type peer struct {
	id         string
	dataCentre string
	idle       map[string]int // free slots by service; -1 or less counts as none
	heard      instant
}

// peerLoadAge is the age at which a peer's load summary is no longer used. Heartbeats come every second, and a peer
// is suspect after 3 s.
const peerLoadAge = 3 * time.Second

// ask is a service's request for a loan that was not answered yet.
type ask struct {
	id    uint64 // 0 if there is none
	to    string
	until instant // time at which it is given up
}

// loanKey identifies a borrowed loan: loan numbers are chosen by the lender.
type loanKey struct {
	from string
	id   uint64
}

// loan is a set of borrowed slots.
type loan struct {
	id    uint64
	from  string
	sv    *service
	until instant // no task starts on the slots from then on
	slots []*loanSlots
	used  int // tasks in flight on all its slots
	idle  instant
	over  bool // no task may start any more
}

// loanSlots is the part of a loan that concerns one worker.
type loanSlots struct {
	loan  *loan
	wo    *worker
	slots int
	used  int
}

func (ls *loanSlots) free() int {
	if ls.loan.over {
		return 0
	}
	return ls.slots - ls.used
}

// Eagerness of borrowing by the weight of the service. A task that has to wait longer than the given part of its run
// time plus a round trip makes the core ask for slots.
const (
	askRoundTrip       = 2 * time.Millisecond // the ask and its answer, in one data centre
	eagerWaitRatio     = 0.02
	sparingWaitRatio   = 0.5
	eagerAskInterval   = 2 * time.Millisecond
	sparingAskInterval = 50 * time.Millisecond
	// idleLoanTime is the time after which unused borrowed slots are given back. With fewer messages wanted, the loan
	// runs to its end instead, which needs no message.
	idleLoanTime = 50 * time.Millisecond
)

// borrow asks peers for slots for the services whose queue has outgrown the slots at hand.
func (co *Core) borrow() {
	if co.se.Policy != Lending || len(co.active) == 0 {
		return
	}
	for _, cl := range co.active {
		if sv := cl.sv; sv.ask.id == 0 && sv.askAfter <= co.now && cl.ready > 0 && sv.peerIdle > 0 {
			co.askFor(cl)
		}
	}
}

func (co *Core) askFor(cl *class) {
	sv := cl.sv
	runTime := co.taskTime(sv, cl.teams.top().item.jobs.top().item.declared)
	ratio, interval := eagerWaitRatio, eagerAskInterval
	if sv.fewerMessages() {
		ratio, interval = sparingWaitRatio, sparingAskInterval
	}
	if cl.expectedWait() < ratio*runTime+askRoundTrip.Seconds() {
		return
	}
	pe := co.idlestPeer(sv)
	if pe == nil {
		sv.peerIdle = 0 // until the next load summary
		return
	}
	slots := min(cl.ready, co.se.MaxLoanSlots, pe.idle[sv.spec.Name])
	pe.idle[sv.spec.Name] -= slots
	sv.peerIdle -= slots
	co.askSeq++
	sv.ask = ask{id: co.askSeq, to: pe.id, until: co.now.after(co.se.AskTimeout)}
	sv.askAfter = co.now.after(interval)
	co.setTimer(sv.ask.until, askTimer{sv: sv, id: sv.ask.id})
	co.setTimer(sv.askAfter, recheck{})
	co.emit(AskSlots{
		To: pe.id, Ask: sv.ask.id, Service: sv.spec.Name, Slots: slots, Until: co.timeOf(co.now.after(co.loanTerm(runTime))),
	})
}

// expectedWait returns the time in seconds in which as many slots become free as the class has ready tasks.
func (cl *class) expectedWait() float64 {
	rate := int64(0)
	for _, gr := range cl.groups {
		for _, ra := range gr.rates {
			rate += ra
		}
	}
	if rate == 0 {
		return unavailable
	}
	return float64(cl.ready) * rateUnit / float64(rate)
}

// loanTerm returns the length of a loan, enough for several tasks of the service in a row.
func (co *Core) loanTerm(runTime float64) time.Duration {
	return max(co.se.LoanTerm, time.Duration(4*runTime*1e9))
}

// idlestPeer returns the peer with the most free slots for the service, in the own data centre if there is any.
func (co *Core) idlestPeer(sv *service) *peer {
	var best *peer
	for _, pe := range co.peerList {
		idle := pe.idle[sv.spec.Name]
		if idle <= 0 || co.now >= pe.heard.after(peerLoadAge) {
			continue
		}
		if best != nil {
			local, bestLocal := pe.dataCentre == co.se.DataCentre, best.dataCentre == co.se.DataCentre
			if local != bestLocal {
				if bestLocal {
					continue
				}
			} else if idle <= best.idle[sv.spec.Name] {
				continue
			}
		}
		best = pe
	}
	return best
}

// askTimer gives up an ask that was not answered.
type askTimer struct {
	sv *service
	id uint64
}

func (ti askTimer) fire(*Core) {
	if ti.sv.ask.id == ti.id {
		ti.sv.ask = ask{}
	}
}

// peerLoad notes a peer's free slots.
func (co *Core) peerLoad(ev PeerLoad) {
	pe := co.peers[ev.Instance]
	if pe == nil {
		return // not a member; its load is of no use
	}
	pe.heard = co.now
	clear(pe.idle)
	for _, sl := range ev.Load.Services {
		pe.idle[sl.Service] = sl.FreeSlots
	}
	co.sumPeerIdle()
}

// sumPeerIdle adds up the free slots of all peers. It costs time linear in the number of peers, once per heartbeat.
func (co *Core) sumPeerIdle() {
	for _, sv := range co.serviceList {
		sv.peerIdle = 0
		for _, pe := range co.peerList {
			if co.now < pe.heard.after(peerLoadAge) {
				sv.peerIdle += max(0, pe.idle[sv.spec.Name])
			}
		}
	}
}

// setPeers follows a change of the members: new peers are known without load, and nothing is borrowed from or asked
// of a peer that is gone. The slots of its share now belong to other instances.
func (co *Core) setPeers(members []Member) {
	kept := co.peerList[:0]
	for _, me := range members {
		if me.ID == co.se.Instance || slices.ContainsFunc(kept, func(pe *peer) bool { return pe.id == me.ID }) {
			continue
		}
		pe := co.peers[me.ID]
		if pe == nil {
			pe = &peer{id: me.ID, idle: map[string]int{}, heard: -forever / 2}
		}
		pe.dataCentre = me.DataCentre
		kept = append(kept, pe)
	}
	slices.SortFunc(kept, func(a, b *peer) int { return strings.Compare(a.id, b.id) })
	co.peerList = kept
	clear(co.peers)
	for _, pe := range kept {
		co.peers[pe.id] = pe
	}
	for _, sv := range co.serviceList {
		if sv.ask.id != 0 && co.peers[sv.ask.to] == nil {
			sv.ask = ask{}
		}
	}
	for _, lo := range co.sortedLoans() {
		if co.peers[lo.from] == nil {
			co.endLoan(lo)
		}
	}
	co.sumPeerIdle()
}
