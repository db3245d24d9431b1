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
	baseMilliCores = 32000
	baseMemoryMB   = 131072
	taskMemoryMB   = 64
	runTimeSpread  = 0.4  // of jobs, on a log scale
	estimateSpread = 0.4  // of declared run times
	unevenSpread   = 0.15 // of the tasks of one job
	coresSpread    = 0.2
	failShare      = 0.002
	callTime       = 500 * time.Microsecond // one way to a worker, with processing
	lendTime       = 1700 * time.Microsecond
	lookTime       = 400 * time.Millisecond
	silentLook     = 700 * time.Millisecond // until a look at a silent worker fails
	orderTime      = 120 * time.Millisecond // until an unanswered start counts as lost
	stepTime       = 20 * time.Millisecond  // between two ticks of a pool
	slowFactor     = 6
	warmUp         = 2 * time.Second // not counted in the results
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
type play struct {
	lo       Load
	arrivals []*rand.Rand // one for each class, so that the callers send the same whatever the pools decide
	rng      *rand.Rand   // of the workers
	now      time.Time
	start    time.Time
	queue    eventQueue
	seq      int
	owners   []*owner
	workers  map[string]*machine
	jobs     map[string]*jobRecord // by ID
	running  map[string]int        // runs of a task at this moment, by name
	res      Result
}

// owner is one pool with its workers.
type owner struct {
	pl   *play
	id   string
	pool *lovagepool.Pool
	list []*machine
	lent map[string]*owner // loans taken from others, by reference
}

// jobRecord is what the callers know of a job.
type jobRecord struct {
	class    int
	work     *lovagejob.Workload
	truth    time.Duration // run time of a task on a worker of speed 1
	arrived  time.Time
	goal     time.Duration
	worth    float64
	begun    bool // a task has been started
	answered bool
	owner    *owner
}

// Simulate plays the load once.
func Simulate(lo Load, seed uint64) Result {
	start := time.Unix(1_700_000_000, 0)
	pl := &play{
		lo: lo, rng: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, workers: map[string]*machine{},
		jobs: map[string]*jobRecord{}, running: map[string]int{},
	}
	pl.res.Classes = make([]ClassResult, len(lo.Classes))
	for i, cl := range lo.Classes {
		pl.res.Classes[i].Name = cl.Name
	}
	for i := range lo.Classes {
		pl.arrivals = append(pl.arrivals, rand.New(rand.NewPCG(seed, uint64(i)+2)))
	}
	pl.build()
	for i := range lo.Classes {
		pl.arrive(i)
	}
	for _, fa := range lo.Faults {
		pl.at(start.Add(fa.Start), func() { pl.strike(fa) })
	}
	end := start.Add(lo.Duration)
	for len(pl.queue) > 0 {
		ev := heap.Pop(&pl.queue).(event)
		if ev.at.After(end) {
			break
		}
		pl.now = ev.at
		ev.do()
	}
	pl.res.finish()
	return pl.res
}

func (pl *play) at(when time.Time, do func()) {
	pl.seq++
	heap.Push(&pl.queue, event{when, pl.seq, do})
}

func (pl *play) after(du time.Duration, do func()) { pl.at(pl.now.Add(du), do) }

func (pl *play) build() {
	for i := range pl.lo.Owners {
		ow := &owner{pl: pl, id: fmt.Sprintf("owner%d", i), pool: lovagepool.New(pl.lo.Settings), lent: map[string]*owner{}}
		pl.owners = append(pl.owners, ow)
	}
	for i := range pl.lo.Workers {
		ow := pl.owners[i%pl.lo.Owners]
		kind := (i / pl.lo.Owners) % len(pl.lo.Speeds)
		size := pl.lo.Sizes[(i/pl.lo.Owners)%len(pl.lo.Sizes)]
		ma := &machine{pl: pl, owner: ow, speed: pl.lo.Speeds[kind], born: 1, Worker: lovagepool.Worker{
			ID: fmt.Sprintf("worker%03d", i), Service: "service", Kind: fmt.Sprintf("kind%g", size),
			Capacity: lovagejob.Resources{MilliCores: int64(baseMilliCores * size), MemoryMB: int64(baseMemoryMB * size)},
		}}
		ow.list = append(ow.list, ma)
		pl.workers[ma.ID] = ma
	}
	for _, ow := range pl.owners {
		ow.setWorkers()
		for _, ma := range ow.list {
			ma.look()
		}
		ow.tick()
	}
}

