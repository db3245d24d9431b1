package lovagemodel

import (
	"fmt"
	"slices"
	"time"

	"lovagestack/lovagepool"
)

// A late answer earns lateValueShare of the job's value if the response time is at most maxLateFactor times the goal.
const (
	lateValueShare = 0.2
	maxLateFactor  = 3
)

// ClassResult holds the results of the answered jobs of a class, except those that arrived in the warm-up. Other counts
// the jobs that failed and those that took longer than maxLateFactor times the goal.
type ClassResult struct {
	Name                                   string
	Answered, InTime, Late, Refused, Other int
	PossibleValue, EarnedValue             float64
	ResponseTimes                          []time.Duration // of jobs in time or late; ascending
	RefusedLate                            int             // refused after more than a quarter of the goal
	RefusedDespiteCapacity                 int             // refused while the whole job fitted on workers without a fault
}

// Result is the result of a simulation.
type Result struct {
	Classes    []ClassResult
	Violations []string // broken invariants, at most maxViolations
}

// maxViolations is the maximum length of Result.Violations.
const maxViolations = 10

func (re *Result) addViolation(format string, args ...any) {
	if len(re.Violations) < maxViolations {
		re.Violations = append(re.Violations, fmt.Sprintf(format, args...))
	}
}

func (re *Result) countJob(jr *jobRecord, oc lovagepool.Outcome, now, start time.Time) {
	if jr.arrived.Sub(start) < warmUp {
		return
	}
	cr := &re.Classes[jr.class]
	took := now.Sub(jr.arrived)
	cr.Answered++
	cr.PossibleValue += jr.value
	switch {
	case oc == lovagepool.NotRun:
		cr.Refused++
		if took > jr.goal/4 {
			cr.RefusedLate++
		}
	case oc != lovagepool.Completed || took > maxLateFactor*jr.goal:
		cr.Other++
	case took <= jr.goal:
		cr.InTime++
		cr.EarnedValue += jr.value
		cr.ResponseTimes = append(cr.ResponseTimes, took)
	default:
		cr.Late++
		cr.EarnedValue += lateValueShare * jr.value
		cr.ResponseTimes = append(cr.ResponseTimes, took)
	}
}

func (re *Result) sortResponseTimes() {
	for i := range re.Classes {
		slices.Sort(re.Classes[i].ResponseTimes)
	}
}

// EarnedShare returns the share of the jobs' value that was earned, over all classes.
func (re Result) EarnedShare() float64 {
	var possible, earned float64
	for _, cr := range re.Classes {
		possible += cr.PossibleValue
		earned += cr.EarnedValue
	}
	if possible == 0 {
		return 0
	}
	return earned / possible
}

// WorstClassShare returns the smallest earned share of any class.
func (re Result) WorstClassShare() float64 {
	worst := 1.0
	for _, cr := range re.Classes {
		if cr.PossibleValue > 0 {
			worst = min(worst, cr.EarnedValue/cr.PossibleValue)
		}
	}
	return worst
}
