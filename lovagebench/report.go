package lovagebench

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageload"
)

// Row is the result of one load or scenario on one variant with one seed.
type Row struct {
	Variant            Variant            `json:"variant"`
	Point              string             `json:"point"`
	Seed               uint64             `json:"seed"`
	Report             *lovageload.Report `json:"report"`
	Counters           map[string]float64 `json:"counters"` // increase of each counter during the measured part
	SingleTask         SingleTaskStats    `json:"jobsOfOneTask"`
	Reasons            map[string]int     `json:"reasons"` // number of incomplete answers by reason, warm-up included
	ControlPerSecond   float64            `json:"controlPerSecond"`
	Usage              Usage              `json:"usage"`
	ConcurrentVariants int                `json:"sideBySide"`
	Violations         []string           `json:"violations,omitempty"`
}

func (ro *Row) wastedPerTask() float64 {
	_, wasted := ro.Report.MessagesPerTask()
	return wasted
}

// perTask returns the messages of one kind per task.
func (ro *Row) perTask(count func(lovageload.Messages) int64) float64 {
	return float64(count(ro.Report.Messages)) / float64(max(1, ro.Report.Tasks))
}

// Report is the result of a measurement.
type Report struct {
	Options Options       `json:"-"`
	Started time.Time     `json:"started"`
	Took    time.Duration `json:"took"`
	Rows    []*Row        `json:"rows"`
}

func (re *Report) addRows(rows []*Row) { re.Rows = append(re.Rows, rows...) }

// Violations returns the violations of all rows.
func (re *Report) Violations() []string {
	var out []string
	for _, ro := range re.Rows {
		for _, text := range ro.Violations {
			out = append(out, fmt.Sprintf("%s, %s, seed %d: %s", ro.Variant.Name, ro.Point, ro.Seed, text))
		}
	}
	return out
}

// rowGroup holds the rows of one line of the table. They differ only in their seeds.
type rowGroup struct {
	variant Variant
	point   string
	rows    []*Row
}

// rowGroups returns the groups ordered by load or scenario, then by variant.
func (re *Report) rowGroups() []*rowGroup {
	var out []*rowGroup
	for _, po := range re.Options.points() {
		for _, va := range re.Options.Variants {
			gr := &rowGroup{variant: va, point: po.name}
			for _, ro := range re.Rows {
				if ro.Variant == va && ro.Point == po.name {
					gr.rows = append(gr.rows, ro)
				}
			}
			if len(gr.rows) > 0 {
				out = append(out, gr)
			}
		}
	}
	return out
}

// median returns the median over the seeds. With an even number of seeds, it returns the lower of the middle two.
func (gr *rowGroup) median(value func(*Row) float64) float64 {
	values := make([]float64, len(gr.rows))
	for i, ro := range gr.rows {
		values[i] = value(ro)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// outcomes lists the number of jobs by outcome over all seeds, most frequent first.
func (gr *rowGroup) outcomes() string {
	sum := map[string]int64{}
	for _, ro := range gr.rows {
		for name, n := range ro.Report.Outcomes {
			sum[name] += n
		}
	}
	names := make([]string, 0, len(sum))
	for name := range sum {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(sum[b], sum[a]), cmp.Compare(a, b)) })
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, sum[name])
	}
	return strings.Join(names, ", ")
}

// Write writes the tables, the targets and the violations as text.
func (re *Report) Write(w io.Writer) error {
	op := re.Options
	_, _ = fmt.Fprintf(w, "%s, %s, %d cores, %d workers of %d slots, %d instances, %d seeds, %s measured per row and seed, %s in all\n\n",
		re.Started.Format(time.DateTime), runtime.Version(), runtime.NumCPU(), op.Workers, slotsPerWorker,
		op.InstancesPerDataCentre*len(dataCentres), len(op.Seeds), op.Measured, re.Took.Round(time.Second))
	if err := re.writeRows(w); err != nil {
		return err
	}
	if err := re.writeBreakdown(w); err != nil {
		return err
	}
	re.writeTargets(w)
	for _, text := range re.Violations() {
		_, _ = fmt.Fprintln(w, "VIOLATION:", text)
	}
	_, err := fmt.Fprintf(w, "\nviolations of an invariant: %d\n", len(re.Violations()))
	return errors.Wrap(err, "write the table")
}

