package lovagedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// network connects several cores through messages that may be late, lost, repeated and out of order.
type network struct {
	drs  []*driver
	mail []letter
}

type letter struct {
	to int
	ev Event
}

func newNetwork() *network {
	nw := &network{}
	for _, me := range testMembers {
		dr := newDriver(DefaultSettings(me.ID, me.DataCentre))
		dr.nextJob = uint64(len(nw.drs)) << 32
		dr.step(MembersChanged{Members: testMembers})
		dr.step(WorkersChanged{Workers: testWorkers(16, 2)})
		dr.step(ServicesChanged{Services: testServices})
		nw.drs = append(nw.drs, dr)
	}
	return nw
}

// collect turns the commands of a core into letters.
func (nw *network) collect() {
	for i, dr := range nw.drs {
		from := testMembers[i].ID
		for _, cm := range dr.sent {
			switch cm := cm.(type) {
			case AskSlots:
				nw.mail = append(nw.mail, letter{int(cm.To[1] - '1'), SlotsAsked{from, cm.Ask, cm.Service, cm.Slots, cm.Until}})
			case LendSlots:
				nw.mail = append(nw.mail, letter{int(cm.To[1] - '1'), SlotsLent{from, cm.Ask, cm.Loan, cm.Slots, cm.Until}})
			case ReturnSlots:
				nw.mail = append(nw.mail, letter{int(cm.To[1] - '1'), SlotsReturned{from, cm.Loan, cm.Slots}})
			}
		}
		dr.sent = nil
	}
}

func (nw *network) deliver(i int, keep bool) {
	le := nw.mail[i]
	if !keep {
		nw.mail = append(nw.mail[:i], nw.mail[i+1:]...)
	}
	nw.drs[le.to].step(le.ev)
	nw.collect()
}

func (nw *network) heartbeats() {
	for i, from := range nw.drs {
		for j, to := range nw.drs {
			if i != j {
				to.step(PeerLoad{Instance: testMembers[i].ID, Load: from.co.Load()})
			}
		}
	}
	nw.collect()
}

func (nw *network) pass(du time.Duration) {
	for _, dr := range nw.drs {
		dr.pass(du)
	}
	nw.collect()
}

// oversubscribed returns a worker with more tasks in flight than slots. Tasks that outlive their loan and its grace
// time do not count: the lender uses the slot again by then, and the worker refuses what is too much.
func (nw *network) oversubscribed() string {
	used := map[string]int{}
	for _, dr := range nw.drs {
		for _, fl := range dr.flying {
			counts := fl.start.Loan == 0
			for ke, lo := range dr.ch.loans {
				counts = counts || ke.id == fl.start.Loan && dr.now.Before(lo.until.Add(dr.ch.se.LoanGrace))
			}
			if counts {
				used[fl.start.Worker]++
			}
		}
	}
	for _, wo := range testWorkers(16, 2) {
		if used[wo.ID] > wo.Slots {
			return fmt.Sprintf("worker %s runs %d tasks", wo.ID, used[wo.ID])
		}
	}
	return ""
}

// Guards against slots that are used by two instances or lost for ever, whatever happens to the messages.
func TestLendingBetweenCores(t *testing.T) {
	borrowed := 0
	rapid.Check(t, func(rt *rapid.T) {
		nw := newNetwork()
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				dr := nw.drs[rapid.IntRange(0, 2).Draw(rt, "instance")]
				dr.submit(rapid.SampledFrom([]string{"both", "ponly", "qonly"}).Draw(rt, "service"), "a", rapid.IntRange(1, 25).Draw(rt, "tasks"), 20*time.Second)
				nw.collect()
			},
			"end": func(rt *rapid.T) {
				dr := nw.drs[rapid.IntRange(0, 2).Draw(rt, "instance")]
				if n := len(dr.flying); n > 0 {
					dr.end(rapid.IntRange(0, n-1).Draw(rt, "task"), rapid.SampledFrom([]TaskState{Succeeded, Succeeded, NotStarted}).Draw(rt, "state"))
				}
				nw.collect()
			},
			"heartbeats": func(*rapid.T) { nw.heartbeats() },
			"mail": func(rt *rapid.T) {
				if len(nw.mail) == 0 {
					return
				}
				i := rapid.IntRange(0, len(nw.mail)-1).Draw(rt, "letter")
				switch rapid.IntRange(0, 3).Draw(rt, "fate") {
				case 0: // lost
					nw.mail = append(nw.mail[:i], nw.mail[i+1:]...)
				case 1: // repeated later
					nw.deliver(i, true)
				default:
					nw.deliver(i, false)
				}
			},
			"pass": func(rt *rapid.T) { nw.pass(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond) },
			"": func(rt *rapid.T) {
				for _, dr := range nw.drs {
					failOnFaults(rt, dr.ch)
					borrowed += len(dr.co.loans)
				}
				if fault := nw.oversubscribed(); fault != "" {
					rt.Fatal(fault)
				}
			},
		})
		nw.settle(rt)
	})
	must.Greater(t, 1000, borrowed, must.Sprint("the test must see loans"))
}

