package lovagetrace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"

	"lovagestack/lovagemessage"
)

var traceContext propagation.TraceContext

// traceparentName is the name that the propagator uses for the field and that HTTP uses for the header.
const traceparentName = "traceparent"

// InjectHTTP sets the header traceparent to the span of ctx, if there is one.
func (tr *Tracer) InjectHTTP(ctx context.Context, header http.Header) {
	if tr != nil {
		traceContext.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// ExtractHTTP returns ctx with the span named by the header traceparent as the parent of further spans. A missing or
// malformed header has no effect.
func (tr *Tracer) ExtractHTTP(ctx context.Context, header http.Header) context.Context {
	if tr == nil {
		return ctx
	}
	return traceContext.Extract(ctx, propagation.HeaderCarrier(header))
}

// InjectRequest sets the traceparent of a peer request to the span of ctx, if there is one.
func (tr *Tracer) InjectRequest(ctx context.Context, req *lovagemessage.Request) {
	if tr != nil {
		traceContext.Inject(ctx, requestCarrier{req})
	}
}

// ExtractRequest returns ctx with the span named by a peer request as the parent of further spans.
func (tr *Tracer) ExtractRequest(ctx context.Context, req *lovagemessage.Request) context.Context {
	if tr == nil || req.GetTraceparent() == "" {
		return ctx
	}
	return traceContext.Extract(ctx, requestCarrier{req})
}

// requestCarrier carries the traceparent, but no tracestate, in a peer request.
type requestCarrier struct{ req *lovagemessage.Request }

func (rc requestCarrier) Get(name string) string {
	if name == traceparentName {
		return rc.req.GetTraceparent()
	}
	return ""
}

func (rc requestCarrier) Set(name, value string) {
	if name == traceparentName {
		rc.req.Traceparent = value
	}
}

func (rc requestCarrier) Keys() []string { return []string{traceparentName} }
