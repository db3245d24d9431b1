package lovagefleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovagepool"
)

// constrainedWork is a workload whose tasks need a worker with the label.
func constrainedWork(label string, tasks int, took time.Duration) *lovagejob.Workload {
	work := testWork(label+"="+randomID(), tasks, took)
	work.Steps[0].Constraint = label
	return work
}

// workerIDs returns the IDs of the workers of a data centre.
func (fc *fakeCluster) workerIDs(dc string) []string {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var ids []string
	for id, wo := range fc.workers {
		if wo.DataCentre == dc {
			ids = append(ids, id)
		}
	}
	return ids
}

// workerReads returns how often an instance has read the registered workers.
func (fc *fakeCluster) workerReads(instance string) int {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.reads[instance+" workers"]
}

// Checks that the workers of a rack that restart together as another kind are all in use 100 ms after they have answered and
// registered, and that this takes a few reads of the registry and not one for each worker.
func TestRestartedRackIsUsedAtOnce(t *testing.T) {
	playSteadily(t, testRestartedRackIsUsedAtOnce)
}

func testRestartedRackIsUsedAtOnce(t testing.TB) {
	de := deployWith(t, &deployment{workers: 6})
	owner, rack := de.owner("east"), de.cluster.workerIDs("east")
	de.awaitWorkers(owner, len(rack))
	for n, registerAfter := range []time.Duration{0, 0, 0, 10 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 30 * time.Millisecond} {
		time.Sleep(time.Duration(rand.Int64N(int64(registryInterval))))
		kind := fmt.Sprint("kind-", n)
		before := de.cluster.workerReads(owner)
		began := time.Now()
		de.cluster.restart(kind, registerAfter, rack...)
		for {
			// The job needs both places of each worker.
			an := de.nodes[owner].Submit(t.Context(), constrainedWork(kind, 2*len(rack), 20*time.Millisecond))
			if an.Outcome == lovagepool.Completed {
				break
			}
			must.Less(t, time.Second, time.Since(began), must.Sprintf("%+v", an))
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		reads := de.cluster.workerReads(owner) - before
		de.cluster.mu.Lock()
		var known, used time.Time
		for _, id := range rack {
			wo := de.cluster.workers[id]
			known, used = later(known, later(wo.firstAnswerAt, wo.startedAt.Add(registerAfter))), later(used, wo.lastStartAt)
		}
		de.cluster.mu.Unlock()
		t.Logf("registered after %s: in use after %s, %d reads in %s", registerAfter, used.Sub(known), reads, took)
		must.LessEq(t, 100*time.Millisecond, used.Sub(known))
		must.LessEq(t, len(rack)-1+int(took/registryInterval), reads)
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Checks 200 restarts with changing labels of the workers of two data centres, under load at all instances, while a domain is handed
// over and tasks are offloaded.
func TestRestartsUnderLoad(t *testing.T) {
	playSteadily(t, testRestartsUnderLoad)
}

func testRestartsUnderLoad(t testing.TB) {
	de := deployWith(t, &deployment{workers: 6, cores: map[string]float64{"east-1": 0.3, "east-2": 0.1, "west-1": 1, "west-2": 1, "east-3": 1}})
	kinds := []string{"a", "b"}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[lovagepool.Outcome]int{}
	for _, tn := range de.nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				wg.Go(func() {
					an := tn.Submit(context.Background(), constrainedWork(kinds[rand.IntN(2)], 1+rand.IntN(2), 20*time.Millisecond))
					mu.Lock()
					defer mu.Unlock()
					outcomes[an.Outcome]++
				})
				sleep(ctx, 15*time.Millisecond)
			}
		})
	}
	ids := append(de.cluster.workerIDs("east"), de.cluster.workerIDs("west")...)
	for n := range 200 {
		if n == 60 {
			de.start("east-3")
		}
		de.cluster.restart(kinds[rand.IntN(2)], time.Duration(rand.IntN(4))*15*time.Millisecond, ids[rand.IntN(len(ids))])
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	}
	de.await("the domain is handed over", 10*time.Second, func() bool { return strings.HasSuffix(de.owner("east"), "-3") })
	cancel()
	wg.Wait()
	de.awaitWorkers("east-3", 6)
	de.cluster.mu.Lock()
	defer de.cluster.mu.Unlock()
	t.Logf("outcomes: %v", outcomes)
	must.Less(t, outcomes[lovagepool.Completed], 200)
}