// settle ends all tasks and lets the time of all loans pass without another message.
func (nw *network) settle(rt *rapid.T) {
	for _, dr := range nw.drs {
		for len(dr.flying) > 0 {
			dr.end(0, Succeeded)
		}
		dr.pass(30 * time.Second)
		for len(dr.flying) > 0 {
			dr.end(0, Succeeded)
		}
		dr.pass(5 * time.Second)
		if n := len(dr.co.jobs) + len(dr.co.loans) + len(dr.co.lent) + len(dr.co.lentAsks); n != 0 {
			rt.Fatalf("%d jobs, %d loans and %d lent loans left", len(dr.co.jobs), len(dr.co.loans), len(dr.co.lent))
		}
		for _, wo := range dr.co.list {
			if wo.inFlight() != 0 || wo.lent != 0 || len(wo.loans) != 0 {
				rt.Fatalf("worker %s: %d in flight, %d lent, %d borrowed", wo.spec.ID, wo.inFlight(), wo.lent, len(wo.loans))
			}
		}
		failOnFaults(rt, dr.ch)
	}
}

// askFrom returns the ask that the core has sent, if any.
func (dr *driver) askFrom() (as AskSlots, ok bool) {
	for _, cm := range dr.sent {
		if as, ok = cm.(AskSlots); ok {
			return as, true
		}
	}
	return as, false
}

// Guards against an ask to the wrong peer: the idlest one of the own data centre comes first, another data centre is
// asked when the own one is full or has no worker of the service. A service that prefers fewer messages does not ask at
// a short wait.
func TestAskGoesToIdlestPeer(t *testing.T) {
	for _, tt := range []struct {
		service string
		idle    map[string]int
		want    string
	}{
		{"s", map[string]int{"e2": 3, "e3": 9, "e4": 50}, "e3"},
		{"s", map[string]int{"e2": 0, "e3": 0, "e4": 50}, "e4"},
		{"far", map[string]int{"e4": 5}, "e4"},
		{"few", map[string]int{"e2": 3, "e3": 9, "e4": 50}, ""},
		{"s", map[string]int{"e2": 0}, "e2"}, // holds the ask until it has slots
		{"s", nil, ""},
	} {
		dr := newDriver(DefaultSettings("e1", "kandla"))
		dr.step(MembersChanged{Members: []Member{{"e1", "kandla"}, {"e2", "kandla"}, {"e3", "kandla"}, {"e4", "navlakhi"}}})
		dr.step(WorkersChanged{Workers: []Worker{
			{ID: "w0", DataCentre: "kandla", Pool: "p", Slots: 24},
			{ID: "w1", DataCentre: "navlakhi", Pool: "q", Slots: 6},
			{ID: "w2", DataCentre: "navlakhi", Pool: "p", Slots: 6},
		}})
		dr.step(ServicesChanged{Services: []Service{
			{Name: "s"}, {Name: "far", Pools: []string{"q"}}, {Name: "few", Weight: FewerMessages},
		}})
		for id, n := range tt.idle {
			dr.step(PeerLoad{Instance: id, Load: Load{Services: []ServiceLoad{{tt.service, n, 0}}}})
		}
		dr.submit(tt.service, "a", 9, time.Minute)
		as, _ := dr.askFrom()
		must.Eq(t, tt.want, as.To)
		if tt.want == "" {
			continue
		}
		dr.step(SlotsLent{From: as.To, Ask: as.Ask, Loan: 7, Slots: []LentSlots{{"w2", 2}}, Until: as.Until})
		if tt.service == "s" {
			must.Eq(t, StartTask{Job: 1, Task: 8, Worker: "w2", Loan: 7}, dr.flying[len(dr.flying)-1].start)
		}
		dr.must(t)
	}
}