// rate returns the arrivals per second of a class now.
func (pl *play) rate(class int) float64 {
	cl := pl.lo.Classes[class]
	rate := cl.PerSecond * pl.lo.Scale
	at := pl.now.Sub(pl.start)
	for _, bu := range pl.lo.Bursts {
		if at >= bu.Start && at < bu.Start+bu.Duration && (bu.Class == "" || bu.Class == cl.Name) {
			rate *= bu.Factor
		}
	}
	return rate
}

// arrive schedules the next job of a class.
func (pl *play) arrive(class int) {
	gap := pl.arrivals[class].ExpFloat64() / pl.rate(class)
	pl.after(time.Duration(gap*float64(time.Second)), func() {
		pl.submit(class)
		pl.arrive(class)
	})
}

// spread draws a factor with mean 1 from a log-normal distribution.
func spread(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
}

// submit makes a job and gives it to a random owner.
func (pl *play) submit(class int) {
	cl, rng := pl.lo.Classes[class], pl.arrivals[class]
	count := max(1, min(int(math.Round(cl.Tasks*spread(rng, runTimeSpread))), int(4*cl.Tasks)))
	truth := time.Duration(float64(cl.RunTime) * min(spread(rng, runTimeSpread), 4))
	cores := min(cl.MilliCores*spread(rng, coresSpread), 20000)
	id := fmt.Sprintf("job%d", len(pl.jobs))
	wo := &lovagejob.Workload{
		ID: id, Queue: cl.Name, Service: "service", BestEffort: true, Priority: cl.Priority, MaxAttempts: cl.MaxAttempts,
		SlackFactor: pl.lo.SlackFactor, TargetLatency: pl.lo.TargetLatency, Arrived: pl.now,
		Deadline: pl.now.Add(time.Duration(float64(pl.lo.MeanTimeout) * (0.8 + 0.4*rng.Float64()))),
		Steps: []lovagejob.Step{{
			Count: count, Resources: lovagejob.Resources{MilliCores: int64(cores), MemoryMB: taskMemoryMB},
			RunTime: time.Duration(float64(truth) * spread(rng, estimateSpread)),
		}},
	}
	size := float64(count) * cores * truth.Seconds() / (cl.Tasks * cl.MilliCores * cl.RunTime.Seconds())
	jr := &jobRecord{
		class: class, work: wo, truth: truth, arrived: pl.now, owner: pl.owners[rng.IntN(len(pl.owners))],
		goal:  time.Duration(pl.lo.SlackFactor*float64(truth)) + pl.lo.TargetLatency,
		worth: cl.Value * min(0.3+0.7*size, 4),
	}
	pl.jobs[id] = jr
	ow := jr.owner
	ow.pool.Submit(pl.now, &lovagepool.Job{Ref: id, Work: wo})
	ow.carryOut()
	if rng.Float64() < pl.lo.CancelShare {
		pl.after(jr.goal/2, func() {
			if !jr.answered {
				jr.answered = true
				jr.owner.pool.Cancel(pl.now, id)
				jr.owner.carryOut()
			}
		})
	}
}

func (ow *owner) setWorkers() {
	var list []lovagepool.Worker
	for _, ma := range ow.list {
		de := ma.Worker
		de.ProcessStart = ma.born
		list = append(list, de)
	}
	ow.pool.SetWorkers(ow.pl.now, list)
}

