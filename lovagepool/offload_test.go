package lovagepool

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

func TestOffloadedRunIsReportedOnlyAfterItsEnd(t *testing.T) {
	// Guards against a second run of a task. At the deadline, the pool reported running tasks as declined. The clock of
	// the peer that had offloaded them was slightly behind, so the peer started them again.
	ha := newHarness(t, testWorker("w1", 32000))
	wo := ha.newWork("a", 2, 14000)
	wo.Deadline = ha.now.Add(300 * time.Millisecond)
	ha.po.Submit(ha.now, &Job{Ref: "x", Work: wo, Offloaded: []OffloadedTask{{0, 0, 1}, {0, 1, 1}}})
	must.Eq(t, []string{"start w1 a.0.0.0 1", "start w1 a.0.0.1 1"}, ha.commands())
	ha.reportStarted("w1", "a.0.0.0", 1)
	ha.reportStarted("w1", "a.0.0.1", 1)
	ha.advance(340 * time.Millisecond)
	must.Eq(t, []string{"stop w1 a.0.0.0 1", "stop w1 a.0.0.1 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
	must.SliceEmpty(t, ha.commands())
	ha.reportEnded("w1", "a.0.0.1", 1, RunDone)
	must.Eq(t, []string{"finish x completed"}, ha.commands())
}

func TestCancelledOffloadStartsNothing(t *testing.T) {
	// Guards against a second run of a task. An owner that had no processor time for a second handled an offload and its
	// cancellation, after the loss of the session, in one pass. It started the tasks all the same, while the peer, which held
	// them until a lease's length after the loss, started them too.
	ha := newHarness(t, testWorker("w1", 32000))
	ha.po.Submit(ha.now, &Job{Ref: "x", Work: ha.newWork("a", 2, 14000), Offloaded: []OffloadedTask{{0, 0, 1}, {0, 1, 1}}})
	must.True(t, ha.po.Cancel(ha.now, "x"))
	must.Eq(t, []string{"finish x notRun"}, ha.commands())
	must.True(t, ha.po.Idle())
}

func TestForeignJobsAreCancelledTogether(t *testing.T) {
	// Checks that after a pause no job of another instance starts or goes on, and that own jobs do.
	ha := newHarness(t, testWorker("w1", 28000))
	ha.submit("own/1", 1, 14000)
	ha.po.Submit(ha.now, &Job{Ref: "other/1", Work: ha.newWork("b", 1, 14000)})
	must.Eq(t, []string{"start w1 own/1.0.0.0 1", "start w1 b.0.0.0 1"}, ha.commands())
	ha.po.Submit(ha.now, &Job{Ref: "other/2", Work: ha.newWork("c", 1, 14000)})
	ha.po.Submit(ha.now, &Job{Ref: "other/3", Work: ha.newWork("d", 1, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}})
	ha.submit("own/2", 1, 14000)
	ha.po.CancelForeign(ha.now, "own/")
	must.Eq(t, []string{"stop w1 b.0.0.0 1", "finish other/3 notRun"}, ha.commands())
	ha.reportEnded("w1", "b.0.0.0", 1, RunStopped)
	must.Eq(t, []string{"start w1 own/2.0.0.0 1"}, ha.commands())
}

func TestJobWithoutWorkersIsForwarded(t *testing.T) {
	// Checks that an owner whose workers all cannot be used, as after a cut of its data centre, forwards jobs to an owner that
	// can give a useful answer, and refuses them only if there is none.
	ha := newHarness(t, testWorker("w1", 14000))
	ha.po.MarkUnreachable(ha.now, "w1")
	ha.submit("a", 1, 14000)
	must.SliceEmpty(t, ha.commands())
	report := func() {
		ha.po.SetPeer(ha.now, "other", map[string]LoadReport{"checks": {Workers: 1, Rate: 28000, Backlog: 20 * time.Millisecond}})
	}
	ha.advance(noWorkersGrace)
	report()
	must.Eq(t, []string{"finish a moved"}, ha.commands())
	ha.po.RemovePeer("other")
	ha.submit("b", 1, 14000)
	ha.advance(noWorkersGrace)
	must.Eq(t, []string{"finish b notRun"}, ha.commands())
}

func TestSuspensionCountsTowardsDeadlines(t *testing.T) {
	// Checks that a job whose caller stopped waiting while the machine was suspended is not started after it.
	ha := newHarness(t, testWorker("w1", 14000))
	ha.submit("a", 1, 14000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.submit("b", 1, 14000)
	must.SliceEmpty(t, ha.commands())
	ha.po.AdvanceDeadlines(1900 * time.Millisecond)
	ha.advance(120 * time.Millisecond)
	ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish a unknown", "stop w1 a.0.0.0 1", "finish b notRun"}, ha.commands())
}

func TestOffloadReply(t *testing.T) {
	cases := []struct {
		name  string
		event func(ha *harness)
		want  []string
	}{
		{"done", func(ha *harness) {
			ha.po.HandleOffloadReply(ha.now, "a/1", []OffloadResult{{OffloadedTask{0, 1, 1}, RunDone}}, true, false)
			ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
		}, []string{"finish a completed"}},
		{"declined", func(ha *harness) {
			ha.po.HandleOffloadReply(ha.now, "a/1", nil, true, false)
			ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
		}, []string{"start w1 a.0.0.1 1"}},
		{"runs unknown", func(ha *harness) {
			ha.po.HandleOffloadReply(ha.now, "a/1", nil, false, false)
			ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
		}, nil},
		{"runs unknown until all leases have expired", func(ha *harness) {
			ha.po.HandleOffloadReply(ha.now, "a/1", nil, false, false)
			ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
			ha.advance(1200 * time.Millisecond)
		}, []string{"start w1 a.0.0.1 2"}},
		{"cancelled", func(ha *harness) { ha.po.Cancel(ha.now, "a") }, []string{"stop w1 a.0.0.0 1", "recall other"}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 14000))
			ha.po.SetPeer(ha.now, "other", map[string]LoadReport{"checks": {Free: []FreeCapacity{{Slowdown: 1, Tasks: 3}}}})
			ha.submit("a", 2, 14000)
			must.Eq(t, []string{"start w1 a.0.0.0 1", "offload other 1"}, ha.commands())
			ca.event(ha)
			test.Eq(t, ca.want, ha.commands())
		})
	}
}

