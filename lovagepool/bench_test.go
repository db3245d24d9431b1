package lovagepool

import (
	"fmt"
	"testing"
	"time"

	"lovagestack/lovagejob"
)

// benchPool returns a pool with workers of two sizes and two kinds.
func benchPool(workers int) (*Pool, time.Time) {
	po := New(DefaultSettings())
	now := time.Unix(1_700_000_000, 0)
	var list []Worker
	for i := range workers {
		wo := testWorker(fmt.Sprintf("w%03d", i), 32000+16000*int64(i%3/2))
		wo.Capacity.MemoryMB = 100000
		wo.Kind = []string{"a", "a", "b"}[i%3]
		list = append(list, wo)
	}
	po.SetWorkers(now, list)
	for _, wo := range list {
		po.HandleRunList(now, now, wo.ID, nil, nil)
	}
	return po, now
}

func benchWork(n, tasks int, now time.Time) *lovagejob.Workload {
	return &lovagejob.Workload{
		ID: fmt.Sprint(n), Queue: "queue", Service: "checks", BestEffort: true, MaxAttempts: 2, SlackFactor: 1.6,
		TargetLatency: time.Minute, Arrived: now, Deadline: now.Add(time.Hour),
		Steps: []lovagejob.Step{{Count: tasks, Resources: lovagejob.Resources{MilliCores: 10000 + int64(n%10)*1000, MemoryMB: 64}}},
	}
}

// BenchmarkDecisions measures the start and end of one run in a pool of 350 workers, some of them free. The target is 10,000
// starts a second on one core.
func BenchmarkDecisions(b *testing.B) {
	po, now := benchPool(350)
	var running []StartRun
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		n++
		wo := benchWork(n, 1, now)
		po.Submit(now, &Job{Ref: wo.ID, Work: wo})
		running = append(running, startsOf(po.Commands(now))...)
		if len(running) > 500 {
			st := running[0]
			running = running[1:]
			po.HandleRunList(now, now, st.Worker, nil, []EndedRun{{st.Task, st.Attempt, RunDone}})
		}
	}
}

// BenchmarkOverload measures the end of one run and the starts that follow, while many jobs wait.
func BenchmarkOverload(b *testing.B) {
	for _, waiting := range []int{20, 200} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			po, now := benchPool(70)
			var running []StartRun
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for len(po.readyJobs) < waiting {
					n++
					wo := benchWork(n, 2, now)
					po.Submit(now, &Job{Ref: wo.ID, Work: wo})
					running = append(running, startsOf(po.Commands(now))...)
				}
				st := running[0]
				running = running[1:]
				po.HandleRunList(now, now, st.Worker, nil, []EndedRun{{st.Task, st.Attempt, RunDone}})
				running = append(running, startsOf(po.Commands(now))...)
			}
		})
	}
}

// BenchmarkCancelJob measures the cancellation of a job with one run, the end of that run and the start that takes its room, while many
// jobs run or wait.
func BenchmarkCancelJob(b *testing.B) {
	for _, waiting := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			po, now := benchPool(70)
			var running []StartRun
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for len(po.readyJobs) < waiting {
					n++
					wo := benchWork(n, 1, now)
					po.Submit(now, &Job{Ref: wo.ID, Work: wo})
					running = append(running, startsOf(po.Commands(now))...)
				}
				st := running[0]
				running = running[1:]
				po.CancelJob(now, "queue", st.Ref)
				running = append(running, startsOf(po.Commands(now))...)
				po.HandleRunList(now, now, st.Worker, nil, []EndedRun{{st.Task, st.Attempt, RunStopped}})
				running = append(running, startsOf(po.Commands(now))...)
			}
		})
	}
}

func startsOf(list []Command) []StartRun {
	var starts []StartRun
	for _, cmd := range list {
		if st, ok := cmd.(StartRun); ok {
			starts = append(starts, st)
		}
	}
	return starts
}
