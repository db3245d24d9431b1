// Package lovagepool decides which tasks run on the workers that an instance owns.
//
// A Pool is a deterministic state machine. Its methods take events with their time and return the commands that follow
// from them. It reads no clock, opens no connection and starts no goroutine; one goroutine calls it. Workers start
// whatever they are told, so the pool alone keeps their rooms: a run takes room from the moment its start is ordered
// until its end is certain, which is when the worker lists the end, the worker's process is gone, or every lease that
// an order could have given has lapsed.
//
// # Usage
//
//	po := lovagepool.New(lovagepool.DefaultSettings())
//	po.SetWorkers(now, workers)
//	po.Submit(now, job)
//	for _, cmd := range po.Commands(now) { ... } // carry out; feed replies back by Started, Listed, Lost, LentEnded
//
// Files: pool.go holds the state, submit.go admission and ends of jobs, place.go the choice of workers, runs.go what
// becomes of runs, workers.go the workers' health, estimate.go learned run times, lend.go tasks run by other owners.
package lovagepool

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// Settings are the limits of a Pool.
type Settings struct {
	Lease        time.Duration // longest time for which one order keeps runs alive, by the worker's clock
	ClockDrift   float64       // how much slower a worker's clock may run
	StopGrace    time.Duration // how long a stop takes at most
	StartTimeout time.Duration // until an unanswered start is stopped
}

// DefaultSettings returns the figures of the users' workers: leases of 1 s, clocks up to 2% slow, stops within 50 ms.
func DefaultSettings() Settings {
	return Settings{Lease: time.Second, ClockDrift: 0.02, StopGrace: 50 * time.Millisecond, StartTimeout: 120 * time.Millisecond}
}

// lapse returns how long after an order was sent a run that it kept alive may still be running.
func (se Settings) maxRunLifetime() time.Duration {
	return time.Duration(float64(se.Lease)*(1+se.ClockDrift)) + se.StopGrace
}

// Outcome says how a job ended.
type Outcome string

// Outcomes of a job.
const (
	Completed Outcome = "completed"
	Failed    Outcome = "failed"  // a task failed too often
	NotRun    Outcome = "notRun"  // no task has been started and none will be
	Moved     Outcome = "moved"   // not run here; to be given to another owner
	Unknown   Outcome = "unknown" // tasks may have run; nothing is known of the end
)

// Job is a submitted Work, or the tasks of one that another owner lends.
type Job struct {
	Ref       string // unique per submission
	Work      *lovagejob.Workload
	Offloaded []OffloadedTask // only these tasks, now or never; nil: the whole job
	// AnySpeed lets lent tasks start on workers on which the job will be late.
	AnySpeed bool
	// Forwarded says that another owner had no room for it; it is not passed on again.
	Forwarded bool

	tasks          []*task
	tasksByStep    [][]*task
	stats          *queueStats
	runTime        time.Duration // expected for one task on a worker of speed 1
	goal           time.Time     // by which a caller is served in time
	waiting        int           // tasks that are ready to start
	running        int           // tasks with a run, here or lent
	unfinished     int
	possibleStarts int // starts ordered or lent that may have been carried out
	ended          bool
	cancelled      bool // Cancel was called
	predecessor    *Job // an earlier submission of the same ID, whose runs must end first
}

// OffloadedTask names a task that another owner may start.
type OffloadedTask struct{ Step, Index, Attempt int }

// OffloadResult says what became of a lent task.
type OffloadResult struct {
	OffloadedTask
	Outcome RunOutcome
}

type taskState string

const (
	taskBlocked   taskState = "blocked" // by steps that are not done
	taskReady     taskState = "ready"
	taskRunning   taskState = "running" // has a run
	taskOffloaded taskState = "lent"
	taskHeld      taskState = "held" // may still run with another owner until heldUntil
	taskDone      taskState = "done"
)

type task struct {
	job         *Job
	step, index int
	state       taskState
	attempt     int // highest number of a start
	failures    int // runs that ended failed
	heldUntil   time.Time
	run         *run
	avoidWorker string     // worker of the last failed run
	outcome     RunOutcome // end of a lent task
}

// Decision is something that the pool has decided or found out about a job or a worker, with what it rests on.
type Decision struct {
	Kind            string // counted under this name
	Job             string // the caller's ID; empty if it concerns a worker only
	Task            string
	Worker          string // or the other owner
	Attempt         int
	Reason          string
	Age             time.Duration // of the job, or of the run that the decision is about
	Wait            time.Duration // expected until the start
	Slack           time.Duration // until the latest start that is in time
	ExpectedRunTime time.Duration // run time
	FreeTasks       int           // with RefusedHopeless: places for tasks of usual size on the own workers
	PeerFreeTasks   int           // with RefusedHopeless: such places that other owners have reported
}

