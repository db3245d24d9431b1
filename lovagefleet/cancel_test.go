package lovagefleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepool"
)

// activeRunsOf returns the number of active runs of a job's tasks, and of all starts of them that workers have accepted.
func (fc *fakeCluster) activeRunsOf(id string) (active, accepted int) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	for task, n := range fc.activeRuns {
		if strings.HasPrefix(task, id+".") {
			active += n
		}
	}
	for task, n := range fc.acceptedStarts {
		if strings.HasPrefix(task, id+".") {
			accepted += n
		}
	}
	return active, accepted
}

func longWork(id string, tasks int) *lovagejob.Workload {
	wo := testWork(id, tasks, 3*time.Second)
	wo.Deadline = wo.Arrived.Add(15 * time.Second)
	return wo
}

// submit submits a job, and returns a channel that gets its answer.
func (de *deployment) submit(instance string, wo *lovagejob.Workload) chan Answer {
	result := make(chan Answer, 1)
	tn := de.nodes[instance]
	go func() { result <- tn.Submit(context.Background(), wo) }()
	return result
}

func (de *deployment) awaitRuns(id string, n int) {
	de.t.Helper()
	de.await("the job's tasks run", 3*time.Second, func() bool {
		active, _ := de.cluster.activeRunsOf(id)
		return active == n
	})
}

// submitEast submits a long job of two tasks and waits until both run on workers of the data centre east. The first jobs may go to west,
// while workers of east are not usable yet.
func (de *deployment) submitEast(instance string) (id string, answer chan Answer) {
	de.t.Helper()
	de.await("a job runs in east", 5*time.Second, func() bool {
		id = randomID()
		answer = de.submit(instance, longWork(id, 2))
		de.awaitRuns(id, 2)
		local := 0
		de.cluster.mu.Lock()
		for _, wo := range de.cluster.workers {
			for task := range wo.runs {
				if wo.DataCentre == "east" && strings.HasPrefix(task, id+".") {
					local++
				}
			}
		}
		de.cluster.mu.Unlock()
		if local < 2 {
			must.Eq(de.t, JobCancelled, de.cancelJob(instance, id))
			<-answer
		}
		return local == 2
	})
	return id, answer
}

// cancelJob cancels a job, and fails the test if a run of it is active or is started after the answer.
func (de *deployment) cancelJob(instance, id string) CancelOutcome {
	de.t.Helper()
	oc := de.nodes[instance].CancelJob(context.Background(), "checks", id)
	if oc != CancelUncertain {
		active, accepted := de.cluster.activeRunsOf(id)
		test.Zero(de.t, active, test.Sprintf("active runs of a job whose cancellation at %s is answered with %s", instance, oc))
		de.t.Cleanup(func() {
			_, later := de.cluster.activeRunsOf(id)
			test.Eq(de.t, accepted, later, test.Sprint("starts after the answer to the cancellation"))
		})
	}
	return oc
}

func TestCancelAtAnyInstance(t *testing.T) { playSteadily(t, cancelAtAnyInstance) }

func cancelAtAnyInstance(t testing.TB) {
	de := deploy(t)
	de.awaitCapacity()
	for _, from := range []string{"east-1", "east-2", "west-1", "west-2"} {
		for _, at := range []string{"east-1", "east-2", "west-1", "west-2"} {
			id := randomID()
			answer := de.submit(from, longWork(id, 2))
			de.awaitRuns(id, 2)
			must.Eq(t, JobCancelled, de.cancelJob(at, id), must.Sprintf("from %s, cancelled at %s", from, at))
			must.Eq(t, lovagepool.Cancelled, (<-answer).Outcome)
			must.Eq(t, JobCancelled, de.cancelJob(from, id), must.Sprint("cancelled twice"))
			must.Eq(t, lovagepool.Cancelled, (<-de.submit(at, longWork(id, 2))).Outcome, must.Sprint("sent again"))
		}
	}
	must.Eq(t, JobNotKnown, de.cancelJob("west-2", randomID()))
	id := randomID()
	must.Eq(t, lovagepool.Completed, (<-de.submit("east-1", testWork(id, 1, time.Millisecond))).Outcome)
	must.Eq(t, JobNotKnown, de.cancelJob("east-1", id), must.Sprint("completed before"))
}

