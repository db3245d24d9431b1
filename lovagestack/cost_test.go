package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lovagestack/lovagejob"
)

// Measures an instance process that owns all jobs, for several numbers of tasks per job. It reports CPU time and bytes
// sent to the replica per task, tasks per second and resident memory. Run it with -benchtime 1x.
func BenchmarkTaskCost(b *testing.B) {
	for _, repeatable := range []bool{true, false} {
		for _, tasksPerJob := range []int{1, 10, 50, 350} {
			b.Run(fmt.Sprintf("repeatable=%v/tasks=%d", repeatable, tasksPerJob), func(b *testing.B) {
				benchmarkTaskCost(b, repeatable, tasksPerJob)
			})
		}
	}
}

const costDuration = 4 * time.Second

func benchmarkTaskCost(b *testing.B, repeatable bool, tasksPerJob int) {
	de := deploy(b, 16, "kandla")
	k1 := de.startEntry("kandla-1", "kandla")
	k2 := de.startEntry("kandla-2", "kandla")
	de.declareResources(k1, "kandla")
	de.awaitRevision(k1, 3)
	de.awaitRevision(k2, 3)
	if !repeatable {
		de.mintReplicated(k1)
	}
	load := &costLoad{de: de, ip: k1, repeatable: repeatable, tasksPerJob: tasksPerJob}
	load.runCallers(b, costDuration/4) // warm-up: the instance learns run times
	cpuBefore, sentBefore := de.metric(k1, "lovage_process_cpu_seconds_total"), de.metric(k1, "lovage_peer_bytes_sent_total")
	load.completedJobs = 0
	begin := time.Now()
	load.runCallers(b, costDuration)
	elapsed := time.Since(begin).Seconds()
	taskCount := float64(load.completedJobs * tasksPerJob)
	b.ReportMetric(1e6*(de.metric(k1, "lovage_process_cpu_seconds_total")-cpuBefore)/taskCount, "cpu-µs/task")
	b.ReportMetric((de.metric(k1, "lovage_peer_bytes_sent_total")-sentBefore)/taskCount, "peerB/task")
	b.ReportMetric(taskCount/elapsed, "tasks/s")
	b.ReportMetric(de.metric(k1, "lovage_process_resident_memory_bytes")/(1<<20), "MiB")
	b.ReportMetric(0, "ns/op")
}

type costLoad struct {
	de            *deployment
	ip            *instanceProcess
	repeatable    bool
	tasksPerJob   int
	mu            sync.Mutex
	completedJobs int
	err           error
}

const costCallers = 16

func (cl *costLoad) runCallers(b *testing.B, duration time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for range costCallers {
		wg.Go(func() { cl.run(end) })
	}
	wg.Wait()
	if cl.err != nil {
		b.Fatal(cl.err)
	}
}

// run submits jobs one after the other until the end time.
func (cl *costLoad) run(end time.Time) {
	for time.Now().Before(end) {
		body := jobBody(cl.de.mint(cl.ip, cl.repeatable), cl.repeatable, cl.tasksPerJob, time.Millisecond)
		an, err := cl.de.submit(cl.ip, body)
		if err == nil && an.Outcome != lovagejob.Complete {
			err = fmt.Errorf("outcome %s: %s %s", an.Outcome, an.Reason, an.Error)
		}
		cl.mu.Lock()
		if err != nil {
			cl.err = err
		} else {
			cl.completedJobs++
		}
		cl.mu.Unlock()
		if err != nil {
			return
		}
	}
}