// Checks that workers that restart one after the other, and whose entries do not come, cause few reads of the registry, and fewer
// still if this instance is late.
func TestEntryReadsAreBounded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lag      time.Duration
		atOnce   int // reads before interval counts
		interval time.Duration
	}{
		{"in time", 0, maxEntryReads + 1, entryReadInterval},
		{"late", 4 * minLag, 1, lateEntryReadPause},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const workers, spacing = 60, 15 * time.Millisecond
			fc := newFakeCluster([]string{"east"}, workers)
			no := startLoop(t)
			no.workerClient, no.registry = fc, partitionableStore{fc, "east-1"}
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { no.registryLoop(ctx) })
			defer wg.Wait()
			defer cancel()
			no.post(func(now time.Time) { no.fenceByDomain["east"], no.claimedAt["east"] = 1, now })
			no.wakeRegistryLoop()
			time.Sleep(registryInterval)
			before, began := fc.workerReads("east-1"), time.Now()
			for _, id := range fc.workerIDs("east") {
				if tc.lag > 0 {
					no.lags.note(time.Now(), tc.lag)
				}
				fc.restart("b", time.Hour, id)
				time.Sleep(spacing)
			}
			reads := fc.workerReads("east-1") - before
			took := time.Since(began)
			t.Logf("%d reads in %s", reads, took)
			must.LessEq(t, tc.atOnce+int(took/tc.interval)+1+int(took/registryInterval)+1, reads)
			must.GreaterEq(t, 2, reads)
		})
	}
}

// anyProcess is a WorkerClient whose starts get to any process of a worker.
type anyProcess struct{ *fakeCluster }

func (ap anyProcess) Start(ctx context.Context, rr RunRequest) (Reply, error) {
	rr.ProcessStart = 0
	return ap.fakeCluster.Start(ctx, rr)
}

// Guards against starts on a worker that has restarted while this process did not run, perhaps with less room: they were decided by what was
// known before, and the worker gets them before its new process has answered a poll.
func TestNoStartByListFromBeforeAStall(t *testing.T) {
	for _, name := range []string{"before the decision", "after the decision"} {
		t.Run(name, func(t *testing.T) {
			fc := newFakeCluster([]string{"east"}, 1)
			no := startLoop(t)
			no.workerClient, no.registry = anyProcess{fc}, partitionableStore{fc, "east-1"}
			go no.registryLoop(t.Context())
			no.post(func(now time.Time) { no.fenceByDomain["east"], no.claimedAt["east"] = 1, now })
			no.wakeRegistryLoop()
			usable := func() bool {
				n := make(chan int, 1)
				no.post(func(now time.Time) { n <- no.pool.LoadReport(now, "s").Workers })
				return <-n == 1
			}
			for end := time.Now().Add(5 * time.Second); !usable() && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			must.True(t, usable())
			work := testWork(randomID(), 1, 200*time.Millisecond)
			task := work.TaskName(0, 0)
			wo, stall := fc.workers["east-w0"], maxStall+80*time.Millisecond
			restart := func() {
				time.Sleep(stall) // stands for a freeze of the process
				fc.restart("a", 0, wo.ID)
			}
			done := make(chan struct{})
			no.post(func(now time.Time) {
				if name == "before the decision" {
					restart()
					work.Arrived = time.Now()
					no.pool.Submit(work.Arrived, &lovagepool.Job{Ref: "east-1/a", Work: work})
				} else {
					li := no.links[wo.ID]
					cm := lovagepool.StartRun{Worker: wo.ID, Task: task, Attempt: 1, ProcessStart: wo.ProcessStart}
					restart()
					li.start(t.Context(), now, cm, li.newRunRequest(now.Add(2*stall), task, 1, "1s"))
				}
				close(done)
			})
			<-done
			time.Sleep(100 * time.Millisecond)
			fc.mu.Lock()
			defer fc.mu.Unlock()
			must.False(t, fc.startedAt[task].Before(wo.firstAnswerAt) && fc.acceptedStarts[task] > 0,
				must.Sprintf("started %s before the first answer", wo.firstAnswerAt.Sub(fc.startedAt[task])))
		})
	}
}

