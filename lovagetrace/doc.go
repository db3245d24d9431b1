// Package lovagetrace records a span for each hop of a request: the caller's request, the wait in the queue, the hop to
// a peer and the call of a worker.
//
// The package exists to set up OpenTelemetry in one place, without global state, and to carry the W3C traceparent over
// HTTP headers and peer messages. A [Tracer] never delays a request: spans that do not fit into its queue are dropped
// and counted. A Tracer that is off, and the nil Tracer, do nothing and allocate nothing.
//
// # Usage
//
//	tr, err := lovagetrace.New(ctx, lovagetrace.Settings{Instance: "kandla-1", SampleRatio: 0.01, File: "spans.jsonl"})
//	go tr.Serve(ctx) // or add it to a suture supervisor
//	ctx, span := tr.Start(tr.ExtractHTTP(ctx, r.Header), lovagetrace.CallerRequest)
//	defer func() { span.End(err) }()
package lovagetrace
