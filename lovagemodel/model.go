// Package lovagemodel simulates lovagepool under load in virtual time.
//
// It models workers of different sizes and speeds, callers that submit and cancel jobs, and several owners that offload
// tasks to each other. Workers run tasks under leases. They may fail, hang, slow down, crash, stop answering, or receive
// starts late. The simulation checks that no worker is filled beyond its capacity, that no task has two runs at once, and
// that no job reported as not run has run. A simulation depends only on its Load and seed.
//
// Networks and processes are not modelled; a call takes a fixed time. The package compares policies of queueing, refusing
// and placing in seconds and over many seeds.
//
// # Usage
//
//	re := lovagemodel.Simulate(lovagemodel.StandardLoad(1.0), seed)
//	fmt.Println(re.EarnedShare(), re.Violations)
package lovagemodel

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovagepool"
)

// Class is a kind of job.
type Class struct {
	Name           string
	JobsPerSecond  float64       // submitted to all owners together
	MeanTasks      float64       // per job
	MeanRunTime    time.Duration // run time of a task on a worker of speed 1
	MeanMilliCores float64       // thousandths of a core per task
	Value          float64       // value of a job of mean size to its caller
	Priority       int
	MaxAttempts    int
}

// Fault makes some workers misbehave for a while.
type Fault struct {
	Kind           FaultKind
	Start          time.Duration
	Duration       time.Duration
	WorkerShare    float64 // probability that a worker is affected
	FirstOwnerOnly bool    // only workers of the first owner
}

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults. FaultErrors, FaultHang and FaultSlow affect the runs that start during the fault.
const (
	FaultErrors FaultKind = "errors" // all runs fail
	FaultHang   FaultKind = "hang"   // runs never end
	FaultSlow   FaultKind = "slow"   // runs take six times as long
	FaultCrash  FaultKind = "crash"  // the process dies; a new one without runs starts when the fault ends
	FaultSilent FaultKind = "silent" // the worker gets no calls; its runs go on until their leases expire
	FaultLate   FaultKind = "late"   // some starts are not answered and reach the worker seconds later
)

// Burst multiplies the arrival rate for a while.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
	Class           string // empty: all classes
}

// Load describes a simulation.
type Load struct {
	Owners        int // each has an equal part of the workers and callers
	Workers       int // total of all owners
	Duration      time.Duration
	RateScale     float64 // multiplies the arrival rates of all classes
	Classes       []Class
	WorkerSpeeds  []float64 // assigned to the workers in turn; a run time is divided by the speed
	WorkerSizes   []float64 // capacities assigned to the workers in turn, in multiples of 32 cores
	Faults        []Fault
	Bursts        []Burst
	CancelShare   float64 // share of jobs that callers cancel
	PoolSettings  lovagepool.Settings
	SlackFactor   float64
	TargetLatency time.Duration // the response time goal is SlackFactor times the run time plus TargetLatency
	MeanTimeout   time.Duration // mean time from arrival to deadline

	TimeoutSpread  float64   // deadlines spread by this share around the mean; 0: defaultTimeoutSpread
	OwnerShares    []float64 // share of the jobs that each owner's callers submit; nil: equal shares
	MaxCoresFactor float64   // largest size of a task, relative to the mean of its class; 0: maxTaskMilliCores
	SlowRunShare   float64   // share of the runs that take SlowRunFactor times as long
	SlowRunFactor  float64
	ArrivalEnd     time.Duration // no jobs arrive later; 0: they arrive until Duration
	// PairedRunTimes draws the run time of each task when its job arrives and not when it starts, so that the jobs of a seed are the
	// same whatever the pool decides. Only whether a repeated run is slow is drawn at its start.
	PairedRunTimes bool
}

