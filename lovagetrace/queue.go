package lovagetrace

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// maxBatchSpans is the maximum number of spans in one export.
const maxBatchSpans = 512

// queue is a span processor that drops and counts spans when it is full, instead of blocking. The SDK's batch processor
// also drops spans but does not report how many.
type queue struct {
	exporter      sdktrace.SpanExporter
	exportTimeout time.Duration
	flushInterval time.Duration
	spans         chan sdktrace.ReadOnlySpan

	exported, dropped, failed atomic.Int64
}

func newQueue(se Settings, exporter sdktrace.SpanExporter) *queue {
	qu := &queue{exporter: exporter, exportTimeout: se.ExportTimeout, flushInterval: se.FlushInterval}
	if qu.exportTimeout <= 0 {
		qu.exportTimeout = 5 * time.Second
	}
	if qu.flushInterval <= 0 {
		qu.flushInterval = time.Second
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
	ticker := time.NewTicker(qu.flushInterval)
	defer ticker.Stop()
	batch := make([]sdktrace.ReadOnlySpan, 0, maxBatchSpans)
	for {
		select {
		case sp := <-qu.spans:
			if batch = append(batch, sp); len(batch) == maxBatchSpans {
				batch = qu.export(batch)
			}
		case <-ticker.C:
			batch = qu.export(batch)
		case <-ctx.Done():
			return qu.drain(ctx, batch)
		}
	}
}

// drain exports batch and the queued spans, and closes the exporter.
func (qu *queue) drain(ctx context.Context, batch []sdktrace.ReadOnlySpan) error {
	for range len(qu.spans) {
		if batch = append(batch, <-qu.spans); len(batch) == maxBatchSpans {
			batch = qu.export(batch)
		}
	}
	qu.export(batch)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), qu.exportTimeout)
	defer cancel()
	if err := qu.exporter.Shutdown(closeCtx); err != nil {
		return errors.Wrap(err, "close the span exporter")
	}
	return ctx.Err()
}

// export exports a batch and returns it emptied for reuse. Only the timeout bounds an export, not the context of Serve,
// because that context is already done when the last batch is exported.
func (qu *queue) export(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	if len(batch) == 0 {
		return batch
	}
	ctx, cancel := context.WithTimeout(context.Background(), qu.exportTimeout)
	defer cancel()
	if err := qu.exporter.ExportSpans(ctx, batch); err != nil {
		qu.failed.Add(int64(len(batch)))
	} else {
		qu.exported.Add(int64(len(batch)))
	}
	clear(batch)
	return batch[:0]
}