func TestOffloadedTasksStartImmediatelyOrAreDeclined(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 28000))
	ha.po.Submit(ha.now, &Job{Ref: "x", Work: ha.newWork("a", 4, 14000), Offloaded: []OffloadedTask{{0, 1, 2}, {0, 3, 1}}})
	must.Eq(t, []string{"start w1 a.0.0.1 2", "start w1 a.0.0.3 1"}, ha.commands())
	ha.po.Submit(ha.now, &Job{Ref: "y", Work: ha.newWork("b", 4, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}})
	must.Eq(t, []string{"finish y notRun"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.1", 2, RunDone)
	ha.reportEnded("w1", "a.0.0.3", 1, RunFailed)
	must.Eq(t, []string{"finish x completed"}, ha.commands())
}

// lateSlowdown makes the jobs of the tests late: their run time is 200 ms, their goal 380 ms.
const lateSlowdown = 2

func (ha *harness) reportPeerCapacity(free ...FreeCapacity) {
	ha.po.SetPeer(ha.now, "other", map[string]LoadReport{"checks": {Free: free}})
}

func TestOffloadSkipsWorkersThatMissTheGoal(t *testing.T) {
	// Checks that tasks are not offloaded to free workers on which they would be late; the peer must decline such offloads.
	cases := []struct {
		name string
		free []FreeCapacity
		want []string
	}{
		{"fast", []FreeCapacity{{1, 2}}, []string{"offload other 2"}},
		{"slow", []FreeCapacity{{lateSlowdown, 2}}, nil},
		{"one fast, others slow", []FreeCapacity{{1, 1}, {lateSlowdown, 4}}, []string{"offload other 1"}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 14000))
			ha.submit("first", 1, 14000)
			must.Eq(t, []string{"start w1 first.0.0.0 1"}, ha.commands())
			ha.reportPeerCapacity(ca.free...)
			ha.submit("a", 2, 14000)
			test.Eq(t, ca.want, ha.commands())
		})
	}
}

