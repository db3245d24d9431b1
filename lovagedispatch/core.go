package lovagedispatch

import (
	"math/rand/v2"
	"time"
)

// Core is the decision core of one instance. It is not safe for concurrent use.
type Core struct {
	settings Settings
	rng      *rand.Rand
	ranker   ranker
	out      []Command // commands of the current step

	firstStepTime time.Time // time from which instants are counted
	nowTime       time.Time
	now           instant
	wakeAt        instant // time of the last requested Tick
	timers        indexedHeap[timer]
	timerSeq      uint64

	jobs      map[uint64]*job // jobs that have not ended or have tasks in flight
	freeJobs  []*job
	deadlines indexedHeap[*job] // jobs with queued tasks
	submitted *job              // job admitted in this step; added to deadlines only if some of its tasks stay queued

	services      map[string]*service
	serviceList   []*service // sorted by name
	classCache    map[classKey]*class
	activeClasses []*class // classes with queued jobs
	teams         map[string]*team
	teamSeq       uint64
	virtualTime   float64 // system virtual time of weighted fair queueing
	activeWeight  float64 // summed weights of the teams with queued jobs
	queuedTasks   int
	runningTasks  int // number of tasks in flight
	starts        uint64
	counters      Counters
	dispatchRound int64
	draining      bool

	workers        map[string]*worker // workers in the set of WorkersChanged, and removed ones with tasks in flight
	workerList     []*worker          // workers in the set, sorted by ID
	pendingLeaving map[string]bool    // workers reported as leaving that are not in the set
	groups         []*group           // sorted by key
	domains        map[string]*domain // decision domains of the workers in the set, by name

	pendingServiceEstimates map[string]ServiceEstimate // estimates to apply when the service is in ServicesChanged
	pendingWorkerEstimates  map[string]WorkerEstimate  // estimates to apply when the worker is in WorkersChanged
}

// New returns a core without workers and services. The core uses rng, which the caller has seeded, to break
// ties, for jitter and for the Random policy.
func New(se Settings, rng *rand.Rand) *Core {
	co := &Core{
		settings:   se,
		rng:        rng,
		ranker:     newRanker(se.Policy, rng),
		jobs:       map[uint64]*job{},
		services:   map[string]*service{},
		classCache: map[classKey]*class{},
		teams:      map[string]*team{},
		workers:    map[string]*worker{},

		pendingLeaving:          map[string]bool{},
		pendingServiceEstimates: map[string]ServiceEstimate{},
		pendingWorkerEstimates:  map[string]WorkerEstimate{},
	}
	co.deadlines.indexOf = func(jo *job) *int32 { return &jo.deadlineIndex }
	var ignored int32
	co.timers.indexOf = func(timer) *int32 { return &ignored }
	return co
}

// Step applies an event at the time now and appends the resulting commands to out. If now is before the
// time of an earlier step, the time of that step is used instead.
func (co *Core) Step(now time.Time, ev Event, out []Command) []Command {
	co.out = out
	first := co.firstStepTime.IsZero()
	co.setNow(now)
	if first {
		co.setTimer(co.now.after(housekeepingPeriod), housekeepingTimer{})
	}
	co.runTimers()
	co.expireJobs()
	co.applyEvent(ev)
	co.dispatch()
	if co.submitted != nil {
		co.scheduleExpiry(co.submitted)
		co.submitted = nil
	}
	co.requestTick()
	out, co.out = co.out, nil
	return out
}

func (co *Core) applyEvent(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		co.submit(ev)
	case Cancel:
		co.cancelJob(ev.Job)
	case TaskEnded:
		co.taskEnded(ev)
	case WorkersChanged:
		co.workersChanged(ev)
	case WorkerLeaving:
		co.workerLeaving(ev.Worker)
	case ServicesChanged:
		co.servicesChanged(ev)
	case TeamsChanged:
		co.teamsChanged(ev)
	case TunablesChanged:
		co.tunablesChanged(ev)
	case EstimatesReceived:
		co.estimatesReceived(ev)
	case Drain:
		co.draining = true
	case Tick:
	}
}

// Load summarises the instance for its heartbeats.
func (co *Core) Load() Load {
	lo := Load{QueuedTasks: co.queuedTasks, RunningTasks: co.runningTasks, Services: co.serviceLoads()}
	for _, gr := range co.groups {
		lo.FreeSlots += gr.freeSlots
	}
	return lo
}

// DomainSlots returns the number of slots of the usable workers of a decision domain, and how many of them are free.
func (co *Core) DomainSlots(name string) (slots, free int) {
	if do := co.domains[name]; do != nil {
		return do.capacity, do.freeSlots
	}
	return 0, 0
}

func (co *Core) emit(cm Command) { co.out = append(co.out, cm) }
