package lovagepool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// harness drives a pool with a simulated clock.
type harness struct {
	t   *testing.T
	po  *Pool
	now time.Time
}

func newHarness(t *testing.T, workers ...Worker) *harness {
	ha := &harness{t: t, po: New(DefaultSettings()), now: time.Unix(1_700_000_000, 0)}
	ha.po.SetWorkers(ha.now, workers)
	for _, wo := range workers {
		ha.po.HandleRunList(ha.now, ha.now, wo.ID, nil, nil)
	}
	return ha
}

func testWorker(id string, milliCores int64) Worker {
	return Worker{
		ID: id, ProcessStart: 1, Service: "checks", Kind: "a", Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: lovagejob.Resources{MilliCores: milliCores, MemoryMB: 1000},
	}
}

func (ha *harness) newWork(id string, count int, milliCores int64) *lovagejob.Workload {
	return &lovagejob.Workload{
		ID: id, Queue: "queue", Service: "checks", BestEffort: true, MaxAttempts: 2, SlackFactor: 1.6,
		TargetLatency: 60 * time.Millisecond, Arrived: ha.now, Deadline: ha.now.Add(2 * time.Second),
		Steps: []lovagejob.Step{{
			Count: count, Resources: lovagejob.Resources{MilliCores: milliCores, MemoryMB: 10}, RunTime: 200 * time.Millisecond,
		}},
	}
}

func (ha *harness) submit(id string, count int, milliCores int64) {
	ha.po.Submit(ha.now, &Job{Ref: id, Work: ha.newWork(id, count, milliCores)})
}

// advance moves the clock forward and ticks the pool every 20 ms.
func (ha *harness) advance(du time.Duration) {
	for end := ha.now.Add(du); ha.now.Before(end); {
		ha.now = ha.now.Add(20 * time.Millisecond)
		ha.po.Tick(ha.now)
	}
}

// commands returns the pool's commands as text.
func (ha *harness) commands() []string {
	var list []string
	for _, cmd := range ha.po.Commands(ha.now) {
		switch cm := cmd.(type) {
		case StartRun:
			list = append(list, fmt.Sprintf("start %s %s %d", cm.Worker, cm.Task, cm.Attempt))
		case StopRun:
			list = append(list, fmt.Sprintf("stop %s %s %d", cm.Worker, cm.Task, cm.Attempt))
		case FinishJob:
			list = append(list, fmt.Sprintf("finish %s %s", cm.Ref, cm.Outcome))
		case Offload:
			list = append(list, fmt.Sprintf("offload %s %d", cm.Peer, len(cm.Tasks)))
		case CancelOffload:
			list = append(list, "recall "+cm.Peer)
		case ReleaseWorker:
			list = append(list, "release "+cm.Worker)
		case PollWorker:
			list = append(list, "poll "+cm.Worker)
		}
	}
	return list
}

func (ha *harness) reportStarted(worker, taskName string, attempt int) {
	ha.po.HandleStartReply(ha.now, worker, taskName, attempt, false, "")
}

func (ha *harness) reportEnded(worker, taskName string, attempt int, outcome RunOutcome) {
	ha.po.HandleRunList(ha.now, ha.now, worker, nil, []EndedRun{{taskName, attempt, outcome}})
}

func TestJobCompletes(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("j", 2, 14000)
	must.Eq(t, []string{"start w1 j.0.0.0 1", "start w1 j.0.0.1 1"}, ha.commands())
	ha.reportStarted("w1", "j.0.0.0", 1)
	ha.reportEnded("w1", "j.0.0.0", 1, RunDone)
	must.SliceEmpty(t, ha.commands())
	ha.reportEnded("w1", "j.0.0.1", 1, RunDone)
	must.Eq(t, []string{"finish j completed"}, ha.commands())
	must.True(t, ha.po.Idle())
}