func TestNoRefusalWhilePeersHaveCapacity(t *testing.T) {
	// Checks that no job is refused while a peer has free workers, even slow ones.
	ha := newHarness(t, testWorker("w1", 14000))
	for i := range 4 {
		ha.submit(fmt.Sprintf("j%d", i), 1, 14000)
	}
	ha.reportPeerCapacity(FreeCapacity{lateSlowdown, 3})
	list := ha.commands()
	ha.advance(100 * time.Millisecond)
	ha.reportPeerCapacity(FreeCapacity{lateSlowdown, 3})
	list = append(list, ha.commands()...)
	test.SliceContains(t, list, "offload other 1")
	for i := range 4 {
		test.SliceNotContains(t, list, fmt.Sprintf("finish j%d notRun", i))
	}
}

func TestInfeasibleJobIsForwarded(t *testing.T) {
	// Checks that an owner with a long queue forwards a job to a peer that is expected to start the job in time.
	cases := []struct {
		name      string
		forwarded bool
		report    LoadReport
		wantTo    string
	}{
		{"short queue", false, LoadReport{Workers: 4, Rate: 50000, Backlog: 20 * time.Millisecond}, "other"},
		{"long queue", false, LoadReport{Workers: 4, Rate: 50000, Backlog: 500 * time.Millisecond}, ""},
		{"no workers", false, LoadReport{}, ""},
		{"forwarded before", true, LoadReport{Workers: 4, Rate: 50000}, ""},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 14000))
			ha.submit("first", 1, 14000)
			ha.submit("second", 1, 14000)
			ha.po.SetPeer(ha.now, "other", map[string]LoadReport{"checks": ca.report})
			ha.po.Submit(ha.now, &Job{Ref: "a", Work: ha.newWork("a", 2, 14000), Forwarded: ca.forwarded})
			var got *FinishJob
			for _, cmd := range ha.po.Commands(ha.now) {
				if fi, ok := cmd.(FinishJob); ok && fi.Ref == "a" {
					got = &fi
				}
			}
			must.NotNil(t, got)
			test.Eq(t, ca.wantTo, got.To)
			want := NotRun
			if ca.wantTo != "" {
				want = Moved
			}
			test.Eq(t, want, got.Outcome)
		})
	}
}

func TestForwardedWorkAddsToPeerBacklog(t *testing.T) {
	// Checks that each forwarded job adds to the peer's assumed backlog. Otherwise, all waiting jobs would be forwarded to
	// one peer because of that peer's last report.
	ha := newHarness(t, testWorker("w1", 14000))
	ha.submit("first", 1, 14000)
	ha.po.SetPeer(ha.now, "other", map[string]LoadReport{"checks": {Workers: 2, Rate: 28000}})
	for i := range 8 {
		ha.submit(fmt.Sprintf("j%d", i), 2, 14000)
	}
	moved := 0
	for _, cmd := range ha.po.Commands(ha.now) {
		if fi, ok := cmd.(FinishJob); ok && fi.Outcome == Moved {
			moved++
		}
	}
	test.Eq(t, 0, moved, test.Sprint("200 ms of the peer's time do not fit into 0.8 of the slack of 180 ms"))
	ha.po.SetPeer(ha.now, "other", map[string]LoadReport{"checks": {Workers: 8, Rate: 112000}})
	ha.submit("j8", 2, 14000)
	for _, cmd := range ha.po.Commands(ha.now) {
		if fi, ok := cmd.(FinishJob); ok && fi.Outcome == Moved {
			moved++
		}
	}
	test.Between(t, 1, moved, 2, test.Sprint("each takes 50 ms of the peer's time"))
}

