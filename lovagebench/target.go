package lovagebench

import (
	"fmt"
	"io"
)

// target is an upper bound that the design sets for the chosen policy.
type target struct {
	point, name string
	limit       float64
	value       func(*Row) float64
}

func targets() []target {
	mean := func(ro *Row) float64 { return ro.Report.ResponseOverIdeal.Mean }
	out := []target{
		{loadName(0.6), "mean response over ideal", 1.10, mean},
		{loadName(0.8), "mean response over ideal", 1.35, mean},
		{loadName(0.6), "p99 of response over ideal", 2.0, func(ro *Row) float64 { return ro.Report.ResponseOverIdeal.P99 }},
	}
	for _, load := range []float64{0.3, 0.6, 0.8, 0.95} {
		out = append(out, target{loadName(load), "wasted messages per task", 0.05, (*Row).wastedPerTask})
	}
	return out
}

// writeTargets writes for each target whether the chosen policy met it, and for each baseline whether the chosen policy
// was better.
func (re *Report) writeTargets(w io.Writer) {
	chosen := re.Options.Variants[0]
	_, _ = fmt.Fprintf(w, "\ntargets, variant %s\n", chosen.Name)
	groups := re.rowGroups()
	findGroup := func(va Variant, point string) *rowGroup {
		for _, gr := range groups {
			if gr.variant == va && gr.point == point {
				return gr
			}
		}
		return nil
	}
	for _, ta := range targets() {
		if gr := findGroup(chosen, ta.point); gr != nil {
			value := gr.median(ta.value)
			_, _ = fmt.Fprintf(w, "  %-10s %-28s %.4f, at most %.2f: %s\n", ta.point, ta.name, value, ta.limit, verdict(value <= ta.limit))
		}
	}
	mean := func(ro *Row) float64 { return ro.Report.ResponseOverIdeal.Mean }
	p99 := func(ro *Row) float64 { return ro.Report.ResponseOverIdeal.P99 }
	for _, gr := range groups {
		chosenGroup := findGroup(chosen, gr.point)
		if !gr.variant.Baseline || chosenGroup == nil {
			continue
		}
		chosenMean, chosenP99, baselineMean, baselineP99 := chosenGroup.median(mean), chosenGroup.median(p99), gr.median(mean), gr.median(p99)
		_, _ = fmt.Fprintf(w, "  %-24s better than %-14s mean %.3f to %.3f: %s, p99 %.3f to %.3f: %s\n", gr.point, gr.variant.Name,
			chosenMean, baselineMean, verdict(chosenMean < baselineMean), chosenP99, baselineP99, verdict(chosenP99 < baselineP99))
	}
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "MISSED"
}