// Guards against another run of a task that has succeeded: the worker's reply with its end came after its lease had expired here.
func TestLateEndOfALostRunCompletesItsTask(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("j", 2, 14000)
	ha.commands()
	ha.reportStarted("w1", "j.0.0.0", 1)
	ha.reportStarted("w1", "j.0.0.1", 1)
	sent := ha.now
	ha.po.MarkUnreachable(ha.now, "w1")
	ha.advance(1500 * time.Millisecond)
	must.Eq(t, 0, len(ha.po.workers["w1"].runs))
	must.SliceEmpty(t, ha.commands())
	done := EndedRun{"j.0.0.0", 1, RunDone}
	ha.po.HandleRunList(ha.now, sent, "w1", nil, []EndedRun{done, {"j.0.0.1", 1, RunStopped}})
	must.Eq(t, []string{"start w1 j.0.0.1 2"}, ha.commands())
	ha.po.HandleRunList(ha.now, sent, "w1", nil, []EndedRun{done})
	ha.reportEnded("w1", "j.0.0.1", 2, RunDone)
	must.Eq(t, []string{"finish j completed"}, ha.commands())
	must.True(t, ha.po.Idle())
}

func TestResourcesAreReservedUntilTheRunHasEnded(t *testing.T) {
	// Checks after which events other runs get the resources of a run. Too early, they overload the worker, which does not
	// check its own capacity.
	cases := []struct {
		name  string
		event func(ha *harness)
		free  bool
	}{
		{"start unanswered", func(ha *harness) { ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1) }, false},
		{"stop acknowledged while the run goes on", func(ha *harness) {
			ha.reportStarted("w1", "a.0.0.0", 1)
			ha.po.Cancel(ha.now, "a")
			ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 1)
		}, false},
		{"worker unreachable, lease not expired", func(ha *harness) {
			ha.po.MarkUnreachable(ha.now, "w1")
			ha.advance(500 * time.Millisecond)
			ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
		}, false},
		{"start rejected", func(ha *harness) { ha.po.HandleStartReply(ha.now, "w1", "a.0.0.0", 1, true, "late") }, true},
		{"end listed", func(ha *harness) { ha.reportEnded("w1", "a.0.0.0", 1, RunDone) }, true},
		{"worker restarted and lists nothing", func(ha *harness) {
			ha.reportStarted("w1", "a.0.0.0", 1)
			ha.now = ha.now.Add(time.Millisecond)
			ha.restart("w1", 2)
		}, true},
		{"worker restarted before the start is answered", func(ha *harness) {
			ha.restart("w1", 2)
		}, false},
		{"stop acknowledged by the process before the restart", func(ha *harness) {
			ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1)
			ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 1)
			ha.now = ha.now.Add(time.Millisecond)
			ha.restart("w1", 2)
		}, false},
		{"all leases expired", func(ha *harness) {
			ha.po.MarkUnreachable(ha.now, "w1")
			ha.advance(1200 * time.Millisecond)
			ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
		}, true},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 32000))
			ha.submit("a", 1, 20000)
			must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
			ca.event(ha)
			ha.po.Cancel(ha.now, "a") // so that a is not started again
			ha.commands()
			ha.submit("b", 1, 20000)
			test.Eq(t, ca.free, slices.Contains(ha.commands(), "start w1 b.0.0.0 1"))
		})
	}
}

func TestWorkerWithOrphansGetsNoStarts(t *testing.T) {
	// Guards against starts on a worker that still has a former owner's runs, whose resources are unknown: after the first of
	// two such runs had ended, the whole worker counted as free.
	ha := newHarness(t)
	ha.po.SetWorkers(ha.now, []Worker{testWorker("w1", 32000)})
	ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"x.0.0.0", 1}, {"x.0.0.1", 3}}, nil)
	must.Eq(t, []string{"stop w1 x.0.0.0 1", "stop w1 x.0.0.1 3"}, ha.commands())
	ha.submit("j", 1, 10000)
	ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"x.0.0.1", 3}}, []EndedRun{{"x.0.0.0", 1, RunStopped}})
	must.SliceEmpty(t, ha.commands())
	ha.reportEnded("w1", "x.0.0.1", 3, RunStopped)
	must.Eq(t, []string{"start w1 j.0.0.0 1"}, ha.commands())
}