func TestCancelOffloadedTasks(t *testing.T) { playSteadily(t, cancelOffloadedTasks) }

func cancelOffloadedTasks(t testing.TB) {
	de := deploy(t)
	for _, at := range []string{"east-1", "east-2", "west-1", "west-2"} {
		de.awaitCapacity()
		id := randomID()
		answer := de.submit("east-1", longWork(id, 10)) // of which six fit in the data centre
		de.awaitRuns(id, 10)
		must.Eq(t, JobCancelled, de.cancelJob(at, id))
		must.Eq(t, lovagepool.Cancelled, (<-answer).Outcome)
	}
}

func TestCancelQueuedJob(t *testing.T) { playSteadily(t, cancelQueuedJob) }

func cancelQueuedJob(t testing.TB) {
	de := deploy(t)
	de.awaitCapacity()
	first, id := randomID(), randomID()
	running := de.submit("west-1", longWork(first, 12))
	de.awaitRuns(first, 12)
	wo := longWork(id, 1)
	wo.TargetLatency = 10 * time.Second // waits and is not refused
	queued := de.submit("east-2", wo)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, JobCancelled, de.cancelJob("west-2", id))
	must.Eq(t, lovagepool.Cancelled, (<-queued).Outcome)
	must.Eq(t, JobCancelled, de.cancelJob("east-2", first))
	must.Eq(t, lovagepool.Cancelled, (<-running).Outcome)
	must.Eq(t, lovagepool.Completed, (<-de.submit("east-1", testWork(randomID(), 12, 10*time.Millisecond))).Outcome)
}

func TestCancelBeforeTheJobArrives(t *testing.T) { playSteadily(t, cancelBeforeTheJobArrives) }

func cancelBeforeTheJobArrives(t testing.TB) {
	de := deploy(t)
	id := randomID()
	result := make(chan CancelOutcome, 1)
	go func() { result <- de.cancelJob("west-1", id) }()
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, lovagepool.Cancelled, (<-de.submit("east-2", longWork(id, 1))).Outcome)
	must.Eq(t, JobCancelled, <-result)
}

func TestCancelDuringHandOver(t *testing.T) { playSteadily(t, cancelDuringHandOver) }

func cancelDuringHandOver(t testing.TB) {
	de := deploy(t)
	de.awaitCapacity()
	owner := de.owner("east")
	other := map[string]string{"east-1": "east-2", "east-2": "east-1"}[owner]
	before, first := de.submitEast(owner)
	must.Eq(t, JobCancelled, de.cancelJob("west-1", before))
	must.Eq(t, lovagepool.Cancelled, (<-first).Outcome)
	id, answer := de.submitEast(other)
	de.nodes[owner].Leave()
	de.await("the other instance owns the domain", time.Second, func() bool { return de.owner("east") == other })
	must.Eq(t, JobCancelled, de.cancelJob("west-2", id), must.Sprint("its runs are at the former owner"))
	must.Eq(t, lovagepool.Cancelled, (<-answer).Outcome)
	de.awaitWorkers(other, 3)
	must.Eq(t, lovagepool.Cancelled, (<-de.submit(other, longWork(before, 2))).Outcome, must.Sprint("sent again to the new owner"))
}

func TestCancelWithoutTheOwner(t *testing.T) { playSteadily(t, cancelWithoutTheOwner) }

