// Package lovagelog writes log lines that explain the outcome of jobs, and extracts the lines about one job.
//
// A line is a JSON object. Lines about decisions have a kind, and each kind has a budget of lines per second. Lines
// beyond the budget are suppressed; their number is logged with the next second's first decision. Refusals and
// failures have larger budgets than successes. A separate goroutine writes the lines, so callers never wait for the
// output. Lines that find the goroutine's queue full are dropped, and their number is logged.
//
// # Usage
//
//	lo := lovagelog.New(os.Stdout)
//	go lo.Run(ctx)
//	lo.Zap().Info("start", zap.String("instance", id))
//	lo.LogDecision("refused", false, zap.String("job", id), zap.Duration("wait", wait))
//
// JobLines reads the lines of several instances and returns those about one job, in order of time.
package lovagelog

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// successBudget and failureBudget are the maximum lines per second of each kind. At 300 bytes a line, a kind writes at
	// most 6 or 18 KB/s.
	successBudget = 20
	failureBudget = 60
	// queueSize is how many lines may wait for the writer; further lines are dropped.
	queueSize = 2048
	// flushInterval is how long lines are collected, so that one write carries many lines.
	flushInterval = 100 * time.Millisecond
	// maxBatchLines is the maximum number of lines in one write. It limits the memory of a write, because lines taken
	// from the queue no longer count against queueSize.
	maxBatchLines = queueSize
	// maxLineBytes is the longest line that JobLines reads.
	maxLineBytes = 1 << 20
)

// Logger writes log lines. Its methods are safe for concurrent use.
type Logger struct {
	out             io.Writer
	log             *zap.Logger
	queue           chan []byte
	dropped         atomic.Int64 // lines that found the queue full
	mu              sync.Mutex
	countedSecond   int64          // Unix second to which the two maps apply
	writtenLines    map[string]int // by kind
	suppressedLines map[string]int // lines over budget, by kind
}

// New returns a Logger that writes to out; call Run to start writing.
func New(out io.Writer) *Logger {
	lo := &Logger{out: out, queue: make(chan []byte, queueSize), writtenLines: map[string]int{}, suppressedLines: map[string]int{}}
	ec := zap.NewProductionEncoderConfig()
	ec.EncodeTime = zapcore.EpochMillisTimeEncoder
	ec.EncodeDuration = zapcore.MillisDurationEncoder
	lo.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(ec), lo, zapcore.InfoLevel))
	return lo
}

// Zap returns the logger for lines without a budget. These are rare: start, stop and state changes of the process.
func (lo *Logger) Zap() *zap.Logger { return lo.log }

// Write queues a line, or drops it if the queue is full. It implements zapcore.WriteSyncer.
func (lo *Logger) Write(line []byte) (int, error) {
	select {
	case lo.queue <- slices.Clone(line):
	default:
		lo.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Run writes all lines before it returns.
func (lo *Logger) Sync() error { return nil }

// LogDecision writes a line about a decision unless its kind's budget for the current second is exhausted.
func (lo *Logger) LogDecision(kind string, success bool, fields ...zap.Field) {
	budget := failureBudget
	if success {
		budget = successBudget
	}
	if lo.consumeBudget(kind, budget, time.Now().Unix()) {
		lo.log.Info(kind, fields...)
	}
}

func (lo *Logger) consumeBudget(kind string, budget int, second int64) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if second != lo.countedSecond {
		for kind, n := range lo.suppressedLines {
			lo.log.Warn("lines left out", zap.String("kind", kind), zap.Int("count", n), zap.Int64("second", lo.countedSecond))
		}
		clear(lo.suppressedLines)
		clear(lo.writtenLines)
		lo.countedSecond = second
	}
	if lo.writtenLines[kind] >= budget {
		lo.suppressedLines[kind]++
		return false
	}
	lo.writtenLines[kind]++
	return true
}

// Run writes lines until ctx is done, and then the lines that are still queued.
func (lo *Logger) Run(ctx context.Context) {
	var buf []byte
	flush := func() {
		if n := lo.dropped.Swap(0); n > 0 {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"ts\":%d,\"msg\":\"lines lost\",\"count\":%d}\n", time.Now().UnixMilli(), n)
		}
		if len(buf) > 0 {
			_, _ = lo.out.Write(buf) // a failure cannot be reported anywhere
			buf = buf[:0]
		}
	}
	for {
		select {
		case line := <-lo.queue:
			buf = append(buf, line...)
			lo.collect(ctx, &buf)
			flush()
		case <-ctx.Done():
			for {
				select {
				case line := <-lo.queue:
					buf = append(buf, line...)
					continue
				default:
				}
				flush()
				return
			}
		}
	}
}

// collect appends the lines that arrive within flushInterval, at most maxBatchLines.
func (lo *Logger) collect(ctx context.Context, buf *[]byte) {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for range maxBatchLines {
		select {
		case line := <-lo.queue:
			*buf = append(*buf, line...)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Line is a log line about a job.
type Line struct {
	Time time.Time
	Text string // the line as written
}

// JobLines returns the lines about a job, oldest first. It skips lines without a JSON object. It keeps text
// before the object, because log collectors add such prefixes.
func JobLines(job string, sources ...io.Reader) ([]Line, error) {
	var list []Line
	for _, so := range sources {
		sc := bufio.NewScanner(so)
		sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for sc.Scan() {
			if li, ok := parseLine(job, sc.Text()); ok {
				list = append(list, li)
			}
		}
		if err := sc.Err(); err != nil {
			return nil, fmt.Errorf("read the log: %w", err)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return list, nil
}

func parseLine(job, text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 || !strings.Contains(text, job) {
		return Line{}, false
	}
	var fields struct {
		Millis float64 `json:"ts"`
		Job    string  `json:"job"`
	}
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil || fields.Job != job {
		return Line{}, false
	}
	return Line{Time: time.UnixMicro(int64(fields.Millis * 1000)), Text: text}, true
}
