package lovagetrace

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// SpanRecord is the JSON form of a finished span, one line of the span file.
type SpanRecord struct {
	TraceID         string         `json:"traceId"`
	SpanID          string         `json:"spanId"`
	ParentSpanID    string         `json:"parentSpanId,omitempty"`
	Name            string         `json:"hop"`
	Instance        string         `json:"instance,omitempty"`
	Start           time.Time      `json:"start"`
	DurationSeconds float64        `json:"durationSeconds"`
	Error           string         `json:"error,omitempty"`
	Attributes      map[string]any `json:"attributes,omitempty"`
}

// fileExporter appends spans to a file as JSON lines.
type fileExporter struct {
	mu   sync.Mutex
	file *os.File // nil after Shutdown
}

func newFileExporter(name string) (*fileExporter, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the span file")
	}
	return &fileExporter{file: file}, nil
}

// ExportSpans appends spans to the file.
func (fe *fileExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.file == nil {
		return errors.New("the span file is closed")
	}
	bw := bufio.NewWriter(fe.file)
	enc := json.NewEncoder(bw)
	for _, sp := range spans {
		if err := enc.Encode(newSpanRecord(sp)); err != nil {
			return errors.Wrap(err, "encode a span")
		}
	}
	return errors.Wrap(bw.Flush(), "write spans")
}

// Shutdown closes the file.
func (fe *fileExporter) Shutdown(context.Context) error {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.file == nil {
		return nil
	}
	file := fe.file
	fe.file = nil
	return errors.Wrap(file.Close(), "close the span file")
}

func newSpanRecord(sp sdktrace.ReadOnlySpan) SpanRecord {
	sr := SpanRecord{
		TraceID:         sp.SpanContext().TraceID().String(),
		SpanID:          sp.SpanContext().SpanID().String(),
		Name:            sp.Name(),
		Start:           sp.StartTime().UTC(),
		DurationSeconds: sp.EndTime().Sub(sp.StartTime()).Seconds(),
	}
	if parent := sp.Parent(); parent.HasSpanID() {
		sr.ParentSpanID = parent.SpanID().String()
	}
	if st := sp.Status(); st.Code == codes.Error {
		sr.Error = st.Description
	}
	for _, at := range sp.Resource().Attributes() {
		if at.Key == "service.instance.id" {
			sr.Instance = at.Value.AsString()
		}
	}
	if attrs := sp.Attributes(); len(attrs) > 0 {
		sr.Attributes = make(map[string]any, len(attrs))
		for _, at := range attrs {
			sr.Attributes[string(at.Key)] = at.Value.AsInterface()
		}
	}
	return sr
}