func cancelWithoutTheOwner(t testing.TB) {
	// A job is not said to be unknown while the owner that may have it cannot be asked.
	de := deploy(t)
	de.awaitCapacity()
	owner := de.owner("east")
	other := map[string]string{"east-1": "east-2", "east-2": "east-1"}[owner]
	id, answer := de.submitEast(other)
	for _, in := range []string{other, "west-1", "west-2"} {
		de.cluster.mu.Lock()
		de.cluster.partitioned[in] = true // so that none takes the domain over
		de.cluster.mu.Unlock()
	}
	de.nodes[owner].stop()
	delete(de.nodes, owner)
	must.Eq(t, CancelUncertain, de.cancelJob("west-1", id))
	must.Eq(t, lovagepool.Unknown, (<-answer).Outcome)
	de.cluster.mu.Lock()
	clear(de.cluster.partitioned)
	de.cluster.mu.Unlock()
	de.await("the other instance owns the domain", 5*time.Second, func() bool { return de.owner("east") == other })
	must.NotEq(t, CancelUncertain, de.cancelJob("west-1", id))
	must.Eq(t, lovagepool.Cancelled, (<-de.submit(other, longWork(id, 2))).Outcome)
}

func TestCancelAtSilentWorker(t *testing.T) { playSteadily(t, cancelAtSilentWorker) }

func cancelAtSilentWorker(t testing.TB) {
	// The end of a run on a worker that does not answer is waited for, as is that of a start in doubt.
	de := deploy(t)
	de.awaitCapacity()
	id := randomID()
	answer := de.submit("east-1", longWork(id, 2))
	de.awaitRuns(id, 2)
	de.cluster.mu.Lock()
	for _, wo := range de.cluster.workers {
		wo.ignoresCalls = true
	}
	de.cluster.mu.Unlock()
	must.Eq(t, JobCancelled, de.cancelJob("west-1", id))
	must.Eq(t, lovagepool.Cancelled, (<-answer).Outcome)
}