// StandardLoad returns the load that the users specified: 48 workers of two sizes and two speeds, three owners, and 140
// jobs a second of three classes, times the scale.
func StandardLoad(scale float64) Load {
	return Load{
		Owners: 3, Workers: 48, Duration: 30 * time.Second, RateScale: scale,
		Classes: []Class{
			{"short", 34.4, 8, 60 * time.Millisecond, 14000, 0.0291, 0, 2},
			{"long", 6.25, 4, 900 * time.Millisecond, 14000, 0.16, 2, 4},
			{"usual", 100, 2, 200 * time.Millisecond, 14000, 0.01, 1, 2},
		},
		WorkerSpeeds: []float64{0.7, 0.7, 1.7}, WorkerSizes: []float64{1, 1, 1.5},
		PoolSettings: lovagepool.DefaultSettings(), SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond, MeanTimeout: 2400 * time.Millisecond,
	}
}

const (
	unitWorkerMilliCores = 32000
	unitWorkerMemoryMB   = 131072
	taskMemoryMB         = 64
	jobSizeSigma         = 0.4  // spread of the jobs' run times and task counts; all sigmas are on a log scale
	estimateSigma        = 0.4  // spread of declared run times around the true ones
	taskSigma            = 0.15 // spread of the tasks' run times within a job
	taskCoresSigma       = 0.2
	maxTaskMilliCores    = 20000
	defaultTimeoutSpread = 0.2
	runFailureShare      = 0.002
	callLatency          = 500 * time.Microsecond // one way to a worker, including processing
	peerLatency          = 1700 * time.Microsecond
	pollInterval         = 400 * time.Millisecond
	silentPollTimeout    = 700 * time.Millisecond // time until a poll of a silent worker fails
	startTimeout         = 120 * time.Millisecond // time until a start counts as unanswered
	tickInterval         = 20 * time.Millisecond  // between calls of Pool.Tick
	slowFaultFactor      = 6
	warmUp               = 2 * time.Second // jobs that arrive during it are not counted
)

// event is a function to be called at a virtual time.
type event struct {
	at  time.Time
	seq int // order of events at the same time
	do  func()
}

type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	if eq[i].at.Equal(eq[j].at) {
		return eq[i].seq < eq[j].seq
	}
	return eq[i].at.Before(eq[j].at)
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(event)) }
func (eq *eventQueue) Pop() any {
	old := *eq
	ev := old[len(old)-1]
	*eq = old[:len(old)-1]
	return ev
}

// simulation is the state of one call of Simulate.
type simulation struct {
	load        Load
	arrivalRNGs []*rand.Rand // one per class, so that arrivals don't depend on the pools' decisions
	workerRNG   *rand.Rand   // for run times and faults
	now         time.Time
	start       time.Time
	events      eventQueue
	lastSeq     int
	owners      []*owner
	workers     map[string]*simWorker
	jobs        map[string]*jobRecord // by job ID
	jobList     []*jobRecord          // in the order of arrival
	runCounts   map[string]int        // current runs, by task name
	result      Result

	windowCapacity float64 // of all workers, in millicore-seconds of speed 1
}

// owner is an instance. Its pool decides for its workers.
type owner struct {
	si             *simulation
	id             string
	pool           *lovagepool.Pool
	workers        []*simWorker
	offloadOrigins map[string]*owner // owners that offloaded tasks to this one, by Ref of the offload
}

// jobRecord is what the simulation knows of a job.
type jobRecord struct {
	class          int // index into Load.Classes
	workload       *lovagejob.Workload
	runTime        time.Duration // mean run time of its tasks at speed 1
	arrived        time.Time
	goal           time.Duration // response time goal
	value          float64
	anyTaskStarted bool
	answered       bool // the caller got an answer or cancelled the job
	owner          *owner
	origin         int       // index of the owner whose caller submitted the job
	taskFactors    []float64 // factor on the run time of each task; nil: drawn at the start of the run
	firstSlow      []bool    // whether the first run of each task is slow
	hasRun         []bool    // whether each task has had a run
	work           float64   // work of all tasks, in core-seconds at speed 1
	doneWork       float64   // work of its runs that ended as done
	windowWork     float64   // part of work that was done in the window of the bound
	counted        bool      // it is counted in the result
	served         bool      // the answer was in time or late, and useful
	earned         float64
}

// Simulate runs the load once, with random numbers from the seed.
func Simulate(lo Load, seed uint64) Result { return simulate(lo, seed).result }

