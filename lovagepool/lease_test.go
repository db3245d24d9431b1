package lovagepool

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestLeaseEndsWithThePermissionOfEachRun(t *testing.T) {
	retryDelay, fullLease := DefaultSettings().RetryDelay, DefaultSettings().Lease
	cases := []struct {
		name  string
		event func(ha *harness)
		least time.Duration // of the lease
		most  time.Duration // of the time until the last run has ended
	}{
		{"running", func(*harness) {}, fullLease, retryDelay},
		{"start unanswered", func(ha *harness) { ha.po.HandleStartTimeout(ha.now, "w1", "a.0.0.0", 1) }, fullLease, retryDelay},
		{"job cancelled just now", func(ha *harness) { ha.po.Cancel(ha.now, "a") }, fullLease, retryDelay},
		{"job cancelled before, stop lost", func(ha *harness) {
			ha.po.Cancel(ha.now, "a")
			ha.advance(400 * time.Millisecond)
		}, 600 * time.Millisecond, retryDelay - 400*time.Millisecond},
		{"one of two jobs cancelled, stop lost", func(ha *harness) {
			ha.submit("b", 1, 1000)
			ha.commands()
			ha.po.Cancel(ha.now, "b")
			ha.advance(1100 * time.Millisecond)
		}, 0, retryDelay - 1100*time.Millisecond},
		{"run of a former owner", func(ha *harness) {
			ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}, {"x.0.0.0", 1}}, nil)
		}, 0, 0},
		{"run of a former owner has ended", func(ha *harness) {
			ha.po.HandleRunList(ha.now, ha.now, "w1", []ActiveRun{{"a.0.0.0", 1}, {"x.0.0.0", 1}}, nil)
			ha.reportEnded("w1", "x.0.0.0", 1, RunStopped)
		}, fullLease, retryDelay},
		{"this instance is late", func(ha *harness) { ha.po.SetLateness(500 * time.Millisecond) }, 500 * time.Millisecond, retryDelay - 500*time.Millisecond},
		{"this instance is very late", func(ha *harness) { ha.po.SetLateness(1200 * time.Millisecond) }, 0, 0},
		{"job cancelled by a late instance, stop lost", func(ha *harness) {
			ha.po.SetLateness(300 * time.Millisecond)
			ha.po.Cancel(ha.now, "a")
			ha.po.SetLateness(0)
			ha.advance(400 * time.Millisecond)
		}, 400 * time.Millisecond, retryDelay - 700*time.Millisecond},
		{"nothing runs", func(ha *harness) { ha.reportEnded("w1", "a.0.0.0", 1, RunDone) }, 0, 0},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			ha := newHarness(t, testWorker("w1", 32000))
			ha.submit("a", 1, 1000)
			must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
			ha.reportStarted("w1", "a.0.0.0", 1)
			ca.event(ha)
			until := ha.po.GrantLease(ha.now, "w1", true)
			if ca.most == 0 {
				must.True(t, until.IsZero())
				return
			}
			must.False(t, until.IsZero())
			lease := until.Sub(ha.now)
			test.GreaterEq(t, ca.least, lease)
			test.LessEq(t, ca.most, ha.po.settings.runLifetime(lease))
		})
	}
}

// submitFrom submits a job of another instance whose caller was known to wait the given time ago.
func (ha *harness) submitFrom(id string, age time.Duration) {
	wo := ha.newWork(id, 1, 1000)
	wo.SlackFactor = 20 // not refused for want of time
	ha.po.Submit(ha.now, &Job{Ref: id, Work: wo, WantedAt: ha.now.Add(-age)})
}

func TestRunOfAnotherInstancesJobEndsUnlessRenewed(t *testing.T) {
	retryDelay := DefaultSettings().RetryDelay
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submitFrom("a", 0)
	ha.po.jobs["a"].Work.Deadline = ha.now.Add(time.Minute)
	ha.po.jobs["a"].runTime = time.Minute // never overdue
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "a.0.0.0", 1)
	for range 20 {
		ha.advance(100 * time.Millisecond)
		ha.po.Renew("a", ha.now)
		must.Eq(t, ha.po.settings.Lease, ha.po.GrantLease(ha.now, "w1", true).Sub(ha.now))
	}
	must.True(t, ha.po.jobs["a"].givenUpAt.IsZero())
	renewedAt := ha.now
	for i := 0; ; i++ {
		must.Less(t, 20, i, must.Sprint("leases are granted for ever"))
		ha.advance(100 * time.Millisecond)
		until := ha.po.GrantLease(ha.now, "w1", true)
		if until.IsZero() {
			return
		}
		must.LessEq(t, renewedAt.Add(retryDelay).Sub(ha.now), ha.po.settings.runLifetime(until.Sub(ha.now)))
	}
}

