package lovagedispatch

import (
	"time"

	"lovagestack/lovagejob"
)

// Command is an output of [Core.Step]. The concrete types are the structs of this file.
type Command interface{ isCommand() }

// StartTask asks the integrator to send a task to a worker. The integrator must report the task's end with
// [TaskEnded], whatever the outcome.
type StartTask struct {
	Job    uint64
	Task   int
	Worker string
}

// StopTask reports that the result of a running task is no longer needed. The integrator may stop the task, and must
// still report the task's end with [TaskEnded].
type StopTask struct {
	Job    uint64
	Task   int
	Worker string
}

// FinishJob reports the end of a job, exactly once per job. It carries no results: the integrator has them from the
// task replies that it reported with TaskEnded.
type FinishJob struct {
	Job     uint64
	Outcome lovagejob.Outcome // complete, failed, notRun or cancelled
	Reason  string            // empty if complete
	RetryAt time.Time         // earliest useful time to submit again; zero if the job may have run or a retry is of no use
	Started int               // tasks that started or may have started
}

// WakeAt asks the integrator to send a [Tick] at the time At. Only the earliest of the requested times counts.
type WakeAt struct{ At time.Time }

func (StartTask) isCommand() {}
func (StopTask) isCommand()  {}
func (FinishJob) isCommand() {}
func (WakeAt) isCommand()    {}

// ServiceLoad is the part of [Load] that concerns one service.
type ServiceLoad struct {
	Service     string
	FreeSlots   int // free slots that can run the service
	QueuedTasks int
}

// Load summarises an instance for its heartbeats.
type Load struct {
	FreeSlots    int
	QueuedTasks  int
	RunningTasks int
	Services     []ServiceLoad // in the order of their names
}
