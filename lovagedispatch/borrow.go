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
	heard      instant        // time of the last load summary
	asked      instant        // time of the last ask to it
	needy      instant        // time of its last ask
}

// peerLoadAge is the age at which a peer's load summary is no longer used. Heartbeats come every second, and a peer
// is suspect after 3 s.
const peerLoadAge = 3 * time.Second

// needyTime is the time for which a peer that asked for slots is taken to have none, unless its load summary says
// otherwise.
const needyTime = time.Second

// ask is a service's request for a loan that was not answered yet.
type ask struct {
	id uint64
	to string
}

// loanKey identifies a borrowed loan: loan numbers are chosen by the lender.
type loanKey struct {
	from string
	id   uint64
}

// loan is a set of borrowed slots.
type loan struct {
	id      uint64
	from    string
	sv      *service
	until   instant // no task starts on the slots from then on
	slots   []*loanSlots
	used    int     // tasks in flight on all its slots
	idleAt  instant // time of the pending idleTimer; 0 if there is none
	over    bool    // no task may start any more
	changed bool    // slots were given back since the last message to the lender
}

// loanSlots is the part of a loan that concerns one worker.
type loanSlots struct {
	loan    *loan
	wo      *worker
	given   int // slots at the start of the loan
	slots   int // slots not given back
	used    int
	lastUse instant
}

func (ls *loanSlots) free() int {
	if ls.loan.over {
		return 0
	}
	return ls.slots - ls.used
}

// giveBack gives back the free slots. The lender hears of it by the next returnSlots.
func (ls *loanSlots) giveBack() {
	if ls.slots > ls.used {
		ls.slots = ls.used
		ls.loan.changed = true
	}
}

// Eagerness of borrowing by the weight of the service. A task that has to wait longer than the given part of its run
// time plus a round trip makes the core ask for slots.
const (
	askRoundTrip       = 2 * time.Millisecond // the ask and its answer, in one data centre
	eagerWaitRatio     = 0.1
	sparingWaitRatio   = 0.5
	eagerAsks          = 2 // asks of a service that may be open at once
	sparingAsks        = 1
	eagerAskInterval   = 2 * time.Millisecond
	sparingAskInterval = 50 * time.Millisecond
	// Borrowed slots that were not used for this long are given back. The lender cannot use them meanwhile.
	eagerIdleTime   = 10 * time.Millisecond
	sparingIdleTime = 250 * time.Millisecond
)

// borrow asks peers for slots for the services whose queue has outgrown the slots at hand.
func (co *Core) borrow() {
	if co.se.Policy != Lending || len(co.active) == 0 {
		return
	}
	for _, cl := range co.active {
		if sv := cl.sv; cl.ready > 0 && sv.askAfter <= co.now && len(sv.asks) < sv.maxAsks() {
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
	sv.askAfter = co.now.after(interval)
	pe := co.idlestPeer(sv)
	if pe == nil {
		return
	}
	slots := min(cl.ready, co.se.MaxLoanSlots)
	if idle := pe.idle[sv.spec.Name]; idle > 0 {
		slots = min(slots, idle)
		pe.idle[sv.spec.Name] -= slots
		sv.peerIdle -= slots
	}
	co.askSeq++
	co.counters.Asks++
	sv.asks = append(sv.asks, ask{id: co.askSeq, to: pe.id})
	co.setTimer(co.now.after(co.se.AskTimeout), askTimer{sv: sv, id: co.askSeq})
	co.setTimer(sv.askAfter, recheck{})
	co.emit(AskSlots{
		To: pe.id, Ask: co.askSeq, Service: sv.spec.Name, Slots: slots, Until: co.timeOf(co.now.after(co.loanTerm(runTime))),
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

func (sv *service) maxAsks() int {
	if sv.fewerMessages() {
		return sparingAsks
	}
	return eagerAsks
}

// dropAsk forgets an open ask and reports whether there was one.
func (sv *service) dropAsk(open func(ask) bool) bool {
	before := len(sv.asks)
	sv.asks = slices.DeleteFunc(sv.asks, open)
	return len(sv.asks) < before
}

// idlestPeer returns the peer to ask: the one with the most free slots by its last load summary, in the own data centre
// if there is any. If no peer is known to have free slots, it is the one that was asked longest ago, as a peer holds an
// ask for a while until it has slots. A peer that asked for slots itself within the last second is left alone.
func (co *Core) idlestPeer(sv *service) *peer {
	var best *peer
	for _, pe := range co.peerList {
		if co.now < pe.needy.after(needyTime) && pe.idle[sv.spec.Name] <= 0 ||
			co.now >= pe.heard.after(peerLoadAge) ||
			slices.ContainsFunc(sv.asks, func(as ask) bool { return as.to == pe.id }) {
			continue
		}
		if best == nil || co.askBefore(sv, pe, best) {
			best = pe
		}
	}
	if best != nil {
		best.asked = co.now
	}
	return best
}

// askBefore reports whether a is the better peer to ask than b.
func (co *Core) askBefore(sv *service, a, b *peer) bool {
	idleA, idleB := a.idle[sv.spec.Name], b.idle[sv.spec.Name]
	if (idleA > 0) != (idleB > 0) {
		return idleA > 0
	}
	if localA, localB := a.dataCentre == co.se.DataCentre, b.dataCentre == co.se.DataCentre; localA != localB && idleA > 0 {
		return localA
	}
	if idleA > 0 {
		return idleA > idleB
	}
	return a.asked < b.asked
}

// askTimer gives up an ask that was not answered.
type askTimer struct {
	sv *service
	id uint64
}

func (ti askTimer) fire(co *Core) {
	if ti.sv.dropAsk(func(as ask) bool { return as.id == ti.id }) {
		co.counters.AsksInVain++
	}
}

// peerLoad notes a peer's free slots. It keeps the sums over all peers, which a scan of the peers per heartbeat would
// make quadratic in their number.
func (co *Core) peerLoad(ev PeerLoad) {
	pe := co.peers[ev.Instance]
	if pe == nil {
		return // not a member; its load is of no use
	}
	pe.heard = co.now
	for _, sv := range co.serviceList {
		sv.peerIdle -= max(0, pe.idle[sv.spec.Name])
	}
	clear(pe.idle)
	for _, sl := range ev.Load.Services {
		pe.idle[sl.Service] = sl.FreeSlots
	}
	for _, sv := range co.serviceList {
		sv.peerIdle += max(0, pe.idle[sv.spec.Name])
	}
}

// sumPeerIdle adds up the free slots of all peers after a change of the peers or the services.
func (co *Core) sumPeerIdle() {
	for _, sv := range co.serviceList {
		sv.peerIdle = 0
		for _, pe := range co.peerList {
			sv.peerIdle += max(0, pe.idle[sv.spec.Name])
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
			pe = &peer{id: me.ID, idle: map[string]int{}, heard: -forever / 2, needy: -forever / 2}
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
		sv.dropAsk(func(as ask) bool { return co.peers[as.to] == nil })
	}
	for _, lo := range co.sortedLoans() {
		if co.peers[lo.from] == nil {
			co.endLoan(lo)
		}
	}
	co.sumPeerIdle()
}
