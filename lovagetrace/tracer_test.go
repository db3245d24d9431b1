package lovagetrace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"lovagestack/lovagemessage"
)

// serve runs tr.Serve. The returned function stops Serve and waits for the last export.
func serve(t *testing.T, tr *Tracer) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Serve(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
	t.Cleanup(stop)
	return stop
}

// Guards against a span that is missing from the span file or has the wrong parent.
func TestSpansShareOneTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.jsonl")
	tr, err := New(context.Background(), Settings{Instance: "kandla-1", SampleRatio: 1, File: file})
	must.NoError(t, err)
	stop := serve(t, tr)

	ctx, callerSpan := tr.Start(context.Background(), CallerRequest)
	start := time.Now().Add(-time.Second)
	tr.Record(ctx, QueueWait, start, start.Add(250*time.Millisecond))
	peerCtx, peerSpan := tr.Start(ctx, PeerHop)
	req := &lovagemessage.Request{}
	tr.InjectRequest(peerCtx, req)
	header := http.Header{}
	workerCtx, workerSpan := tr.Start(tr.ExtractRequest(context.Background(), req), WorkerCall)
	tr.InjectHTTP(workerCtx, header)
	workerSpan.SetString("worker", "w1")
	workerSpan.SetInt("task", 7)
	workerSpan.End(errors.New("status 500"))
	peerSpan.End(nil)
	callerSpan.End(nil)
	stop()

	records := readSpans(t, file)
	must.MapLen(t, 4, records)
	must.Eq(t, records[string(CallerRequest)].SpanID, records[string(QueueWait)].ParentSpanID)
	must.Eq(t, 0.25, records[string(QueueWait)].DurationSeconds)
	must.Eq(t, records[string(CallerRequest)].SpanID, records[string(PeerHop)].ParentSpanID)
	workerRecord := records[string(WorkerCall)]
	must.Eq(t, records[string(PeerHop)].SpanID, workerRecord.ParentSpanID)
	must.Eq(t, map[string]any{"worker": "w1", "task": 7.0}, workerRecord.Attributes)
	must.Eq(t, "status 500", workerRecord.Error)
	must.Eq(t, "kandla-1", workerRecord.Instance)
	must.Eq(t, "00-"+workerRecord.TraceID+"-"+workerRecord.SpanID+"-01", header.Get("traceparent"))
	must.Eq(t, Stats{Exported: 4}, tr.Stats())
}

func readSpans(t *testing.T, file string) map[string]SpanRecord {
	t.Helper()
	fi, err := os.Open(file)
	must.NoError(t, err)
	defer func() { _ = fi.Close() }()
	records := make(map[string]SpanRecord)
	sc := bufio.NewScanner(fi)
	for sc.Scan() {
		var sr SpanRecord
		must.NoError(t, json.Unmarshal(sc.Bytes(), &sr))
		records[sr.Name] = sr
	}
	must.NoError(t, sc.Err())
	return records
}

// Checks that spans are exported as OTLP over HTTP, and that failed exports are counted.
func TestExportOverOTLP(t *testing.T) {
	status := http.StatusOK
	bodies := make(chan []byte, 4)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		must.Eq(t, "application/x-protobuf", r.Header.Get("Content-Type"))
		bodies <- body
		w.Header().Set("Content-Type", "application/x-protobuf")
		w.WriteHeader(status)
	}))
	defer server.Close()
	for _, want := range []Stats{{Exported: 1}, {Failed: 1}} {
		tr, err := New(context.Background(), Settings{SampleRatio: 1, Endpoint: server.URL + "/v1/traces"})
		must.NoError(t, err)
		stop := serve(t, tr)
		_, sp := tr.Start(context.Background(), CallerRequest)
		sp.End(nil)
		stop()
		must.StrContains(t, string(<-bodies), string(CallerRequest))
		must.Eq(t, want, tr.Stats())
		status = http.StatusInternalServerError
	}
}

// Checks that a full queue does not block requests, and that dropped spans are counted.
func TestFullQueueDropsSpans(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tr := newTracer(Settings{SampleRatio: 1, QueueSize: 8}, exporter) // Serve is not running
	for range 20 {
		_, sp := tr.Start(context.Background(), WorkerCall)
		sp.End(nil)
	}
	must.Eq(t, Stats{Dropped: 12}, tr.Stats())
}

// Checks that spans of traces that the caller or the sample ratio excludes are not recorded.
func TestSampling(t *testing.T) {
	tr := newTracer(Settings{SampleRatio: 0.25, QueueSize: 10000}, tracetest.NewInMemoryExporter())
	for range 4000 {
		ctx, sp := tr.Start(context.Background(), CallerRequest)
		tr.Record(ctx, QueueWait, time.Now(), time.Now())
		sp.End(nil)
	}
	// Expected are 2000 spans, two for each of 1000 traces. The standard deviation is 27 traces or 54 spans. The limits
	// are 12 standard deviations, about 650 spans, away.
	must.Between(t, 1350, len(tr.queue.spans), 2650)
	before := len(tr.queue.spans)
	for _, flags := range []string{"00", "01"} {
		header := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-" + flags}}
		_, sp := tr.Start(tr.ExtractHTTP(context.Background(), header), CallerRequest)
		sp.End(nil)
	}
	must.Eq(t, before+1, len(tr.queue.spans))
}

// Guards against allocations when tracing is disabled.
func TestDisabledTracerDoesNotAllocate(t *testing.T) {
	tr, err := New(context.Background(), Settings{File: "unused"})
	must.NoError(t, err)
	ctx, header, req := context.Background(), http.Header{}, &lovagemessage.Request{Traceparent: "x"}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		ctx, sp := tr.Start(tr.ExtractRequest(tr.ExtractHTTP(ctx, header), req), PeerHop)
		sp.SetString("worker", "w")
		sp.SetInt("task", 1)
		tr.InjectHTTP(ctx, header)
		tr.InjectRequest(ctx, req)
		tr.Record(ctx, QueueWait, time.Time{}, time.Time{})
		sp.End(nil)
	}))
}

// Checks that New rejects settings with which all spans would be lost.
func TestNewInvalidSettings(t *testing.T) {
	for _, se := range []Settings{
		{SampleRatio: 1.5, File: "x"},
		{SampleRatio: 1, File: "x", Endpoint: "http://127.0.0.1:1"},
		{SampleRatio: 1, File: filepath.Join(t.TempDir(), "missing", "x")},
	} {
		_, err := New(context.Background(), se)
		must.Error(t, err)
	}
}