// simulate runs the load and returns the state at the end.
func simulate(lo Load, seed uint64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	si := &simulation{
		load: lo, workerRNG: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, workers: map[string]*simWorker{},
		jobs: map[string]*jobRecord{}, runCounts: map[string]int{},
	}
	si.result.Classes = make([]ClassResult, len(lo.Classes))
	for i, cl := range lo.Classes {
		si.result.Classes[i].Name = cl.Name
	}
	for i := range lo.Classes {
		si.arrivalRNGs = append(si.arrivalRNGs, rand.New(rand.NewPCG(seed, uint64(i)+2)))
	}
	si.buildOwners()
	for i := range lo.Classes {
		si.scheduleArrival(i)
	}
	for _, fa := range lo.Faults {
		si.scheduleAt(start.Add(fa.Start), func() { si.injectFault(fa) })
	}
	end := start.Add(lo.Duration)
	for len(si.events) > 0 {
		ev := heap.Pop(&si.events).(event)
		if ev.at.After(end) {
			break
		}
		si.now = ev.at
		ev.do()
	}
	si.result.sortResponseTimes()
	si.result.addGroups(si)
	return si
}

func (si *simulation) scheduleAt(when time.Time, do func()) {
	si.lastSeq++
	heap.Push(&si.events, event{when, si.lastSeq, do})
}

func (si *simulation) scheduleAfter(du time.Duration, do func()) { si.scheduleAt(si.now.Add(du), do) }

func (si *simulation) buildOwners() {
	for i := range si.load.Owners {
		ow := &owner{si: si, id: fmt.Sprintf("owner%d", i), pool: lovagepool.New(si.load.PoolSettings), offloadOrigins: map[string]*owner{}}
		si.owners = append(si.owners, ow)
	}
	for i := range si.load.Workers {
		ow := si.owners[i%si.load.Owners]
		kind := (i / si.load.Owners) % len(si.load.WorkerSpeeds)
		size := si.load.WorkerSizes[(i/si.load.Owners)%len(si.load.WorkerSizes)]
		sw := &simWorker{si: si, owner: ow, speed: si.load.WorkerSpeeds[kind], processStart: 1, Worker: lovagepool.Worker{
			ID: fmt.Sprintf("worker%03d", i), Service: "service", Kind: fmt.Sprintf("kind%g", size),
			Capacity: lovagejob.Resources{MilliCores: int64(unitWorkerMilliCores * size), MemoryMB: int64(unitWorkerMemoryMB * size)},
		}}
		from, until := si.window()
		si.windowCapacity += sw.speed * float64(sw.Capacity.MilliCores) * until.Sub(from).Seconds()
		ow.workers = append(ow.workers, sw)
		si.workers[sw.ID] = sw
	}
	for _, ow := range si.owners {
		ow.setWorkers()
		for _, sw := range ow.workers {
			sw.poll()
		}
		ow.tick()
	}
}

// rate returns the current arrivals per second of a class.
func (si *simulation) rate(class int) float64 {
	cl := si.load.Classes[class]
	rate := cl.JobsPerSecond * si.load.RateScale
	at := si.now.Sub(si.start)
	for _, bu := range si.load.Bursts {
		if at >= bu.Start && at < bu.Start+bu.Duration && (bu.Class == "" || bu.Class == cl.Name) {
			rate *= bu.Factor
		}
	}
	return rate
}

// scheduleArrival schedules the arrivals of a class's jobs, one after the other.
func (si *simulation) scheduleArrival(class int) {
	gap := si.arrivalRNGs[class].ExpFloat64() / si.rate(class)
	si.scheduleAfter(time.Duration(gap*float64(time.Second)), func() {
		if end := si.load.ArrivalEnd; end > 0 && si.now.Sub(si.start) > end {
			return
		}
		si.submit(class)
		si.scheduleArrival(class)
	})
}

// logNormal draws a factor with mean 1 from a log-normal distribution.
func logNormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
}

