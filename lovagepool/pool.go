// Package lovagepool decides which tasks run on the workers that an instance owns.
//
// A Pool is a deterministic state machine: its methods take events with their time, and Commands returns the resulting
// actions. It reads no clock, opens no connection and starts no goroutine; one goroutine calls it.
//
// Workers do not check their own capacity, so only the pool accounts for it. A run holds resources from its start command until
// the run has certainly ended: the worker rejects the start or lists the run as ended, the worker's process is gone, or every
// lease that a command could have granted has expired.
//
// # Usage
//
//	po := lovagepool.New(lovagepool.DefaultSettings())
//	po.SetWorkers(now, workers)
//	po.Submit(now, job)
//	for _, cmd := range po.Commands(now) { ... } // execute; pass replies to the Handle methods
//
// A peer is another instance that owns workers.
package lovagepool

import (
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// Settings are the limits of a Pool.
type Settings struct {
	Lease        time.Duration // how long one command keeps a worker's runs alive, by the worker's clock
	ClockDrift   float64       // fraction by which a worker's clock may be slow
	StopGrace    time.Duration // longest time that a worker takes to stop a run
	StartTimeout time.Duration // time until the pool stops a run whose start was not answered
	RetryDelay   time.Duration // time after which a caller without an answer submits its job again

	MaxJobBytes   int64 // memory of all jobs, also of those that have ended and have runs left; 0: no limit
	SmallJobBytes int64 // memory up to which a job is small; a quarter of MaxJobBytes is left to small jobs
}

// DefaultSettings returns the settings for the users' workers: leases of 1 s, clocks up to 2% slow, stops within 50 ms,
// callers that submit again after 1.3 s.
func DefaultSettings() Settings {
	return Settings{
		Lease: time.Second, ClockDrift: 0.02, StopGrace: 50 * time.Millisecond, StartTimeout: 120 * time.Millisecond,
		RetryDelay: 1300 * time.Millisecond,
	}
}

// Outcome says how a job ended.
type Outcome string

// Outcomes of a job.
const (
	Completed Outcome = "completed"
	Failed    Outcome = "failed"  // a task failed too often
	NotRun    Outcome = "notRun"  // no task has started and none will
	Moved     Outcome = "moved"   // not run here; to be submitted to another owner
	Unknown   Outcome = "unknown" // tasks may have run, but whether and how they ended is not known
	Cancelled Outcome = "cancelled"
)

// Job is a submitted workload, or tasks of a workload that a peer has offloaded.
type Job struct {
	Ref       string // unique per submission
	Work      *lovagejob.Workload
	Offloaded []OffloadedTask // tasks to run for a peer, at once or not at all; nil: run the whole job
	// AnySpeed lets offloaded tasks start on workers that are too slow for the goal.
	AnySpeed bool
	// Forwarded says that another owner has forwarded the job, so this pool does not forward it.
	Forwarded bool
	// WantedAt is when the caller was last known to wait, if another instance has sent the job and confirms it by Pool.Renew; else zero.
	WantedAt time.Time

	tasks           []*task
	tasksByStep     [][]*task
	stats           *queueStats
	runTime         time.Duration // expected run time of one task on a worker of speed 1
	goal            time.Time     // time by which the job should be answered
	readyTasks      int
	activeTasks     int // number of tasks that run, are offloaded or are held
	unfinishedTasks int
	possibleStarts  int // number of starts, here or by peers, that may have happened
	ended           bool
	cancelled       bool      // Cancel or CancelJob was called
	answerOnStop    bool      // CancelJob was called; the answer follows once no run is left
	givenUpAt       time.Time // when the job's runs were no longer wanted; its caller or the peer may have it run elsewhere
	size            int       // 1: the job is large for its queue
	hasSuccessor    bool      // a later submission of the same ID has had this job as its predecessor
	seen            bool      // a pass of schedule has considered the job
	excess          bool      // under overload, the job is not admitted; it starts only where nothing else can
	predecessor     *Job      // earlier submission of the same ID; its runs must end before this job starts
	bytes           int64     // memory that is reserved for the job
}

// OffloadedTask names a task that a peer may start.
type OffloadedTask struct{ Step, Index, Attempt int }

// OffloadResult says how an offloaded task ended.
type OffloadResult struct {
	OffloadedTask
	Outcome RunOutcome
}

type taskState string

const (
	taskBlocked   taskState = "blocked" // waits for steps that are not done
	taskReady     taskState = "ready"
	taskRunning   taskState = "running" // has a run
	taskOffloaded taskState = "lent"
	taskHeld      taskState = "held" // a peer may still run the task until heldUntil
	taskDone      taskState = "done"
)

type task struct {
	job         *Job
	step, index int
	state       taskState
	attempt     int // number of the latest start
	failures    int
	heldUntil   time.Time
	run         *run
	avoidWorker string     // ID of the worker of the last run that was rejected, unanswered, overdue or failed
	outcome     RunOutcome // set only for a task that a peer has offloaded to this pool
}

// Decision is a decision or observation about a job or a worker, with the figures behind it.
type Decision struct {
	Kind            string // key in Pool.Counts
	Job             string // ID that the caller gave the job; empty if only a worker is concerned
	Ref             string // of the submission of the job; two submissions of a job differ in it
	Task            string
	Worker          string // ID of the worker, or of the peer that the decision is about
	Attempt         int    // with workerEjected: number of ejections in a row
	Reason          string
	Age             time.Duration // age of the job, or of the run that the decision is about
	Wait            time.Duration // expected time until the start; with workerEjected: length of the ejection
	Slack           time.Duration // time until the latest start that meets the goal
	ExpectedRunTime time.Duration
	FreeTasks       int // with RefusedInfeasible: tasks of typical size that fit on this pool's workers
	PeerFreeTasks   int // with RefusedInfeasible and RefusedOverload: tasks that fit at the peers, by their reports
	RunsBeside      int // with a run that belongs to no job: runs of this pool on the same worker

	// Queue and Needs are set if the job is refused or declined because it does not fit.
	Queue string
	Needs Needs
}

// Needs is what was looked for when a job found no capacity. The free capacity that is reported beside it counts tasks of typical size.
type Needs struct {
	Tasks     int // how many are to start; 0: nothing was looked for
	Resources lovagejob.Resources
	Label     string
}

// withNeeds returns the decision with what tasks of a step need.
func (jo *Job) withNeeds(de Decision, step, tasks int) Decision {
	st := &jo.Work.Steps[step]
	de.Queue, de.Needs = jo.Work.Queue, Needs{tasks, st.Resources, st.Constraint}
	return de
}

// readyStep returns the step of the first task that is ready.
func (jo *Job) readyStep() int {
	for _, ta := range jo.tasks {
		if ta.state == taskReady {
			return ta.step
		}
	}
	return 0
}

// RefusedInfeasible is the kind of a decision to refuse a job that is not expected to meet its goal.
const RefusedInfeasible = "refusedInfeasible"

// RefusedOverload is the kind of a decision to refuse a job of an overloaded service.
const RefusedOverload = "refusedOverload"

// recordDecision counts a decision and passes it to OnDecision.
func (po *Pool) recordDecision(de Decision) {
	po.Counts[de.Kind]++
	if po.OnDecision != nil {
		po.OnDecision(de)
	}
}

// Command is an action that the pool requests.
type Command interface{ command() }

// StartRun tells a worker to start a task.
type StartRun struct {
	Ref        string
	Worker     string
	Task       string
	Attempt    int
	Spec       string
	LeaseUntil time.Time // end of the lease that the start grants

	ProcessStart int64 // the worker's process for which the start was decided; 0: not known
}

// StopRun tells a worker to stop a run, or to reject the run's start if that arrives later.
type StopRun struct {
	Worker  string
	Task    string
	Attempt int
}

// FinishJob reports the outcome of a job to its submitter.
type FinishJob struct {
	Ref     string
	Outcome Outcome
	Reason  string
	RetryIn time.Duration   // with NotRun: how long the caller should wait before a retry
	To      string          // with Moved: the owner that is expected to meet the goal; empty: any
	Results []OffloadResult // for offloaded tasks, in the order of Job.Offloaded
}

// Offload asks a peer to start tasks at once or to decline them.
type Offload struct {
	Peer  string
	Ref   string
	Work  *lovagejob.Workload
	Tasks []OffloadedTask
	// AnySpeed allows the peer to use slow workers, because a late answer is better than none.
	AnySpeed bool
	WantedAt time.Time // WantedAt of the job
}

// CancelOffload cancels an earlier Offload.
type CancelOffload struct{ Peer, Ref string }

// ReleaseWorker says that a worker that is being handed over has no runs left, so its new owner may use it.
type ReleaseWorker struct{ Worker string }

// PollWorker asks the worker for its run lists at once, not when the next run ends.
type PollWorker struct{ Worker string }

// ReadEntries asks for the workers' entries at once, because a worker answers whose process has none among those of the last SetWorkers.
type ReadEntries struct{}

// JobStopped says that a cancelled job has no runs left.
type JobStopped struct {
	Ref       string
	Completed bool // all tasks had ended as done before they could be stopped
}

func (JobStopped) command()    {}
func (PollWorker) command()    {}
func (ReadEntries) command()   {}
func (StartRun) command()      {}
func (StopRun) command()       {}
func (FinishJob) command()     {}
func (Offload) command()       {}
func (CancelOffload) command() {}
func (ReleaseWorker) command() {}

// Pool holds the workers, runs and jobs of one instance.
type Pool struct {
	settings          Settings
	workers           map[string]*worker
	workerList        []*worker       // sorted by ID, so that decisions don't depend on map order
	jobs              map[string]*Job // by Ref
	jobList           []*Job          // in the order of submission
	jobBytes          int64           // sum of the jobs' bytes
	largeJobBytes     int64           // part of jobBytes of jobs that are not small
	jobsByID          map[string]*Job // jobs submitted by callers, by the ID that the caller gave
	readyJobs         []*Job          // jobs with ready tasks
	queueStats        map[string]*queueStats
	meanResources     map[string]*meanResources // mean resources of tasks, by service
	candidates        map[string]*candidates    // workers that may get starts, by service
	serviceLoads      map[string]*serviceLoad   // of services whose queues have different priorities
	schedulePass      int                       // number of the current call of schedule
	kindSlowdowns     map[string]*slowdownEstimate
	slowdownVersion   int                 // counts the changes of learned slowdowns
	peers             map[string]*peer    // by instance ID
	offloads          map[string]*offload // by Ref of the Offload
	lastOffloadNumber int
	earlyCancels      map[string]time.Time // times of cancellations that arrived before their jobs, by Ref
	cancelledJobs     map[jobKey]cancelledJob
	cancelOrder       []jobKey          // keys of cancelledJobs, oldest first
	configVersion     int64             // see SetServices
	services          map[string]string // see SetServices
	leaving           bool
	restrictions      map[string]Restriction // see RestrictWorkers
	closedPeers       map[string]bool        // see ClosePeers
	commands          []Command
	lag               time.Duration    // see SetLag
	lateness          time.Duration    // see SetLateness
	registrationBound time.Duration    // see SetRegistrationBound
	oldestKnownAt     time.Time        // the earliest Worker.KnownAt of the last SetWorkers
	inPass            bool             // schedule is going on; it removes ended jobs from readyJobs and jobList at its end
	removedInPass     bool             // jobList has removed jobs
	needsSchedule     bool             // set when a change may allow starts
	Counts            map[string]int64 // number of decisions and events, by kind
	OnDecision        func(Decision)   // gets every Decision, but not events that are only counted; may be nil
}

// New returns a pool without workers.
func New(se Settings) *Pool {
	return &Pool{
		settings: se, workers: map[string]*worker{}, jobs: map[string]*Job{}, jobsByID: map[string]*Job{},
		queueStats: map[string]*queueStats{}, meanResources: map[string]*meanResources{}, candidates: map[string]*candidates{},
		serviceLoads:    map[string]*serviceLoad{},
		slowdownVersion: 1, kindSlowdowns: map[string]*slowdownEstimate{}, peers: map[string]*peer{},
		offloads: map[string]*offload{}, Counts: map[string]int64{}, earlyCancels: map[string]time.Time{},
		cancelledJobs: map[jobKey]cancelledJob{},
	}
}

// Commands places waiting tasks and returns the commands issued since the last call.
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

// SetLag tells the pool how late its process handles events at present. Replies that are missing for no longer than that, and
// runs that are overdue by no more, are not held against the workers.
func (po *Pool) SetLag(lag time.Duration) { po.lag = lag }

// SetLateness tells the pool how old the events are that its process handles now. Leases are shorter by it, because a caller may have
// left that long ago.
func (po *Pool) SetLateness(lateness time.Duration) { po.lateness = lateness }

// Tick handles what depends on time alone: expired leases, overdue runs, passed deadlines, infeasible jobs.
func (po *Pool) Tick(now time.Time) {
	for _, wo := range po.workerList {
		po.checkRuns(now, wo)
	}
	for _, jo := range slices.Clone(po.jobList) {
		po.expireHeldTasks(now, jo)
		if !now.Before(jo.Work.Deadline) {
			if jo.ended {
				po.answerCancelled(jo) // the caller does not wait until the runs have stopped
			} else {
				po.handleDeadline(now, jo)
			}
		}
	}
	for ref, at := range po.earlyCancels {
		if now.Sub(at) > earlyCancelRetention {
			delete(po.earlyCancels, ref)
		}
	}
	po.forgetCancelledJobs(now)
	po.needsSchedule = po.needsSchedule || len(po.readyJobs) > 0
}
