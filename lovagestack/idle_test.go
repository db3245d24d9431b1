package main

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleInstance measures what control costs an instance without load: processor time, resident memory and bytes
// sent to peers, of one process among others in three data centres. Run it with -benchtime 1x.
func BenchmarkIdleInstance(b *testing.B) {
	for _, instances := range []int{2, 4, 7, 14} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) { benchmarkIdle(b, instances) })
	}
}

// idleTime is long enough for several renewals, heartbeats and polls.
const idleTime = 10 * time.Second

func benchmarkIdle(b *testing.B, instances int) {
	dataCentres := []string{"kandla", "navlakhi", "gandhidham"}
	de := deploy(b, 6, dataCentres...)
	var first *instanceProcess
	for i := range instances {
		dc := dataCentres[i%len(dataCentres)]
		ip := de.entry(fmt.Sprintf("%s-%d", dc, i), dc)
		if first == nil {
			first = ip
		}
	}
	de.declare(first, dataCentres...)
	de.mint(first, false)
	time.Sleep(idleTime / 2) // ranges, replicas and sessions settle
	read := func() (cpu, bytes float64) {
		return de.metric(first, "lovage_process_cpu_seconds_total"), de.metric(first, "lovage_peer_bytes_sent_total")
	}
	cpu, bytes := read()
	begin := time.Now()
	time.Sleep(idleTime)
	cpu2, bytes2 := read()
	took := time.Since(begin).Seconds()
	b.ReportMetric(100*(cpu2-cpu)/took, "%core")
	b.ReportMetric((bytes2-bytes)/took, "peerB/s")
	b.ReportMetric(de.metric(first, "lovage_process_resident_memory_bytes")/(1<<20), "MiB")
	b.ReportMetric(0, "ns/op")
}
