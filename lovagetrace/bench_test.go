package lovagetrace

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Measures disabled, unsampled and sampled spans. Serve does not run, so the queue is full and drops the spans.
func BenchmarkSpan(b *testing.B) {
	for name, tr := range map[string]*Tracer{
		"off":        nil,
		"notSampled": newTracer(Settings{SampleRatio: 1e-9, QueueSize: 1}, tracetest.NewNoopExporter()),
		"sampled":    newTracer(Settings{SampleRatio: 1, QueueSize: 1}, tracetest.NewNoopExporter()),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, sp := tr.Start(context.Background(), WorkerCall)
				sp.SetInt("task", 1)
				sp.End(nil)
			}
		})
	}
}
