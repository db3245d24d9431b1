package lovagetrace

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// SpanName names the step of a request that a span covers.
type SpanName string

// Names of spans.
const (
	CallerRequest SpanName = "callerRequest"
	QueueWait     SpanName = "queueWait"
	PeerHop       SpanName = "peerHop"
	WorkerCall    SpanName = "workerCall"
)

func (sn SpanName) kind() trace.SpanKind {
	switch sn {
	case CallerRequest:
		return trace.SpanKindServer
	case PeerHop, WorkerCall:
		return trace.SpanKindClient
	case QueueWait:
	}
	return trace.SpanKindInternal
}

// Settings configure a Tracer. Tracing is disabled unless SampleRatio is positive and an endpoint or a file is set.
type Settings struct {
	Instance, DataCentre string

	SampleRatio float64 // recorded fraction of the traces that start here, 0 to 1; for other traces the caller decides
	Endpoint    string  // URL of an OTLP/HTTP receiver, such as http://127.0.0.1:4318/v1/traces
	File        string  // file to append spans to, as JSON lines

	QueueSize     int           // maximum number of finished spans that wait for export, default 4096, about 4 MB
	ExportTimeout time.Duration // time limit of one export, default 5 s
	FlushInterval time.Duration // longest wait before an export, default 1 s
}

func (se Settings) enabled() bool { return se.SampleRatio > 0 && (se.Endpoint != "" || se.File != "") }

// Tracer starts spans. The nil Tracer is disabled. Its methods are safe for concurrent use.
type Tracer struct {
	tracer trace.Tracer
	queue  *queue
}

// New returns a Tracer that exports to the endpoint or the file in the settings. Setting both is an error. New returns
// the nil Tracer if the settings disable tracing.
func New(ctx context.Context, se Settings) (*Tracer, error) {
	if !se.enabled() {
		return nil, nil
	}
	if se.SampleRatio > 1 {
		return nil, errors.Newf("sample ratio %g is not between 0 and 1", se.SampleRatio)
	}
	if se.Endpoint != "" && se.File != "" {
		return nil, errors.Newf("endpoint %s and file %s are both set; set only one of them", se.Endpoint, se.File)
	}
	exporter, err := newExporter(ctx, se)
	if err != nil {
		return nil, err
	}
	return newTracer(se, exporter), nil
}

func newExporter(ctx context.Context, se Settings) (sdktrace.SpanExporter, error) {
	if se.File != "" {
		return newFileExporter(se.File)
	}
	ex, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(se.Endpoint),
		// While the receiver is down, spans are lost and counted as failed. Retries would block exports and fill the queue.
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}))
	return ex, errors.Wrapf(err, "create the span exporter for %s", se.Endpoint)
}

func newTracer(se Settings, exporter sdktrace.SpanExporter) *Tracer {
	qu := newQueue(se, exporter)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(se.SampleRatio))),
		sdktrace.WithSpanProcessor(qu),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "lovagestack"),
			attribute.String("service.instance.id", se.Instance),
			attribute.String("lovage.data_centre", se.DataCentre),
		)),
	)
	return &Tracer{tracer: provider.Tracer("lovagestack"), queue: qu}
}

// Serve exports spans until ctx is done, then exports the queued spans and closes the exporter. Call it only once.
func (tr *Tracer) Serve(ctx context.Context) error {
	if tr == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return tr.queue.loop(ctx)
}

// Stats are counts of spans since the creation of a Tracer.
type Stats struct {
	Exported int64
	Dropped  int64 // spans that did not fit into the queue
	Failed   int64 // spans whose export failed
}

// Stats returns the counts, which are zero if the Tracer is disabled.
func (tr *Tracer) Stats() Stats {
	if tr == nil {
		return Stats{}
	}
	return Stats{
		Exported: tr.queue.exported.Load(), Dropped: tr.queue.dropped.Load(), Failed: tr.queue.failed.Load(),
	}
}

// Span is a span in progress. The zero Span does nothing.
type Span struct{ span trace.Span }

// Start starts a span, which the caller must end.
func (tr *Tracer) Start(ctx context.Context, name SpanName) (context.Context, Span) {
	if tr == nil {
		return ctx, Span{}
	}
	ctx, sp := tr.tracer.Start(ctx, string(name), trace.WithSpanKind(name.kind()))
	return ctx, Span{sp}
}

// Record records a span that has already ended, such as a wait in the queue.
func (tr *Tracer) Record(ctx context.Context, name SpanName, start, end time.Time) {
	if tr == nil {
		return
	}
	_, sp := tr.tracer.Start(ctx, string(name), trace.WithSpanKind(name.kind()), trace.WithTimestamp(start))
	sp.End(trace.WithTimestamp(end))
}

// SetString sets an attribute. Unlike metric labels, attributes may hold keys of jobs.
func (sp Span) SetString(name, value string) {
	if sp.span != nil && sp.span.IsRecording() {
		sp.span.SetAttributes(attribute.String(name, value))
	}
}

// SetInt sets an attribute.
func (sp Span) SetInt(name string, value int) {
	if sp.span != nil && sp.span.IsRecording() {
		sp.span.SetAttributes(attribute.Int(name, value))
	}
}

// End ends the span; a non-nil error marks it as failed.
func (sp Span) End(err error) {
	if sp.span == nil {
		return
	}
	if err != nil && sp.span.IsRecording() {
		sp.span.SetStatus(codes.Error, err.Error())
	}
	sp.span.End()
}
