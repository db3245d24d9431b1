package main

import (
	"fmt"
	"testing"
	"time"
)

// Measures an instance process with control traffic but no jobs. It reports CPU time, resident memory, bytes sent to
// peers and sessions. Rows without mesh have 28 or more instances and use relays. These rows measure a relay and
// another instance. Run it with -benchtime 1x.
func BenchmarkIdleInstance(b *testing.B) {
	for _, row := range []struct {
		instances, dataCentres int
		mesh                   bool
	}{{2, 3, true}, {4, 3, true}, {7, 3, true}, {14, 3, true}, {28, 7, true}, {28, 7, false}, {42, 14, false}} {
		name := fmt.Sprintf("instances=%d,dataCentres=%d,mesh=%v", row.instances, row.dataCentres, row.mesh)
		b.Run(name, func(b *testing.B) { benchmarkIdle(b, row.instances, row.dataCentres, row.mesh) })
	}
}

// idleDuration, the length of a measurement, covers several lease renewals, heartbeats and polls.
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
	var processes []*instanceProcess
	for i := range instances {
		dc := dataCentres[i%len(dataCentres)]
		processes = append(processes, de.startEntry(fmt.Sprintf("%s-%d", dc, i), dc, settings))
	}
	de.declareResources(processes[0], dataCentres...)
	de.mint(processes[0], false)
	time.Sleep(idleDuration / 2) // ranges, replicas and sessions become stable
	measured := map[string]*instanceProcess{"": processes[0]}
	if !mesh {
		measured = map[string]*instanceProcess{}
		sameCentrePeers := float64((instances+dataCentreCount-1)/dataCentreCount - 1)
		for _, ip := range processes {
			role, maxSessions := "plain-", sameCentrePeers
			if de.metric(ip, "lovage_relay") == 1 {
				role, maxSessions = "relay-", sameCentrePeers+float64(dataCentreCount-1)
			}
			measured[role] = ip
			de.eventually(ip.id+" has closed the sessions that it does not need", func() bool {
				return de.metric(ip, "lovage_peer_sessions") <= maxSessions
			})
		}
	}
	readCounters := func(ip *instanceProcess) (cpu, bytes float64) {
		return de.metric(ip, "lovage_process_cpu_seconds_total"), de.metric(ip, "lovage_peer_bytes_sent_total")
	}
	cpuBefore, bytesBefore := map[string]float64{}, map[string]float64{}
	begin := time.Now()
	for role, ip := range measured {
		cpuBefore[role], bytesBefore[role] = readCounters(ip)
	}
	time.Sleep(idleDuration)
	for role, ip := range measured {
		cpuAfter, bytesAfter := readCounters(ip)
		elapsed := time.Since(begin).Seconds()
		b.ReportMetric(100*(cpuAfter-cpuBefore[role])/elapsed, role+"%core")
		b.ReportMetric((bytesAfter-bytesBefore[role])/elapsed, role+"peerB/s")
		b.ReportMetric(de.metric(ip, "lovage_process_resident_memory_bytes")/(1<<20), role+"MiB")
		b.ReportMetric(de.metric(ip, "lovage_peer_sessions"), role+"sessions")
	}
	b.ReportMetric(0, "ns/op")
}
