package lovagefleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"lovagestack/lovagepool"
)

// benchStopTime is how long the workers of benchmarks take to end a run. The users' workers take 50 ms at most.
const benchStopTime = 25 * time.Millisecond

// benchDeployment starts a deployment with quiet loggers whose workers take benchStopTime to end a run.
func benchDeployment(b *testing.B, workers int) *deployment {
	de := deployWith(b, &deployment{workers: workers, newLogger: func(string) Logger { return testLogger{zap.NewNop()} }})
	de.cluster.mu.Lock()
	for _, wo := range de.cluster.workers {
		wo.stopTime = benchStopTime
	}
	de.cluster.mu.Unlock()
	de.await("the owners know of each other's free capacity", 10*time.Second, func() bool {
		known := true
		for _, dc := range []string{"east", "west"} {
			if own, others := de.capacity(dc); own+others != 4*workers {
				de.nodes[de.owner(dc)].Submit(b.Context(), testWork(randomID(), 1, 10*time.Millisecond))
				known = false
			}
		}
		return known
	})
	return de
}

// tasksEndedAt returns when the last run of the job's tasks ended.
func (fc *fakeCluster) tasksEndedAt(id string) time.Time {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var last time.Time
	for task, at := range fc.endedAt {
		if strings.HasPrefix(task, id+".") && at.After(last) {
			last = at
		}
	}
	return last
}

// taskStartedAt returns when the task was last started.
func (fc *fakeCluster) taskStartedAt(task string) (time.Time, bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	at, ok := fc.startedAt[task]
	return at, ok
}

// reportQuantiles reports the median and the 99th percentile in milliseconds, and the number of the durations.
func reportQuantiles(b *testing.B, name string, list []time.Duration) {
	slices.Sort(list)
	if len(list) == 0 {
		return
	}
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))].Seconds() * 1000 }
	b.ReportMetric(at(0.5), name+"-p50-ms")
	b.ReportMetric(at(0.99), name+"-p99-ms")
	b.ReportMetric(float64(len(list)), name+"-n")
}

// load submits jobs of one task of 100 ms to the instances in turn until stop is closed.
func (de *deployment) load(perSecond float64, stop chan struct{}, submitted func(id string, at time.Time)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ids := []string{"east-1", "west-1", "east-2", "west-2"}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id, tn := randomID(), de.nodes[ids[n%len(ids)]]
		submitted(id, time.Now())
		wg.Go(func() { tn.Submit(context.Background(), testWork(id, 1, 100*time.Millisecond)) })
	}
}

// submitUntilOneRuns submits jobs of one task, one after the other, until a task runs.
func (de *deployment) submitUntilOneRuns(instance string) (id string, answer chan Answer) {
	for {
		id := randomID()
		answer := de.submit(instance, testWork(id, 1, 100*time.Millisecond))
		for len(answer) == 0 {
			if n, _ := de.cluster.activeRunsOf(id); n == 1 {
				return id, answer
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkCancel measures the time from the cancellation of a job that runs until its run has ended, and until the caller has its answer.
func BenchmarkCancel(b *testing.B) {
	for _, load := range []float64{0, 1.8} {
		for _, hop := range []string{"sameInstance", "otherInstance", "otherDataCentre"} {
			b.Run(fmt.Sprintf("load=%g/%s", load, hop), func(b *testing.B) {
				de := benchDeployment(b, 10)
				owner := de.owner("east")
				other := map[string]string{"east-1": "east-2", "east-2": "east-1"}[owner]
				at := map[string]string{"sameInstance": other, "otherInstance": owner, "otherDataCentre": "west-1"}[hop]
				stop, stopped := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(stopped)
					if load > 0 { // 40 slots, 100 ms a task
						de.load(load*400, stop, func(string, time.Time) {})
					}
				}()
				var gone, answered []time.Duration
				b.ResetTimer()
				for b.Loop() {
					id, answer := de.submitUntilOneRuns(other)
					sent := time.Now()
					oc := de.nodes[at].CancelJob(context.Background(), "checks", id)
					if oc == JobCancelled && (<-answer).Outcome == lovagepool.Cancelled {
						answered = append(answered, time.Since(sent))
						gone = append(gone, de.cluster.tasksEndedAt(id).Sub(sent))
					}
				}
				b.StopTimer()
				close(stop)
				<-stopped
				reportQuantiles(b, "gone", gone)
				reportQuantiles(b, "answer", answered)
			})
		}
	}
}

// BenchmarkCancelWave measures how long jobs wait for their start, from their submission, while every second 120 jobs are submitted at once,
// of which a share is cancelled 100 ms later, all at the same moment. The bursts and the other jobs fit on the workers. With
// ended=true, as many cancellations name jobs that no instance knows.
func BenchmarkCancelWave(b *testing.B) {
	for _, share := range []int{0, 30, 120} {
		for _, ended := range []bool{false, true} {
			if ended && share == 0 {
				continue
			}
			b.Run(fmt.Sprintf("cancelled=%d/ended=%t", share, ended), func(b *testing.B) {
				de := benchDeployment(b, 50)
				ids := []string{"east-1", "west-1", "east-2", "west-2"}
				stop, stopped := make(chan struct{}), make(chan struct{})
				sent := map[string]time.Time{}
				go func() {
					defer close(stopped)
					de.load(100, stop, func(id string, at time.Time) { sent[id] = at })
				}()
				b.ResetTimer()
				for b.Loop() {
					began := time.Now()
					var wg sync.WaitGroup
					for n := range 120 {
						id, tn := randomID(), de.nodes[ids[n%4]]
						wg.Go(func() { tn.Submit(context.Background(), testWork(id, 1, 400*time.Millisecond)) })
						if n >= share {
							continue
						}
						cancelled := id
						if ended {
							cancelled = randomID()
						}
						wg.Go(func() {
							time.Sleep(time.Until(began.Add(100 * time.Millisecond)))
							de.nodes[ids[n/4%4]].CancelJob(context.Background(), "checks", cancelled)
						})
					}
					wg.Wait()
					time.Sleep(time.Until(began.Add(time.Second)))
				}
				b.StopTimer()
				close(stop)
				<-stopped
				var waits []time.Duration
				for id, at := range sent {
					if started, ok := de.cluster.taskStartedAt(id + ".0.0.0"); ok {
						waits = append(waits, started.Sub(at))
					}
				}
				must.Positive(b, len(waits))
				reportQuantiles(b, "start", waits)
				b.ReportMetric(float64(len(sent)-len(waits)), "refused-n")
			})
		}
	}
}
