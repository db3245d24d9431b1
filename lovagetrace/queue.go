package lovagetrace

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// maxBatch bounds the spans of one export.
const maxBatch = 512

// queue is a span processor that drops spans rather than block. The SDK's batch processor drops as well but does not
// say how many.
type queue struct {
	exporter sdktrace.SpanExporter
	timeout  time.Duration
	interval time.Duration
	spans    chan sdktrace.ReadOnlySpan

	exported, dropped, failed atomic.Int64
}

func newQueue(se Settings, exporter sdktrace.SpanExporter) *queue {
	qu := &queue{exporter: exporter, timeout: se.ExportTimeout, interval: se.FlushInterval}
	if qu.timeout <= 0 {
		qu.timeout = 5 * time.Second
	}
	if qu.interval <= 0 {
		qu.interval = time.Second
	}
	size := se.QueueSize
	if size <= 0 {
		size = 4096
	}
	qu.spans = make(chan sdktrace.ReadOnlySpan, size)
	return qu
}

func (qu *queue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

func (qu *queue) OnEnd(sp sdktrace.ReadOnlySpan) {
	if !sp.SpanContext().IsSampled() {
		return
	}
	select {
	case qu.spans <- sp:
	default:
		qu.dropped.Add(1)
	}
}

// Shutdown does nothing; loop closes the exporter.
func (qu *queue) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing; loop exports within the flush interval.
func (qu *queue) ForceFlush(context.Context) error { return nil }

func (qu *queue) loop(ctx context.Context) error {
	ticker := time.NewTicker(qu.interval)
	defer ticker.Stop()
	batch := make([]sdktrace.ReadOnlySpan, 0, maxBatch)
	for {
		select {
		case sp := <-qu.spans:
			if batch = append(batch, sp); len(batch) == maxBatch {
				batch = qu.export(batch)
			}
		case <-ticker.C:
			batch = qu.export(batch)
		case <-ctx.Done():
			return qu.finish(ctx, batch)
		}
	}
}

// finish exports what is queued and closes the exporter.
func (qu *queue) finish(ctx context.Context, batch []sdktrace.ReadOnlySpan) error {
	for range len(qu.spans) {
		if batch = append(batch, <-qu.spans); len(batch) == maxBatch {
			batch = qu.export(batch)
		}
	}
	qu.export(batch)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), qu.timeout)
	defer cancel()
	if err := qu.exporter.Shutdown(closeCtx); err != nil {
		return errors.Wrap(err, "close the span exporter")
	}
	return ctx.Err()
}

// export writes a batch and returns it emptied. Its time is bounded by the timeout alone, so that the last batch is
// written after the context of the process has ended.
func (qu *queue) export(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	if len(batch) == 0 {
		return batch
	}
	ctx, cancel := context.WithTimeout(context.Background(), qu.timeout)
	defer cancel()
	if err := qu.exporter.ExportSpans(ctx, batch); err != nil {
		qu.failed.Add(int64(len(batch)))
	} else {
		qu.exported.Add(int64(len(batch)))
	}
	clear(batch)
	return batch[:0]
}