func TestOffloadedTasksStartOnSlowWorkersWithAnySpeed(t *testing.T) {
	// Checks that if only slow workers are free, offloaded tasks start with AnySpeed and are declined without it.
	for _, anySpeed := range []bool{false, true} {
		fast, slow := testWorker("fast", 14000), testWorker("slow", 14000)
		fast.Kind, slow.Kind = "fast", "slow"
		ha := newHarness(t, fast, slow)
		ha.po.kindSlowdowns["slow"] = &slowdownEstimate{meanLog: 1, samples: 100} // 2.7 times as long
		ha.submit("own", 1, 14000)
		must.Eq(t, []string{"start fast own.0.0.0 1"}, ha.commands())
		ha.po.Submit(ha.now, &Job{
			Ref: "x", Work: ha.newWork("a", 1, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}, AnySpeed: anySpeed,
		})
		want := "finish x notRun"
		if anySpeed {
			want = "start slow a.0.0.0 1"
		}
		test.Eq(t, []string{want}, ha.commands())
	}
}

func TestLoadReportGroupsFreeCapacityBySpeed(t *testing.T) {
	// Checks that a report counts free capacity in tasks of the service's typical size, slow workers apart from fast ones.
	fast, slow, small := testWorker("fast", 32000), testWorker("slow", 32000), testWorker("small", 3000)
	slow.Kind = "slow"
	ha := newHarness(t, fast, slow, small)
	ha.po.kindSlowdowns["slow"] = &slowdownEstimate{meanLog: 0.6931, samples: 100} // twice as long
	test.Eq(t, 3, ha.po.LoadReport(ha.now, "checks").FreeTasks(), test.Sprint("task size unknown: one per worker"))
	ha.submit("a", 2, 4000)
	ha.commands()
	got := ha.po.LoadReport(ha.now, "checks")
	test.Eq(t, 3, got.Workers)
	test.Eq(t, []FreeCapacity{{1, 6}, {2, 8}}, got.Free)
	test.Eq(t, 0, ha.po.LoadReport(ha.now, "others").FreeTasks())
}

func TestTypicalResourcesFollowTheJobs(t *testing.T) {
	// Checks that the typical task size is learned from the jobs: a fixed size would suit one deployment only.
	ha := newHarness(t)
	for i := range 200 {
		wo := ha.newWork(fmt.Sprintf("j%d", i), 1, 2000)
		wo.Steps[0].Resources = lovagejob.Resources{MilliCores: 2000, MemoryMB: 512, Accelerators: 1}
		if i == 0 {
			wo.Steps[0].Resources = lovagejob.Resources{MilliCores: 30000}
		}
		ha.po.Submit(ha.now, &Job{Ref: wo.ID, Work: wo})
	}
	got := ha.po.typicalResources("checks")
	test.Between(t, 2000, got.MilliCores, 2200)
	test.Between(t, 500, got.MemoryMB, 512)
	test.Eq(t, 1, got.Accelerators)
}

func TestHeldTaskOfEndedJobEndsOnce(t *testing.T) {
	// A run here goes on after the last run that the lost peer may have started. The job must not count as stopped before it.
	for name, end := range map[string]func(ha *harness){
		"submitted again": func(ha *harness) { ha.po.Submit(ha.now, &Job{Ref: "second", Work: ha.newWork("a", 2, 14000)}) },
		"cancelled":       func(ha *harness) { ha.cancelJob("a") },
	} {
		t.Run(name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 14000))
			ha.reportPeerCapacity(FreeCapacity{Slowdown: 1, Tasks: 1})
			ha.submit("a", 2, 14000)
			must.Eq(t, []string{"start w1 a.0.0.0 1", "offload other 1"}, ha.commands())
			ha.reportStarted("w1", "a.0.0.0", 1)
			ha.po.HandleOffloadReply(ha.now, "a/1", nil, false, false)
			ha.po.SetWorkers(ha.now, []Worker{testWorker("w1", 14000), testWorker("w2", 28000)})
			ha.po.HandleRunList(ha.now, ha.now, "w2", nil, nil)
			end(ha)
			ha.commands()
			ha.advance(ha.po.settings.maxRunLifetime() + 60*time.Millisecond)
			others := slices.DeleteFunc(ha.commands(), func(cmd string) bool { return strings.HasPrefix(cmd, "stop ") })
			must.SliceEmpty(t, others, must.Sprint("the run has not ended"))
			ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
			must.SliceNotEmpty(t, ha.commands(), must.Sprint("the run has ended"))
		})
	}
}