func TestRunsOfRestartedWorkerAreKept(t *testing.T) {
	// Guards against starting a task again that already runs on a restarted worker: its start had reached the new process before
	// the pool learned of the restart, from the registration or from a poll.
	for name, learnOfRestart := range map[string]func(ha *harness, wo Worker){
		"registration": func(ha *harness, wo Worker) {
			wo.ProcessStart = 2
			ha.po.SetWorkers(ha.now, []Worker{wo, testWorker("w2", 32000)})
		},
		"look": func(ha *harness, wo Worker) {
			must.True(t, ha.po.HandleProcess(ha.now, ha.now, wo.ID, 2))
			wo.ProcessStart = 2
			ha.po.SetWorkers(ha.now, []Worker{wo, testWorker("w2", 32000)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			wo := testWorker("w1", 32000)
			ha := newHarness(t, wo, testWorker("w2", 32000))
			ha.submit("j", 2, 14000)
			must.Eq(t, []string{"start w1 j.0.0.0 1", "start w1 j.0.0.1 1"}, ha.commands())
			ha.reportStarted("w1", "j.0.0.0", 1)
			ha.reportStarted("w1", "j.0.0.1", 1)
			ha.now = ha.now.Add(time.Millisecond)
			learnOfRestart(ha, wo)
			must.SliceEmpty(t, ha.commands())
			ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"j.0.0.0", 1}}, nil)
			must.Eq(t, []string{"start w1 j.0.0.1 2"}, ha.commands()) // not listed: the run ended with the old process
			ha.reportEnded("w1", "j.0.0.0", 1, RunDone)
			ha.reportEnded("w1", "j.0.0.1", 2, RunDone)
			must.Eq(t, []string{"finish j completed"}, ha.commands())
		})
	}
}

func TestTaskIsNotStartedAgainWhileItMayRun(t *testing.T) {
	// Checks after which events a task is started again: it must not have two runs at a time.
	cases := []struct {
		name    string
		event   func(ha *harness)
		restart bool
	}{
		{"start unanswered", func(ha *harness) { ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1) }, false},
		{"start unanswered, stop acknowledged, missing from a list requested before", func(ha *harness) {
			ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1)
			ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 1)
			ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
			ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
		}, false},
		{"start unanswered, stop acknowledged, still listed", func(ha *harness) {
			ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1)
			ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 1)
			ha.now = ha.now.Add(time.Millisecond)
			ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}}, nil)
		}, false},
		{"start unanswered, stop acknowledged, missing from a later list", func(ha *harness) {
			ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1)
			ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 1)
			ha.now = ha.now.Add(time.Millisecond)
			ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
		}, true},
		{"silent", func(ha *harness) {
			ha.reportStarted("w1", "a.0.0.0", 1)
			ha.po.MarkUnreachable(ha.now, "w1")
			ha.advance(900 * time.Millisecond)
		}, false},
		{"unreachable until the lease has expired", func(ha *harness) {
			ha.reportStarted("w1", "a.0.0.0", 1)
			ha.po.MarkUnreachable(ha.now, "w1")
			ha.advance(1200 * time.Millisecond)
		}, true},
		{"failed", func(ha *harness) { ha.reportEnded("w1", "a.0.0.0", 1, RunFailed) }, true},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 20000), testWorker("w2", 20000))
			ha.submit("a", 1, 20000)
			must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
			ca.event(ha)
			test.Eq(t, ca.restart, slices.Contains(ha.commands(), "start w2 a.0.0.0 2"))
		})
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 20000), testWorker("w2", 20000))
	ha.submit("a", 1, 20000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunFailed)
	must.Eq(t, []string{"start w2 a.0.0.0 2"}, ha.commands())
	ha.reportEnded("w2", "a.0.0.0", 2, RunFailed)
	must.Eq(t, []string{"finish a failed"}, ha.commands())
}

