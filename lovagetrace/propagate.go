package lovagetrace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"

	"lovagestack/lovagemessage"
)

var propagator propagation.TraceContext

// traceparentKey is the name under which the propagator stores the span, and that of the HTTP header.
const traceparentKey = "traceparent"

// InjectHTTP sets the traceparent header to the span of ctx, if there is one.
func (tr *Tracer) InjectHTTP(ctx context.Context, header http.Header) {
	if tr != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// ExtractHTTP returns ctx with the span in the traceparent header as the parent of new spans. A missing or malformed
// header has no effect.
func (tr *Tracer) ExtractHTTP(ctx context.Context, header http.Header) context.Context {
	if tr == nil {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// InjectRequest sets the traceparent of a peer request to the span of ctx, if there is one.
func (tr *Tracer) InjectRequest(ctx context.Context, req *lovagemessage.Request) {
	if tr != nil {
		propagator.Inject(ctx, requestCarrier{req})
	}
}

// ExtractRequest returns ctx with the span in the traceparent of a peer request as the parent of new spans.
func (tr *Tracer) ExtractRequest(ctx context.Context, req *lovagemessage.Request) context.Context {
	if tr == nil || req.GetTraceparent() == "" {
		return ctx
	}
	return propagator.Extract(ctx, requestCarrier{req})
}

// requestCarrier is a TextMapCarrier that stores the traceparent, but no tracestate, in a peer request.
type requestCarrier struct{ req *lovagemessage.Request }

func (rc requestCarrier) Get(name string) string {
	if name == traceparentKey {
		return rc.req.GetTraceparent()
	}
	return ""
}

func (rc requestCarrier) Set(name, value string) {
	if name == traceparentKey {
		rc.req.Traceparent = value
	}
}

func (rc requestCarrier) Keys() []string { return []string{traceparentKey} }
