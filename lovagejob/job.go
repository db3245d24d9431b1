// Package lovagejob defines the types of jobs: keys, submissions, tasks, answers and workloads.
//
// Every layer, from the HTTP API to the decision core, shares these types. The package does no I/O and keeps no state.
// A [Submission] is what the caller asks for, an [Answer] is what the caller gets, and a [Key] links the two. A request
// for a key only ever gets the answer for that key. A [Workload] is a job made of steps.
//
// # Usage
//
//	sub := lovagejob.Submission{
//		Service:  "ticket",
//		Team:     "kandla-gate",
//		Deadline: time.Now().Add(5 * time.Second),
//		Tasks:    []lovagejob.Task{{Payload: []byte(`{"girth":212}`)}},
//	}
//	if findings := sub.Validate(time.Now(), lovagejob.DefaultLimits()); len(findings) > 0 {
//		// Nothing was started; every finding names its field.
//	}
package lovagejob

import (
	"fmt"
	"time"
)

// Outcome is the state of a submission.
type Outcome string

// Outcomes of a submission.
const (
	// Complete: every task ran and the answer holds every result.
	Complete Outcome = "complete"
	// Failed: the job ended without a complete set of results; some tasks may have started.
	Failed Outcome = "failed"
	// NotRun: no task of any submission with this key has started or will ever start; submitting the work again is safe.
	NotRun Outcome = "notRun"
	// Unknown: it is not known whether tasks have started; ask again with the same key.
	Unknown Outcome = "unknown"
	// Pending: the submission is accepted and has not ended.
	Pending Outcome = "pending"
	// Cancelled: the caller cancelled the job; Answer.Started says how many tasks may have started before.
	Cancelled Outcome = "cancelled"
)

// Valid reports whether the outcome is one of the constants above.
func (ou Outcome) Valid() bool {
	return ou.Final() || ou == Unknown || ou == Pending
}

// Final reports whether the outcome can no longer change.
func (ou Outcome) Final() bool {
	switch ou {
	case Complete, Failed, NotRun, Cancelled:
		return true
	case Unknown, Pending:
	}
	return false
}

// Task is one unit of work of a job. The backend server gets the payload unchanged.
type Task struct {
	Payload []byte `json:"payload"`
}

// Submission is a job as the caller submits it.
type Submission struct {
	Key                  Key           `json:"key,omitzero"`
	Service              string        `json:"service"`
	Team                 string        `json:"team"`
	Repeatable           bool          `json:"repeatable,omitempty"`          // running a task twice does no harm
	Deadline             time.Time     `json:"deadline"`                      // the answer is useless after it
	DeclaredRunTime      time.Duration `json:"declaredRunTime,omitempty"`     // run time of one task; only an initial estimate
	DeclaredCores        int64         `json:"declaredCores,omitempty"`       // cores per task
	DeclaredMemoryBytes  int64         `json:"declaredMemoryBytes,omitempty"` // memory per task
	DeclaredAccelerators int64         `json:"declaredAccelerators,omitempty"`
	Tasks                []Task        `json:"tasks"`
}

// TaskResult is the reply of the worker that ran a task.
type TaskResult struct {
	Task   int    `json:"task"` // index into Submission.Tasks
	Worker string `json:"worker"`
	Status int    `json:"status"` // HTTP status of the worker's reply
	Body   []byte `json:"body,omitempty"`
}

// Answer is what a caller gets for a key.
//
// Invariant: Results holds one entry per task, in task order, if Outcome is Complete and the results are still kept.
// Otherwise Results is empty. A partial set of results is never returned.
type Answer struct {
	Key     Key          `json:"key,omitzero"`
	Outcome Outcome      `json:"outcome"`
	Reason  string       `json:"reason,omitempty"`
	RetryAt time.Time    `json:"retryAt,omitzero"` // earliest time at which to ask or submit again
	Tasks   int          `json:"tasks"`            // number of tasks of the job; 0 if not known
	Started int          `json:"started"`          // at least this many tasks may have started
	Results []TaskResult `json:"results,omitempty"`

	// OwnerAddress is the caller address of the key's owner if the request was forwarded to that owner. It is not part
	// of the answer and is neither recorded nor replicated.
	OwnerAddress string `json:"-"`
}

// Limits bounds what a submission may ask for.
type Limits struct {
	MaxTasks        int           // tasks per job
	MaxPayloadBytes int           // bytes per task payload
	MaxDeadline     time.Duration // how far in the future a deadline may lie
}

// DefaultLimits returns the limits that apply if none are configured. Users require jobs of up to 350 tasks.
func DefaultLimits() Limits {
	return Limits{MaxTasks: 350, MaxPayloadBytes: 64 << 10, MaxDeadline: 10 * time.Minute}
}

// Finding is an error in a field of a submission.
type Finding struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// String returns "field: problem".
func (fi Finding) String() string { return fi.Field + ": " + fi.Problem }

// Validate returns every error in the submission as of the time now. Admission may still refuse a submission without
// findings.
func (sub *Submission) Validate(now time.Time, li Limits) []Finding {
	var findings []Finding
	add := func(field, format string, args ...any) {
		findings = append(findings, Finding{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
	if !ValidName(sub.Service) {
		add("service", "%.100q is not a name of 1 to %d lower-case letters, digits and inner hyphens", sub.Service, maxNameLength)
	}
	if !ValidName(sub.Team) {
		add("team", "%.100q is not a name of 1 to %d lower-case letters, digits and inner hyphens", sub.Team, maxNameLength)
	}
	switch {
	case sub.Deadline.IsZero():
		add("deadline", "is missing")
	case !sub.Deadline.After(now):
		add("deadline", "%s is in the past", sub.Deadline.Format(time.RFC3339Nano))
	case sub.Deadline.Sub(now) > li.MaxDeadline:
		add("deadline", "%s is more than %s ahead", sub.Deadline.Format(time.RFC3339Nano), li.MaxDeadline)
	}
	switch {
	case len(sub.Tasks) == 0:
		add("tasks", "a job needs at least one task")
	case len(sub.Tasks) > li.MaxTasks:
		add("tasks", "%d tasks are more than the limit of %d", len(sub.Tasks), li.MaxTasks)
	}
	for i := range sub.Tasks {
		if n := len(sub.Tasks[i].Payload); n > li.MaxPayloadBytes {
			add(fmt.Sprintf("tasks[%d].payload", i), "%d bytes are more than the limit of %d", n, li.MaxPayloadBytes)
		}
	}
	for _, declared := range []struct {
		field string
		value int64
	}{
		{"declaredRunTime", int64(sub.DeclaredRunTime)},
		{"declaredCores", sub.DeclaredCores},
		{"declaredMemoryBytes", sub.DeclaredMemoryBytes},
		{"declaredAccelerators", sub.DeclaredAccelerators},
	} {
		if declared.value < 0 {
			add(declared.field, "is negative")
		}
	}
	return findings
}
