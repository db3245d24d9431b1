package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lovagestack/lovagejob"
)

// BenchmarkTaskCost measures what a task costs the instance that owns its job, by the size of the job: processor time,
// bytes sent to the replica, resident memory. The instance runs as a process of its own. Run it with -benchtime 1x.
func BenchmarkTaskCost(b *testing.B) {
	for _, repeatable := range []bool{true, false} {
		for _, tasks := range []int{1, 10, 50, 350} {
			b.Run(fmt.Sprintf("repeatable=%v/tasks=%d", repeatable, tasks), func(b *testing.B) {
				benchmarkTaskCost(b, repeatable, tasks)
			})
		}
	}
}

// costTime is the length of one measurement.
const costTime = 4 * time.Second

func benchmarkTaskCost(b *testing.B, repeatable bool, tasks int) {
	de := deploy(b, 16, "kandla")
	k1 := de.entry("kandla-1", "kandla")
	k2 := de.entry("kandla-2", "kandla")
	de.declare(k1, "kandla")
	de.inForce(k1, 3)
	de.inForce(k2, 3)
	if !repeatable {
		de.mintReplicated(k1)
	}
	load := &costLoad{de: de, ip: k1, repeatable: repeatable, tasks: tasks}
	load.drive(b, costTime/4) // learns the run times
	cpu, sent := de.metric(k1, "lovage_process_cpu_seconds_total"), de.metric(k1, "lovage_peer_bytes_sent_total")
	load.done = 0
	begin := time.Now()
	load.drive(b, costTime)
	took := time.Since(begin).Seconds()
	n := float64(load.done * tasks)
	b.ReportMetric(1e6*(de.metric(k1, "lovage_process_cpu_seconds_total")-cpu)/n, "cpu-µs/task")
	b.ReportMetric((de.metric(k1, "lovage_peer_bytes_sent_total")-sent)/n, "peerB/task")
	b.ReportMetric(n/took, "tasks/s")
	b.ReportMetric(de.metric(k1, "lovage_process_resident_memory_bytes")/(1<<20), "MiB")
	b.ReportMetric(0, "ns/op")
}

// costLoad submits jobs of one size from a fixed number of callers.
type costLoad struct {
	de         *deployment
	ip         *instanceProcess
	repeatable bool
	tasks      int
	mu         sync.Mutex
	done       int
	err        error
}

const costCallers = 16

func (cl *costLoad) drive(b *testing.B, length time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for range costCallers {
		wg.Go(func() { cl.run(end) })
	}
	wg.Wait()
	if cl.err != nil {
		b.Fatal(cl.err)
	}
}

// run submits one job after the other until the end.
func (cl *costLoad) run(end time.Time) {
	for time.Now().Before(end) {
		body := jobBody(cl.de.mint(cl.ip, cl.repeatable), cl.repeatable, cl.tasks, time.Millisecond)
		an, err := cl.de.submit(cl.ip, body)
		if err == nil && an.Outcome != lovagejob.Complete {
			err = fmt.Errorf("outcome %s: %s %s", an.Outcome, an.Reason, an.Error)
		}
		cl.mu.Lock()
		if err != nil {
			cl.err = err
		} else {
			cl.done++
		}
		cl.mu.Unlock()
		if err != nil {
			return
		}
	}
}
