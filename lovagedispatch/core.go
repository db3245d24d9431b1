package lovagedispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lovagestack/lovagejob"
)

// Core is the decision core of one instance. It is not safe for concurrent use.
type Core struct {
	se       Settings
	rng      *rand.Rand
	jobs     map[uint64]*job
	queue    []*job // in the order of submission
	workers  map[string]*worker
	members  []string // sorted members of the own data centre
	services map[string]Service
	running  int
	queued   int
	draining bool
	out      []Command
}

type job struct {
	Submit
	next    int
	retry   []int
	run     map[int]string
	ended   int
	done    bool
	started int
}

type worker struct {
	Worker
	own      int
	inFlight int
}

// New returns a core without workers, members and services. The source of randomness must be seeded by the caller.
func New(se Settings, rng *rand.Rand) *Core {
	return &Core{
		se: se, rng: rng, jobs: map[uint64]*job{}, workers: map[string]*worker{}, services: map[string]Service{},
	}
}

// Step applies an event at the time now and appends the resulting commands to out.
func (co *Core) Step(now time.Time, ev Event, out []Command) []Command {
	co.out = out
	switch ev := ev.(type) {
	case Submit:
		co.submit(ev)
	case Cancel:
		if jo := co.jobs[ev.Job]; jo != nil && !jo.done {
			co.finish(jo, lovagejob.Cancelled, "cancelled by the caller")
		}
	case TaskEnded:
		co.taskEnded(ev)
	case WorkersChanged:
		co.workersChanged(ev)
	case WorkerLeaving:
		if wo := co.workers[ev.Worker]; wo != nil {
			wo.Leaving = true
		}
	case MembersChanged:
		co.members = co.members[:0]
		for _, me := range ev.Members {
			if me.DataCentre == co.se.DataCentre {
				co.members = append(co.members, me.ID)
			}
		}
		slices.Sort(co.members)
		co.share()
	case ServicesChanged:
		clear(co.services)
		for _, sv := range ev.Services {
			co.services[sv.Name] = sv
		}
	case SlotsAsked:
		co.emit(LendSlots{To: ev.From, Ask: ev.Ask, Until: now})
	case SlotsLent:
		if len(ev.Slots) > 0 {
			co.emit(ReturnSlots{To: ev.From, Loan: ev.Loan, Slots: ev.Slots})
		}
	case Drain:
		co.draining = true
	}
	co.dispatch()
	for _, jo := range co.queue {
		if !jo.Deadline.After(now) {
			co.finish(jo, lovagejob.Failed, "deadline passed in the queue")
		}
	}
	co.queue = slices.DeleteFunc(co.queue, func(jo *job) bool { return jo.done })
	if len(co.queue) > 0 {
		first := slices.MinFunc(co.queue, func(a, b *job) int { return a.Deadline.Compare(b.Deadline) })
		co.emit(WakeAt{At: first.Deadline})
	}
	out, co.out = co.out, nil
	return out
}

// Load summarises the instance for its heartbeats.
func (co *Core) Load() Load {
	lo := Load{QueuedTasks: co.queued, RunningTasks: co.running}
	for _, wo := range co.workers {
		if !wo.Leaving {
			lo.FreeSlots += max(0, wo.own-wo.inFlight)
		}
	}
	return lo
}

func (co *Core) emit(cm Command) { co.out = append(co.out, cm) }

func (co *Core) submit(ev Submit) {
	sv, ok := co.services[ev.Service]
	reason := ""
	switch {
	case co.draining:
		reason = "instance is shutting down"
	case !ok:
		reason = fmt.Sprintf("service %q does not exist", ev.Service)
	case !co.anyWorker(sv, ev):
		reason = fmt.Sprintf("no worker of service %q is large enough", ev.Service)
	}
	if reason != "" {
		co.emit(FinishJob{Job: ev.Job, Outcome: lovagejob.NotRun, Reason: reason})
		return
	}
	jo := &job{Submit: ev, run: map[int]string{}}
	co.jobs[ev.Job] = jo
	co.queue = append(co.queue, jo)
	co.queued += ev.Tasks
}

