package lovagemodel

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
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

	LargestTenth, FifthBelow, Others GroupResult   // by the work of the jobs, within the class
	Owners                           []GroupResult // by the owner whose caller submitted the job
	// Value of the jobs refused while a worker without a fault had room for one of their tasks: a worker of any owner, and of the owner
	// that refused.
	RefusedWhileFree, RefusedWhileOwnFree float64
}

// GroupResult holds the results of some jobs. Work is in core-seconds on a worker of speed 1. A job is served if its answer is in time, or
// late and useful.
type GroupResult struct {
	Jobs, Served               int
	PossibleValue, EarnedValue float64
	Work, ServedWork           float64
}

func (gr *GroupResult) addJob(jr *jobRecord) {
	gr.Jobs++
	gr.PossibleValue += jr.value
	gr.Work += jr.work
	if jr.served {
		gr.Served++
		gr.EarnedValue += jr.earned
		gr.ServedWork += jr.work
	}
}

// Add adds the jobs of another group.
func (gr *GroupResult) Add(ot GroupResult) {
	gr.Jobs, gr.Served = gr.Jobs+ot.Jobs, gr.Served+ot.Served
	gr.PossibleValue, gr.EarnedValue = gr.PossibleValue+ot.PossibleValue, gr.EarnedValue+ot.EarnedValue
	gr.Work, gr.ServedWork = gr.Work+ot.Work, gr.ServedWork+ot.ServedWork
}

// ServedShare returns the share of the jobs that were served; 1 if there are none.
func (gr GroupResult) ServedShare() float64 {
	if gr.Jobs == 0 {
		return 1
	}
	return float64(gr.Served) / float64(gr.Jobs)
}

// Result is the result of a simulation.
type Result struct {
	Classes    []ClassResult
	Violations []string // broken invariants, at most maxViolations

	Owners []GroupResult // by the owner whose caller submitted the job
	// StoppedWork is the work of runs that were stopped, failed or lost, and LostWork that of completed runs of jobs that were not served,
	// in core-seconds on a worker of speed 1. DoneWork is that of all completed runs, those of LostWork included.
	StoppedWork, LostWork, DoneWork float64
	// Window is what a Bound limits: the work of served jobs that was done from the end of the warm-up until Load.ArrivalEnd, and the
	// same part of their value. Later the load is less, and an average over both would hide what was lost under overload.
	Window Bound
	// Busy is the share of the capacity of all workers, those with a fault included, that runs took in that time. Unlike Window.Work it
	// counts slow runs in full, and runs that were in vain.
	Busy float64
}

// maxViolations is the maximum length of Result.Violations.
const maxViolations = 10

func (re *Result) addViolation(format string, args ...any) {
	if len(re.Violations) < maxViolations {
		re.Violations = append(re.Violations, fmt.Sprintf(format, args...))
	}
}

func (re *Result) countJob(jr *jobRecord, oc lovagepool.Outcome, now, start time.Time) {
	took := now.Sub(jr.arrived)
	if oc == lovagepool.Completed && took <= maxLateFactor*jr.goal {
		jr.served, jr.earned = true, jr.value
		if took > jr.goal {
			jr.earned *= lateValueShare
		}
	}
	if jr.arrived.Sub(start) < warmUp {
		return
	}
	cr := &re.Classes[jr.class]
	jr.counted = true
	cr.Answered++
	cr.PossibleValue += jr.value
	switch {
	case oc == lovagepool.NotRun:
		cr.Refused++
		if took > jr.goal/4 {
			cr.RefusedLate++
		}
	case !jr.served:
		cr.Other++
	case took <= jr.goal:
		cr.InTime++
		cr.EarnedValue += jr.earned
		cr.ResponseTimes = append(cr.ResponseTimes, took)
	default:
		cr.Late++
		cr.EarnedValue += jr.earned
		cr.ResponseTimes = append(cr.ResponseTimes, took)
	}
}

