// Package lovagetrace records a span for each step of a request: the caller's request, the wait in the queue, the
// request to a peer and the call of a worker.
//
// The package configures OpenTelemetry in one place, without global state, and propagates the W3C traceparent in HTTP
// headers and peer messages. A [Tracer] never delays a request. It drops and counts spans that do not fit into its
// queue. The nil Tracer is disabled and allocates nothing.
//
// # Usage
//
//	tr, err := lovagetrace.New(ctx, lovagetrace.Settings{Instance: "kandla-1", SampleRatio: 0.01, File: "spans.jsonl"})
//	go tr.Serve(ctx) // or add it to a suture supervisor
//	ctx, span := tr.Start(tr.ExtractHTTP(ctx, r.Header), lovagetrace.CallerRequest)
//	defer func() { span.End(err) }()
package lovagetrace
