package lovagejob

import (
	"fmt"
	"time"
)

// Room is an amount of a worker's resources, as a vector.
type Room struct {
	MilliCores   int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether the room is at most ot in every resource.
func (ro Room) Fits(ot Room) bool {
	return ro.MilliCores <= ot.MilliCores && ro.MemoryMB <= ot.MemoryMB && ro.Accelerators <= ot.Accelerators
}

// Plus returns the sum of both rooms.
func (ro Room) Plus(ot Room) Room {
	return Room{ro.MilliCores + ot.MilliCores, ro.MemoryMB + ot.MemoryMB, ro.Accelerators + ot.Accelerators}
}

// Minus returns the room without ot. A resource may become negative.
func (ro Room) Minus(ot Room) Room {
	return Room{ro.MilliCores - ot.MilliCores, ro.MemoryMB - ot.MemoryMB, ro.Accelerators - ot.Accelerators}
}

// Most returns the larger of both rooms in each resource.
func (ro Room) Most(ot Room) Room {
	return Room{max(ro.MilliCores, ot.MilliCores), max(ro.MemoryMB, ot.MemoryMB), max(ro.Accelerators, ot.Accelerators)}
}

// Holds returns how many times unit fits in, or 1 for an empty unit.
func (ro Room) Holds(unit Room) int {
	n, bounded := int64(0), false
	for _, part := range [][2]int64{{ro.MilliCores, unit.MilliCores}, {ro.MemoryMB, unit.MemoryMB}, {ro.Accelerators, unit.Accelerators}} {
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

// Step is a group of equal tasks of a Work.
type Step struct {
	Count          int
	Room           Room
	RunTime        time.Duration // the caller's estimate for one task; 0: none
	DependsOn      []int         // steps of which all tasks must be done first
	Gang           bool          // the tasks run only together
	RackLocal      bool          // the tasks are slow when spread over racks
	Constraint     string        // label that the worker must have
	Affinity       string        // rack that holds the data
	AntiAffinity   int           // at most this many tasks on one worker; 0: no limit
	Checkpointed   bool
	Speculative    bool // copies of a task may run in parallel
	LongRunning    bool // runs until it is cancelled
	Image          string
	TargetLatency  time.Duration // of a long-running task's own users
	Filling        bool          // runs on resources that others leave unused
	MaxUnavailable int
}

// Work is a job made of steps, for workers that are given tasks by start orders and run them under leases.
type Work struct {
	ID            string
	Queue         string // name of the route that the job came by
	Service       string // whose workers run the tasks
	Spec          string // passed to the worker unchanged
	Steps         []Step
	BestEffort    bool          // not stored; the caller waits for the end
	RepeatCount   int           // occurrences; 0: one, at once
	StartAt       time.Time     // of the first occurrence
	Period        time.Duration // between occurrences
	Advised       bool          // the queue's policy requires advice on the workers
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // failed runs of a task before the job fails
	SlackFactor   float64       // of the response time goal: times the longest chain of work
	TargetLatency time.Duration // of the response time goal: added to the chain
	Arrived       time.Time
	Deadline      time.Time // when the caller stops waiting
}

// TaskName identifies a task of the first occurrence towards workers.
func (wo *Work) TaskName(step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", wo.ID, step, index)
}

// Tasks returns the number of tasks of all steps.
func (wo *Work) Tasks() int {
	n := 0
	for _, st := range wo.Steps {
		n += st.Count
	}
	return n
}

// Limits of a Work, against jobs that would take all memory of an instance.
const (
	maxSteps = 64
	maxTasks = 4096
)

// Check returns why the work is malformed, or nil.
func (wo *Work) Check() error {
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
		if st.Room.MilliCores < 0 || st.Room.MemoryMB < 0 || st.Room.Accelerators < 0 || st.RunTime < 0 || st.AntiAffinity < 0 {
			return fmt.Errorf("step %d of job %s has a negative size", i, wo.ID)
		}
		for _, de := range st.DependsOn {
			if de < 0 || de >= i {
				return fmt.Errorf("step %d of job %s depends on step %d, want an earlier one", i, wo.ID, de)
			}
		}
	}
	if n := wo.Tasks(); n > maxTasks {
		return fmt.Errorf("job %s has %d tasks, want at most %d", wo.ID, n, maxTasks)
	}
	return nil
}

// Unsupported names the first part of the work that no package runs yet, or is empty. Such a job must be refused.
func (wo *Work) Unsupported() string {
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
		case st.Filling:
			return "filling tasks"
		case st.TargetLatency > 0:
			return "target latency of tasks"
		case st.MaxUnavailable > 0:
			return "limit of unavailable tasks"
		}
	}
	return ""
}
