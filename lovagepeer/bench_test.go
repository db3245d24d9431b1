package lovagepeer

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagemessage"
)

// connectedPair returns a Mesh connected to the instance at the address.
func connectedPair(b *testing.B) (me *Mesh, counts *testCounters, address string) {
	counts = newTestCounters()
	_, address, _ = startMesh(b, Options{Instance: "b"}, echo)
	me, _, _ = startMesh(b, Options{Instance: "a", Counters: counts}, echo)
	must.NoError(b, askAndCheck(me, context.Background(), address, "first"))
	return me, counts, address
}

// reportPercentiles reports the median and the 99th percentile in µs.
func reportPercentiles(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	at := func(q float64) float64 {
		return float64(latencies[int(q*float64(len(latencies)-1))].Nanoseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-µs")
	b.ReportMetric(at(0.99), "p99-µs")
}

// BenchmarkCall measures the latency of small sequential calls.
func BenchmarkCall(b *testing.B) {
	me, _, address := connectedPair(b)
	latencies := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		if _, err := me.Call(context.Background(), address, acceptRequest(1)); err != nil {
			b.Fatal(err)
		}
		latencies = append(latencies, time.Since(start))
	}
	reportPercentiles(b, latencies)
}

// BenchmarkCallConcurrent measures the throughput of small calls and how many frames share a write.
func BenchmarkCallConcurrent(b *testing.B) {
	for _, callers := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			me, counts, address := connectedPair(b)
			writes, frames := counts.get(CounterWrites), counts.get(CounterRequestsSent)
			callsPerCaller := max(1, b.N/callers)
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range callsPerCaller {
						if _, err := me.Call(context.Background(), address, acceptRequest(1)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			calls := float64(callsPerCaller * callers)
			b.ReportMetric(calls/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64(counts.get(CounterRequestsSent)-frames)/float64(counts.get(CounterWrites)-writes), "frames/write")
		})
	}
}

// BenchmarkBatchedAccept measures accept messages that carry several keys each, as a ledger sends them.
func BenchmarkBatchedAccept(b *testing.B) {
	for _, keys := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			me, _, address := connectedPair(b)
			req := &lovagemessage.Accept{DataCentre: "kandla", Range: 12, Epoch: 7}
			for i := range keys {
				req.Keys = append(req.Keys, &lovagemessage.AcceptKey{Key: fmt.Sprintf("kandla.12.7.%d.5f0c9a1be2d34c77", 1_796_381_234_567+i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := me.Call(context.Background(), address, &lovagemessage.Request{
					Body: &lovagemessage.Request_Accept{Accept: req},
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(keys*b.N)/b.Elapsed().Seconds(), "keys/s")
		})
	}
}

// BenchmarkBulk measures the throughput of large requests, and the latency of accepts during large requests.
func BenchmarkBulk(b *testing.B) {
	const size = 8 << 20
	payload := make([]byte, size)
	transfer := func(me *Mesh, address string) error {
		_, err := me.Call(context.Background(), address, &lovagemessage.Request{
			Body: &lovagemessage.Request_ResultCopy{ResultCopy: &lovagemessage.ResultCopy{
				Records: []*lovagemessage.Record{{Answer: &lovagemessage.Answer{
					Results: []*lovagemessage.TaskResult{{Body: payload}},
				}}},
			}},
		})
		return err
	}
	b.Run("transfer", func(b *testing.B) {
		me, _, address := connectedPair(b)
		b.SetBytes(size)
		for b.Loop() {
			if err := transfer(me, address); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("accept beside transfer", func(b *testing.B) {
		me, _, address := connectedPair(b)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := transfer(me, address); err != nil {
					b.Error(err)
					return
				}
			}
		})
		latencies := make([]time.Duration, 0, b.N)
		for b.Loop() {
			start := time.Now()
			if _, err := me.Call(context.Background(), address, acceptRequest(1)); err != nil {
				b.Fatal(err)
			}
			latencies = append(latencies, time.Since(start))
		}
		close(stop)
		wg.Wait()
		reportPercentiles(b, latencies)
	})
}

// BenchmarkHeartbeat measures a heartbeat and its reply, for an instance with 8 ranges and a varying number of known
// peers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, instances := range []int{6, 100} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			me, counts, address := connectedPair(b)
			hb := &lovagemessage.Heartbeat{
				Instance: "kandla-1", DataCentre: "kandla", Address: "10.0.0.1:7101", Ready: true,
				Domains: []*lovagemessage.DomainLoad{{Domain: "kandla/0", FreeSlots: 10, QueuedTasks: 20}},
			}
			for i := range instances {
				hb.KnownPeers = append(hb.KnownPeers, &lovagemessage.PeerState{
					Instance: fmt.Sprintf("kandla-%d", i), DataCentre: "kandla", Address: "10.0.0.1:7101",
				})
			}
			for i := range 8 {
				hb.Ranges = append(hb.Ranges, &lovagemessage.RangeState{
					DataCentre: "kandla", Range: int32(i), Epoch: 7, Owner: "kandla-1", Replica: "kandla-2", Version: 9,
				})
			}
			bytes := counts.get(CounterBytesSent)
			b.ReportAllocs()
			for b.Loop() {
				_, err := me.Call(context.Background(), address, &lovagemessage.Request{
					Body: &lovagemessage.Request_Heartbeat{Heartbeat: hb},
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(counts.get(CounterBytesSent)-bytes)/float64(b.N), "bytes/heartbeat")
		})
	}
}

// BenchmarkSessions measures the memory of an idle session, both sides together, before and after an 8 MiB
// transfer.
func BenchmarkSessions(b *testing.B) {
	const peers = 50
	for b.Loop() {
		me, _, _ := startMesh(b, Options{Instance: "me"}, echo)
		addresses := make([]string, peers)
		for i := range addresses {
			_, addresses[i], _ = startMesh(b, Options{Instance: fmt.Sprintf("peer-%d", i)}, echo)
		}
		before := memoryInUse()
		for _, address := range addresses {
			must.NoError(b, askAndCheck(me, context.Background(), address, "x"))
		}
		idle := memoryInUse()
		big := string(make([]byte, 8<<20))
		for _, address := range addresses {
			must.NoError(b, askAndCheck(me, context.Background(), address, big))
		}
		b.ReportMetric(float64(idle-before)/peers/1024, "KiB/session")
		b.ReportMetric(float64(memoryInUse()-before)/peers/1024, "KiB/session-used")
	}
}

// memoryInUse returns the bytes in live heap objects and stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc + ms.StackInuse)
}
