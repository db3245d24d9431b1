package lovagemodel

import (
	"fmt"
	"io"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// boundTolerance is for rounding in the bound and in the sums of a result.
const boundTolerance = 1e-6

// ExceedsBound reports whether a result is above the bound, which would be a fault of the model.
func (re Result) ExceedsBound(bo Bounds) bool {
	return re.Window.Work > bo.Any.Work*(1+boundTolerance) || re.Window.Value > bo.Any.Value*(1+boundTolerance)
}

// CustomerExperiment simulates each scenario with seeds 0 to seeds-1. It writes a line per scenario, and below it one per queue. It
// returns the number of violations, results above the bound included.
func CustomerExperiment(wr io.Writer, list []Scenario, seeds int) (violations int, err error) {
	results := make([][]Result, len(list))
	bounds := make([][]Bounds, len(list))
	var gr errgroup.Group
	gr.SetLimit(runtime.GOMAXPROCS(0))
	for i, sc := range list {
		results[i], bounds[i] = make([]Result, seeds), make([]Bounds, seeds)
		for seed := range seeds {
			gr.Go(func() error {
				results[i][seed], bounds[i][seed] = SimulateWithBounds(sc.Load, uint64(seed))
				return nil
			})
		}
	}
	_ = gr.Wait() // the functions return no errors
	if _, err := fmt.Fprint(wr, customerHeader); err != nil {
		return 0, err
	}
	for i, sc := range list {
		total, bound := Result{Classes: make([]ClassResult, len(sc.Load.Classes)), Owners: make([]GroupResult, sc.Load.Owners)}, Bounds{}
		for seed, re := range results[i] {
			violations += len(re.Violations)
			if re.ExceedsBound(bounds[i][seed]) {
				violations++
			}
			total.add(re)
			bound.Any.add(bounds[i][seed].Any)
			bound.NoRestart.add(bounds[i][seed].NoRestart)
		}
		total.Busy /= float64(seeds)
		if err := total.writeCustomer(wr, sc.Name, bound); err != nil {
			return violations, err
		}
	}
	_, err = fmt.Fprintf(wr, "%d violations\n", violations)
	return violations, err
}

const customerHeader = `Shares. work, value: of what no policy could exceed; and if no slow run may be started again.
refused with room: value refused while a worker had room for a task of the job, anywhere and at the owner that refused.
busy: of the workers' cores, while jobs arrived.
stopped, lost: work of runs that were stopped or failed, and of jobs that were not served, of all work done.
queues: jobs that were in time, late, refused, and served; served of the largest tenth by work, of the fifth below it, and of
the callers of each owner.
`

func (bo *Bound) add(ot Bound) { bo.Work, bo.Value = bo.Work+ot.Work, bo.Value+ot.Value }

// add adds the results of another seed, except the response times.
func (re *Result) add(ot Result) {
	re.StoppedWork, re.LostWork, re.DoneWork = re.StoppedWork+ot.StoppedWork, re.LostWork+ot.LostWork, re.DoneWork+ot.DoneWork
	re.Window.add(ot.Window)
	re.Busy += ot.Busy
	for i := range ot.Owners {
		re.Owners[i].Add(ot.Owners[i])
	}
	for i, cr := range ot.Classes {
		acc := &re.Classes[i]
		acc.Name = cr.Name
		acc.Answered, acc.InTime, acc.Late = acc.Answered+cr.Answered, acc.InTime+cr.InTime, acc.Late+cr.Late
		acc.Refused, acc.Other = acc.Refused+cr.Refused, acc.Other+cr.Other
		acc.PossibleValue, acc.EarnedValue = acc.PossibleValue+cr.PossibleValue, acc.EarnedValue+cr.EarnedValue
		acc.RefusedWhileFree += cr.RefusedWhileFree
		acc.RefusedWhileOwnFree += cr.RefusedWhileOwnFree
		acc.LargestTenth.Add(cr.LargestTenth)
		acc.FifthBelow.Add(cr.FifthBelow)
		acc.Others.Add(cr.Others)
		if acc.Owners == nil {
			acc.Owners = make([]GroupResult, len(cr.Owners))
		}
		for k := range cr.Owners {
			acc.Owners[k].Add(cr.Owners[k])
		}
	}
}

func (re *Result) writeCustomer(wr io.Writer, name string, bound Bounds) error {
	possible, free, ownFree := 0.0, 0.0, 0.0
	for _, cr := range re.Classes {
		possible += cr.PossibleValue
		free += cr.RefusedWhileFree
		ownFree += cr.RefusedWhileOwnFree
	}
	allWork := re.DoneWork + re.StoppedWork
	const format = "%-18s work %.3f %.3f  value %.3f %.3f  earned %.3f  refused with room %.3f %.3f  busy %.3f  stopped %.3f  lost %.3f\n"
	if _, err := fmt.Fprintf(wr, format, name,
		re.Window.Work/bound.Any.Work, re.Window.Work/bound.NoRestart.Work, re.Window.Value/bound.Any.Value,
		re.Window.Value/bound.NoRestart.Value, re.EarnedShare(), free/possible, ownFree/possible, re.Busy, re.StoppedWork/allWork,
		re.LostWork/allWork); err != nil {
		return err
	}
	for _, cr := range re.Classes {
		share := func(n int) float64 { return float64(n) / float64(max(cr.Answered, 1)) }
		line := fmt.Sprintf("  %-16s in time %.3f  late %.3f  refused %.3f  served %.3f  tenth %.3f  fifth %.3f  owners",
			cr.Name, share(cr.InTime), share(cr.Late), share(cr.Refused), share(cr.InTime+cr.Late), cr.LargestTenth.ServedShare(),
			cr.FifthBelow.ServedShare())
		for _, ow := range cr.Owners {
			line += fmt.Sprintf(" %.3f", ow.ServedShare())
		}
		if _, err := fmt.Fprintln(wr, line); err != nil {
			return err
		}
	}
	return nil
}
