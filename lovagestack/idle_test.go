package main

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleInstance measures what control traffic costs an instance without load: CPU time, resident memory and
// bytes sent to peers of one process. Rows with 28 or more instances use relays unless mesh is set, and measure a relay
// and an instance that is not a relay. Run it with -benchtime 1x.
func BenchmarkIdleInstance(b *testing.B) {
	for _, row := range []struct {
		instances, dataCentres int
		mesh                   bool
	}{{2, 3, true}, {4, 3, true}, {7, 3, true}, {14, 3, true}, {28, 7, true}, {28, 7, false}, {42, 14, false}} {
		name := fmt.Sprintf("instances=%d,dataCentres=%d,mesh=%v", row.instances, row.dataCentres, row.mesh)
		b.Run(name, func(b *testing.B) { benchmarkIdle(b, row.instances, row.dataCentres, row.mesh) })
	}
}

// idleDuration is long enough for several renewals, heartbeats and polls.
const idleDuration = 10 * time.Second

func benchmarkIdle(b *testing.B, instances, dataCentreCount int, mesh bool) {
	dataCentres := []string{"kandla", "navlakhi", "gandhidham"}
	for i := len(dataCentres); i < dataCentreCount; i++ {
		dataCentres = append(dataCentres, fmt.Sprintf("dc%d", i))
	}
	settings := "[heartbeat]\nmeshInstances = 24"
	if mesh {
		settings = "[heartbeat]\nmeshInstances = 1000"
	}
	de := deploy(b, 2*dataCentreCount, dataCentres...)
	var all []*instanceProcess
	for i := range instances {
		dc := dataCentres[i%len(dataCentres)]
		all = append(all, de.startEntry(fmt.Sprintf("%s-%d", dc, i), dc, settings))
	}
	de.declareResources(all[0], dataCentres...)
	de.mint(all[0], false)
	time.Sleep(idleDuration / 2) // until ranges, replicas and sessions are stable
	measured := map[string]*instanceProcess{"": all[0]}
	if !mesh {
		measured = map[string]*instanceProcess{}
		localPeers := float64((instances+dataCentreCount-1)/dataCentreCount - 1)
		for _, ip := range all {
			role, maxSessions := "plain-", localPeers
			if de.metric(ip, "lovage_relay") == 1 {
				role, maxSessions = "relay-", localPeers+float64(dataCentreCount-1)
			}
			measured[role] = ip
			de.eventually(ip.id+" has closed the sessions that it does not need", func() bool {
				return de.metric(ip, "lovage_peer_sessions") <= maxSessions
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
	time.Sleep(idleDuration)
	for role, ip := range measured {
		cpu2, bytes2 := read(ip)
		elapsed := time.Since(begin).Seconds()
		b.ReportMetric(100*(cpu2-cpu[role])/elapsed, role+"%core")
		b.ReportMetric((bytes2-bytes[role])/elapsed, role+"peerB/s")
		b.ReportMetric(de.metric(ip, "lovage_process_resident_memory_bytes")/(1<<20), role+"MiB")
		b.ReportMetric(de.metric(ip, "lovage_peer_sessions"), role+"sessions")
	}
	b.ReportMetric(0, "ns/op")
}