func TestCancelsAtRandomTimes(t *testing.T) {
	// Jobs are cancelled at random times at random instances, while an owner hands its domain over and calls to workers are lost.
	// cancelJob checks that no task runs after the answer.
	de := deploy(t)
	de.awaitCapacity()
	de.cluster.mu.Lock()
	for _, wo := range de.cluster.workers {
		wo.dropEveryNth = 40
	}
	de.cluster.mu.Unlock()
	ids := []string{"east-1", "east-2", "west-1", "west-2"}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for n := range 150 {
		if n == 60 {
			de.nodes[de.owner("east")].Leave()
		}
		id, from, at := randomID(), ids[rand.IntN(4)], ids[rand.IntN(4)]
		wo := testWork(id, 1+rand.IntN(3), time.Duration(20+rand.IntN(60))*time.Millisecond)
		wo.Steps = append(wo.Steps, lovagejob.Step{Count: 1, Resources: taskResources, RunTime: wo.Steps[0].RunTime, DependsOn: []int{0}})
		answer := de.submit(from, wo)
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			oc := de.cancelJob(at, id)
			an := (<-answer).Outcome
			switch {
			case oc == JobCancelled && an == lovagepool.Completed, oc == JobNotKnown && an == lovagepool.Cancelled:
				t.Errorf("job %s from %s: cancellation at %s answered with %s, job with %s", id, from, at, oc, an)
			}
			mu.Lock()
			counts[fmt.Sprintf("%s, job %s", oc, an)]++
			mu.Unlock()
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	t.Log(counts)
	must.Positive(t, counts["cancelled, job cancelled"])
}

func TestCancelsOfJobsSentAgain(t *testing.T) {
	// Callers lose the channel of their POST, send the job again 1.3 s later to another instance, and cancel it at a third one at any time
	// meanwhile. The owner of a domain is killed. cancelJob checks that nothing starts after the answer, whichever sending it is of.
	de := deploy(t)
	de.awaitCapacity()
	owner := de.owner("west")
	var ids []string
	for id := range de.nodes {
		if id != owner {
			ids = append(ids, id)
		}
	}
	const retryDelay = 1300 * time.Millisecond
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[CancelOutcome]int{}
	for n := range 80 {
		if n == 40 {
			de.nodes[owner].stop()
		}
		id := randomID()
		first, second, at := de.nodes[ids[rand.IntN(3)]], de.nodes[ids[rand.IntN(3)]], ids[rand.IntN(3)]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(300))*time.Millisecond)
			defer cancel()
			first.Submit(ctx, testWork(id, 1+rand.IntN(8), 400*time.Millisecond))
			time.Sleep(retryDelay)
			second.Submit(context.Background(), testWork(id, 1+rand.IntN(8), 400*time.Millisecond))
		})
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			oc := CancelUncertain
			for range 4 {
				if oc = de.cancelJob(at, id); oc != CancelUncertain {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			counts[oc]++
			mu.Unlock()
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	t.Log(counts)
	must.Positive(t, counts[JobCancelled])
	must.Zero(t, counts[CancelUncertain])
}

func TestNewOwnerPassesCancelOn(t *testing.T) { playSteadily(t, newOwnerPassesCancelOn) }

func newOwnerPassesCancelOn(t testing.TB) {
	// In a large deployment the instance that gets the request has no session with a former owner, but the new owner has.
	de := deploy(t)
	de.awaitCapacity()
	owner := de.owner("east")
	other := map[string]string{"east-1": "east-2", "east-2": "east-1"}[owner]
	id, answer := de.submitEast(owner)
	de.nodes[owner].Leave()
	de.await("the other instance owns the domain", time.Second, func() bool { return de.owner("east") == other })
	request := &lovagemessage.CancelJob{Job: &lovagemessage.JobName{Queue: "checks", Id: id}, Forwarded: true}
	must.Eq(t, JobNotKnown, de.nodes[other].serveCancelJob(t.Context(), "west-1", request))
	request.Forwarded = false
	must.Eq(t, JobCancelled, de.nodes[other].serveCancelJob(t.Context(), "west-1", request))
	must.Eq(t, lovagepool.Cancelled, (<-answer).Outcome)
}

func TestCancelJobOfFormerOwner(t *testing.T) { playSteadily(t, cancelJobOfFormerOwner) }

func cancelJobOfFormerOwner(t testing.TB) {
	// A former owner without runs on its former workers still has a job whose tasks run in the other data centre.
	de := deploy(t)
	de.awaitCapacity()
	time.Sleep(2 * peerReportInterval) // so that the owner's own report names its workers too, and the first job stays in east
	owner := de.owner("east")
	blocker, id := randomID(), randomID()
	first := de.submit(owner, longWork(blocker, 6))
	de.awaitRuns(blocker, 6)
	wo := longWork(id, 2)
	wo.Spec = "8s"
	answer := de.submit(owner, wo)
	de.awaitRuns(id, 2)
	must.Eq(t, JobCancelled, de.cancelJob(owner, blocker))
	<-first
	de.nodes[owner].Leave()
	de.await("the former owner has released its workers", 3*time.Second, func() bool { return !de.nodes[owner].ownsWorkers.Load() })
	time.Sleep(maxHolderAge + peerReportInterval)
	must.Eq(t, JobCancelled, de.cancelJob("west-1", id))
	must.Eq(t, lovagepool.Cancelled, (<-answer).Outcome)
}

func TestCancelIsUncertainIfAnOwnerWasLost(t *testing.T) {
	// A job that its caller has sent twice to this instance is not said to be cancelled if the owner of one copy has been lost.
	for _, outcomes := range [][]lovagepool.Outcome{
		{lovagepool.Unknown, lovagepool.Cancelled}, {lovagepool.Cancelled, lovagepool.Unknown},
	} {
		no := startLoop(t)
		no.domainRowsRead.Store(true)
		name := jobName{"checks", randomID()}
		jobs := []*callerJob{no.callers.add(name), no.callers.add(name)}
		go func() {
			for !jobs[1].cancelled.Load() {
				time.Sleep(time.Millisecond)
			}
			for i, ca := range jobs {
				no.callers.remove(ca, outcomes[i])
			}
		}()
		test.Eq(t, CancelUncertain, no.CancelJob(t.Context(), name.queue, name.id), test.Sprintf("%v", outcomes))
	}
}
