// Package lovagelog writes log lines that explain the outcome of jobs, and extracts the lines about one job.
//
// A line is a JSON object. Lines about decisions have a kind, and each kind has a budget of lines per second. Lines
// beyond the budget are suppressed; their number is logged with the next second's first decision. Refusals and
// failures have larger budgets than successes. Instead of a suppressed line about a job that was refused, late or failed, a
// short record is kept; the records of a second are written in few lines at its end, at the expense of the next second's
// budget. A separate goroutine writes the lines, so callers never wait for the output. Lines that find the goroutine's queue
// full are dropped, and their number is logged.
//
// # Usage
//
//	lo := lovagelog.New(os.Stdout)
//	go lo.Run(ctx)
//	lo.Zap().Info("start", zap.String("instance", id))
//	lo.LogDecision("refused", false, zap.String("job", id), zap.Duration("wait", wait))
//
// JobLines reads the lines of several instances and returns those about one job, in order of time. It expands records.
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
	// most 6 or 18 KB/s, records included.
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
	countedSecond   int64                   // Unix second to which the two maps apply
	writtenLines    map[string]int          // by kind
	suppressedLines map[string]int          // lines over budget without a record, by kind
	records         map[string]*recordBatch // of countedSecond, by kind
	flushTimer      *time.Timer             // calls flushRecords at the end of a second with records
}

// New returns a Logger that writes to out; call Run to start writing.
func New(out io.Writer) *Logger {
	lo := &Logger{
		out: out, queue: make(chan []byte, queueSize), writtenLines: map[string]int{}, suppressedLines: map[string]int{},
		records: map[string]*recordBatch{},
	}
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

// LogDecision writes a line about a decision unless its kind's budget for the current second is exhausted. In that case a record is kept
// if it is no success, or has the field "late", and has the field "job".
func (lo *Logger) LogDecision(kind string, success bool, fields ...zap.Field) {
	budget := failureBudget
	if success {
		budget = successBudget - recordReserve
	}
	if lo.consumeBudget(kind, budget, time.Now().Unix(), fields...) {
		lo.log.Info(kind, fields...)
	}
}

// consumeBudget reports whether a line of the kind may be written. If not, it keeps a record of the decision or counts it as suppressed.
func (lo *Logger) consumeBudget(kind string, budget int, second int64, fields ...zap.Field) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if second != lo.countedSecond {
		lo.beginSecond(second)
	}
	if lo.writtenLines[kind] < budget {
		lo.writtenLines[kind]++
		return true
	}
	if !lo.addRecord(kind, budget, fields) {
		lo.suppressedLines[kind]++
	}
	return false
}

// beginSecond writes what is kept of the counted second, and starts to count another.
func (lo *Logger) beginSecond(second int64) {
	for kind, n := range lo.suppressedLines {
		lo.log.Warn("lines left out", zap.String("kind", kind), zap.Int("count", n), zap.Int64("second", lo.countedSecond))
	}
	clear(lo.suppressedLines)
	clear(lo.writtenLines)
	lo.writeRecords()
	lo.countedSecond = second
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
			lo.close()
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
			list = append(list, parseLine(job, sc.Text())...)
		}
		if err := sc.Err(); err != nil {
			return nil, fmt.Errorf("read the log: %w", err)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return list, nil
}

// parseLine returns a line if it is about the job, or the job's records that it holds as lines of their own.
func parseLine(job, text string) []Line {
	at := strings.IndexByte(text, '{')
	if at < 0 || !strings.Contains(text, job) && !strings.Contains(text, escapeID(job)) {
		return nil
	}
	var fields struct {
		Millis float64           `json:"ts"`
		Kind   string            `json:"msg"`
		Job    string            `json:"job"`
		Groups []json.RawMessage `json:"groups"`
	}
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return nil
	}
	when := time.UnixMicro(int64(fields.Millis * 1000))
	if fields.Job == job {
		return []Line{{when, text}}
	}
	var list []Line
	for _, group := range fields.Groups {
		for _, record := range expandRecords(job, group) {
			list = append(list, Line{when, fmt.Sprintf("%s{\"ts\":%.0f,\"msg\":%q,%s}", text[:at], fields.Millis, fields.Kind, record)})
		}
	}
	return list
}
