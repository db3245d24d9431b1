package lovagelog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (sb *safeBuffer) Write(p []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.Buffer.Write(p)
}

// runLogger calls fn with a running logger and returns the logger's output.
func runLogger(fn func(lo *Logger)) string {
	var out safeBuffer
	lo := New(&out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		lo.Run(ctx)
	}()
	fn(lo)
	cancel()
	<-done
	return out.String()
}

func TestBudgetPerKind(t *testing.T) {
	out := runLogger(func(lo *Logger) {
		for i := range 500 {
			for kind, budget := range map[string]int{"answered": successBudget, "refused": failureBudget} {
				if lo.consumeBudget(kind, budget, 7) {
					lo.Zap().Info(kind, zap.Int("n", i))
				}
			}
		}
		lo.consumeBudget("answered", successBudget, 8) // the next second: logs the suppressed counts
	})
	must.Eq(t, successBudget, strings.Count(out, `"msg":"answered"`))
	must.Eq(t, failureBudget, strings.Count(out, `"msg":"refused"`))
	must.StrContains(t, out, fmt.Sprintf(`"kind":"answered","count":%d`, 500-successBudget))
	must.StrContains(t, out, fmt.Sprintf(`"kind":"refused","count":%d`, 500-failureBudget))
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	// Checks that callers do not wait while the log output blocks.
	release := make(chan struct{})
	lo := New(blockingWriter{release})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		lo.Run(ctx)
	}()
	began := time.Now()
	for range 3 * queueSize {
		lo.Zap().Info("line")
	}
	must.Less(t, 5*time.Second, time.Since(began))
	must.Positive(t, lo.dropped.Load())
	close(release)
	cancel()
	<-done
}

func TestBatchIsBounded(t *testing.T) {
	// Checks that collect takes at most maxBatchLines lines from the queue. Without that limit, a burst of lines would
	// never fill the queue, no line would be dropped, and the batch could use any amount of memory.
	lo := New(&safeBuffer{})
	lo.queue = make(chan []byte, 3*queueSize)
	for range 3 * queueSize {
		_, _ = lo.Write([]byte("line\n"))
	}
	var buf []byte
	lo.collect(context.Background(), &buf)
	must.Eq(t, maxBatchLines, bytes.Count(buf, []byte("\n")))
}

type blockingWriter struct{ release chan struct{} }

func (bw blockingWriter) Write(p []byte) (int, error) {
	<-bw.release
	return len(p), nil
}

func TestJobLines(t *testing.T) {
	one := "12.5 east-1 " + `{"ts":3000.5,"msg":"refused","job":"a1"}` + "\nno JSON with a1\n" + `{"ts":1,"msg":"x","job":"b"}` + "\n"
	two := `{"ts":2000,"msg":"placed","job":"a1"}` + "\n" + `{"ts":2500,"msg":"other","reason":"a1"}` + "\n"
	list, err := JobLines("a1", strings.NewReader(one), strings.NewReader(two))
	must.NoError(t, err)
	must.Len(t, 2, list)
	must.StrContains(t, list[0].Text, "placed")
	must.StrContains(t, list[1].Text, "12.5 east-1")
}
