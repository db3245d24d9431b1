package lovagedispatch

import "time"

// Event is an input of [Core.Step]. The concrete types are the structs of this file.
type Event interface{ isEvent() }

// Submit offers a job for admission. Job must be new to the core and not 0. The core answers with one [FinishJob], in
// the same step if it refuses the job.
type Submit struct {
	Job                  uint64
	Service              string
	Team                 string
	Deadline             time.Time
	DeclaredRunTime      time.Duration // run time of a task; used until the service's run time is learned
	DeclaredCores        int64         // size of a task, like the next two fields; 0 means no requirement
	DeclaredMemoryBytes  int64
	DeclaredAccelerators int64
	Tasks                int // number of tasks; their indexes are 0 to Tasks-1
}

// Cancel ends a job at the caller's request. It is ignored if the job is unknown or has ended.
type Cancel struct{ Job uint64 }

// TaskState says how a started task ended.
type TaskState string

// States of an ended task.
const (
	// Succeeded: the worker ran the task and replied with success.
	Succeeded TaskState = "succeeded"
	// Failed: the worker ran the task and replied with an error.
	Failed TaskState = "failed"
	// NotStarted: no byte of the request was written, or the worker says that it did not start the task.
	NotStarted TaskState = "notStarted"
	// Unknown: the task may have started, but its outcome is not known.
	Unknown TaskState = "unknown"
)

// TaskEnded reports the end of a task started by [StartTask]. The integrator must send exactly one TaskEnded for each
// StartTask, even if the job has ended or a [StopTask] was emitted. The slot counts as used until then. Duplicates are
// ignored.
type TaskEnded struct {
	Job     uint64
	Task    int
	Worker  string
	State   TaskState
	Leaving bool   // the worker said that it is leaving
	Err     string // error text, becomes part of the job's reason if the job fails
}

// Worker describes one worker of a pool.
type Worker struct {
	ID           string
	DataCentre   string
	Pool         string
	Slots        int // tasks that the worker runs at once
	Cores        int64
	MemoryBytes  int64
	Accelerators int64
	Leaving      bool
	Domain       string // decision domain, the workers for which one instance decides; empty means none
}

// WorkersChanged gives the complete set of workers that this instance may use, in all data centres. A worker missing
// from the set gets no new tasks; its tasks in flight stay counted. A worker reported as leaving stays so until a set
// without it arrives.
type WorkersChanged struct{ Workers []Worker }

// WorkerLeaving tells the core that a worker is leaving, whoever reported it. The worker gets no new task from this step on.
type WorkerLeaving struct{ Worker string }

// Service describes a service that jobs may name.
type Service struct {
	Name           string
	Pools          []string // pools whose workers run the service; empty means every pool
	MaxQueuedTasks int      // bound on queued tasks of the service at this instance; 0 means Settings.MaxQueuedTasks
	RetryRatio     float64  // retries per started task; 0 means Settings.RetryRatio
}

// ServicesChanged gives the complete set of services. Queued jobs of a removed service stay queued until a worker can
// take them or their deadline passes.
type ServicesChanged struct{ Services []Service }

// Team describes the weight and the quota of a team.
type Team struct {
	Name           string
	Weight         float64 // share relative to other teams; 0 means 1
	MaxRunning     int     // bound on tasks of the team that this instance runs at once; 0 means no bound
	MaxQueuedTasks int     // bound on queued tasks of the team at this instance; 0 means Settings.MaxQueuedTasks
}

// TeamsChanged gives the complete set of teams. A team that is not in the set has weight 1 and no limits of its own.
type TeamsChanged struct{ Teams []Team }

// Tick only advances the time. The integrator must send one at the time requested by [WakeAt]; additional ticks are
// harmless.
type Tick struct{}

// Drain makes the core refuse new jobs. Accepted jobs are finished.
type Drain struct{}

func (Submit) isEvent()          {}
func (Cancel) isEvent()          {}
func (TaskEnded) isEvent()       {}
func (WorkersChanged) isEvent()  {}
func (WorkerLeaving) isEvent()   {}
func (ServicesChanged) isEvent() {}
func (TeamsChanged) isEvent()    {}
func (Tick) isEvent()            {}
func (Drain) isEvent()           {}
