package lovagemetric

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// namePrefix is the prefix of every metric name in the output.
const namePrefix = "lovage_"

// MaxSeries bounds the number of series of a family. Further label values are counted together in a series whose label
// values are all "other". The largest family at the planned size has 100 peers times 14 kinds of messages.
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

var labelNames = []LabelName{
	LabelKind, LabelService, LabelTeam, LabelOutcome, LabelState, LabelSource, LabelOperation, LabelPeer, LabelDataCentre,
	LabelReason, LabelEvent,
}

const overflowValue = "other"

// Types of families in the text format.
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
	names    []string // sorted
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{metrics: metrics.NewRegistry(), families: make(map[string]*family)}
}

// family is the set of series of one metric name.
type family struct {
	registry         *Registry
	name, help, kind string
	labels           []LabelName

	mu     sync.RWMutex
	series map[string]any // by label text, such as `kind="accept"`
}

// family returns the family with the given name and creates it if needed. It panics if the family exists with another
// kind or other labels, since that is a programming error.
func (re *Registry) family(kind, name, help string, labels []LabelName) *family {
	for _, la := range labels {
		if !slices.Contains(labelNames, la) {
			panic(fmt.Sprintf("lovagemetric: metric %s: label %q is not in the fixed set", name, la))
		}
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if fa := re.families[name]; fa != nil {
		if fa.kind != kind || !slices.Equal(fa.labels, labels) {
			panic(fmt.Sprintf("lovagemetric: metric %s is already a %s with labels %v", name, fa.kind, fa.labels))
		}
		return fa
	}
	fa := &family{registry: re, name: name, help: help, kind: kind, labels: labels, series: make(map[string]any)}
	re.families[name] = fa
	i, _ := slices.BinarySearch(re.names, name)
	re.names = slices.Insert(re.names, i, name)
	return fa
}

// getOrCreate returns the series of the label values and creates it if needed.
func (fa *family) getOrCreate(values []string, create func(key string) any) any {
	if len(values) != len(fa.labels) {
		panic(fmt.Sprintf("lovagemetric: metric %s has %d labels, got %d values", fa.name, len(fa.labels), len(values)))
	}
	text := fa.labelText(values)
	fa.mu.RLock()
	se, ok := fa.series[text]
	fa.mu.RUnlock()
	if ok {
		return se
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if len(fa.series) >= MaxSeries {
		overflowValues := make([]string, len(values))
		for i := range overflowValues {
			overflowValues[i] = overflowValue
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

func (fa *family) labelText(values []string) string {
	var sb strings.Builder
	for i, la := range fa.labels {
		if i > 0 {
			sb.WriteByte(',')
		}
		sb.WriteString(string(la))
		sb.WriteString(`="`)
		_, _ = labelEscaper.WriteString(&sb, values[i])
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

// With returns the counter of the label values, in the order of the labels.
func (cf CounterFamily) With(values ...string) metrics.Counter {
	return cf.fa.getOrCreate(values, func(key string) any {
		return cf.fa.registry.metrics.GetOrRegister(key, metrics.NewCounter)
	}).(metrics.Counter)
}

// GaugeFamily is a set of gauges that differ in their label values.
type GaugeFamily struct{ fa *family }

// Gauge returns the gauge family with the given name.
func (re *Registry) Gauge(name, help string, labels ...LabelName) GaugeFamily {
	return GaugeFamily{re.family(typeGauge, name, help, labels)}
}

// With returns the gauge of the label values, in the order of the labels.
func (gf GaugeFamily) With(values ...string) metrics.GaugeFloat64 {
	return gf.fa.getOrCreate(values, func(key string) any {
		return gf.fa.registry.metrics.GetOrRegister(key, metrics.NewGaugeFloat64)
	}).(metrics.GaugeFloat64)
}

// GaugeFunc registers a gauge without labels. WriteText calls value for its current value.
func (re *Registry) GaugeFunc(name, help string, value func() float64) {
	re.registerFunc(typeGauge, name, help, value)
}

// CounterFunc registers a counter without labels. WriteText calls value for its current value.
func (re *Registry) CounterFunc(name, help string, value func() float64) {
	re.registerFunc(typeCounter, name, help, value)
}

func (re *Registry) registerFunc(kind, name, help string, value func() float64) {
	re.family(kind, name, help, nil).getOrCreate(nil, func(key string) any {
		return re.metrics.GetOrRegister(key, metrics.NewFunctionalGaugeFloat64(value))
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
