package lovagepool

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

func TestEndOfALentRunIsNotToldBeforeItIsCertain(t *testing.T) {
	// Guards against a task that runs twice: at the deadline the lender called running tasks declined, and the borrower,
	// whose clock was a moment behind, started them again.
	be := newBench(t, testWorker("w1", 32000))
	wo := be.work("a", 2, 14000)
	wo.Deadline = be.now.Add(300 * time.Millisecond)
	be.po.Submit(be.now, &Job{Ref: "x", Work: wo, Offloaded: []OffloadedTask{{0, 0, 1}, {0, 1, 1}}})
	must.Eq(t, []string{"start w1 a.0.0.0 1", "start w1 a.0.0.1 1"}, be.commands())
	be.started("w1", "a.0.0.0", 1)
	be.started("w1", "a.0.0.1", 1)
	be.pass(340 * time.Millisecond)
	must.Eq(t, []string{"stop w1 a.0.0.0 1", "stop w1 a.0.0.1 1"}, be.commands())
	be.ended("w1", "a.0.0.0", 1, RunStopped)
	must.SliceEmpty(t, be.commands())
	be.ended("w1", "a.0.0.1", 1, RunDone)
	must.Eq(t, []string{"finish x completed"}, be.commands())
}

func TestLending(t *testing.T) {
	cases := []struct {
		name  string
		event func(be *bench)
		want  []string
	}{
		{"done", func(be *bench) {
			be.po.HandleOffloadReply(be.now, "a/1", []OffloadResult{{OffloadedTask{0, 1, 1}, RunDone}}, true, false)
			be.ended("w1", "a.0.0.0", 1, RunDone)
		}, []string{"finish a completed"}},
		{"declined", func(be *bench) {
			be.po.HandleOffloadReply(be.now, "a/1", nil, true, false)
			be.ended("w1", "a.0.0.0", 1, RunDone)
		}, []string{"start w1 a.0.0.1 1"}},
		{"nothing known", func(be *bench) {
			be.po.HandleOffloadReply(be.now, "a/1", nil, false, false)
			be.ended("w1", "a.0.0.0", 1, RunDone)
		}, nil},
		{"nothing known until all leases are over", func(be *bench) {
			be.po.HandleOffloadReply(be.now, "a/1", nil, false, false)
			be.ended("w1", "a.0.0.0", 1, RunDone)
			be.pass(1200 * time.Millisecond)
		}, []string{"start w1 a.0.0.1 2"}},
		{"cancelled", func(be *bench) { be.po.Cancel(be.now, "a") }, []string{"stop w1 a.0.0.0 1", "recall other"}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			be := newBench(t, testWorker("w1", 14000))
			be.po.SetPeer(be.now, "other", map[string]LoadReport{"checks": {Free: []FreeCapacity{{Slowdown: 1, Tasks: 3}}}})
			be.submit("a", 2, 14000)
			must.Eq(t, []string{"start w1 a.0.0.0 1", "lend other 1"}, be.commands())
			ca.event(be)
			test.Eq(t, ca.want, be.commands())
		})
	}
}

func TestLentTasksStartNowOrNever(t *testing.T) {
	be := newBench(t, testWorker("w1", 28000))
	be.po.Submit(be.now, &Job{Ref: "x", Work: be.work("a", 4, 14000), Offloaded: []OffloadedTask{{0, 1, 2}, {0, 3, 1}}})
	must.Eq(t, []string{"start w1 a.0.0.1 2", "start w1 a.0.0.3 1"}, be.commands())
	be.po.Submit(be.now, &Job{Ref: "y", Work: be.work("b", 4, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}})
	must.Eq(t, []string{"finish y notRun"}, be.commands())
	be.ended("w1", "a.0.0.1", 2, RunDone)
	be.ended("w1", "a.0.0.3", 1, RunFailed)
	must.Eq(t, []string{"finish x completed"}, be.commands())
}

// slowFactor makes a job of the tests late: 200 ms of work have a goal of 380 ms.
const slowFactor = 2

func (be *bench) lender(places ...FreeCapacity) {
	be.po.SetPeer(be.now, "other", map[string]LoadReport{"checks": {Free: places}})
}

func TestLendingAsksOnlyForPlacesInTime(t *testing.T) {
	// Guards against requests that the other owner must decline: only slow workers are free there, on which it starts no
	// task that would be late.
	cases := []struct {
		name   string
		places []FreeCapacity
		want   []string
	}{
		{"fast", []FreeCapacity{{1, 2}}, []string{"lend other 2"}},
		{"slow", []FreeCapacity{{slowFactor, 2}}, nil},
		{"one fast, others slow", []FreeCapacity{{1, 1}, {slowFactor, 4}}, []string{"lend other 1"}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			be := newBench(t, testWorker("w1", 14000))
			be.submit("first", 1, 14000)
			must.Eq(t, []string{"start w1 first.0.0.0 1"}, be.commands())
			be.lender(ca.places...)
			be.submit("a", 2, 14000)
			test.Eq(t, ca.want, be.commands())
		})
	}
}

func TestNothingIsRefusedWhileOthersHaveRoom(t *testing.T) {
	// Guards against a refusal while another owner has free workers, if only slow ones.
	be := newBench(t, testWorker("w1", 14000))
	for i := range 4 {
		be.submit(fmt.Sprintf("j%d", i), 1, 14000)
	}
	be.lender(FreeCapacity{slowFactor, 3})
	list := be.commands()
	be.pass(100 * time.Millisecond)
	be.lender(FreeCapacity{slowFactor, 3})
	list = append(list, be.commands()...)
	test.SliceContains(t, list, "lend other 1")
	for i := range 4 {
		test.SliceNotContains(t, list, fmt.Sprintf("finish j%d notRun", i))
	}
}