// RefusedInfeasible is the kind of a decision to refuse a job that is not expected to be served in time.
const RefusedInfeasible = "refusedHopeless"

// decide counts a decision and reports it.
func (po *Pool) recordDecision(de Decision) {
	po.Counts[de.Kind]++
	if po.OnDecision != nil {
		po.OnDecision(de)
	}
}

// Command is something the pool wants done.
type Command interface{ command() }

// StartRun orders a worker to start a task.
type StartRun struct {
	Ref     string // of the job
	Worker  string
	Task    string
	Attempt int
	Spec    string
}

// StopRun orders a worker to stop a run, or to reject it if it arrives later.
type StopRun struct {
	Worker  string
	Task    string
	Attempt int
}

// FinishJob ends a job.
type FinishJob struct {
	Ref     string
	Outcome Outcome
	Reason  string
	RetryIn time.Duration   // with NotRun: when callers should come back
	To      string          // with Moved: the owner that is expected to have room; empty: any
	Results []OffloadResult // for lent jobs, in the order of Job.Lent
}

// Offload asks another owner to run tasks now.
type Offload struct {
	Peer  string // ID of the other owner
	Ref   string
	Work  *lovagejob.Workload
	Tasks []OffloadedTask
	// AnySpeed says that a late answer is better than none.
	AnySpeed bool
}

// CancelOffload cancels an earlier Lend.
type CancelOffload struct{ Peer, Ref string }

// ReleaseWorker says that a worker being handed over has no run any more.
type ReleaseWorker struct{ Worker string }

// PollWorker asks for the worker's lists without waiting for an end.
type PollWorker struct{ Worker string }

// JobStopped says that nothing of a cancelled job runs any more.
type JobStopped struct{ Ref string }

func (JobStopped) command()    {}
func (PollWorker) command()    {}
func (StartRun) command()      {}
func (StopRun) command()       {}
func (FinishJob) command()     {}
func (Offload) command()       {}
func (CancelOffload) command() {}
func (ReleaseWorker) command() {}

// Pool holds the workers, runs and jobs of one instance.
type Pool struct {
	se              Settings
	workers         map[string]*worker
	workerList      []*worker // by ID, for runs that can be repeated
	jobs            map[string]*Job
	jobList         []*Job          // all jobs, in the order of their submission
	byID            map[string]*Job // whole jobs, by the caller's ID
	queue           []*Job          // with tasks that are ready
	queueStats      map[string]*queueStats
	meanResources   map[string]*meanResources // of the tasks of a service
	candidates      map[string]*candidates    // by service
	pass            int                       // of schedule
	kindSlowdowns   map[string]*slowdownEstimate
	slowdownVersion int // how often speeds have changed
	peers           map[string]*peer
	offloads        map[string]*offload
	lastOffload     int
	earlyCancels    map[string]time.Time // cancellations that arrived before their jobs
	leaving         bool
	commands        []Command
	needsSchedule   bool             // something has changed that placing depends on
	Counts          map[string]int64 // decisions by kind
	OnDecision      func(Decision)   // is told of decisions other than the usual ones; may be nil
}

// New returns a pool without workers.
func New(se Settings) *Pool {
	return &Pool{
		se: se, workers: map[string]*worker{}, jobs: map[string]*Job{}, byID: map[string]*Job{}, queueStats: map[string]*queueStats{},
		meanResources: map[string]*meanResources{}, candidates: map[string]*candidates{}, slowdownVersion: 1,
		kindSlowdowns: map[string]*slowdownEstimate{}, peers: map[string]*peer{}, offloads: map[string]*offload{}, Counts: map[string]int64{},
		earlyCancels: map[string]time.Time{},
	}
}

// Commands places what can be placed and returns the commands since the last call.
func (po *Pool) Commands(now time.Time) []Command {
	if po.needsSchedule {
		po.needsSchedule = false
		po.schedule(now)
	}
	out := po.commands
	po.commands = nil
	return out
}

func (po *Pool) emit(cmd Command) { po.commands = append(po.commands, cmd) }

// Idle reports whether no job is in progress.
func (po *Pool) Idle() bool { return len(po.jobs) == 0 }

// Tick lets time pass: leases lapse, runs become overdue, waiting jobs become hopeless.
func (po *Pool) Tick(now time.Time) {
	for _, wo := range po.workerList {
		po.checkRuns(now, wo)
	}
	for _, jo := range slices.Clone(po.jobList) {
		po.expireHeld(now, jo)
		if !jo.ended && !now.Before(jo.Work.Deadline) {
			po.handleDeadline(now, jo)
		}
	}
	for ref, at := range po.earlyCancels {
		if now.Sub(at) > earlyCancelRetention {
			delete(po.earlyCancels, ref)
		}
	}
	po.needsSchedule = po.needsSchedule || len(po.queue) > 0
}