func TestJobOfSilentInstanceStartsNothing(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 2000))
	ha.submit("own", 1, 2000)
	must.Eq(t, []string{"start w1 own.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "own.0.0.0", 1)
	ha.submitFrom("a", 0)
	must.SliceEmpty(t, ha.commands())
	ha.advance(650 * time.Millisecond)
	ha.reportEnded("w1", "own.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish own completed"}, ha.commands())
	ha.po.Renew("a", ha.now)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
}

func TestRunStartsOnNoWorkerWhoseLeaseOutlastsItsPermission(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 3000), testWorker("w2", 30000))
	ha.advance(1100 * time.Millisecond) // leases of earlier owners have ended
	ha.submit("own", 1, 1000)
	must.Eq(t, []string{"start w1 own.0.0.0 1"}, ha.commands()) // w1 has a full lease
	ha.submitFrom("a", 300*time.Millisecond)
	must.Eq(t, []string{"start w2 a.0.0.0 1"}, ha.commands())
	ha.submitFrom("b", 0)
	must.Eq(t, []string{"start w1 b.0.0.0 1"}, ha.commands())
}

func TestWorkerWhoseLeaseCannotBeExtendedGetsNoStarts(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("a", 1, 1000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "a.0.0.0", 1)
	ha.po.Cancel(ha.now, "a")
	ha.advance(900 * time.Millisecond)
	ha.commands()
	ha.submit("b", 1, 1000)
	must.SliceEmpty(t, ha.commands())
	ha.reportEnded("w1", "a.0.0.0", 1, RunStopped)
	must.Eq(t, []string{"start w1 b.0.0.0 1"}, ha.commands())
}

func TestLateInstanceStartsNothing(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.po.SetLateness(time.Second)
	ha.submit("a", 1, 1000)
	must.SliceEmpty(t, ha.commands())
	ha.po.SetLateness(0)
	ha.advance(20 * time.Millisecond)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
}

func TestShortRetryDelayLeavesRoomForStarts(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.advance(1100 * time.Millisecond) // leases of earlier owners have ended
	ha.po.settings.RetryDelay = 600 * time.Millisecond
	ha.submitFrom("a", 50*time.Millisecond)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	must.LessEq(t, 450*time.Millisecond, ha.po.settings.runLifetime(ha.po.GrantLease(ha.now, "w1", true).Sub(ha.now)))
}

// lastLease returns the end of the longest lease that starts on the worker have granted since the last call of Commands, or prev.
func (ha *harness) lastLease(worker string, prev time.Time) (time.Time, int) {
	starts := 0
	for _, cmd := range ha.po.Commands(ha.now) {
		if cm, ok := cmd.(StartRun); ok && cm.Worker == worker {
			starts++
			if cm.LeaseUntil.After(prev) {
				prev = cm.LeaseUntil
			}
		}
	}
	return prev, starts
}

func TestLeaseOfStartEndsWithThePermission(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.advance(1100 * time.Millisecond) // leases of earlier owners have ended
	ha.submitFrom("a", 300*time.Millisecond)
	lease, starts := ha.lastLease("w1", time.Time{})
	must.Eq(t, 1, starts)
	must.LessEq(t, ha.po.settings.RetryDelay-300*time.Millisecond, ha.po.settings.runLifetime(lease.Sub(ha.now)))
}

// Guards against a run that outlasts its permission by a lease that was granted before the worker was removed and added again.
func TestLeaseOfWorkerThatIsAddedAgainCounts(t *testing.T) {
	w1 := testWorker("w1", 32000)
	ha := newHarness(t, w1)
	ha.submit("own", 1, 1000)
	lease, starts := ha.lastLease("w1", time.Time{})
	must.Eq(t, 1, starts)
	ha.reportStarted("w1", "own.0.0.0", 1)
	ha.reportEnded("w1", "own.0.0.0", 1, RunDone)
	ha.po.SetWorkers(ha.now, nil)
	ha.po.SetWorkers(ha.now, []Worker{w1})
	ha.po.HandleRunList(ha.now, ha.now, "w1", nil, nil)
	ha.submitFrom("a", 600*time.Millisecond)
	lease, starts = ha.lastLease("w1", lease)
	if starts == 0 {
		return
	}
	end := ha.now.Add(ha.po.settings.runLifetime(lease.Sub(ha.now))) // a worker never shortens its lease
	retry := ha.now.Add(ha.po.settings.RetryDelay - 600*time.Millisecond)
	must.LessEq(t, 0, end.Sub(retry), must.Sprint("time for which the run may go on after the caller's retry"))
}

