package lovagemetric

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// namePrefix begins every metric name in the output.
const namePrefix = "lovage_"

// MaxSeries is the maximum number of series of a family. Further label values share one more series with the label
// values "other". The largest family at the planned size has 100 peers times 14 kinds of messages.
const MaxSeries = 2000

// LabelName is the name of a label.
type LabelName string

// Label names that families may use.
const (
	LabelKind       LabelName = "kind"
	LabelService    LabelName = "service"
	LabelTeam       LabelName = "team"
	LabelOutcome    LabelName = "outcome"
	LabelState      LabelName = "state"
	LabelSource     LabelName = "source"
	LabelOperation  LabelName = "operation"
	LabelPeer       LabelName = "peer"
	LabelDataCentre LabelName = "data_centre"
	LabelReason     LabelName = "reason"
	LabelEvent      LabelName = "event"
)

var allowedLabels = []LabelName{
	LabelKind, LabelService, LabelTeam, LabelOutcome, LabelState, LabelSource, LabelOperation, LabelPeer, LabelDataCentre,
	LabelReason, LabelEvent,
}

const overflowLabelValue = "other"

// Metric types, as named in the output of WriteText.
const (
	typeCounter   = "counter"
	typeGauge     = "gauge"
	typeHistogram = "histogram"
)

// Registry holds the metrics of a process. Its methods are safe for concurrent use.
type Registry struct {
	metrics metrics.Registry

	mu       sync.Mutex
	families map[string]*family
	names    []string // family names, sorted
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{metrics: metrics.NewRegistry(), families: make(map[string]*family)}
}

// family is the set of series of one metric name.
type family struct {
	registry               *Registry
	name, help, metricType string
	labels                 []LabelName

	mu     sync.RWMutex
	series map[string]any // metrics by label text, such as `kind="accept"`
}

// family returns the family with the given name and creates it if needed. It panics on programming errors: a label
// that is not allowed, or an existing family with another type or other labels.
func (re *Registry) family(metricType, name, help string, labels []LabelName) *family {
	for _, la := range labels {
		if !slices.Contains(allowedLabels, la) {
			panic(fmt.Sprintf("lovagemetric: metric %s: label %q is not in the fixed set", name, la))
		}
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if fa := re.families[name]; fa != nil {
		if fa.metricType != metricType || !slices.Equal(fa.labels, labels) {
			panic(fmt.Sprintf("lovagemetric: metric %s is already a %s with labels %v", name, fa.metricType, fa.labels))
		}
		return fa
	}
	fa := &family{registry: re, name: name, help: help, metricType: metricType, labels: labels, series: make(map[string]any)}
	re.families[name] = fa
	i, _ := slices.BinarySearch(re.names, name)
	re.names = slices.Insert(re.names, i, name)
	return fa
}

// getOrCreate returns the series of the label values and creates it if needed. If the family is full, new label values
// get the series "other".
func (fa *family) getOrCreate(labelValues []string, create func(seriesName string) any) any {
	if len(labelValues) != len(fa.labels) {
		panic(fmt.Sprintf("lovagemetric: metric %s has %d labels, got %d values", fa.name, len(fa.labels), len(labelValues)))
	}
	text := fa.labelText(labelValues)
	fa.mu.RLock()
	se, ok := fa.series[text]
	fa.mu.RUnlock()
	if ok {
		return se
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if len(fa.series) >= MaxSeries {
		overflowValues := make([]string, len(labelValues))
		for i := range overflowValues {
			overflowValues[i] = overflowLabelValue
		}
		text = fa.labelText(overflowValues)
	}
	if se, ok := fa.series[text]; ok {
		return se
	}
	se = create(fa.name + "{" + text + "}")
	fa.series[text] = se
	return se
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func (fa *family) labelText(labelValues []string) string {
	var sb strings.Builder
	for i, la := range fa.labels {
		if i > 0 {
			sb.WriteByte(',')
		}
		sb.WriteString(string(la))
		sb.WriteString(`="`)
		_, _ = labelEscaper.WriteString(&sb, labelValues[i])
		sb.WriteByte('"')
	}
	return sb.String()
}

// CounterFamily is a set of counters that differ in their label values.
type CounterFamily struct{ fa *family }

// Counter returns the counter family with the given name. WriteText appends "_total" to the name.
func (re *Registry) Counter(name, help string, labels ...LabelName) CounterFamily {
	return CounterFamily{re.family(typeCounter, name, help, labels)}
}

// With returns the counter with the given label values, in the order of the labels.
func (cf CounterFamily) With(labelValues ...string) metrics.Counter {
	return cf.fa.getOrCreate(labelValues, func(seriesName string) any {
		return cf.fa.registry.metrics.GetOrRegister(seriesName, metrics.NewCounter)
	}).(metrics.Counter)
}

// GaugeFamily is a set of gauges that differ in their label values.
type GaugeFamily struct{ fa *family }

// Gauge returns the gauge family with the given name.
func (re *Registry) Gauge(name, help string, labels ...LabelName) GaugeFamily {
	return GaugeFamily{re.family(typeGauge, name, help, labels)}
}

// With returns the gauge with the given label values, in the order of the labels.
func (gf GaugeFamily) With(labelValues ...string) metrics.GaugeFloat64 {
	return gf.fa.getOrCreate(labelValues, func(seriesName string) any {
		return gf.fa.registry.metrics.GetOrRegister(seriesName, metrics.NewGaugeFloat64)
	}).(metrics.GaugeFloat64)
}

// GaugeFunc registers a gauge without labels. WriteText calls value to read it.
func (re *Registry) GaugeFunc(name, help string, value func() float64) {
	re.registerFunc(typeGauge, name, help, value)
}

// CounterFunc registers a counter without labels. WriteText calls value to read it.
func (re *Registry) CounterFunc(name, help string, value func() float64) {
	re.registerFunc(typeCounter, name, help, value)
}

func (re *Registry) registerFunc(metricType, name, help string, value func() float64) {
	re.family(metricType, name, help, nil).getOrCreate(nil, func(seriesName string) any {
		return re.metrics.GetOrRegister(seriesName, metrics.NewFunctionalGaugeFloat64(value))
	})
}

// PeerCounters implements lovagepeer.Counters with the counters of a Registry.
type PeerCounters struct{ Registry *Registry }

// Counter returns the counter with the given name for a kind of message. If kind is empty, the counter has no label.
func (pc PeerCounters) Counter(name, kind string) interface{ Inc(n int64) } {
	if kind == "" {
		return pc.Registry.Counter(name, "Peer sessions: see lovagepeer.").With()
	}
	return pc.Registry.Counter(name, "Peer sessions by kind of message: see lovagepeer.", LabelKind).With(kind)
}
