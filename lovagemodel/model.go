// Package lovagemodel plays loads against lovagepool in virtual time.
//
// It models what the pool decides for: workers of different sizes and speeds that start whatever they are told and run
// tasks under leases, callers that send jobs and leave, and several owners that lend each other tasks. Workers may fail,
// hang, slow down, crash, fall silent, or carry out orders late. While it plays, it checks what must always hold: no
// worker is filled beyond its room, no task has two runs at the same time, and a job that was said not to have run has
// not. A play depends only on its Load and its seed.
//
// It is no model of networks or processes: calls take a fixed time. It compares ways of queueing, refusing and placing
// in seconds and over many seeds.
//
// # Usage
//
//	re := lovagemodel.Play(lovagemodel.Standard(1.0), seed)
//	fmt.Println(re.Served(), re.Violations)
package lovagemodel

import (
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
	Name        string
	PerSecond   float64       // of all owners together
	Tasks       float64       // mean number
	RunTime     time.Duration // mean of a task on a worker of speed 1
	MilliCores  float64       // mean per task
	Value       float64       // of a job of mean size
	Priority    int
	MaxAttempts int
}

// Fault is a trouble of some workers.
type Fault struct {
	Kind           FaultKind
	Start          time.Duration
	Duration       time.Duration
	Share          float64 // of the workers
	FirstOwnerOnly bool    // only those of the first owner
}

// FaultKind names a trouble.
type FaultKind string

// Troubles of workers.
const (
	FaultErrors FaultKind = "errors" // fails all that it starts
	FaultHang   FaultKind = "hang"   // tasks stand still
	FaultSlow   FaultKind = "slow"   // tasks take six times as long
	FaultCrash  FaultKind = "crash"  // the process is gone and comes back empty
	FaultSilent FaultKind = "silent" // gets no calls; what runs goes on until its lease ends
	FaultLate   FaultKind = "late"   // starts are not answered and carried out seconds later
)

// Burst multiplies the arrivals for a while.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
	Class           string // empty: all
}

// Load is what a play consists of.
type Load struct {
	Owners        int // each with an equal part of workers and callers
	Workers       int // of all owners together
	Duration      time.Duration
	Scale         float64 // on the rates of all classes
	Classes       []Class
	Speeds        []float64 // of the workers in turn; above 1 is faster
	Sizes         []float64 // times 32 cores
	Faults        []Fault
	Bursts        []Burst
	CancelShare   float64 // share of the callers that leave early
	Settings      lovagepool.Settings
	SlackFactor   float64
	TargetLatency time.Duration // added to the goal
	MeanTimeout   time.Duration // mean time that callers wait
}

// StandardLoad returns the load of the users' sheet: 48 workers of two sizes and speeds with three owners, 140 jobs a second
// of three kinds, times the scale.
func StandardLoad(scale float64) Load {
	return Load{
		Owners: 3, Workers: 48, Duration: 30 * time.Second, Scale: scale,
		Classes: []Class{
			{"short", 34.4, 8, 60 * time.Millisecond, 14000, 0.0291, 0, 2},
			{"long", 6.25, 4, 900 * time.Millisecond, 14000, 0.16, 2, 4},
			{"usual", 100, 2, 200 * time.Millisecond, 14000, 0.01, 1, 2},
		},
		Speeds: []float64{0.7, 0.7, 1.7}, Sizes: []float64{1, 1, 1.5},
		Settings: lovagepool.DefaultSettings(), SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond, MeanTimeout: 2400 * time.Millisecond,
	}
}

