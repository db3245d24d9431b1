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

// Measures the time that the dispatcher adds to a direct call of a worker. A dispatched call takes the whole path:
// caller, HTTP, instance, HTTP, worker and back. Keys are minted ahead of time. Direct and dispatched calls alternate,
// so that other load on the machine affects both. The target is at most 0.5 ms at the median.
func BenchmarkAddedTime(b *testing.B) {
	op := smallOptions()
	op.Latency = Latency{} // no added latency, because direct calls have none either
	de, err := newDeployment(b.Context(), op, Variant{
		Name: "central", Policy: lovagedispatch.Central,
	})
	must.NoError(b, err)
	defer de.close()
	for _, callers := range []int{1, 8} {
		for _, repeatable := range []bool{true, false} {
			b.Run(fmt.Sprintf("callers=%d/repeatable=%t", callers, repeatable), func(b *testing.B) {
				ab := &addedTimeBench{b: b, de: de, repeatable: repeatable}
				ab.measure(callers)
			})
		}
	}
}

type addedTimeBench struct {
	b                            *testing.B
	de                           *deployment
	repeatable                   bool
	mu                           sync.Mutex
	directTimes, dispatchedTimes []time.Duration
	mintTimes                    []time.Duration // one for each batch of keys
}

func (ab *addedTimeBench) measure(callers int) {
	var wg sync.WaitGroup
	ab.b.ResetTimer()
	for caller := range callers {
		n := ab.b.N / callers
		if caller < ab.b.N%callers {
			n++
		}
		wg.Go(func() { ab.run(caller, n) })
	}
	wg.Wait()
	slices.Sort(ab.directTimes)
	slices.Sort(ab.dispatchedTimes)
	quantile := func(took []time.Duration, fraction float64) float64 {
		return float64(took[int(fraction*float64(len(took)))].Nanoseconds()) / 1e6
	}
	for _, it := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		direct, dispatched := quantile(ab.directTimes, it.fraction), quantile(ab.dispatchedTimes, it.fraction)
		ab.b.ReportMetric(direct, "direct-ms/"+it.name)
		ab.b.ReportMetric(dispatched-direct, "added-ms/"+it.name)
	}
	ab.b.ReportMetric(float64(slices.Max(ab.dispatchedTimes).Nanoseconds())/1e6, "dispatched-ms/max")
	ab.b.ReportMetric(float64(slices.Max(ab.mintTimes).Nanoseconds())/1e6, "longest-mint-ms")
}

// run makes n pairs of direct and dispatched calls.
func (ab *addedTimeBench) run(caller, n int) {
	ctx := ab.b.Context()
	in := ab.de.instances[caller%len(ab.de.instances)]
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	direct, dispatched := make([]time.Duration, 0, n), make([]time.Duration, 0, n)
	var keys []string
	var mintTimes []time.Duration
	for i := range n {
		if len(keys) == 0 {
			start := time.Now()
			mi, err := in.client.Mint(ctx, lovagejob.MintRequest{Service: "stock", Count: keyBatchSize, Repeatable: ab.repeatable})
			must.NoError(ab.b, err)
			mintTimes = append(mintTimes, time.Since(start))
			for _, key := range mi.Keys {
				keys = append(keys, key.String())
			}
		}
		jo := lovageapi.JobRequest{
			Key: keys[0], Service: "stock", Team: "shops", Repeatable: ab.repeatable, Deadline: time.Now().Add(time.Minute),
			Tasks: []lovageapi.TaskRequest{{Payload: json.RawMessage(`{"runTime":"0s"}`)}},
		}
		keys = keys[1:]
		start := time.Now()
		must.NoError(ab.b, callWorker(ctx, client, ab.de.workers[caller].Instance().Address,
			fmt.Sprintf("direct/%d/%d", caller, i), `{"runTime":"0s"}`))
		directEnd := time.Now()
		reply, err := in.client.Submit(ctx, jo)
		end := time.Now()
		must.NoError(ab.b, err)
		must.Eq(ab.b, "complete", string(reply.Outcome))
		direct, dispatched = append(direct, directEnd.Sub(start)), append(dispatched, end.Sub(directEnd))
	}
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.mintTimes = append(ab.mintTimes, mintTimes...)
	ab.directTimes, ab.dispatchedTimes = append(ab.directTimes, direct...), append(ab.dispatchedTimes, dispatched...)
}
