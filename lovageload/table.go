package lovageload

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteTable writes a text table with one row per report.
func WriteTable(w io.Writer, reports []*Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "run\tjobs/s\tjobs\ttasks\tmean/ideal\tp50\tp99\tp99.9\tp50 ms\tp99 ms\tuseful/task\twasted/task\toutcomes\t")
	for _, re := range reports {
		useful, wasted := re.MessagesPerTask()
		oi, rs := re.ResponseOverIdeal, re.ResponseSeconds
		_, _ = fmt.Fprintf(tw, "%s\t%.1f\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\t%.4f\t%s\t\n",
			re.Name, re.Rate, re.Jobs, re.Tasks, oi.Mean, oi.P50, oi.P99, oi.P999, rs.P50*1000, rs.P99*1000,
			useful, wasted, formatOutcomes(re.Outcomes))
	}
	return errors.Wrap(tw.Flush(), "write the table")
}

func formatOutcomes(outcomes map[string]int64) string {
	names := make([]string, 0, len(outcomes))
	for name := range outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s:%d", name, outcomes[name])
	}
	return strings.Join(names, " ")
}

// WriteJSON writes the reports as a JSON array.
func WriteJSON(w io.Writer, reports []*Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(reports), "write the reports")
}

// CurvePlot returns a plot of response over ideal by percentile, with one line per report.
func CurvePlot(title string, reports []*Report) Plot {
	pl := Plot{Title: title, XLabel: "percentile", YLabel: "response over ideal", XScale: ScalePercentile, YScale: ScaleLog}
	for _, re := range reports {
		pl.Series = append(pl.Series, Series{Name: re.Name, Points: re.Curve})
	}
	return pl
}