// Checks that a start that was decided for a former process is not sent once the new one has answered, and that replies which a former
// process gave before its end change nothing.
func TestLinkKeepsProcessesApart(t *testing.T) {
	fc := newFakeCluster([]string{"east"}, 1)
	no := startLoop(t)
	no.workerClient = fc
	li := &link{node: no, worker: fc.workers["east-w0"].Worker, fence: 1, process: lovagepool.Process{Start: 1, KnownSince: time.Now()}}
	sent := time.Now()
	note := func(sent time.Time, re Reply) (former bool) {
		former = li.noteReply(sent, re)
		li.acknowledgeEnds(re)
		return former
	}
	must.False(t, note(sent, Reply{Clock: 5000, ProcessStart: 1, LastEnd: 40}))
	fc.restart("b", 0, "east-w0")
	must.False(t, note(time.Now(), Reply{Clock: 7, ProcessStart: 2, LastEnd: 3}))
	must.True(t, note(sent, Reply{Clock: 5001, ProcessStart: 1, LastEnd: 41}))
	must.Eq(t, 3, li.lastEndNumber)
	must.Eq(t, 7, li.workerClock)
	must.False(t, note(sent, Reply{Clock: 5002}), must.Sprint("replies to starts and stops do not tell the process"))
	must.Eq(t, 7, li.workerClock)
	for start, want := range map[int64]int{1: 0, 2: 1} {
		task := fmt.Sprintf("a=%d.0.0.0", start)
		li.start(t.Context(), time.Now(), lovagepool.StartRun{Worker: "east-w0", Task: task, Attempt: 1, ProcessStart: start},
			RunRequest{Worker: "east-w0", Fence: 1, Task: task, Attempt: 1, Spec: "1h", Expires: 1 << 40})
		must.Eq(t, want, fc.acceptedStarts[task])
	}
}

// restartingWorkers is a WorkerClient that restarts the worker as another kind while the first start is on its way.
type restartingWorkers struct {
	*fakeCluster
	kind string
	once *sync.Once
}

func (rw restartingWorkers) Start(ctx context.Context, rr RunRequest) (Reply, error) {
	rw.once.Do(func() { rw.restart(rw.kind, 0, rr.Worker) })
	return rw.fakeCluster.Start(ctx, rr)
}

// Guards against a start by the labels of a process that ends while the start is on its way to it. The task runs on the new process if it
// may, and is refused otherwise.
func TestStartUnderWayReachesNoNewProcess(t *testing.T) {
	for kind, want := range map[string]lovagepool.Outcome{"a": lovagepool.Completed, "b": lovagepool.NotRun} {
		t.Run("new process of kind "+kind, func(t *testing.T) {
			fc := newFakeCluster([]string{"east"}, 1)
			fc.workers["east-w0"].Labels = []string{"a"}
			no := startLoop(t)
			no.workerClient, no.registry = restartingWorkers{fc, kind, &sync.Once{}}, partitionableStore{fc, "east-1"}
			go no.registryLoop(t.Context())
			no.post(func(now time.Time) { no.fenceByDomain["east"], no.claimedAt["east"] = 1, now })
			no.wakeRegistryLoop()
			work := constrainedWork("a", 1, 20*time.Millisecond)
			jo := &lovagepool.Job{Ref: no.newRef(), Work: work}
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				workers := make(chan int, 1)
				no.post(func(now time.Time) { workers <- no.pool.LoadReport(now, "s").Workers })
				if <-workers == 1 {
					break
				}
			}
			work.Arrived, work.Deadline = time.Now(), time.Now().Add(2*time.Second)
			fi, err := no.submitLocal(t.Context(), jo, func() string { return "" })
			must.NoError(t, err)
			must.Eq(t, want, fi.Outcome)
			fc.reportViolations(t)
		})
	}
}