const (
	baseMilliCores    = 32000
	baseMemoryMB      = 131072
	taskMemoryMB      = 64
	runTimeSigma      = 0.4  // of jobs, on a log scale
	estimateSigma     = 0.4  // of declared run times
	taskSigma         = 0.15 // of the tasks of one job
	coresSigma        = 0.2
	failureRate       = 0.002
	callLatency       = 500 * time.Microsecond // one way to a worker, with processing
	peerLatency       = 1700 * time.Microsecond
	pollInterval      = 400 * time.Millisecond
	silentPollTimeout = 700 * time.Millisecond // until a look at a silent worker fails
	startTimeout      = 120 * time.Millisecond // until an unanswered start counts as lost
	tickInterval      = 20 * time.Millisecond  // between two ticks of a pool
	slowFaultFactor   = 6
	warmUp            = 2 * time.Second // not counted in the results
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
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

// play is one run of a load.
type simulation struct {
	load        Load
	arrivalRNGs []*rand.Rand // one for each class, so that the callers send the same whatever the pools decide
	workerRNG   *rand.Rand   // of the workers
	now         time.Time
	start       time.Time
	events      eventQueue
	seq         int
	owners      []*owner
	workers     map[string]*simWorker
	jobs        map[string]*jobRecord // by ID
	running     map[string]int        // runs of a task at this moment, by name
	result      Result
}

// owner is one pool with its workers.
type owner struct {
	si      *simulation
	id      string
	pool    *lovagepool.Pool
	workers []*simWorker
	origins map[string]*owner // loans taken from others, by reference
}

// jobRecord is what the callers know of a job.
type jobRecord struct {
	class    int
	work     *lovagejob.Workload
	runTime  time.Duration // run time of a task on a worker of speed 1
	arrived  time.Time
	goal     time.Duration
	value    float64
	started  bool // a task has been started
	answered bool
	owner    *owner
}

// Simulate plays the load once.
func Simulate(lo Load, seed uint64) Result {
	start := time.Unix(1_700_000_000, 0)
	si := &simulation{
		load: lo, workerRNG: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, workers: map[string]*simWorker{},
		jobs: map[string]*jobRecord{}, running: map[string]int{},
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
		si.at(start.Add(fa.Start), func() { si.injectFault(fa) })
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
	return si.result
}

func (si *simulation) at(when time.Time, do func()) {
	si.seq++
	heap.Push(&si.events, event{when, si.seq, do})
}

func (si *simulation) after(du time.Duration, do func()) { si.at(si.now.Add(du), do) }

func (si *simulation) buildOwners() {
	for i := range si.load.Owners {
		ow := &owner{si: si, id: fmt.Sprintf("owner%d", i), pool: lovagepool.New(si.load.Settings), origins: map[string]*owner{}}
		si.owners = append(si.owners, ow)
	}
	for i := range si.load.Workers {
		ow := si.owners[i%si.load.Owners]
		kind := (i / si.load.Owners) % len(si.load.Speeds)
		size := si.load.Sizes[(i/si.load.Owners)%len(si.load.Sizes)]
		sw := &simWorker{si: si, owner: ow, speed: si.load.Speeds[kind], processStart: 1, Worker: lovagepool.Worker{
			ID: fmt.Sprintf("worker%03d", i), Service: "service", Kind: fmt.Sprintf("kind%g", size),
			Capacity: lovagejob.Resources{MilliCores: int64(baseMilliCores * size), MemoryMB: int64(baseMemoryMB * size)},
		}}
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

// rate returns the arrivals per second of a class now.
func (si *simulation) rate(class int) float64 {
	cl := si.load.Classes[class]
	rate := cl.PerSecond * si.load.Scale
	at := si.now.Sub(si.start)
	for _, bu := range si.load.Bursts {
		if at >= bu.Start && at < bu.Start+bu.Duration && (bu.Class == "" || bu.Class == cl.Name) {
			rate *= bu.Factor
		}
	}
	return rate
}

// arrive schedules the next job of a class.
func (si *simulation) scheduleArrival(class int) {
	gap := si.arrivalRNGs[class].ExpFloat64() / si.rate(class)
	si.after(time.Duration(gap*float64(time.Second)), func() {
		si.submit(class)
		si.scheduleArrival(class)
	})
}

// spread draws a factor with mean 1 from a log-normal distribution.
func logNormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
}

// submit makes a job and gives it to a random owner.
func (si *simulation) submit(class int) {
	cl, rng := si.load.Classes[class], si.arrivalRNGs[class]
	count := max(1, min(int(math.Round(cl.Tasks*logNormal(rng, runTimeSigma))), int(4*cl.Tasks)))
	runTime := time.Duration(float64(cl.RunTime) * min(logNormal(rng, runTimeSigma), 4))
	cores := min(cl.MilliCores*logNormal(rng, coresSigma), 20000)
	id := fmt.Sprintf("job%d", len(si.jobs))
	wo := &lovagejob.Workload{
		ID: id, Queue: cl.Name, Service: "service", BestEffort: true, Priority: cl.Priority, MaxAttempts: cl.MaxAttempts,
		SlackFactor: si.load.SlackFactor, TargetLatency: si.load.TargetLatency, Arrived: si.now,
		Deadline: si.now.Add(time.Duration(float64(si.load.MeanTimeout) * (0.8 + 0.4*rng.Float64()))),
		Steps: []lovagejob.Step{{
			Count: count, Resources: lovagejob.Resources{MilliCores: int64(cores), MemoryMB: taskMemoryMB},
			RunTime: time.Duration(float64(runTime) * logNormal(rng, estimateSigma)),
		}},
	}
	size := float64(count) * cores * runTime.Seconds() / (cl.Tasks * cl.MilliCores * cl.RunTime.Seconds())
	jr := &jobRecord{
		class: class, work: wo, runTime: runTime, arrived: si.now, owner: si.owners[rng.IntN(len(si.owners))],
		goal:  time.Duration(si.load.SlackFactor*float64(runTime)) + si.load.TargetLatency,
		value: cl.Value * min(0.3+0.7*size, 4),
	}
	si.jobs[id] = jr
	ow := jr.owner
	ow.pool.Submit(si.now, &lovagepool.Job{Ref: id, Work: wo})
	ow.execute()
	if rng.Float64() < si.load.CancelShare {
		si.after(jr.goal/2, func() {
			if !jr.answered {
				jr.answered = true
				jr.owner.pool.Cancel(si.now, id)
				jr.owner.execute()
			}
		})
	}
}

func (ow *owner) setWorkers() {
	var list []lovagepool.Worker
	for _, sw := range ow.workers {
		info := sw.Worker
		info.ProcessStart = sw.processStart
		list = append(list, info)
	}
	ow.pool.SetWorkers(ow.si.now, list)
}

// tick lets the pool's time pass and tells the other owners how full it is.
func (ow *owner) tick() {
	si := ow.si
	ow.pool.Tick(si.now)
	ow.execute()
	lr := ow.pool.LoadReport(si.now, "service")
	for _, ot := range si.owners {
		if ot != ow {
			report := lr
			report.Free = slices.Clone(lr.Free)
			si.after(peerLatency, func() {
				ot.pool.SetPeer(si.now, ow.id, map[string]lovagepool.LoadReport{"service": report})
			})
		}
	}
	si.after(tickInterval, ow.tick)
}

// carryOut does what the pool has decided.
func (ow *owner) execute() {
	si := ow.si
	for _, cmd := range ow.pool.Commands(si.now) {
		switch cm := cmd.(type) {
		case lovagepool.StartRun:
			si.workers[cm.Worker].sendStart(cm)
		case lovagepool.StopRun:
			si.workers[cm.Worker].sendStop(cm)
		case lovagepool.PollWorker:
			si.after(2*callLatency, si.workers[cm.Worker].report)
		case lovagepool.FinishJob:
			ow.handleFinish(cm)
		case lovagepool.Offload:
			ow.offload(cm)
		case lovagepool.CancelOffload:
			si.after(peerLatency, func() {
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
	ot.origins[cm.Ref] = ow
	si.after(peerLatency, func() {
		ot.pool.Submit(si.now, &lovagepool.Job{Ref: cm.Ref, Work: cm.Work, Offloaded: cm.Tasks, AnySpeed: cm.AnySpeed})
		ot.execute()
	})
}

// finished takes the end of a job or of a loan.
func (ow *owner) handleFinish(fi lovagepool.FinishJob) {
	si := ow.si
	if origin := ow.origins[fi.Ref]; origin != nil {
		delete(ow.origins, fi.Ref)
		si.after(peerLatency, func() {
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
		si.after(peerLatency, func() {
			jr.owner = ot
			ot.pool.Submit(si.now, &lovagepool.Job{Ref: fi.Ref, Work: jr.work, Forwarded: true})
			ot.execute()
		})
		return
	}
	jr.answered = true
	if fi.Outcome == lovagepool.NotRun && jr.started {
		si.result.addViolation("job %s was said not to have run, and a task had started", fi.Ref)
	}
	si.result.countJob(jr, fi.Outcome, si.now, si.start)
	if fi.Outcome == lovagepool.NotRun && si.hasCapacityFor(jr.work) && jr.arrived.Sub(si.start) >= warmUp {
		si.result.Classes[jr.class].RefusedDespiteCapacity++
	}
}

// roomFor reports whether the sound workers of all owners have room for all tasks of a job now.
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
