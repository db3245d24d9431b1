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

// run serves a Tracer and returns a function that stops it and waits for the last export.
func run(t *testing.T, tr *Tracer) (stop func()) {
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

// Guards against a hop that is missing, or not linked to the hop before it, in the file of spans.
func TestHopsShareOneTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.jsonl")
	tr, err := New(context.Background(), Settings{Instance: "kandla-1", SampleRatio: 1, File: file})
	must.NoError(t, err)
	stop := run(t, tr)

	ctx, caller := tr.Start(context.Background(), CallerRequest)
	start := time.Now().Add(-time.Second)
	tr.Record(ctx, QueueWait, start, start.Add(250*time.Millisecond))
	hopCtx, hop := tr.Start(ctx, PeerHop)
	req := &lovagemessage.Request{}
	tr.InjectRequest(hopCtx, req)
	header := http.Header{}
	workCtx, work := tr.Start(tr.ExtractRequest(context.Background(), req), WorkerCall)
	tr.InjectHTTP(workCtx, header)
	work.SetString("worker", "w1")
	work.SetInt("task", 7)
	work.End(errors.New("status 500"))
	hop.End(nil)
	caller.End(nil)
	stop()

	lines := readLines(t, file)
	must.MapLen(t, 4, lines)
	must.Eq(t, lines[string(CallerRequest)].SpanID, lines[string(QueueWait)].ParentSpanID)
	must.Eq(t, 0.25, lines[string(QueueWait)].DurationSeconds)
	must.Eq(t, lines[string(CallerRequest)].SpanID, lines[string(PeerHop)].ParentSpanID)
	wl := lines[string(WorkerCall)]
	must.Eq(t, lines[string(PeerHop)].SpanID, wl.ParentSpanID)
	must.Eq(t, map[string]any{"worker": "w1", "task": 7.0}, wl.Attributes)
	must.Eq(t, "status 500", wl.Error)
	must.Eq(t, "kandla-1", wl.Instance)
	must.Eq(t, "00-"+wl.TraceID+"-"+wl.SpanID+"-01", header.Get("traceparent"))
	must.Eq(t, Stats{Exported: 4}, tr.Stats())
}

func readLines(t *testing.T, file string) map[string]SpanRecord {
	t.Helper()
	fi, err := os.Open(file)
	must.NoError(t, err)
	defer func() { _ = fi.Close() }()
	lines := make(map[string]SpanRecord)
	sc := bufio.NewScanner(fi)
	for sc.Scan() {
		var li SpanRecord
		must.NoError(t, json.Unmarshal(sc.Bytes(), &li))
		lines[li.Name] = li
	}
	must.NoError(t, sc.Err())
	return lines
}

// Guards against an export that does not speak OTLP over HTTP, and against a failed export that goes uncounted.
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
		stop := run(t, tr)
		_, sp := tr.Start(context.Background(), CallerRequest)
		sp.End(nil)
		stop()
		must.StrContains(t, string(<-bodies), string(CallerRequest))
		must.Eq(t, want, tr.Stats())
		status = http.StatusInternalServerError
	}
}

// Guards against a request that waits because spans are not exported, and against dropped spans that go uncounted.
func TestFullQueueDropsAndCounts(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tr := newTracer(Settings{SampleRatio: 1, QueueSize: 8}, exporter) // Serve is not running
	for range 20 {
		_, sp := tr.Start(context.Background(), WorkerCall)
		sp.End(nil)
	}
	must.Eq(t, Stats{Dropped: 12}, tr.Stats())
}

// Guards against spans of traces that the caller or the ratio left out.
func TestSampling(t *testing.T) {
	tr := newTracer(Settings{SampleRatio: 0.25, QueueSize: 10000}, tracetest.NewInMemoryExporter())
	for range 4000 {
		ctx, sp := tr.Start(context.Background(), CallerRequest)
		tr.Record(ctx, QueueWait, time.Now(), time.Now())
		sp.End(nil)
	}
	// 2000 spans are expected; 12 standard deviations (27 traces) are 650 spans.
	must.Between(t, 1350, len(tr.queue.spans), 2650)
	before := len(tr.queue.spans)
	for _, flags := range []string{"00", "01"} {
		header := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-" + flags}}
		_, sp := tr.Start(tr.ExtractHTTP(context.Background(), header), CallerRequest)
		sp.End(nil)
	}
	must.Eq(t, before+1, len(tr.queue.spans))
}

// Guards against a cost of tracing when it is off.
func TestOffAllocatesNothing(t *testing.T) {
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

// Guards against settings whose spans would silently go nowhere.
func TestNewRejects(t *testing.T) {
	for _, se := range []Settings{
		{SampleRatio: 1.5, File: "x"},
		{SampleRatio: 1, File: "x", Endpoint: "http://127.0.0.1:1"},
		{SampleRatio: 1, File: filepath.Join(t.TempDir(), "missing", "x")},
	} {
		_, err := New(context.Background(), se)
		must.Error(t, err)
	}
}