func TestHopelessJobIsPassedOn(t *testing.T) {
	// Guards against a refusal by an owner with a long queue while another one is expected to start the job in time.
	cases := []struct {
		name     string
		passedOn bool
		other    LoadReport
		to       string
	}{
		{"short queue", false, LoadReport{Workers: 4, Rate: 50000, Backlog: 20 * time.Millisecond}, "other"},
		{"long queue", false, LoadReport{Workers: 4, Rate: 50000, Backlog: 500 * time.Millisecond}, ""},
		{"no workers", false, LoadReport{}, ""},
		{"passed on before", true, LoadReport{Workers: 4, Rate: 50000}, ""},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			be := newBench(t, testWorker("w1", 14000))
			be.submit("first", 1, 14000)
			be.submit("second", 1, 14000)
			be.po.SetPeer(be.now, "other", map[string]LoadReport{"checks": ca.other})
			be.po.Submit(be.now, &Job{Ref: "a", Work: be.work("a", 2, 14000), Forwarded: ca.passedOn})
			var got *FinishJob
			for _, cmd := range be.po.Commands(be.now) {
				if fi, ok := cmd.(FinishJob); ok && fi.Ref == "a" {
					got = &fi
				}
			}
			must.NotNil(t, got)
			test.Eq(t, ca.to, got.To)
			want := NotRun
			if ca.to != "" {
				want = Moved
			}
			test.Eq(t, want, got.Outcome)
		})
	}
}

func TestPassingOnCountsWhatWasPassedOn(t *testing.T) {
	// Guards against a queue that is passed on as a whole to an owner that reported a short one.
	be := newBench(t, testWorker("w1", 14000))
	be.submit("first", 1, 14000)
	be.po.SetPeer(be.now, "other", map[string]LoadReport{"checks": {Workers: 2, Rate: 28000}})
	for i := range 8 {
		be.submit(fmt.Sprintf("j%d", i), 2, 14000)
	}
	moved := 0
	for _, cmd := range be.po.Commands(be.now) {
		if fi, ok := cmd.(FinishJob); ok && fi.Outcome == Moved {
			moved++
		}
	}
	test.Eq(t, 0, moved, test.Sprint("200 ms of the other owner's time do not fit into 0.8 of the 180 ms that are left"))
	be.po.SetPeer(be.now, "other", map[string]LoadReport{"checks": {Workers: 8, Rate: 112000}})
	be.submit("j8", 2, 14000)
	for _, cmd := range be.po.Commands(be.now) {
		if fi, ok := cmd.(FinishJob); ok && fi.Outcome == Moved {
			moved++
		}
	}
	test.Between(t, 1, moved, 2, test.Sprint("each takes 50 ms of the other owner's time"))
}

func TestLentTasksStartOnSlowWorkersIfAsked(t *testing.T) {
	// Guards against loans that are declined although the borrower prefers a late answer to none.
	for _, anySpeed := range []bool{false, true} {
		fast, slow := testWorker("fast", 14000), testWorker("slow", 14000)
		fast.Kind, slow.Kind = "fast", "slow"
		be := newBench(t, fast, slow)
		be.po.kinds["slow"] = &speed{log: 1, samples: 100} // 2.7 times as long
		be.submit("own", 1, 14000)
		must.Eq(t, []string{"start fast own.0.0.0 1"}, be.commands())
		be.po.Submit(be.now, &Job{Ref: "x", Work: be.work("a", 1, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}, AnySpeed: anySpeed})
		want := "finish x notRun"
		if anySpeed {
			want = "start slow a.0.0.0 1"
		}
		test.Eq(t, []string{want}, be.commands())
	}
}

func TestStandingTellsPlacesBySpeed(t *testing.T) {
	// Guards against reports that count places for tasks of another size than the service has, or slow ones as fast.
	fast, slow, small := testWorker("fast", 32000), testWorker("slow", 32000), testWorker("small", 3000)
	slow.Kind = "slow"
	be := newBench(t, fast, slow, small)
	be.po.kinds["slow"] = &speed{log: 0.6931, samples: 100} // twice as long
	test.Eq(t, 3, be.po.LoadReport(be.now, "checks").FreeTasks(), test.Sprint("of unknown size: one a worker"))
	be.submit("a", 2, 4000)
	be.commands()
	got := be.po.LoadReport(be.now, "checks")
	test.Eq(t, 3, got.Workers)
	test.Eq(t, []FreeCapacity{{1, 6}, {2, 8}}, got.Free)
	test.Eq(t, 0, be.po.LoadReport(be.now, "others").FreeTasks())
}

func TestUsualRoomFollowsTheJobs(t *testing.T) {
	// Guards against a size that is fitted to one deployment.
	be := newBench(t)
	for i := range 200 {
		wo := be.work(fmt.Sprintf("j%d", i), 1, 2000)
		wo.Steps[0].Resources = lovagejob.Resources{MilliCores: 2000, MemoryMB: 512, Accelerators: 1}
		if i == 0 {
			wo.Steps[0].Resources = lovagejob.Resources{MilliCores: 30000}
		}
		be.po.Submit(be.now, &Job{Ref: wo.ID, Work: wo})
	}
	got := be.po.usualRoom("checks")
	test.Between(t, 2000, got.MilliCores, 2200)
	test.Between(t, 500, got.MemoryMB, 512)
	test.Eq(t, 1, got.Accelerators)
}
