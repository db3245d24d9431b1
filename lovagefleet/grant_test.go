package lovagefleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepool"
)

// retryDelay is how long after a lost answer a caller sends its job again.
const retryDelay = 1300 * time.Millisecond

// submitLong submits a job with one long task at an instance and waits until the task runs. Stops are lost from then on.
func (de *deployment) submitLong(instance string) (job string) {
	de.t.Helper()
	job = randomID()
	wo := testWork(job, 1, 3*time.Second)
	wo.SlackFactor, wo.Deadline = 10, time.Now().Add(5*time.Second)
	go de.nodes[instance].Submit(context.Background(), wo)
	de.await("the task runs", time.Second, func() bool { return de.activeTask(job) })
	de.cluster.mu.Lock()
	defer de.cluster.mu.Unlock()
	for _, wo := range de.cluster.workers {
		wo.dropsStops = true
	}
	return job
}

// activeTask reports whether the first task of a job runs on a worker.
func (de *deployment) activeTask(job string) bool {
	de.cluster.mu.Lock()
	defer de.cluster.mu.Unlock()
	return de.cluster.activeRuns[job+".0.0.0"] > 0
}

// kill ends an instance's process and returns the time.
func (de *deployment) kill(id string) time.Time {
	at := time.Now()
	de.nodes[id].stop()
	delete(de.nodes, id)
	return at
}

// Guards against a second run of a task whose owner was killed: its caller sends the job again.
func TestRunOfKilledOwnerEndsBeforeItsCallerRetries(t *testing.T) {
	de := deploy(t)
	owner := de.owner("east")
	de.awaitWorkers(owner, 3)
	job := de.submitLong(owner)
	killed := de.kill(owner)
	de.await("another instance owns the workers", retryDelay, func() bool { return de.owner("east") != "" })
	time.Sleep(time.Until(killed.Add(retryDelay)))
	must.False(t, de.activeTask(job))
}

// Guards against a second run of a task whose caller lost the instance that had forwarded the job.
func TestRunOfKilledSenderEndsBeforeItsCallerRetries(t *testing.T) {
	de := deploy(t)
	owner := de.owner("east")
	sender := map[string]string{"east-1": "east-2", "east-2": "east-1"}[owner]
	de.awaitWorkers(owner, 3)
	de.await("the sender knows the owner's workers", 5*time.Second, func() bool {
		_, workers := de.nodes[sender].capacity(ownerRef{ID: owner}, "s")
		return workers == 3
	})
	job := de.submitLong(sender)
	killed := de.kill(sender)
	time.Sleep(time.Until(killed.Add(retryDelay)))
	must.False(t, de.activeTask(job))
}

// Guards against a second run of a task whose sender can neither confirm nor cancel its job, while the session seems to live.
func TestRunWithoutRenewalEndsBeforeItsCallerRetries(t *testing.T) {
	de := deploy(t)
	from, owner := de.nodes["west-1"], de.owner("east")
	if de.owner("west") != "west-1" {
		from = de.nodes["west-2"] // an owner has sessions with all
	}
	de.awaitWorkers(owner, 3)
	wo := testWork(randomID(), 1, 3*time.Second)
	wo.SlackFactor, wo.Deadline = 10, time.Now().Add(5*time.Second)
	pl := jobToMessage(from.newRef(), wo, nil)
	pl.SentMicros = lovageclock.Boot().Microseconds()
	pl.WantedMicros = pl.SentMicros
	sent := time.Now()
	go func() {
		_, _ = from.mesh.Call(from.ctx, de.nodes[owner].self.Address, &lovagemessage.Request{
			Body: &lovagemessage.Request_Place{Place: pl},
		})
	}()
	de.await("the task runs", time.Second, func() bool { return de.activeTask(wo.ID) })
	time.Sleep(time.Until(sent.Add(retryDelay)))
	must.False(t, de.activeTask(wo.ID))
}

func TestLongRunsOfOtherInstancesAreRenewed(t *testing.T) {
	playSteadily(t, testLongRunsOfOtherInstances)
}

func testLongRunsOfOtherInstances(t testing.TB) {
	de := deploy(t)
	de.awaitCapacity()
	var answers []chan lovagepool.Outcome
	for _, id := range []string{"east-1", "east-2", "west-1"} {
		wo := testWork(randomID(), 5, 2500*time.Millisecond) // more tasks than fit in one data centre, so that some are offloaded
		wo.SlackFactor, wo.Deadline = 10, time.Now().Add(8*time.Second)
		answer := make(chan lovagepool.Outcome, 1)
		answers = append(answers, answer)
		go func() { answer <- de.nodes[id].Submit(context.Background(), wo).Outcome }()
	}
	for _, answer := range answers {
		test.Eq(t, lovagepool.Completed, <-answer)
	}
	de.cluster.mu.Lock()
	defer de.cluster.mu.Unlock()
	for task, n := range de.cluster.acceptedStarts {
		test.Eq(t, 1, n, test.Sprint(task))
	}
}