// tick lets the pool's time pass and tells the other owners how full it is.
func (ow *owner) tick() {
	pl := ow.pl
	ow.pool.Tick(pl.now)
	ow.carryOut()
	sd := ow.pool.LoadReport(pl.now, "service")
	for _, ot := range pl.owners {
		if ot != ow {
			report := sd
			report.Free = slices.Clone(sd.Free)
			pl.after(lendTime, func() {
				ot.pool.SetPeer(pl.now, ow.id, map[string]lovagepool.LoadReport{"service": report})
			})
		}
	}
	pl.after(stepTime, ow.tick)
}

// carryOut does what the pool has decided.
func (ow *owner) carryOut() {
	pl := ow.pl
	for _, cmd := range ow.pool.Commands(pl.now) {
		switch cm := cmd.(type) {
		case lovagepool.StartRun:
			pl.workers[cm.Worker].order(cm)
		case lovagepool.StopRun:
			pl.workers[cm.Worker].stopOrder(cm)
		case lovagepool.PollWorker:
			pl.after(2*callTime, pl.workers[cm.Worker].report)
		case lovagepool.FinishJob:
			ow.finished(cm)
		case lovagepool.Offload:
			ow.lend(cm)
		case lovagepool.CancelOffload:
			pl.after(lendTime, func() {
				if ot := pl.ownerNamed(cm.Peer); ot != nil {
					ot.pool.Cancel(pl.now, cm.Ref)
					ot.carryOut()
				}
			})
		}
	}
}

func (pl *play) ownerNamed(id string) *owner {
	for _, ow := range pl.owners {
		if ow.id == id {
			return ow
		}
	}
	return nil
}

func (ow *owner) lend(cm lovagepool.Offload) {
	pl := ow.pl
	ot := pl.ownerNamed(cm.Peer)
	ot.lent[cm.Ref] = ow
	pl.after(lendTime, func() {
		ot.pool.Submit(pl.now, &lovagepool.Job{Ref: cm.Ref, Work: cm.Work, Offloaded: cm.Tasks, AnySpeed: cm.AnySpeed})
		ot.carryOut()
	})
}

// finished takes the end of a job or of a loan.
func (ow *owner) finished(fi lovagepool.FinishJob) {
	pl := ow.pl
	if to := ow.lent[fi.Ref]; to != nil {
		delete(ow.lent, fi.Ref)
		pl.after(lendTime, func() {
			to.pool.HandleOffloadReply(pl.now, fi.Ref, fi.Results, true, false)
			to.carryOut()
		})
		return
	}
	jr := pl.jobs[fi.Ref]
	if jr == nil || jr.answered {
		return
	}
	if to := pl.ownerNamed(fi.To); to != nil {
		pl.after(lendTime, func() {
			jr.owner = to
			to.pool.Submit(pl.now, &lovagepool.Job{Ref: fi.Ref, Work: jr.work, Forwarded: true})
			to.carryOut()
		})
		return
	}
	jr.answered = true
	if fi.Outcome == lovagepool.NotRun && jr.begun {
		pl.res.violate("job %s was said not to have run, and a task had started", fi.Ref)
	}
	pl.res.count(jr, fi.Outcome, pl.now, pl.start)
	if fi.Outcome == lovagepool.NotRun && pl.roomFor(jr.work) && jr.arrived.Sub(pl.start) >= warmUp {
		pl.res.Classes[jr.class].RefusedDespiteCapacity++
	}
}

// roomFor reports whether the sound workers of all owners have room for all tasks of a job now.
func (pl *play) roomFor(wo *lovagejob.Workload) bool {
	tasks, room := wo.NumTasks(), wo.Steps[0].Resources
	for _, ow := range pl.owners {
		for _, ma := range ow.list {
			if pl.now.Before(ma.until) {
				continue
			}
			used := room
			for _, ru := range ma.runs {
				used = used.Plus(ru.room)
			}
			for ; tasks > 0 && used.Fits(ma.Capacity); used = used.Plus(room) {
				tasks--
			}
		}
	}
	return tasks == 0
}