// Guards against a lease that is granted after the caller's deadline, before Tick has noticed that it has passed.
func TestNoLeaseOutlastsTheCallersDeadline(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submit("a", 1, 1000)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "a.0.0.0", 1)
	deadline := ha.po.jobs["a"].Work.Deadline
	ha.now = deadline.Add(700 * time.Millisecond)
	until := ha.po.GrantLease(ha.now, "w1", true)
	if until.IsZero() {
		return
	}
	end := ha.now.Add(ha.po.settings.runLifetime(until.Sub(ha.now)))
	must.LessEq(t, ha.po.settings.RetryDelay, end.Sub(deadline))
}

// Guards against the refusal of waiting jobs for want of workers because this instance itself has stood still for a while.
func TestLateInstanceRefusesNoWaitingJob(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 2000))
	ha.submit("own", 1, 2000)
	must.Eq(t, []string{"start w1 own.0.0.0 1"}, ha.commands())
	ha.reportStarted("w1", "own.0.0.0", 1)
	wo := ha.newWork("a", 1, 2000)
	wo.SlackFactor = 20
	ha.po.Submit(ha.now, &Job{Ref: "a", Work: wo})
	must.SliceEmpty(t, ha.commands())
	ha.now = ha.now.Add(700 * time.Millisecond) // stall
	ha.po.SetLateness(700 * time.Millisecond)
	ha.reportEnded("w1", "own.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish own completed"}, ha.commands())
	ha.po.SetLateness(0)
	ha.advance(200 * time.Millisecond)
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, ha.commands())
}

func TestOldConfirmationRenewsNothing(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	ha.submitFrom("a", 0)
	ha.submit("own", 1, 1000)
	ha.po.Renew("a", ha.now.Add(-time.Second))
	must.Eq(t, ha.now, ha.po.jobs["a"].WantedAt)
	ha.po.Renew("own", ha.now) // a job of this instance's caller
	must.True(t, ha.po.jobs["own"].WantedAt.IsZero())
}

func TestOffloadOfEndedJobIsNotConfirmed(t *testing.T) {
	ha := newHarness(t)
	ha.po.SetPeer(ha.now, "west-1", map[string]LoadReport{"checks": {Free: []FreeCapacity{{Slowdown: 1, Tasks: 1}}, Workers: 1, Rate: 1}})
	ha.submitFrom("a", 100*time.Millisecond)
	must.Eq(t, []string{"offload west-1 1"}, ha.commands())
	at, wanted := ha.po.OffloadWantedAt("a/1")
	must.True(t, wanted)
	must.Eq(t, ha.now.Add(-100*time.Millisecond), at)
	ha.po.Cancel(ha.now, "a")
	_, wanted = ha.po.OffloadWantedAt("a/1")
	must.False(t, wanted)
}

// Guards against jobs that never start because their sender is a little late, on a worker that is polled every 60 ms.
func TestJobOfLateSenderStartsOnBusyWorker(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	wo := ha.newWork("own", 1, 1000)
	wo.Deadline = ha.now.Add(time.Minute)
	ha.po.Submit(ha.now, &Job{Ref: "own", Work: wo})
	must.Eq(t, []string{"start w1 own.0.0.0 1"}, ha.commands())
	ha.po.jobs["own"].tasks[0].run.expectedRunTime = time.Minute
	ha.reportStarted("w1", "own.0.0.0", 1)
	ha.submitFrom("a", 200*time.Millisecond)
	var list []string
	for i := 0; i < 25 && len(list) == 0; i++ {
		ha.advance(60 * time.Millisecond)
		ha.po.GrantLease(ha.now, "w1", false)
		ha.po.Renew("a", ha.now.Add(-200*time.Millisecond))
		list = append(list, ha.commands()...)
	}
	must.Eq(t, []string{"start w1 a.0.0.0 1"}, list)
}