// submit submits a new job to a random owner. Some jobs are cancelled later.
func (si *simulation) submit(class int) {
	cl, rng := si.load.Classes[class], si.arrivalRNGs[class]
	count := max(1, min(int(math.Round(cl.MeanTasks*logNormal(rng, jobSizeSigma))), int(4*cl.MeanTasks)))
	runTime := time.Duration(float64(cl.MeanRunTime) * min(logNormal(rng, jobSizeSigma), 4))
	maxCores := float64(maxTaskMilliCores)
	if si.load.MaxCoresFactor > 0 {
		maxCores = si.load.MaxCoresFactor * cl.MeanMilliCores
	}
	cores := min(cl.MeanMilliCores*logNormal(rng, taskCoresSigma), maxCores)
	spread := cmp.Or(si.load.TimeoutSpread, defaultTimeoutSpread)
	id := fmt.Sprintf("job%d", len(si.jobs))
	wo := &lovagejob.Workload{
		ID: id, Queue: cl.Name, Service: "service", BestEffort: true, Priority: cl.Priority, MaxAttempts: cl.MaxAttempts,
		SlackFactor: si.load.SlackFactor, TargetLatency: si.load.TargetLatency, Arrived: si.now,
		Deadline: si.now.Add(time.Duration(float64(si.load.MeanTimeout) * (1 - spread + 2*spread*rng.Float64()))),
		Steps: []lovagejob.Step{{
			Count: count, Resources: lovagejob.Resources{MilliCores: int64(cores), MemoryMB: taskMemoryMB},
			RunTime: time.Duration(float64(runTime) * logNormal(rng, estimateSigma)),
		}},
	}
	size := float64(count) * cores * runTime.Seconds() / (cl.MeanTasks * cl.MeanMilliCores * cl.MeanRunTime.Seconds())
	jr := &jobRecord{
		class: class, workload: wo, runTime: runTime, arrived: si.now, origin: si.drawOwner(rng),
		goal:  time.Duration(si.load.SlackFactor*float64(runTime)) + si.load.TargetLatency,
		value: cl.Value * min(0.3+0.7*size, 4),
	}
	jr.owner = si.owners[jr.origin]
	tasks := float64(count)
	if si.load.PairedRunTimes {
		tasks = 0
		for range count {
			factor := logNormal(rng, taskSigma)
			jr.taskFactors = append(jr.taskFactors, factor)
			tasks += factor
			jr.firstSlow = append(jr.firstSlow, si.load.SlowRunShare > 0 && rng.Float64() < si.load.SlowRunShare)
		}
	}
	jr.hasRun = make([]bool, len(jr.taskFactors))
	jr.work = tasks * cores / 1000 * runTime.Seconds()
	si.jobs[id] = jr
	si.jobList = append(si.jobList, jr)
	ow := jr.owner
	ow.pool.Submit(si.now, &lovagepool.Job{Ref: id, Work: wo})
	ow.execute()
	if rng.Float64() < si.load.CancelShare {
		si.scheduleAfter(jr.goal/2, func() {
			if !jr.answered {
				jr.answered = true
				jr.owner.pool.Cancel(si.now, id)
				jr.owner.execute()
			}
		})
	}
}

// drawOwner returns the index of the owner whose caller submits the next job.
func (si *simulation) drawOwner(rng *rand.Rand) int {
	if si.load.OwnerShares == nil {
		return rng.IntN(len(si.owners))
	}
	at := rng.Float64()
	for i, share := range si.load.OwnerShares {
		if at -= share; at < 0 {
			return i
		}
	}
	return len(si.load.OwnerShares) - 1
}

func (ow *owner) setWorkers() {
	var list []lovagepool.Worker
	for _, sw := range ow.workers {
		worker := sw.Worker
		worker.ProcessStart = sw.processStart
		list = append(list, worker)
	}
	ow.pool.SetWorkers(ow.si.now, list)
}

