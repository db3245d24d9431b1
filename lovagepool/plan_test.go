package lovagepool

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestStartBeforeRefusalKeepsAntiAffinity(t *testing.T) {
	// Guards against several tasks of a step on one worker. All workers of the tasks of a job that was about to be refused
	// were chosen before the first start, and only resources were counted between the choices.
	ha := newHarness(t, testWorker("w1", 32000), testWorker("w2", 64000))
	ha.submit("a", 1, 32000)
	ha.submit("b", 1, 64000)
	must.Eq(t, []string{"start w1 a.0.0.0 1", "start w2 b.0.0.0 1"}, ha.commands())
	ha.now = ha.now.Add(150 * time.Millisecond)
	wo := ha.newWork("c", 2, 16000)
	wo.Steps[0].AntiAffinity, wo.SlackFactor, wo.TargetLatency = 1, 1.4, 0
	ha.po.Submit(ha.now, &Job{Ref: "c", Work: wo})
	must.SliceEmpty(t, ha.commands())
	ha.now = ha.now.Add(50 * time.Millisecond) // in the refusal window, and too late for a task that takes 1.25 times as long
	ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
	ha.reportEnded("w2", "b.0.0.0", 1, RunDone)
	must.Eq(t, []string{"finish a completed", "finish b completed", "start w1 c.0.0.0 1", "start w2 c.0.0.1 1"}, ha.commands())
}

func TestPlanGivesAnEjectedWorkerOneProbe(t *testing.T) {
	// Guards against the loss of several tasks on a worker that fails all it gets. A plan of several tasks could choose a
	// worker whose ejection was over for each of them.
	ha := newHarness(t, testWorker("w1", 32000))
	for _, id := range []string{"a", "b", "c"} {
		ha.submit(id, 1, 1000)
		ha.commands()
		ha.reportEnded("w1", id+".0.0.0", 1, RunFailed)
		ha.po.Cancel(ha.now, id)
	}
	ha.now = ha.now.Add(minEjection)
	ha.commands()
	ha.po.Submit(ha.now, &Job{Ref: "x", Work: ha.newWork("d", 2, 1000), Offloaded: []OffloadedTask{{0, 0, 1}, {0, 1, 1}}})
	must.Eq(t, []string{"finish x notRun"}, ha.commands())
	ha.submit("e", 2, 1000)
	must.Eq(t, []string{"start w1 e.0.0.0 1"}, ha.commands())
}

// Guards against a job that is begun though its other tasks fit nowhere: room at peers was counted for tasks with anti_affinity, which are
// not offloaded. Its caller waited until the deadline for an answer that was not to come.
func TestRoomAtPeersCountsOnlyForTasksThatCanBeOffloaded(t *testing.T) {
	for antiAffinity, want := range map[int][]string{
		3: {"finish a completed", "start w1 c.0.0.0 1", "start w1 c.0.0.1 1", "start w1 c.0.0.2 1"},
		2: {"finish a completed", "finish c notRun"},
	} {
		ha := newHarness(t, testWorker("w1", 32000))
		ha.submit("a", 1, 32000)
		ha.commands()
		ha.now = ha.now.Add(150 * time.Millisecond)
		wo := ha.newWork("c", 3, 5000)
		wo.Steps[0].AntiAffinity, wo.SlackFactor, wo.TargetLatency = antiAffinity, 1.4, 0
		ha.po.Submit(ha.now, &Job{Ref: "c", Work: wo})
		must.SliceEmpty(t, ha.commands())
		ha.now = ha.now.Add(50 * time.Millisecond)
		ha.po.SetPeer(ha.now, "p", map[string]LoadReport{"checks": {Free: []FreeCapacity{{Slowdown: 8, Tasks: 9}}, Workers: 1, Rate: 1, Backlog: time.Second}})
		ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
		must.Eq(t, want, ha.commands(), must.Sprintf("anti_affinity %d", antiAffinity))
	}
}

func TestOffloadsOfOneJobKeepAntiAffinity(t *testing.T) {
	// Guards against too many tasks of a step on one worker of the peer that gets several offloads of one job.
	ha := newHarness(t, testWorker("w1", 32000))
	wo := ha.newWork("a", 2, 1000)
	wo.Steps[0].AntiAffinity = 1
	ha.po.Submit(ha.now, &Job{Ref: "x", Work: wo, Offloaded: []OffloadedTask{{0, 0, 1}}})
	ha.po.Submit(ha.now, &Job{Ref: "y", Work: wo, Offloaded: []OffloadedTask{{0, 1, 1}}})
	must.Eq(t, []string{"start w1 a.0.0.0 1", "finish y notRun"}, ha.commands())
}
