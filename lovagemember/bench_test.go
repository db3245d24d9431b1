package lovagemember

import (
	"fmt"
	"testing"
	"time"

	"lovagestack/lovageplatform"
)

// newPopulatedCore returns a Core that is in contact with all instances and knows all workers, and the matching list.
func newPopulatedCore(instances, workers int) (*Core, ListRead) {
	co := newCore("i0")
	var list ListRead
	var pools PoolsChanged
	for i := range instances {
		id := fmt.Sprintf("i%d", i)
		list.Instances = append(list.Instances, listedInstance(id))
		co.Step(startTime, heartbeatFrom(id), nil)
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		list.Instances = append(list.Instances, listedWorker(id, lovageplatform.StateLive))
		pools.Workers = append(pools.Workers, DeclaredWorker{Worker: id, DataCentre: "kandla", Address: id + ":1"})
	}
	co.Step(startTime, pools, nil)
	co.Step(startTime, list, nil)
	return co, list
}

var benchSizes = []struct{ instances, workers int }{{6, 48}, {20, 300}, {50, 1100}, {100, 1100}}

// BenchmarkTick measures a tick without changes.
func BenchmarkTick(b *testing.B) {
	for _, si := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d,workers=%d", si.instances, si.workers), func(b *testing.B) {
			co, _ := newPopulatedCore(si.instances, si.workers)
			var out []Command
			b.ReportAllocs()
			for b.Loop() {
				out = co.Step(startTime.Add(time.Second), Tick{}, out[:0])
			}
		})
	}
}

// BenchmarkSecond measures the events of one second: a tick, a list and a heartbeat from each peer.
func BenchmarkSecond(b *testing.B) {
	for _, si := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d,workers=%d", si.instances, si.workers), func(b *testing.B) {
			co, list := newPopulatedCore(si.instances, si.workers)
			heartbeats := make([]Event, si.instances)
			for i := range heartbeats {
				heartbeats[i] = heartbeatFrom(fmt.Sprintf("i%d", i))
			}
			var out []Command
			b.ReportAllocs()
			for b.Loop() {
				out = co.Step(startTime, Tick{}, out[:0])
				out = co.Step(startTime, list, out)
				for _, hb := range heartbeats {
					out = co.Step(startTime, hb, out)
				}
			}
		})
	}
}
