package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the log of a case: every request, answer and run, and every violation of a rule.
type record struct {
	mu         sync.Mutex
	out        *bufio.Writer
	began      time.Time
	violations []string
	answers    map[string]int // number of answers to clients, by status
	runs       map[string]int // number of ended runs, by outcome
}

func newRecord(out io.Writer) *record {
	return &record{out: bufio.NewWriter(out), began: time.Now(), answers: map[string]int{}, runs: map[string]int{}}
}

// log writes a line with the time since the start of the case.
func (re *record) log(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.logLocked(fmt.Sprintf(format, args...))
}

func (re *record) logLocked(text string) {
	_, _ = fmt.Fprintf(re.out, "%9.3f %s\n", time.Since(re.began).Seconds(), text)
}

// violate records that a rule was broken.
func (re *record) violate(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	text := "BROKEN " + fmt.Sprintf(format, args...)
	re.violations = append(re.violations, text)
	re.logLocked(text)
}

func (re *record) count(counts map[string]int, value string) {
	re.mu.Lock()
	counts[value]++
	re.mu.Unlock()
}

func (re *record) summary() string {
	re.mu.Lock()
	defer re.mu.Unlock()
	return fmt.Sprintf("answers: %s; runs: %s", countValues(re.answers), countValues(re.runs))
}

// finish writes the summary and returns the violations.
func (re *record) finish() []string {
	text := re.summary()
	re.mu.Lock()
	defer re.mu.Unlock()
	re.logLocked(text)
	re.logLocked(fmt.Sprintf("violations: %d", len(re.violations)))
	_ = re.out.Flush()
	return re.violations
}
