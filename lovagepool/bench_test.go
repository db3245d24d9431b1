package lovagepool

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// BenchmarkPlacing measures an arriving job, the ends before it and the starts that follow, at 1.15 times the load that the workers
// take, so that jobs wait and some are refused. The placed share is the part of the jobs of which all tasks ran.
func BenchmarkPlacing(b *testing.B) {
	for _, workers := range []int{108, 540} {
		for _, antiAffinity := range []int{0, 1} {
			b.Run(fmt.Sprintf("workers=%d/antiAffinity=%d", workers, antiAffinity), func(b *testing.B) {
				benchPlacing(b, workers, antiAffinity)
			})
		}
	}
}

func benchPlacing(b *testing.B, workers, antiAffinity int) {
	const meanTasks, meanCores, meanRunTime, load = 4.5, 11, 0.25, 1.15 // of benchSteps; cores of benchPool are 37.3 a worker
	po, now := benchPool(workers)
	rng := rand.New(rand.NewPCG(1, 1))
	gap := time.Duration(meanTasks * meanCores * meanRunTime / (load * 37.3 * float64(workers)) * float64(time.Second))
	ends := map[int64][]StartRun{} // by millisecond
	active := map[string][]ActiveRun{}
	from, at := now, int64(0)
	submitted, completed := 0, 0
	execute := func() {
		for _, cmd := range po.Commands(now) {
			switch cm := cmd.(type) {
			case StartRun:
				end := now.Sub(from).Milliseconds() + 100 + int64(rng.IntN(301))
				ends[end] = append(ends[end], cm)
				active[cm.Worker] = append(active[cm.Worker], ActiveRun{cm.Task, cm.Attempt})
				po.HandleStartReply(now, cm.Worker, cm.Task, cm.Attempt, false, "")
			case FinishJob:
				if cm.Outcome == Completed {
					completed++
				}
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		submitted++
		arrival := from.Add(time.Duration(submitted) * gap)
		for ; at < arrival.Sub(from).Milliseconds(); at++ {
			now = from.Add(time.Duration(at) * time.Millisecond)
			if at%20 == 0 {
				po.Tick(now)
			}
			for _, st := range ends[at] {
				active[st.Worker] = slices.DeleteFunc(active[st.Worker], func(ac ActiveRun) bool { return ac.Task == st.Task })
				po.HandleRunList(now, now, st.Worker, active[st.Worker], []EndedRun{{st.Task, st.Attempt, RunDone}})
			}
			delete(ends, at)
			execute()
		}
		now = arrival
		wo := benchWork(submitted, 1, now)
		wo.TargetLatency, wo.Deadline = 100*time.Millisecond, now.Add(2*time.Second)
		wo.Steps = benchSteps(rng, antiAffinity)
		po.Submit(now, &Job{Ref: wo.ID, Work: wo})
		execute()
	}
	b.ReportMetric(float64(completed)/float64(submitted), "placedShare")
}

// benchSteps returns a step of 1 to 8 tasks of 4 to 18 cores; one in five has a label, and half have the limit antiAffinity.
func benchSteps(rng *rand.Rand, antiAffinity int) []lovagejob.Step {
	st := lovagejob.Step{
		Count: 1 + rng.IntN(8), Resources: lovagejob.Resources{MilliCores: 4000 + 1000*int64(rng.IntN(15)), MemoryMB: 64},
		RunTime: time.Duration(100+rng.IntN(301)) * time.Millisecond, AntiAffinity: antiAffinity * rng.IntN(2),
	}
	if rng.IntN(5) == 0 {
		st.Constraint = "a"
	}
	return []lovagejob.Step{st}
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
