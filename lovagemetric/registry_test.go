package lovagemetric

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagepeer"
)

var _ lovagepeer.Counters = PeerCounters{}

func metricsText(t *testing.T, re *Registry) string {
	t.Helper()
	var sb strings.Builder
	must.NoError(t, re.WriteText(&sb))
	return sb.String()
}

// Checks that the output is in the Prometheus text format. A scraper would reject or misread other output.
func TestWriteText(t *testing.T) {
	re := New()
	started := re.Counter("tasks_started", "Tasks \\ started.\nPer service.", LabelService, LabelOutcome)
	started.With("ticket", "complete").Inc(3)
	started.With(`a"\`, "failed").Inc(1)
	re.Gauge("queued", "Queued tasks.").With().Update(2.5)
	re.CounterFunc("cpu", "CPU.", func() float64 { return 1.25 })
	wait := re.Timer("queue_wait", "Wait.", LabelKind).With("x")
	wait.Observe(100 * time.Microsecond)
	wait.Observe(1500 * time.Microsecond)
	wait.Observe(time.Minute)
	got := metricsText(t, re)
	for _, line := range []string{
		`# HELP lovage_tasks_started_total Tasks \\ started.\nPer service.`,
		"# TYPE lovage_tasks_started_total counter",
		`lovage_tasks_started_total{service="a\"\\",outcome="failed"} 1`,
		`lovage_tasks_started_total{service="ticket",outcome="complete"} 3`,
		"# TYPE lovage_queued gauge",
		"lovage_queued 2.5",
		"lovage_cpu_total 1.25",
		"# TYPE lovage_queue_wait_seconds histogram",
		`lovage_queue_wait_seconds_bucket{kind="x",le="0.0001"} 1`,
		`lovage_queue_wait_seconds_bucket{kind="x",le="0.001"} 1`,
		`lovage_queue_wait_seconds_bucket{kind="x",le="0.002"} 2`,
		`lovage_queue_wait_seconds_bucket{kind="x",le="+Inf"} 3`,
		`lovage_queue_wait_seconds_sum{kind="x"} 60.0016`,
		`lovage_queue_wait_seconds_count{kind="x"} 3`,
	} {
		must.StrContains(t, got, line+"\n")
	}
	must.Eq(t, got, metricsText(t, re), must.Sprint("the order of the lines must not vary"))
}

// Checks that a family stops growing at MaxSeries+1 series as a label gets new values.
func TestSeriesLimit(t *testing.T) {
	re := New()
	fa := re.Counter("calls", "Calls.", LabelPeer)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for j := range MaxSeries {
				fa.With(fmt.Sprintf("peer-%d-%d", i, j)).Inc(1)
			}
		})
	}
	wg.Wait()
	must.Eq(t, MaxSeries+1, strings.Count(metricsText(t, re), "lovage_calls_total{"))
	must.Eq(t, int64(3*MaxSeries), fa.With(overflowLabelValue).Count())
}

// Checks that labels that could identify jobs or callers, and two metrics with one name, cause a panic.
func TestInvalidFamilies(t *testing.T) {
	re := New()
	re.Counter("calls", "Calls.", LabelPeer)
	for name, call := range map[string]func(){
		"label outside of the set": func() { re.Counter("jobs", "Jobs.", "job") },
		"other labels":             func() { re.Counter("calls", "Calls.") },
		"other kind":               func() { re.Gauge("calls", "Calls.", LabelPeer) },
		"missing value":            func() { re.Counter("calls", "Calls.", LabelPeer).With() },
	} {
		func() {
			defer func() { must.NotNil(t, recover(), must.Sprint(name)) }()
			call()
		}()
	}
}

// Guards against process metrics that stay at zero.
func TestRegisterProcess(t *testing.T) {
	re := New()
	re.RegisterProcess()
	must.Positive(t, residentBytes())
	must.StrContains(t, metricsText(t, re), "lovage_process_goroutines ")
	for cpuSeconds() == 0 { // uses CPU time until cpuSeconds reports some
		_ = metricsText(t, re)
	}
}
