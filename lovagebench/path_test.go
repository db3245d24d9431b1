package lovagebench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageapi"
	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
)

// BenchmarkAddedTime measures the time that the whole path adds to a call of the worker: caller, HTTP, instance, HTTP,
// worker and back, with keys minted ahead of time. Direct and dispatched calls alternate, so that a change of the
// machine's load hits both. The target is at most 0.5 ms more at the median.
func BenchmarkAddedTime(b *testing.B) {
	op := smallOptions()
	op.Latency = Latency{} // direct calls have none either
	de, err := newDeployment(b.Context(), op, Variant{
		Name: "central", Policy: lovagedispatch.Central,
	})
	must.NoError(b, err)
	defer de.close()
	for _, callers := range []int{1, 8} {
		for _, repeatable := range []bool{true, false} {
			b.Run(fmt.Sprintf("callers=%d/repeatable=%t", callers, repeatable), func(b *testing.B) {
				pb := &addedTimeBench{b: b, de: de, repeatable: repeatable}
				pb.measure(callers)
			})
		}
	}
}

type addedTimeBench struct {
	b                  *testing.B
	de                 *deployment
	repeatable         bool
	mu                 sync.Mutex
	direct, dispatched []time.Duration
	mintTimes          []time.Duration // batches of keys
}

func (pb *addedTimeBench) measure(callers int) {
	var wg sync.WaitGroup
	pb.b.ResetTimer()
	for caller := range callers {
		n := pb.b.N / callers
		if caller < pb.b.N%callers {
			n++
		}
		wg.Go(func() { pb.run(caller, n) })
	}
	wg.Wait()
	slices.Sort(pb.direct)
	slices.Sort(pb.dispatched)
	quantile := func(took []time.Duration, part float64) float64 {
		return float64(took[int(part*float64(len(took)))].Nanoseconds()) / 1e6
	}
	for _, it := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		direct, dispatched := quantile(pb.direct, it.part), quantile(pb.dispatched, it.part)
		pb.b.ReportMetric(direct, "direct-ms/"+it.name)
		pb.b.ReportMetric(dispatched-direct, "added-ms/"+it.name)
	}
	pb.b.ReportMetric(float64(slices.Max(pb.dispatched).Nanoseconds())/1e6, "dispatched-ms/max")
	pb.b.ReportMetric(float64(slices.Max(pb.mintTimes).Nanoseconds())/1e6, "longest-mint-ms")
}

// run makes n pairs of calls.
func (pb *addedTimeBench) run(caller, n int) {
	ctx := pb.b.Context()
	in := pb.de.instances[caller%len(pb.de.instances)]
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	direct, dispatched := make([]time.Duration, 0, n), make([]time.Duration, 0, n)
	var keys []string
	var mintTimes []time.Duration
	for i := range n {
		if len(keys) == 0 {
			start := time.Now()
			mi, err := in.client.Mint(ctx, lovagejob.MintRequest{Service: "stock", Count: keyBatchSize, Repeatable: pb.repeatable})
			must.NoError(pb.b, err)
			mintTimes = append(mintTimes, time.Since(start))
			for _, key := range mi.Keys {
				keys = append(keys, key.String())
			}
		}
		jo := lovageapi.JobRequest{
			Key: keys[0], Service: "stock", Team: "shops", Repeatable: pb.repeatable, Deadline: time.Now().Add(time.Minute),
			Tasks: []lovageapi.TaskRequest{{Payload: json.RawMessage(`{"runTime":"0s"}`)}},
		}
		keys = keys[1:]
		start := time.Now()
		must.NoError(pb.b, callWorker(ctx, client, pb.de.workers[caller].Instance().Address,
			fmt.Sprintf("direct/%d/%d", caller, i), `{"runTime":"0s"}`))
		directEnd := time.Now()
		reply, err := in.client.Submit(ctx, jo)
		end := time.Now()
		must.NoError(pb.b, err)
		must.Eq(pb.b, "complete", string(reply.Outcome))
		direct, dispatched = append(direct, directEnd.Sub(start)), append(dispatched, end.Sub(directEnd))
	}
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.mintTimes = append(pb.mintTimes, mintTimes...)
	pb.direct, pb.dispatched = append(pb.direct, direct...), append(pb.dispatched, dispatched...)
}