func (co *Core) anyWorker(sv Service, ev Submit) bool {
	for _, wo := range co.workers {
		if fits(wo, sv, ev) {
			return true
		}
	}
	return false
}

func fits(wo *worker, sv Service, ev Submit) bool {
	return (len(sv.Pools) == 0 || slices.Contains(sv.Pools, wo.Pool)) && wo.Cores >= ev.DeclaredCores &&
		wo.MemoryBytes >= ev.DeclaredMemoryBytes && wo.Accelerators >= ev.DeclaredAccelerators
}

func (co *Core) taskEnded(ev TaskEnded) {
	wo, jo := co.workers[ev.Worker], co.jobs[ev.Job]
	if jo == nil || jo.run[ev.Task] != ev.Worker || wo == nil {
		return
	}
	delete(jo.run, ev.Task)
	wo.inFlight--
	wo.Leaving = wo.Leaving || ev.Leaving
	co.running--
	if jo.done {
		if len(jo.run) == 0 {
			delete(co.jobs, jo.Job)
		}
		return
	}
	switch ev.State {
	case Succeeded:
		jo.ended++
		if jo.ended == jo.Tasks {
			co.finish(jo, lovagejob.Complete, "")
		}
	case NotStarted:
		jo.started--
		jo.retry = append(jo.retry, ev.Task)
		co.queued++
	case Failed, Unknown:
		co.finish(jo, lovagejob.Failed, fmt.Sprintf("task %d on %s: %s: %s", ev.Task, ev.Worker, ev.State, ev.Err))
	}
}

func (co *Core) finish(jo *job, ou lovagejob.Outcome, reason string) {
	jo.done = true
	co.queued -= jo.Tasks - jo.next + len(jo.retry)
	if ou != lovagejob.Complete && jo.started == 0 {
		ou = lovagejob.NotRun
	}
	for _, task := range slices.Sorted(func(yield func(int) bool) {
		for task := range jo.run {
			if !yield(task) {
				return
			}
		}
	}) {
		co.emit(StopTask{Job: jo.Job, Task: task, Worker: jo.run[task]})
	}
	co.emit(FinishJob{Job: jo.Job, Outcome: ou, Reason: reason, Started: jo.started})
	if len(jo.run) == 0 {
		delete(co.jobs, jo.Job)
	}
}

func (co *Core) workersChanged(ev WorkersChanged) {
	old := co.workers
	co.workers = map[string]*worker{}
	for _, sp := range ev.Workers {
		wo := &worker{Worker: sp}
		if be := old[sp.ID]; be != nil {
			wo.inFlight = be.inFlight
			wo.Leaving = wo.Leaving || be.Leaving
		}
		co.workers[sp.ID] = wo
	}
	co.share()
}

func (co *Core) share() {
	for _, wo := range co.workers {
		wo.own = 0
		if wo.DataCentre == co.se.DataCentre {
			wo.own = shareOf(wo.ID, wo.Slots, co.members, co.se.Instance)
		}
	}
}

func (co *Core) dispatch() {
	for _, jo := range co.queue {
		for !jo.done && jo.next+len(jo.retry) <= jo.Tasks && (jo.next < jo.Tasks || len(jo.retry) > 0) {
			var best *worker
			for _, wo := range co.workers {
				if wo.own > wo.inFlight && !wo.Leaving && fits(wo, co.services[jo.Service], jo.Submit) &&
					(best == nil || strings.Compare(wo.ID, best.ID) < 0) {
					best = wo
				}
			}
			if best == nil {
				break
			}
			co.start(jo, best)
		}
	}
	co.queue = slices.DeleteFunc(co.queue, func(jo *job) bool {
		return jo.done || jo.next == jo.Tasks && len(jo.retry) == 0 && len(jo.run) == 0
	})
}

func (co *Core) start(jo *job, wo *worker) {
	task := jo.next
	if n := len(jo.retry); n > 0 {
		task, jo.retry = jo.retry[n-1], jo.retry[:n-1]
	} else {
		jo.next++
	}
	jo.run[task] = wo.ID
	jo.started++
	wo.inFlight++
	co.running++
	co.queued--
	co.emit(StartTask{Job: jo.Job, Task: task, Worker: wo.ID})
}