func (re *Result) sortResponseTimes() {
	for i := range re.Classes {
		slices.Sort(re.Classes[i].ResponseTimes)
	}
}

// addGroups adds the results by size and owner, and the lost work.
func (re *Result) addGroups(si *simulation) {
	for _, ow := range si.owners {
		for _, sw := range ow.workers {
			for _, ru := range sw.runs {
				si.countBusy(sw, ru)
			}
		}
	}
	byClass := make([][]*jobRecord, len(re.Classes))
	re.Owners = make([]GroupResult, len(si.owners))
	for i := range re.Classes {
		re.Classes[i].Owners = make([]GroupResult, len(si.owners))
	}
	for _, jr := range si.jobList {
		if !jr.served {
			re.LostWork += jr.doneWork
		} else if jr.windowWork > 0 {
			part := min(jr.windowWork/jr.work, 1)
			re.Window.Work += part * jr.work
			re.Window.Value += part * jr.earned
		}
		if jr.counted {
			byClass[jr.class] = append(byClass[jr.class], jr)
			re.Owners[jr.origin].addJob(jr)
			re.Classes[jr.class].Owners[jr.origin].addJob(jr)
		}
	}
	for i, list := range byClass {
		slices.SortStableFunc(list, func(a, b *jobRecord) int { return cmp.Compare(b.work, a.work) })
		cr := &re.Classes[i]
		tenth, threeTenths := len(list)/10, 3*len(list)/10
		for k, jr := range list {
			switch {
			case k < tenth:
				cr.LargestTenth.addJob(jr)
			case k < threeTenths:
				cr.FifthBelow.addJob(jr)
			default:
				cr.Others.addJob(jr)
			}
		}
	}
}

// window returns the time to which Result.Window applies.
func (si *simulation) window() (from, until time.Time) {
	return si.start.Add(warmUp), si.start.Add(cmp.Or(si.load.ArrivalEnd, si.load.Duration))
}

// countRun counts the work of a run that has ended.
func (si *simulation) countRun(sw *simWorker, ru *activeRun, outcome lovagepool.RunOutcome) {
	id, _, _ := strings.Cut(ru.task, ".")
	jr := si.jobs[id]
	work := si.now.Sub(ru.started).Seconds() * sw.speed * float64(ru.resources.MilliCores) / 1000
	si.countBusy(sw, ru)
	if outcome != lovagepool.RunDone {
		si.result.StoppedWork += work
		return
	}
	jr.doneWork += work
	si.result.DoneWork += work
	if jr.taskFactors != nil {
		from, until := si.window()
		overlap := earlier(si.now, until).Sub(later(ru.started, from))
		taskWork := jr.taskFactors[taskIndex(ru.task)] * jr.runTime.Seconds() * float64(ru.resources.MilliCores) / 1000
		jr.windowWork += taskWork * max(overlap.Seconds(), 0) / si.now.Sub(ru.started).Seconds()
	}
}

// countBusy adds a run, which has ended or goes on at the end of the simulation, to the busy time of the window.
func (si *simulation) countBusy(sw *simWorker, ru *activeRun) {
	from, until := si.window()
	seconds := earlier(si.now, until).Sub(later(ru.started, from)).Seconds()
	si.result.Busy += max(seconds, 0) * sw.speed * float64(ru.resources.MilliCores) / si.windowCapacity
}

// countFreeWorkers counts the value of a refused job if workers had room for one of its tasks.
func (si *simulation) countFreeWorkers(jr *jobRecord) {
	size := jr.workload.Steps[0].Resources
	anywhere, own := false, false
	for _, ow := range si.owners {
		free := slices.ContainsFunc(ow.workers, func(sw *simWorker) bool { return sw.isFreeFor(size) })
		anywhere = anywhere || free
		own = own || free && ow == jr.owner
	}
	cr := &si.result.Classes[jr.class]
	if anywhere {
		cr.RefusedWhileFree += jr.value
	}
	if own {
		cr.RefusedWhileOwnFree += jr.value
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