func TestCancelStopsRuns(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("a", 3, 14000)
	must.Len(t, 2, ha.commands())
	ha.po.Cancel(ha.now, "a")
	must.Eq(t, []string{"stop w1 a.0.0.0 1", "stop w1 a.0.0.1 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
	must.False(t, ha.po.Idle())
	ha.reportEnded("w1", "a.0.0.1", 1, RunStopped)
	must.SliceEmpty(t, ha.commands())
	must.True(t, ha.po.Idle())
}

func TestCancelBeforeSubmit(t *testing.T) {
	// Guards against running a job for a caller that has left: its cancellation may arrive before the job.
	ha := newHarness(t, testWorker("w1", 32000))
	ha.po.Cancel(ha.now, "a")
	ha.submit("a", 1, 14000)
	must.Eq(t, []string{"finish a notRun"}, ha.commands())
}

func TestResubmittedJobReplacesTheFirst(t *testing.T) {
	// Guards against two runs of a task when a caller submits a job again after its connection broke.
	ha := newHarness(t, testWorker("w1", 32000), testWorker("w2", 32000))
	ha.submit("a", 1, 14000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.po.Submit(ha.now, &Job{Ref: "again", Work: ha.newWork("a", 1, 14000)})
	must.Eq(t, []string{"stop w1 a.0.0.0 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
	must.Eq(t, []string{"start w1 a.0.0.0 2"}, ha.commands())
}

func TestStepsWaitForDependencies(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	wo := ha.newWork("a", 1, 5000)
	wo.Steps = append(wo.Steps, lovagejob.Step{Count: 2, Resources: wo.Steps[0].Resources, DependsOn: []int{0}})
	ha.po.Submit(ha.now, &Job{Ref: "a", Work: wo})
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
	must.Eq(t, []string{"start w1 a.0.1.0 1", "start w1 a.0.1.1 1"}, ha.commands())
}

func TestUnusableWorkersGetNoStarts(t *testing.T) {
	draining, other := testWorker("w1", 32000), testWorker("w1", 32000)
	draining.Draining = true
	other.Service = "other"
	cases := []struct {
		name   string
		worker Worker
		after  func(ha *harness)
	}{
		{"draining", draining, nil},
		{"of another service", other, nil},
		{"silent", testWorker("w1", 32000), func(ha *harness) { ha.po.MarkUnreachable(ha.now, "w1") }},
		{"handed over", testWorker("w1", 32000), func(ha *harness) { ha.po.HandOver([]string{"w1"}) }},
		{"gone", testWorker("w1", 32000), func(ha *harness) { ha.po.SetWorkers(ha.now, nil) }},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, ca.worker)
			if ca.after != nil {
				ca.after(ha)
			}
			ha.commands()
			ha.submit("a", 1, 1000)
			for _, cmd := range ha.commands() {
				test.StrNotContains(t, cmd, "start")
			}
		})
	}
}

func TestFailingWorkerIsEjectedAndProbed(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 10000), testWorker("w2", 10000))
	for i := range ejectAfterFailures {
		id := fmt.Sprintf("j%d", i)
		ha.submit(id, 1, 10000)
		must.True(t, slices.Contains(ha.commands(), "start w1 "+id+".0.0.0 1"))
		ha.reportEnded("w1", id+".0.0.0", 1, RunFailed)
		must.True(t, slices.Contains(ha.commands(), "start w2 "+id+".0.0.0 2"))
		ha.reportEnded("w2", id+".0.0.0", 2, RunDone)
		ha.commands()
	}
	ha.submit("b", 1, 10000)
	ha.submit("c", 1, 10000)
	must.Eq(t, []string{"start w2 b.0.0.0 1"}, ha.commands())
	ha.now = ha.now.Add(minEjection)
	ha.po.Tick(ha.now)
	must.True(t, slices.Contains(ha.commands(), "start w1 c.0.0.0 1"))
}

func TestStoppedProbeIsRepeated(t *testing.T) {
	// Guards against an ejected worker that is never used again, because its probe run was stopped, lapsed or was rejected.
	for _, outcome := range []RunOutcome{RunStopped, RunLapsed} {
		ha := newHarness(t, testWorker("w1", 10000))
		for i := range ejectAfterFailures {
			id := fmt.Sprintf("j%d", i)
			ha.submit(id, 1, 10000)
			must.Eq(t, []string{"start w1 " + id + ".0.0.0 1"}, ha.commands())
			ha.po.Cancel(ha.now, id)
			ha.reportEnded("w1", id+".0.0.0", 1, RunFailed)
			ha.commands()
		}
		ha.now = ha.now.Add(minEjection)
		ha.submit("a", 1, 10000)
		must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
		ha.po.Cancel(ha.now, "a")
		ha.reportEnded("w1", "a.0.0.0", 1, outcome)
		ha.commands()
		ha.submit("b", 1, 10000)
		must.Eq(t, []string{"start w1 b.0.0.0 1"}, ha.commands())
	}
}