// tick calls Pool.Tick and sends the load report to the other owners, every tickInterval.
func (ow *owner) tick() {
	si := ow.si
	ow.pool.Tick(si.now)
	ow.execute()
	lr := ow.pool.LoadReport(si.now, "service")
	for _, ot := range si.owners {
		if ot != ow {
			report := lr
			report.Free = slices.Clone(lr.Free)
			si.scheduleAfter(peerLatency, func() {
				ot.pool.SetPeer(si.now, ow.id, map[string]lovagepool.LoadReport{"service": report})
			})
		}
	}
	si.scheduleAfter(tickInterval, ow.tick)
}

// execute executes the pool's commands.
func (ow *owner) execute() {
	si := ow.si
	for _, cmd := range ow.pool.Commands(si.now) {
		switch cm := cmd.(type) {
		case lovagepool.StartRun:
			si.workers[cm.Worker].sendStart(cm)
		case lovagepool.StopRun:
			si.workers[cm.Worker].sendStop(cm)
		case lovagepool.PollWorker:
			si.scheduleAfter(2*callLatency, si.workers[cm.Worker].reportRuns)
		case lovagepool.FinishJob:
			ow.handleFinish(cm)
		case lovagepool.Offload:
			ow.offload(cm)
		case lovagepool.CancelOffload:
			si.scheduleAfter(peerLatency, func() {
				if ot := si.ownerByID(cm.Peer); ot != nil {
					ot.pool.Cancel(si.now, cm.Ref)
					ot.execute()
				}
			})
		}
	}
}

func (si *simulation) ownerByID(id string) *owner {
	for _, ow := range si.owners {
		if ow.id == id {
			return ow
		}
	}
	return nil
}

func (ow *owner) offload(cm lovagepool.Offload) {
	si := ow.si
	ot := si.ownerByID(cm.Peer)
	ot.offloadOrigins[cm.Ref] = ow
	si.scheduleAfter(peerLatency, func() {
		ot.pool.Submit(si.now, &lovagepool.Job{Ref: cm.Ref, Work: cm.Work, Offloaded: cm.Tasks, AnySpeed: cm.AnySpeed})
		ot.execute()
	})
}

// handleFinish handles the end of a job or of offloaded tasks. It also passes on a job that the pool forwards.
func (ow *owner) handleFinish(fi lovagepool.FinishJob) {
	si := ow.si
	if origin := ow.offloadOrigins[fi.Ref]; origin != nil {
		delete(ow.offloadOrigins, fi.Ref)
		si.scheduleAfter(peerLatency, func() {
			origin.pool.HandleOffloadReply(si.now, fi.Ref, fi.Results, true, false)
			origin.execute()
		})
		return
	}
	jr := si.jobs[fi.Ref]
	if jr == nil || jr.answered {
		return
	}
	if ot := si.ownerByID(fi.To); ot != nil {
		si.scheduleAfter(peerLatency, func() {
			jr.owner = ot
			ot.pool.Submit(si.now, &lovagepool.Job{Ref: fi.Ref, Work: jr.workload, Forwarded: true})
			ot.execute()
		})
		return
	}
	jr.answered = true
	if fi.Outcome == lovagepool.NotRun && jr.anyTaskStarted {
		si.result.addViolation("job %s is reported as not run, but a task had started", fi.Ref)
	}
	si.result.countJob(jr, fi.Outcome, si.now, si.start)
	if fi.Outcome == lovagepool.NotRun && jr.counted {
		if si.hasCapacityFor(jr.workload) {
			si.result.Classes[jr.class].RefusedDespiteCapacity++
		}
		si.countFreeWorkers(jr)
	}
}

// hasCapacityFor reports whether all tasks of a job fit into the free resources of the workers without a fault.
func (si *simulation) hasCapacityFor(wo *lovagejob.Workload) bool {
	tasks, resources := wo.NumTasks(), wo.Steps[0].Resources
	for _, ow := range si.owners {
		for _, sw := range ow.workers {
			if si.now.Before(sw.faultUntil) {
				continue
			}
			used := resources
			for _, ru := range sw.runs {
				used = used.Plus(ru.resources)
			}
			for ; tasks > 0 && used.Fits(sw.Capacity); used = used.Plus(resources) {
				tasks--
			}
		}
	}
	return tasks == 0
}