// Guards against slots that a dead borrower keeps, and slots of a dead lender that the borrower goes on using.
func TestLoanSurvivesDeath(t *testing.T) {
	members := []Member{{"e1", "kandla"}, {"e2", "kandla"}}
	lender := oneInstance(4, 4, nil)
	lender.step(MembersChanged{Members: members})
	ask := SlotsAsked{From: "e2", Ask: 3, Service: "s", Slots: 50, Until: epoch.Add(time.Second)}
	out := lender.step(ask)
	lend := out[0].(LendSlots)
	must.Eq(t, Command(lend), lender.step(ask)[0], must.Sprint("a repeated ask gets the same loan"))
	must.Eq(t, 4, lender.co.Load().FreeSlots, must.Sprint("half of 8 free slots are lent"))
	lender.step(MembersChanged{Members: members[:1]}) // the borrower is gone, all 16 slots are the lender's
	must.Eq(t, 12, lender.co.Load().FreeSlots)
	lender.pass(1900 * time.Millisecond)
	must.Eq(t, 12, lender.co.Load().FreeSlots, must.Sprint("the borrower may be cut off and still run tasks"))
	lender.pass(200 * time.Millisecond)
	must.Eq(t, 16, lender.co.Load().FreeSlots)
	lender.step(SlotsReturned{From: "e2", Loan: lend.Loan, Slots: lend.Slots})
	must.Eq(t, 16, lender.co.Load().FreeSlots, must.Sprint("a late return counts for nothing"))
	lender.must(t)

	borrower := oneInstance(4, 4, nil)
	borrower.step(MembersChanged{Members: members})
	borrower.step(PeerLoad{Instance: "e2", Load: Load{Services: []ServiceLoad{{"s", 8, 0}}}})
	borrower.submit("s", "a", 100, time.Minute)
	as, _ := borrower.askFrom()
	borrower.step(SlotsLent{From: "e2", Ask: as.Ask, Loan: 7, Slots: []LentSlots{{"w0", 2}, {"w1", 1}}, Until: as.Until})
	must.Len(t, 11, borrower.flying)
	borrower.step(MembersChanged{Members: append(members[:1:1], Member{"e3", "kandla"})})
	for i := len(borrower.flying) - 1; i >= 0; i-- {
		if borrower.flying[i].start.Loan != 0 {
			borrower.end(i, Succeeded)
		}
	}
	must.MapEmpty(t, borrower.co.loans)
	for _, fl := range borrower.flying {
		must.Eq(t, 0, fl.start.Loan)
	}
	borrower.must(t)
}

// Guards against an ask that is refused although slots become free soon after, that is never answered, or that takes
// the slots which own tasks wait for.
func TestAskIsHeld(t *testing.T) {
	lender := oneInstance(1, 8, nil)
	lender.step(MembersChanged{Members: []Member{{"e1", "kandla"}, {"e2", "kandla"}}})
	lender.submit("s", "a", 5, time.Minute) // the own share is 4 slots
	ask := SlotsAsked{From: "e2", Ask: 3, Service: "s", Slots: 4, Until: epoch.Add(time.Second)}
	for range 2 {
		lender.step(ask) // the second is a repetition
	}
	lender.end(0, Succeeded)
	must.SliceEmpty(t, lender.sent, must.Sprint("the freed slot is for the own task"))
	lender.end(0, Succeeded)
	must.SliceEmpty(t, lender.sent, must.Sprint("half of one slot is none"))
	lender.end(0, Succeeded)
	must.Len(t, 1, lender.sent)
	lend := lender.sent[0].(LendSlots)
	must.Eq(t, []LentSlots{{"w0", 1}}, lend.Slots)
	ask.Ask++
	lender.step(ask)
	must.Len(t, 1, lender.sent)
	lender.pass(time.Second)
	must.Eq(t, Command(LendSlots{To: "e2", Ask: 4, Until: epoch.Add(800 * time.Millisecond)}), lender.sent[1])
	lender.must(t)
}