func TestHandOverReleasesIdleWorkers(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 10000), testWorker("w2", 10000))
	ha.submit("a", 1, 10000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.po.HandOver([]string{"w1", "w2", "w3"})
	must.Eq(t, []string{"release w2", "release w3"}, ha.commands(), must.Sprint("the pool does not know w3"))
	ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
	must.Eq(t, []string{"release w1", "finish a completed"}, ha.commands())
}

func TestRunsWithoutJobAreReported(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	var seen []Decision
	ha.po.OnDecision = func(de Decision) {
		if de.Kind == "endedRunActive" || de.Kind == "orphanStopped" {
			de.Task = ""
			seen = append(seen, de)
		}
	}
	ha.submit("a", 2, 10000)
	ha.commands()
	ha.po.HandleStartReply(ha.now, "w1", "a.0.0.0", 1, true, "test")
	ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}, {"b.0.0.0", 7}}, nil)
	must.Eq(t, []Decision{
		{Kind: "endedRunActive", Worker: "w1", Attempt: 1, Reason: "this instance took it for ended: its start was rejected: test", RunsBeside: 1},
		{Kind: "orphanStopped", Worker: "w1", Attempt: 7, Reason: "it belongs to no job of this instance", RunsBeside: 1},
	}, seen)
}

// Guards against starts beside runs of an owner in between, on a worker that had been released to it.
func TestNoStartByListFromBeforeTheWorkerWasTakenBack(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.po.HandOver([]string{"w1"})
	must.Eq(t, []string{"release w1"}, ha.commands())
	before := ha.now
	ha.now = ha.now.Add(time.Millisecond)
	ha.po.TakeBack(ha.now, []string{"w1"})
	ha.submit("j", 1, 20000)
	must.Eq(t, []string{"poll w1"}, ha.commands())
	ha.po.HandleRunList(ha.now, before, "w1", nil, nil)
	must.SliceEmpty(t, ha.commands())
	ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"x.0.0.0", 1}}, nil)
	must.Eq(t, []string{"stop w1 x.0.0.0 1"}, ha.commands())
	ha.reportEnded("w1", "x.0.0.0", 1, RunStopped)
	must.Eq(t, []string{"start w1 j.0.0.0 1"}, ha.commands())
}

// Guards against starts by a list that was requested before the worker was removed, and may have been owned by another instance.
func TestNoStartByListFromBeforeTheWorkerWasAdded(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	before := ha.now
	ha.now = ha.now.Add(time.Millisecond)
	ha.po.SetWorkers(ha.now, nil)
	ha.po.SetWorkers(ha.now, []Worker{testWorker("w1", 32000)})
	ha.submit("j", 1, 20000)
	ha.po.HandleRunList(ha.now, before, "w1", nil, nil)
	must.SliceEmpty(t, ha.commands())
	ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
	must.Eq(t, []string{"start w1 j.0.0.0 1"}, ha.commands())
}

// Guards against starts in the room of a run that a worker's new process may still start: its stop was acknowledged by the former process.
func TestStopAcknowledgedByFormerProcessFreesNothing(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("a", 1, 20000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1)
	must.Eq(t, []string{"stop w1 a.0.0.0 1"}, ha.commands())
	ha.restart("w1", 2)
	ha.commands()
	ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 1)
	ha.now = ha.now.Add(time.Millisecond)
	ha.answer(ha.now, "w1", 2)
	ha.po.Cancel(ha.now, "a")
	ha.submit("b", 1, 20000)
	must.Eq(t, []string{"stop w1 a.0.0.0 1"}, ha.commands())
	ha.po.HandleStopReply(ha.now, "w1", "a.0.0.0", 1, 2)
	ha.now = ha.now.Add(time.Millisecond)
	ha.answer(ha.now, "w1", 2)
	must.SliceContains(t, ha.commands(), "start w1 b.0.0.0 1")
}

