package main

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleInstance measures what control costs an instance without load: processor time, resident memory and bytes
// sent to peers, of one process among others. Rows with 28 and more instances use relays, but for those with mesh, and
// measure a relay and an instance that is none. Run it with -benchtime 1x.
func BenchmarkIdleInstance(b *testing.B) {
	for _, row := range []struct {
		instances, dataCentres int
		mesh                   bool
	}{{2, 3, true}, {4, 3, true}, {7, 3, true}, {14, 3, true}, {28, 7, true}, {28, 7, false}, {42, 14, false}} {
		name := fmt.Sprintf("instances=%d,dataCentres=%d,mesh=%v", row.instances, row.dataCentres, row.mesh)
		b.Run(name, func(b *testing.B) { benchmarkIdle(b, row.instances, row.dataCentres, row.mesh) })
	}
}

// idleTime is long enough for several renewals, heartbeats and polls.
const idleTime = 10 * time.Second

func benchmarkIdle(b *testing.B, instances, count int, mesh bool) {
	dataCentres := []string{"kandla", "navlakhi", "gandhidham"}
	for i := len(dataCentres); i < count; i++ {
		dataCentres = append(dataCentres, fmt.Sprintf("dc%d", i))
	}
	settings := "[heartbeat]\nmeshInstances = 24"
	if mesh {
		settings = "[heartbeat]\nmeshInstances = 1000"
	}
	de := deploy(b, 2*count, dataCentres...)
	var all []*instanceProcess
	for i := range instances {
		dc := dataCentres[i%len(dataCentres)]
		all = append(all, de.entry(fmt.Sprintf("%s-%d", dc, i), dc, settings))
	}
	de.declare(all[0], dataCentres...)
	de.mint(all[0], false)
	time.Sleep(idleTime / 2) // ranges, replicas and sessions settle
	measured := map[string]*instanceProcess{"": all[0]}
	if !mesh {
		measured = map[string]*instanceProcess{}
		near := float64((instances+count-1)/count - 1)
		for _, ip := range all {
			role, most := "plain-", near
			if de.metric(ip, "lovage_relay") == 1 {
				role, most = "relay-", near+float64(count-1)
			}
			measured[role] = ip
			de.eventually(ip.id+" has closed the sessions that it does not need", func() bool {
				return de.metric(ip, "lovage_peer_sessions") <= most
			})
		}
	}
	read := func(ip *instanceProcess) (cpu, bytes float64) {
		return de.metric(ip, "lovage_process_cpu_seconds_total"), de.metric(ip, "lovage_peer_bytes_sent_total")
	}
	cpu, bytes := map[string]float64{}, map[string]float64{}
	begin := time.Now()
	for role, ip := range measured {
		cpu[role], bytes[role] = read(ip)
	}
	time.Sleep(idleTime)
	for role, ip := range measured {
		cpu2, bytes2 := read(ip)
		took := time.Since(begin).Seconds()
		b.ReportMetric(100*(cpu2-cpu[role])/took, role+"%core")
		b.ReportMetric((bytes2-bytes[role])/took, role+"peerB/s")
		b.ReportMetric(de.metric(ip, "lovage_process_resident_memory_bytes")/(1<<20), role+"MiB")
		b.ReportMetric(de.metric(ip, "lovage_peer_sessions"), role+"sessions")
	}
	b.ReportMetric(0, "ns/op")
}
