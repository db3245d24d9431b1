package lovagemetric

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the output of WriteText.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

var helpEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`)

// WriteText writes all metrics in the Prometheus text format, sorted by name and labels.
func (re *Registry) WriteText(w io.Writer) error {
	re.mu.Lock()
	families := make([]*family, 0, len(re.names))
	for _, name := range re.names {
		families = append(families, re.families[name])
	}
	re.mu.Unlock()
	bw := bufio.NewWriter(w)
	for _, fa := range families {
		fa.write(bw)
	}
	return errors.Wrap(bw.Flush(), "write metrics")
}

func (fa *family) fullName() string {
	switch fa.metricType {
	case typeCounter:
		return namePrefix + fa.name + "_total"
	case typeHistogram:
		return namePrefix + fa.name + "_seconds"
	}
	return namePrefix + fa.name
}

func (fa *family) write(bw *bufio.Writer) {
	fa.mu.RLock()
	labelTexts := make([]string, 0, len(fa.series))
	for text := range fa.series {
		labelTexts = append(labelTexts, text)
	}
	slices.Sort(labelTexts)
	series := make([]any, len(labelTexts))
	for i, text := range labelTexts {
		series[i] = fa.series[text]
	}
	fa.mu.RUnlock()
	if len(labelTexts) == 0 {
		return
	}
	name := fa.fullName()
	_, _ = bw.WriteString("# HELP " + name + " " + helpEscaper.Replace(fa.help) + "\n")
	_, _ = bw.WriteString("# TYPE " + name + " " + fa.metricType + "\n")
	for i, se := range series {
		switch se := se.(type) {
		case metrics.Counter:
			writeLine(bw, name, labelTexts[i], "", float64(se.Count()))
		case metrics.GaugeFloat64:
			writeLine(bw, name, labelTexts[i], "", se.Value())
		case *Timer:
			writeTimer(bw, name, labelTexts[i], se)
		}
	}
}

func writeTimer(bw *bufio.Writer, name, labelText string, ti *Timer) {
	var count int64
	for i, bu := range ti.buckets {
		count += bu.Count()
		le := "+Inf"
		if i < len(bucketBounds) {
			le = formatFloat(bucketBounds[i].Seconds())
		}
		writeLine(bw, name+"_bucket", labelText, `le="`+le+`"`, float64(count))
	}
	writeLine(bw, name+"_sum", labelText, "", float64(ti.sumNanos.Count())/1e9)
	writeLine(bw, name+"_count", labelText, "", float64(count))
}

func writeLine(bw *bufio.Writer, name, labelText, extraLabel string, value float64) {
	_, _ = bw.WriteString(name)
	if labelText != "" && extraLabel != "" {
		labelText += ","
	}
	if labelText += extraLabel; labelText != "" {
		_, _ = bw.WriteString("{" + labelText + "}")
	}
	_, _ = bw.WriteString(" " + formatFloat(value) + "\n")
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