// Guards against a worker that is not used for a while because a reply that was overtaken lists a run that has ended.
func TestOvertakenListMakesNoOrphan(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("a", 1, 20000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish a completed"}, ha.commands())
	ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}}, nil)
	ha.submit("b", 1, 20000)
	must.Eq(t, []string{"start w1 b.0.0.0 1"}, ha.commands())
}

// Guards against a worker that stays unusable, or is never released, because its domain was taken back during a hand-over.
func TestTakeBackEndsHandOver(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("a", 1, 10000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.po.HandOver([]string{"w1"})
	ha.submit("b", 1, 10000)
	must.SliceEmpty(t, ha.commands())
	ha.po.TakeBack(ha.now, []string{"w1", "w2"})
	must.Eq(t, []string{"poll w1"}, ha.commands())
	ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}}, nil)
	must.Eq(t, []string{"start w1 b.0.0.0 1"}, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish a completed"}, ha.commands(), must.Sprint("released although the hand-over has ended"))
	ha.reportEnded("w1", "b.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish b completed"}, ha.commands())
	ha.po.HandOver([]string{"w1"})
	must.Eq(t, []string{"release w1"}, ha.commands())
}

func TestLeaveMovesJobsThatHaveNotStarted(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 10000))
	ha.submit("a", 1, 10000)
	ha.submit("b", 1, 10000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.po.Leave()
	ha.submit("c", 1, 10000)
	must.Eq(t, []string{"finish b moved", "finish c moved"}, ha.commands())
}

func TestInfeasibleJobIsRefusedImmediately(t *testing.T) {
	// Checks that jobs that cannot run, or not in time, are refused at once, not at their deadlines.
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("large", 1, 40000)
	must.Eq(t, []string{"finish large notRun"}, ha.commands())
	for i := range 8 {
		ha.submit(fmt.Sprintf("j%d", i), 2, 14000)
	}
	list := ha.commands()
	must.Eq(t, []string{"start w1 j0.0.0.0 1", "start w1 j0.0.0.1 1"}, list[:2])
	must.True(t, slices.Contains(list, "finish j7 notRun"), must.Sprint(list))
}

func TestJobIsRefusedWhenAnswerWouldBeUseless(t *testing.T) {
	// Checks that a job is refused once no answer can be useful any more, instead of waiting until its deadline.
	ha := newHarness(t, testWorker("w1", 14000))
	ha.submit("a", 1, 14000)
	ha.reportStarted("w1", "a.0.0.0", 1)
	ha.submit("b", 1, 14000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	goal := ha.po.jobs["b"].goal.Sub(ha.now)
	var got []string
	for end := ha.now.Add(usefulFactor * goal); ha.now.Before(end); ha.advance(20 * time.Millisecond) {
		ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}}, nil) // still running, longer than expected
		if got = ha.commands(); slices.Contains(got, "finish b notRun") {
			must.Greater(t, goal, ha.now.Sub(ha.po.jobs["a"].Work.Arrived), must.Sprint("refused while an answer could be in time"))
			return
		}
	}
	must.Unreachable(t, must.Sprint("b still waits although no answer can be useful: ", got))
}

func TestNotRunIsNotReportedAfterAStart(t *testing.T) {
	// Guards against answering a job with NotRun although one of its tasks may have started.
	ha := newHarness(t, testWorker("w1", 14000))
	ha.submit("a", 2, 14000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1)
	ha.advance(3 * time.Second)
	must.True(t, slices.Contains(ha.commands(), "finish a unknown"))
}

