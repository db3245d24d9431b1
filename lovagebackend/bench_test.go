package lovagebackend_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovagestack/lovagebackend"
	"lovagestack/lovagefake"
)

// BenchmarkRun measures the overhead of Run over a plain http.Client. It calls the same worker with both alternately, so
// that changes in machine load affect both. The reported time per operation covers one call of each.
func BenchmarkRun(b *testing.B) {
	for _, callers := range []int{1, 8} {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) { benchmarkRun(b, callers) })
	}
}

func benchmarkRun(b *testing.B, callers int) {
	_, addr := startWorker(b, lovagefake.WorkerSettings{ID: "w", Slots: 64, Connections: 256, NoStarts: true})
	cl := newClient(b, lovagebackend.Settings{})
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	b.Cleanup(tr.CloseIdleConnections)
	plain := &http.Client{Transport: tr}
	payload := []byte(`{"runTime":"0s","girth":212,"log":"0123456789"}`)
	var next atomic.Int64
	var mu sync.Mutex
	var runLatencies, plainLatencies []time.Duration
	call := func(i int64) (time.Duration, time.Duration) {
		re := lovagebackend.Request{
			Worker: "w", Address: addr, Service: "ticket", Task: "kandla.12.7.1796381234567.5f0c9a1be2d34c77/" + strconv.FormatInt(i, 10),
			Epoch: "7", Deadline: time.Now().Add(time.Minute), Payload: payload,
		}
		start := time.Now()
		if res := cl.Run(context.Background(), re); res.State != lovagebackend.Succeeded {
			b.Errorf("task %d: %s, %v", i, res.State, res.Err)
		}
		middle := time.Now()
		if err := plainCall(plain, re); err != nil {
			b.Error(err)
		}
		return middle.Sub(start), time.Since(middle)
	}
	for i := range int64(64) {
		call(-i)
	}
	b.ResetTimer()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			var ownRunLatencies, ownPlainLatencies []time.Duration
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				runLatency, plainLatency := call(i)
				ownRunLatencies, ownPlainLatencies = append(ownRunLatencies, runLatency), append(ownPlainLatencies, plainLatency)
			}
			mu.Lock()
			defer mu.Unlock()
			runLatencies, plainLatencies = append(runLatencies, ownRunLatencies...), append(plainLatencies, ownPlainLatencies...)
		})
	}
	running.Wait()
	b.StopTimer()
	run50, run99 := quantiles(runLatencies)
	plain50, plain99 := quantiles(plainLatencies)
	b.ReportMetric(run50, "run-p50-us")
	b.ReportMetric(plain50, "plain-p50-us")
	b.ReportMetric(run50-plain50, "added-p50-us")
	b.ReportMetric(run99, "run-p99-us")
	b.ReportMetric(plain99, "plain-p99-us")
}

func plainCall(cl *http.Client, re lovagebackend.Request) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+re.Address+lovagebackend.TaskPath(re.Service), bytes.NewReader(re.Payload))
	if err != nil {
		return err
	}
	req.Header.Set(lovagebackend.HeaderTask, re.Task)
	req.Header.Set(lovagebackend.HeaderDeadline, re.Deadline.Format(time.RFC3339Nano))
	resp, err := cl.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// quantiles returns the median and the 99th percentile in microseconds.
func quantiles(latencies []time.Duration) (p50, p99 float64) {
	slices.Sort(latencies)
	at := func(q float64) float64 {
		return float64(latencies[int(q*float64(len(latencies)-1))].Nanoseconds()) / 1e3
	}
	return at(0.5), at(0.99)
}
