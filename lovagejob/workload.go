package lovagejob

import (
	"fmt"
	"time"
)

// Resources is an amount of compute resources: what a task needs, or what a worker has.
type Resources struct {
	MilliCores   int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether re is at most other in every resource.
func (re Resources) Fits(other Resources) bool {
	return re.MilliCores <= other.MilliCores && re.MemoryMB <= other.MemoryMB && re.Accelerators <= other.Accelerators
}

// Plus returns re + other.
func (re Resources) Plus(other Resources) Resources {
	return Resources{re.MilliCores + other.MilliCores, re.MemoryMB + other.MemoryMB, re.Accelerators + other.Accelerators}
}

// Minus returns re - other. A resource may become negative.
func (re Resources) Minus(other Resources) Resources {
	return Resources{re.MilliCores - other.MilliCores, re.MemoryMB - other.MemoryMB, re.Accelerators - other.Accelerators}
}

// Max returns the larger amount of each resource.
func (re Resources) Max(other Resources) Resources {
	return Resources{max(re.MilliCores, other.MilliCores), max(re.MemoryMB, other.MemoryMB), max(re.Accelerators, other.Accelerators)}
}

// FitCount returns how many times unit fits into re, or 1 if unit needs nothing.
func (re Resources) FitCount(unit Resources) int {
	n, bounded := int64(0), false
	for _, part := range [][2]int64{{re.MilliCores, unit.MilliCores}, {re.MemoryMB, unit.MemoryMB}, {re.Accelerators, unit.Accelerators}} {
		if part[1] <= 0 {
			continue
		}
		if times := max(part[0], 0) / part[1]; !bounded || times < n {
			n, bounded = times, true
		}
	}
	if !bounded {
		return 1
	}
	return int(n)
}

// Step is a group of identical tasks of a Workload.
type Step struct {
	Count          int
	Resources      Resources
	RunTime        time.Duration // the caller's estimate for one task; 0: no estimate
	DependsOn      []int         // indexes of the steps whose tasks must all be done before this step starts
	Gang           bool          // all tasks run at the same time, or none runs
	RackLocal      bool          // the tasks are slow if spread over racks
	Constraint     string        // label that the worker must have
	Affinity       string        // rack that holds the data
	AntiAffinity   int           // maximum number of tasks of this step on one worker; 0: no limit
	Checkpointed   bool
	Speculative    bool // copies of a task may run in parallel
	LongRunning    bool // its tasks run until they are cancelled
	Image          string
	TargetLatency  time.Duration // target response time of the requests that a long-running task serves
	Opportunistic  bool          // its tasks run only on resources that other tasks leave unused
	MaxUnavailable int           // maximum number of tasks that may be unavailable at once
}

// Workload is a job made of steps. Workers start its tasks on request and run them under leases.
type Workload struct {
	ID            string
	Queue         string // name of the route that matched the request
	Service       string // the service whose workers run the tasks, by ConfigVersion
	ConfigVersion int64  // version of the configuration that names the service for the queue; 0: not known
	Spec          string // text that the worker gets unchanged
	Steps         []Step
	BestEffort    bool          // the job is not stored; the caller waits for the answer
	RepeatCount   int           // number of occurrences; 0: the job runs once, immediately
	StartAt       time.Time     // start of the first occurrence
	Period        time.Duration // time between occurrences
	Advised       bool          // the queue's policy requires advice on which workers to use
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // number of failed runs of one task after which the job fails
	SlackFactor   float64       // the response time goal is SlackFactor times the critical path of the steps plus TargetLatency
	TargetLatency time.Duration // see SlackFactor
	Arrived       time.Time
	Deadline      time.Time // when the caller stops waiting
}

// TaskName returns the name under which workers know a task of the first occurrence.
func (wo *Workload) TaskName(step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", wo.ID, step, index)
}

// ResponseGoal returns the time from arrival within which the job should be answered, by its declared run times.
func (wo *Workload) ResponseGoal() time.Duration {
	var longest time.Duration
	pathTimes := make([]time.Duration, len(wo.Steps))
	for i, st := range wo.Steps {
		for _, dep := range st.DependsOn {
			pathTimes[i] = max(pathTimes[i], pathTimes[dep])
		}
		pathTimes[i] += st.RunTime
		longest = max(longest, pathTimes[i])
	}
	return time.Duration(wo.SlackFactor*float64(longest)) + wo.TargetLatency
}

// NumTasks returns the number of tasks of all steps.
func (wo *Workload) NumTasks() int {
	n := 0
	for _, st := range wo.Steps {
		n += st.Count
	}
	return n
}

// Limits of a Workload. They keep one job from exhausting the memory of an instance.
const (
	maxSteps = 64
	maxTasks = 4096
)

// Validate returns an error if the workload is malformed.
func (wo *Workload) Validate() error {
	if wo.ID == "" {
		return fmt.Errorf("job has no ID")
	}
	if len(wo.Steps) == 0 || len(wo.Steps) > maxSteps {
		return fmt.Errorf("job %s has %d steps, want 1 to %d", wo.ID, len(wo.Steps), maxSteps)
	}
	for i, st := range wo.Steps {
		if st.Count < 1 || st.Count > maxTasks {
			return fmt.Errorf("step %d of job %s has %d tasks, want 1 to %d", i, wo.ID, st.Count, maxTasks)
		}
		if st.Resources.MilliCores < 0 || st.Resources.MemoryMB < 0 || st.Resources.Accelerators < 0 || st.RunTime < 0 || st.AntiAffinity < 0 {
			return fmt.Errorf("step %d of job %s has a negative size", i, wo.ID)
		}
		for _, de := range st.DependsOn {
			if de < 0 || de >= i {
				return fmt.Errorf("step %d of job %s depends on step %d, want an earlier one", i, wo.ID, de)
			}
		}
	}
	if n := wo.NumTasks(); n > maxTasks {
		return fmt.Errorf("job %s has %d tasks, want at most %d", wo.ID, n, maxTasks)
	}
	return nil
}

// Unsupported returns the first feature that the job requests but that is not implemented, or "" if there is none. A job
// that requests such a feature must be refused.
func (wo *Workload) Unsupported() string {
	if !wo.BestEffort {
		return "stored job"
	}
	if wo.RepeatCount > 0 {
		return "occurrences"
	}
	if wo.Advised {
		return "advice"
	}
	for _, st := range wo.Steps {
		switch {
		case st.Gang:
			return "gang"
		case st.RackLocal:
			return "rack locality"
		case st.Speculative:
			return "speculative copies"
		case st.LongRunning:
			return "long-running tasks"
		case st.Opportunistic:
			return "filling tasks"
		case st.TargetLatency > 0:
			return "target latency of tasks"
		case st.MaxUnavailable > 0:
			return "limit of unavailable tasks"
		}
	}
	return ""
}

// Memory of the parts of a job while it is dispatched.
const (
	workloadBytes = 4 << 10 // with the goroutine that waits for the job
	stepBytes     = 512
	taskBytes     = 512 // with its run
	wordBytes     = 8
)

// Bytes returns the memory that the job takes while it is dispatched.
func (wo *Workload) Bytes() int64 {
	n := workloadBytes + int64(len(wo.Spec)) + stepBytes*int64(len(wo.Steps))
	for i := range wo.Steps {
		n += taskBytes*int64(max(wo.Steps[i].Count, 0)) + wordBytes*int64(len(wo.Steps[i].DependsOn))
	}
	return n
}