// Guards against a lender that uses its slots again while a living borrower's long task runs on them, and one that
// waits for ever for a lost return.
func TestLenderWaitsForLivingBorrower(t *testing.T) {
	lender := oneInstance(1, 8, nil)
	lender.step(MembersChanged{Members: []Member{{"e1", "kandla"}, {"e2", "kandla"}}})
	lender.step(SlotsAsked{From: "e2", Ask: 3, Service: "s", Slots: 4, Until: epoch.Add(time.Second)})
	for s := range 40 {
		want := 2
		if s > 30 {
			want = 4
		}
		must.Eq(t, want, lender.co.Load().FreeSlots, must.Sprintf("after %d s", s))
		lender.step(PeerLoad{Instance: "e2"})
		lender.pass(time.Second)
	}
	lender.must(t)
}

// Guards against borrowed slots that stay idle because another task of their loan still runs, and against a task that
// is started on a loan which ends long before it.
func TestIdleBorrowedSlotsGoBack(t *testing.T) {
	dr := oneInstance(4, 4, nil)
	dr.step(MembersChanged{Members: []Member{{"e1", "kandla"}, {"e2", "kandla"}}})
	dr.step(PeerLoad{Instance: "e2", Load: Load{Services: []ServiceLoad{{"s", 8, 0}}}})
	dr.submit("s", "a", 11, time.Minute)
	as, _ := dr.askFrom()
	dr.step(SlotsLent{From: "e2", Ask: as.Ask, Loan: 7, Slots: []LentSlots{{"w0", 2}, {"w1", 2}}, Until: as.Until})
	must.Len(t, 11, dr.flying)
	dr.sent = nil
	dr.end(10, Succeeded) // the last three run on borrowed slots
	dr.pass(30 * time.Millisecond)
	must.Len(t, 1, dr.sent, must.Sprintf("%v", dr.sent))
	back := dr.sent[0].(ReturnSlots)
	must.Eq(t, 2, slotMap(back.Slots)["w0"]+slotMap(back.Slots)["w1"], must.Sprint("one never used, one used"))
	dr.end(9, Succeeded)
	dr.end(8, Succeeded)
	dr.pass(30 * time.Millisecond)
	must.MapEmpty(t, dr.co.loans)
	dr.co.services["s"].mean = 3 // the loan and its grace time end after 2 s
	dr.submit("s", "b", 50, 2*time.Minute)
	as, _ = dr.askFrom()
	must.Greater(t, 0, as.Slots)
	dr.step(SlotsLent{From: "e2", Ask: as.Ask, Loan: 8, Slots: []LentSlots{{"w0", 2}}, Until: dr.now.Add(time.Second)})
	must.Eq(t, Command(ReturnSlots{To: "e2", Loan: 8, Slots: []LentSlots{{"w0", 2}}}), dr.sent[len(dr.sent)-1])
	dr.must(t)
}

// Guards against a repeated return that frees slots which the borrower still uses.
func TestRepeatedReturn(t *testing.T) {
	lender := oneInstance(1, 8, nil)
	lender.step(MembersChanged{Members: []Member{{"e1", "kandla"}, {"e2", "kandla"}}})
	lend := lender.step(SlotsAsked{From: "e2", Ask: 3, Service: "s", Slots: 50, Until: epoch.Add(time.Second)})[0].(LendSlots)
	must.Eq(t, []LentSlots{{"w0", 2}}, lend.Slots)
	for _, tt := range []struct{ returned, free int }{{1, 3}, {1, 3}, {0, 3}, {2, 4}, {1, 4}, {9, 4}} {
		lender.step(SlotsReturned{From: "e2", Loan: lend.Loan, Slots: []LentSlots{{"w0", tt.returned}}})
		must.Eq(t, tt.free, lender.co.Load().FreeSlots)
	}
	lender.must(t)
}
