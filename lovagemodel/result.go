package lovagemodel

import (
	"fmt"
	"slices"
	"time"

	"lovagestack/lovagepool"
)

// lateShare is what a late answer is worth, and lateFactor up to how many times the goal.
const (
	lateShare  = 0.2
	lateFactor = 3
)

// ClassResult is what the callers of a class got.
type ClassResult struct {
	Name                              string
	Asked, InTime, Late, Refused, Bad int
	Owed, Earned                      float64
	Response                          []time.Duration // of answers in time or late; sorted
	HeldRefused                       int             // refused after more than a quarter of the goal
	RefusedFree                       int             // refused while sound workers had room for the whole job
}

// Result is what a play gave.
type Result struct {
	Classes    []ClassResult
	Violations []string // first ones of what must never happen
}

// maxViolations bounds the list.
const maxViolations = 10

func (re *Result) violate(format string, args ...any) {
	if len(re.Violations) < maxViolations {
		re.Violations = append(re.Violations, fmt.Sprintf(format, args...))
	}
}

func (re *Result) count(jr *jobRecord, oc lovagepool.Outcome, now, start time.Time) {
	if jr.arrived.Sub(start) < warmUp {
		return
	}
	cr := &re.Classes[jr.class]
	took := now.Sub(jr.arrived)
	cr.Asked++
	cr.Owed += jr.worth
	switch {
	case oc == lovagepool.NotRun:
		cr.Refused++
		if took > jr.goal/4 {
			cr.HeldRefused++
		}
	case oc != lovagepool.Completed || took > lateFactor*jr.goal:
		cr.Bad++
	case took <= jr.goal:
		cr.InTime++
		cr.Earned += jr.worth
		cr.Response = append(cr.Response, took)
	default:
		cr.Late++
		cr.Earned += lateShare * jr.worth
		cr.Response = append(cr.Response, took)
	}
}

func (re *Result) finish() {
	for i := range re.Classes {
		slices.Sort(re.Classes[i].Response)
	}
}

// Served returns the share of the worth that was earned, over all classes.
func (re Result) Served() float64 {
	var owed, earned float64
	for _, cr := range re.Classes {
		owed += cr.Owed
		earned += cr.Earned
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}

// Worst returns the smallest share among the classes.
func (re Result) Worst() float64 {
	worst := 1.0
	for _, cr := range re.Classes {
		if cr.Owed > 0 {
			worst = min(worst, cr.Earned/cr.Owed)
		}
	}
	return worst
}