func (re *Report) writeRows(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "row\tvariant\tjobs\ttasks\tmean\tp50\tp99\tp99.9\tmean/bound\tuseful\twasted\trefused\tprobed\tforwarded\tpolled\tduplicate\tcontrol/s\tCPU\tmachine\toutcomes")
	for _, gr := range re.rowGroups() {
		overIdeal := func(quantile func(lovageload.Quantiles) float64) float64 {
			return gr.median(func(ro *Row) float64 { return quantile(ro.Report.ResponseOverIdeal) })
		}
		perTask := func(count func(lovageload.Messages) int64) float64 {
			return gr.median(func(ro *Row) float64 { return ro.perTask(count) })
		}
		process := gr.median(func(ro *Row) float64 { return ro.Usage.Process })
		machine := gr.median(func(ro *Row) float64 { return ro.Usage.Machine })
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.0f\t%s\t%s\t%s\n",
			gr.point, gr.variant.Name,
			gr.median(func(ro *Row) float64 { return float64(ro.Report.Jobs) }),
			gr.median(func(ro *Row) float64 { return float64(ro.Report.Tasks) }),
			overIdeal(func(qu lovageload.Quantiles) float64 { return qu.Mean }),
			overIdeal(func(qu lovageload.Quantiles) float64 { return qu.P50 }),
			overIdeal(func(qu lovageload.Quantiles) float64 { return qu.P99 }),
			overIdeal(func(qu lovageload.Quantiles) float64 { return qu.P999 }),
			gr.median(func(ro *Row) float64 { return ro.Report.ResponseOverBound.Mean }),
			perTask(func(me lovageload.Messages) int64 { return me.Useful }), perTask(lovageload.Messages.Wasted),
			perTask(func(me lovageload.Messages) int64 { return me.Refused }), perTask(func(me lovageload.Messages) int64 { return me.Probed }),
			perTask(func(me lovageload.Messages) int64 { return me.Forwarded }), perTask(func(me lovageload.Messages) int64 { return me.Polled }),
			perTask(func(me lovageload.Messages) int64 { return me.Duplicate }),
			gr.median(func(ro *Row) float64 { return ro.ControlPerSecond }), formatShare(process), formatShare(machine), gr.outcomes())
	}
	_, _ = fmt.Fprintf(tw, "\n! more than %.0f%% of the cores were busy: the times of the row are not to be trusted\n", 100*maxBusyShare)
	return errors.Wrap(tw.Flush(), "write the table")
}

// writeBreakdown writes response times by job size, and the parts of the response times of jobs with one task.
func (re *Report) writeBreakdown(w io.Writer) error {
	_, _ = fmt.Fprintln(w, "\nmean of response over ideal by tasks of the job; for one task the parts of the run time on the fastest worker")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "row\tvariant\t1\t2-9\t10-49\t50-350\twait\tslow worker\tstarts by speed")
	for _, gr := range re.rowGroups() {
		_, _ = fmt.Fprintf(tw, "%s\t%s", gr.point, gr.variant.Name)
		for i := range gr.rows[0].Report.BySize {
			_, _ = fmt.Fprintf(tw, "\t%.3f", gr.median(func(ro *Row) float64 { return ro.Report.BySize[i].ResponseOverIdeal.Mean }))
		}
		_, _ = fmt.Fprintf(tw, "\t%.3f\t%.3f\t", gr.median(func(ro *Row) float64 { return ro.SingleTask.Wait }),
			gr.median(func(ro *Row) float64 { return ro.SingleTask.Slow }))
		for _, speed := range workerSpeeds {
			name := fmt.Sprintf("worker_started{speed=%q}", fmt.Sprint(speed))
			share := gr.median(func(ro *Row) float64 { return ro.Counters[name] / max(1, ro.Counters["worker_started"]) })
			_, _ = fmt.Fprintf(tw, "%g: %.0f%% ", speed, 100*share)
		}
		_, _ = fmt.Fprintln(tw)
	}
	return errors.Wrap(tw.Flush(), "write the table")
}

// formatShare returns value in percent, with "!" above maxBusyShare.
func formatShare(value float64) string {
	if value > maxBusyShare {
		return fmt.Sprintf("%.0f%%!", 100*value)
	}
	return fmt.Sprintf("%.0f%%", 100*value)
}

// WriteJSON writes the rows with all counters.
func (re *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(re), "write the report")
}

func loadName(load float64) string { return fmt.Sprintf("load %g", load) }
