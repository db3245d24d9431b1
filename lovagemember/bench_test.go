package lovagemember

import (
	"fmt"
	"testing"
	"time"

	"lovagestack/lovageplatform"
)

// filled returns a Core that hears from all instances and knows all workers, and the list that says so.
func filled(instances, workers int) (*Core, ListRead) {
	co := newCore("i0")
	var list ListRead
	var pools PoolsChanged
	for i := range instances {
		id := fmt.Sprintf("i%d", i)
		list.Instances = append(list.Instances, entry(id))
		co.Step(start, heartbeat(id), nil)
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		list.Instances = append(list.Instances, listedWorker(id, lovageplatform.StateLive))
		pools.Workers = append(pools.Workers, DeclaredWorker{Worker: id, DataCentre: "kandla", Address: id + ":1"})
	}
	co.Step(start, pools, nil)
	co.Step(start, list, nil)
	return co, list
}

var benchSizes = []struct{ instances, workers int }{{6, 48}, {20, 300}, {50, 1100}, {100, 1100}}

// BenchmarkTick measures a tick without changes.
func BenchmarkTick(b *testing.B) {
	for _, si := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d,workers=%d", si.instances, si.workers), func(b *testing.B) {
			co, _ := filled(si.instances, si.workers)
			var out []Command
			b.ReportAllocs()
			for b.Loop() {
				out = co.Step(start.Add(time.Second), Tick{}, out[:0])
			}
		})
	}
}

// BenchmarkSecond measures what a second brings: a tick, a heartbeat and a reply from each peer, and a list.
func BenchmarkSecond(b *testing.B) {
	for _, si := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d,workers=%d", si.instances, si.workers), func(b *testing.B) {
			co, list := filled(si.instances, si.workers)
			beats := make([]Event, si.instances)
			for i := range beats {
				beats[i] = heartbeat(fmt.Sprintf("i%d", i))
			}
			var out []Command
			b.ReportAllocs()
			for b.Loop() {
				out = co.Step(start, Tick{}, out[:0])
				out = co.Step(start, list, out)
				for _, hb := range beats {
					out = co.Step(start, hb, out)
				}
			}
		})
	}
}
