package lovagedispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

const benchSlots = 8

// benchCore returns a core with n workers of 8 slots and no job.
func benchCore(n int) *Core {
	co := New(DefaultSettings("e1", "kandla"), rand.New(rand.NewPCG(1, 2)))
	workers := testWorkers(n, benchSlots)
	for i := range workers {
		workers[i].DataCentre, workers[i].Pool, workers[i].Cores = "kandla", "p", 32
	}
	co.Step(epoch, WorkersChanged{Workers: workers}, nil)
	co.Step(epoch, ServicesChanged{Services: []Service{{Name: "both"}}}, nil)
	return co
}

func benchSubmit(job uint64, team, tasks int) Submit {
	return Submit{
		Job: job, Service: "both", Team: benchTeams[team], Tasks: tasks, Deadline: epoch.Add(time.Hour),
		DeclaredRunTime: 100 * time.Millisecond,
	}
}

var benchTeams [180]string

func init() {
	for i := range benchTeams {
		benchTeams[i] = fmt.Sprintf("team-%d", i)
	}
}

// BenchmarkStartEnd measures the end of a task and the start of the next queued one. All slots are in use and the
// number of queued jobs stays constant: each started job is replaced by a new one.
func BenchmarkStartEnd(b *testing.B) {
	for _, workers := range []int{48, 300, 1100} {
		for _, queued := range []int{1, 1000, 100_000} {
			for _, teams := range []int{1, 18, 180} {
				b.Run(fmt.Sprintf("workers=%d/queued=%d/teams=%d", workers, queued, teams), func(b *testing.B) {
					benchCycle(b, workers, workers*benchSlots, queued, teams, 1)
				})
			}
		}
	}
	b.Run("workers=1100/queued=1000/teams=18/tasksPerJob=20", func(b *testing.B) { benchCycle(b, 1100, 1100*benchSlots, 1000, 18, 20) })
}

// benchCycle keeps the given numbers of tasks in flight and of jobs queued.
func benchCycle(b *testing.B, workers, inFlight, queued, teams, tasksPerJob int) {
	co := benchCore(workers)
	co.settings.MaxQueuedTasks = 1 << 30
	rng := rand.New(rand.NewPCG(3, 4))
	var out []Command
	running, job := make([]StartTask, 0, workers*benchSlots+1), uint64(0)
	submit := func() {
		job++
		out = co.Step(co.nowTime, benchSubmit(job, int(job)%teams, tasksPerJob), out[:0])
		running = appendStarts(running, out)
	}
	for len(running) < inFlight || co.deadlines.len() < queued {
		submit()
	}
	now, starts := epoch, 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(3 * time.Microsecond)
		i := rng.IntN(len(running))
		st := running[i]
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
		ev := TaskEnded{Job: st.Job, Task: st.Task, Worker: st.Worker, State: Succeeded}
		out = co.Step(now, ev, out[:0])
		before := len(running)
		running = appendStarts(running, out)
		if co.deadlines.len() < queued || len(running) < inFlight {
			submit()
		}
		starts += len(running) - before
	}
	b.StopTimer()
	if starts < b.N/2 {
		b.Fatalf("%d starts in %d rounds", starts, b.N)
	}
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
}

func appendStarts(running []StartTask, out []Command) []StartTask {
	for _, cm := range out {
		if st, ok := cm.(StartTask); ok {
			running = append(running, st)
		}
	}
	return running
}

// BenchmarkFreeSlots measures submit, start and end of single tasks at a load of 0.6, where hardly any task waits.
func BenchmarkFreeSlots(b *testing.B) {
	for _, workers := range []int{48, 300, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchCycle(b, workers, workers*benchSlots*6/10, 0, 18, 1) })
	}
}

// BenchmarkSubmit measures the admission of a job that has to wait, and BenchmarkCancel its cancellation.
func BenchmarkSubmit(b *testing.B) {
	for _, queued := range []int{1, 1000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) { benchQueue(b, queued, true) })
	}
}

func BenchmarkCancel(b *testing.B) {
	for _, queued := range []int{1, 1000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) { benchQueue(b, queued, false) })
	}
}

func benchQueue(b *testing.B, queued int, timeSubmit bool) {
	const workers = 300
	co := benchCore(workers)
	co.settings.MaxQueuedTasks = 1 << 30
	rng := rand.New(rand.NewPCG(3, 4))
	var out []Command
	jobs, job := make([]uint64, 0, queued+1), uint64(0)
	submit := func() {
		job++
		out = co.Step(epoch, benchSubmit(job, int(job)%18, 1), out[:0])
	}
	for range workers * benchSlots {
		submit()
	}
	for range queued {
		submit()
		jobs = append(jobs, job)
	}
	b.ReportAllocs()
	b.ResetTimer()
	setBenchTimer(b, timeSubmit)
	for left := b.N; left > 0; left -= 64 {
		for range min(left, 64) {
			submit()
			jobs = append(jobs, job)
		}
		setBenchTimer(b, !timeSubmit)
		for range min(left, 64) {
			i := rng.IntN(len(jobs))
			out = co.Step(epoch, Cancel{Job: jobs[i]}, out[:0])
			jobs[i] = jobs[len(jobs)-1]
			jobs = jobs[:len(jobs)-1]
		}
		setBenchTimer(b, timeSubmit)
	}
}

func setBenchTimer(b *testing.B, on bool) {
	if on {
		b.StartTimer()
		return
	}
	b.StopTimer()
}

// BenchmarkQueuedMemory reports the memory of queued tasks, for jobs of one task and for jobs of 350.
func BenchmarkQueuedMemory(b *testing.B) {
	for _, tasks := range []int{1, 350} {
		b.Run(fmt.Sprintf("tasksPerJob=%d", tasks), func(b *testing.B) {
			const jobs = 100_000
			perTask := 0.0
			for range b.N {
				co := benchCore(48)
				co.settings.MaxQueuedTasks, co.settings.MaxTotalTasks = 1<<30, 1<<30
				before := heapBytes()
				for job := range uint64(jobs) {
					co.Step(epoch, benchSubmit(job+1, int(job)%180, tasks), nil)
				}
				perTask = float64(heapBytes()-before) / float64(co.queuedTasks)
				runtime.KeepAlive(co)
			}
			b.ReportMetric(perTask, "B/queued-task")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// BenchmarkEstimates measures what a transfer of the estimates costs the control loop: collecting, comparing, merging.
func BenchmarkEstimates(b *testing.B) {
	for _, n := range []int{48, 300, 1100, 15000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			dr := newCentralPoolDriver(n)
			for i, wo := range dr.core.workerList {
				wo.sampleCount = 20
				wo.setSlowdown(0.5 + float64(i%16)/8)
			}
			acknowledged := dr.core.Estimates()
			b.ReportAllocs()
			for b.Loop() {
				changed := dr.core.Estimates().Since(acknowledged)
				acknowledged = acknowledged.Merged(changed)
			}
		})
	}
}