func TestNothingStartsAfterTheDeadline(t *testing.T) {
	// Guards against starting a task after the caller's deadline, before the next tick has handled the deadline.
	ha := newHarness(t, testWorker("w1", 14000))
	ha.submit("a", 1, 14000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.now = ha.now.Add(2 * time.Second)
	ha.reportEnded("w1", "a.0.0.0", 1, RunLapsed)
	must.Eq(t, []string{"finish a unknown"}, ha.commands())
}

func TestOverdueRunIsStopped(t *testing.T) {
	// Guards against waiting for a stuck task until the caller's deadline.
	ha := newHarness(t, testWorker("w1", 14000), testWorker("w2", 14000))
	ha.submit("a", 1, 14000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "a.0.0.0", 1)
	ha.advance(overdueFactor*200*time.Millisecond + overdueSlack + 40*time.Millisecond)
	must.True(t, slices.Contains(ha.commands(), "stop w1 a.0.0.0 1"))
	ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
	must.True(t, slices.Contains(ha.commands(), "start w2 a.0.0.0 2"))
}

func TestUnreachableWorkerIsNotEjected(t *testing.T) {
	// Checks that a worker is not ejected for runs whose ends it could not report because it was unreachable.
	ha := newHarness(t, testWorker("w1", 14000))
	wo := ha.newWork("a", 1, 14000)
	wo.Steps[0].RunTime = 20 * time.Millisecond
	ha.po.Submit(ha.now, &Job{Ref: "a", Work: wo})
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "a.0.0.0", 1)
	ha.po.MarkUnreachable(ha.now, "w1")
	ha.advance(800 * time.Millisecond)
	must.SliceEmpty(t, ha.commands())
	must.Eq(t, 0, ha.po.workers["w1"].failures)
}

// Checks that no job is refused while a worker is free, even a slow one on which the job would be late.
func TestNoRefusalWhileAWorkerIsFree(t *testing.T) {
	fast, slow := testWorker("fast", 14000), testWorker("slow", 14000)
	fast.Kind, slow.Kind = "fast", "slow"
	ha := newHarness(t, fast, slow)
	ha.po.kindSlowdowns["fast"] = &slowdownEstimate{samples: 100}
	ha.po.kindSlowdowns["slow"] = &slowdownEstimate{meanLog: 1.2, samples: 100} // 3.3 times as long
	for i := range 4 {
		ha.submit(fmt.Sprintf("j%d", i), 1, 14000)
	}
	list := ha.commands()
	ha.advance(100 * time.Millisecond)
	list = append(list, ha.commands()...)
	started := 0
	for _, cmd := range list {
		if cmd[:5] == "start" {
			started++
		}
		if cmd[:6] == "finish" {
			test.Eq(t, 2, started, test.Sprintf("refused with a worker free: %v", list))
		}
	}
	test.Eq(t, 2, started, test.Sprint(list))
}

func TestFailedPlacementDoesNotHideFreeCapacity(t *testing.T) {
	// Guards against refusing a job that fits because, in the same pass, a larger job did not fit on the free workers.
	ha := newHarness(t, testWorker("w1", 14000), testWorker("w2", 14000), testWorker("w3", 14000))
	large, small := &Job{Ref: "large", Work: ha.newWork("large", 4, 14000)},
		&Job{Ref: "small", Work: ha.newWork("small", 1, 14000)}
	ha.po.Submit(ha.now, large)
	ha.po.Submit(ha.now, small)
	ha.po.schedulePass++ // as schedule does
	must.False(t, ha.po.startAllOrNone(ha.now, large, false))
	must.True(t, ha.po.startAllOrNone(ha.now, small, false))
}

// Guards against two runs of a task. The second submission has no runs while it waits for those of the first, so the third must
// wait for those of the first too, whether the second has ended or not.
func TestThirdSubmissionWaitsForTheRunsOfTheFirst(t *testing.T) {
	for _, secondEnds := range []bool{false, true} {
		ha := newHarness(t, testWorker("w1", 32000))
		submit := func(ref string) { ha.po.Submit(ha.now, &Job{Ref: ref, Work: ha.newWork("a", 1, 14000)}) }
		submit("x")
		must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
		submit("y")
		must.Eq(t, []string{"stop w1 a.0.0.0 1"}, ha.commands())
		if secondEnds {
			ha.po.Cancel(ha.now, "y")
		}
		submit("z")
		must.SliceEmpty(t, ha.commands())
		ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
		must.SliceContains(t, ha.commands(), "start w1 a.0.0.0 2")
	}
}
