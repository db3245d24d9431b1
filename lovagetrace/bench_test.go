package lovagetrace

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// BenchmarkSpan measures spans that are disabled, not sampled and sampled. The queue is full, so nothing is exported.
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
