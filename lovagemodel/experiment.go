package lovagemodel

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Scenario is a named load.
type Scenario struct {
	Name string
	Load Load
}

// Scenarios returns loads of different stress: calm and full days, bursts, and faults of workers.
func Scenarios() []Scenario {
	loadWith := func(scale float64, change func(lo *Load)) Load {
		lo := StandardLoad(scale)
		if change != nil {
			change(&lo)
		}
		return lo
	}
	fault := func(kind FaultKind, share float64) func(lo *Load) {
		return func(lo *Load) {
			lo.CancelShare = 0.1
			lo.Faults = []Fault{{kind, 5 * time.Second, 6 * time.Second, share, false}, {kind, 18 * time.Second, 6 * time.Second, share, false}}
		}
	}
	burst := func(factor float64, class string) func(lo *Load) {
		return func(lo *Load) {
			lo.Bursts = []Burst{{5 * time.Second, 4 * time.Second, factor, class}, {16 * time.Second, 4 * time.Second, factor, class}}
		}
	}
	return []Scenario{
		{"calm 0.7", loadWith(0.7, nil)},
		{"usual 1.0", loadWith(1, nil)},
		{"busy 1.1", loadWith(1.1, nil)},
		{"overload 1.4", loadWith(1.4, nil)},
		{"overload 2", loadWith(2, nil)},
		{"burst 1.3", loadWith(1.05, burst(1.3, ""))},
		{"burst 2", loadWith(1, burst(2, ""))},
		{"burst of long jobs", loadWith(1, burst(1.9, "long"))},
		{"burst of usual jobs", loadWith(1.05, burst(1.9, "usual"))},
		{"errors", loadWith(1, fault(FaultErrors, 0.09))},
		{"hang", loadWith(1, fault(FaultHang, 0.1))},
		{"slow", loadWith(1, fault(FaultSlow, 0.17))},
		{"crash", loadWith(1, fault(FaultCrash, 0.14))},
		{"silent", loadWith(1, fault(FaultSilent, 0.17))},
		{"late", loadWith(1, fault(FaultLate, 0.1))},
		{"crash at one owner", loadWith(0.9, func(lo *Load) {
			lo.Faults = []Fault{{FaultCrash, 4 * time.Second, 20 * time.Second, 0.6, true}}
		})},
		{"slow at one owner", loadWith(0.9, func(lo *Load) {
			lo.Faults = []Fault{{FaultSlow, 4 * time.Second, 20 * time.Second, 0.5, true}}
		})},
	}
}

// Experiment simulates each scenario with seeds 0 to seeds-1 and writes a table with a line per scenario. A line has the
// earned share of the jobs' value, overall and in the worst class, and for each class the percentages of the counts in
// ClassResult. Experiment returns the mean overall share and the number of violations.
func Experiment(wr io.Writer, list []Scenario, seeds int) (mean float64, violations int, err error) {
	if _, err := fmt.Fprintf(wr, "%-20s %7s %7s  %s\n", "scenario", "earned", "worst",
		"class: in time, late, refused, of these late and despite free capacity, other %"); err != nil {
		return 0, 0, err
	}
	results := simulateAll(list, seeds)
	for i, sc := range list {
		sum, worst := 0.0, 0.0
		total := make([]ClassResult, len(sc.Load.Classes))
		for _, re := range results[i] {
			sum += re.EarnedShare()
			worst += re.WorstClassShare()
			violations += len(re.Violations)
			for i, cr := range re.Classes {
				acc := &total[i]
				acc.Name = cr.Name
				acc.Answered += cr.Answered
				acc.InTime += cr.InTime
				acc.Late += cr.Late
				acc.Refused += cr.Refused
				acc.RefusedLate += cr.RefusedLate
				acc.RefusedDespiteCapacity += cr.RefusedDespiteCapacity
				acc.Other += cr.Other
			}
		}
		line := fmt.Sprintf("%-20s %7.3f %7.3f ", sc.Name, sum/float64(seeds), worst/float64(seeds))
		for _, cr := range total {
			percent := func(n int) float64 { return 100 * float64(n) / float64(max(cr.Answered, 1)) }
			line += fmt.Sprintf(" %s: %4.1f %4.1f %4.1f %4.1f %4.1f %4.1f ", cr.Name, percent(cr.InTime), percent(cr.Late), percent(cr.Refused),
				percent(cr.RefusedLate), percent(cr.RefusedDespiteCapacity), percent(cr.Other))
		}
		if _, err := fmt.Fprintln(wr, line); err != nil {
			return 0, 0, err
		}
		mean += sum / float64(seeds) / float64(len(list))
	}
	_, err = fmt.Fprintf(wr, "%-20s %7.4f         %d violations\n", "mean", mean, violations)
	return mean, violations, err
}

// simulateAll runs at most GOMAXPROCS simulations at a time.
func simulateAll(list []Scenario, seeds int) [][]Result {
	results := make([][]Result, len(list))
	var gr errgroup.Group
	gr.SetLimit(runtime.GOMAXPROCS(0))
	for i, sc := range list {
		results[i] = make([]Result, seeds)
		for seed := range seeds {
			gr.Go(func() error {
				results[i][seed] = Simulate(sc.Load, uint64(seed))
				return nil
			})
		}
	}
	_ = gr.Wait() // the functions return no errors
	return results
}
