package lovagedispatch

import (
	"fmt"
	"time"

	"lovagestack/lovagejob"
)

// checker observes the events and commands of a core and records violations of the package's guarantees.
type checker struct {
	settings      Settings
	now           time.Time
	jobs          map[uint64]*trackedJob
	workers       map[string]*trackedWorker
	quotas        map[string]int
	runningByTeam map[string]int // number of running tasks by team
	violations    []string
	mustEnd       uint64 // job that must end in this step, because a task of it failed; 0 if none
	finishedJobs  int
}

type trackedJob struct {
	team        string
	taskStates  []string // "", "running", "ended" or "notStarted"
	taskWorkers []string
	ended       bool
	started     int // number of starts that have not ended with notStarted
}

type trackedWorker struct {
	Worker
	present, leaving bool
	inFlight         int // tasks in flight
}

func newChecker(se Settings) *checker {
	return &checker{
		settings: se, jobs: map[uint64]*trackedJob{}, workers: map[string]*trackedWorker{}, quotas: map[string]int{},
		runningByTeam: map[string]int{},
	}
}

func (ch *checker) report(format string, args ...any) {
	ch.violations = append(ch.violations, fmt.Sprintf(format, args...))
}

func (ch *checker) observeEvent(now time.Time, ev Event) {
	ch.now = now
	switch ev := ev.(type) {
	case Submit:
		if ch.jobs[ev.Job] == nil {
			n := max(0, ev.Tasks)
			ch.jobs[ev.Job] = &trackedJob{team: ev.Team, taskStates: make([]string, n), taskWorkers: make([]string, n)}
		}
	case TaskEnded:
		ch.observeTaskEnded(ev)
	case WorkersChanged:
		for _, wo := range ch.workers {
			wo.present = false
		}
		for _, sp := range ev.Workers {
			wo := ch.workers[sp.ID]
			if wo == nil {
				wo = &trackedWorker{}
				ch.workers[sp.ID] = wo
			}
			wo.Worker, wo.present, wo.leaving = sp, true, wo.leaving || sp.Leaving
		}
		for _, wo := range ch.workers {
			wo.leaving = wo.leaving && wo.present
		}
	case WorkerLeaving:
		if ch.workers[ev.Worker] == nil {
			ch.workers[ev.Worker] = &trackedWorker{}
		}
		ch.workers[ev.Worker].leaving = true
	case TeamsChanged:
		clear(ch.quotas)
		for _, tm := range ev.Teams {
			ch.quotas[tm.Name] = tm.MaxRunning
		}
	}
}

func (ch *checker) observeTaskEnded(ev TaskEnded) {
	jo := ch.jobs[ev.Job]
	if jo == nil || jo.taskStates[ev.Task] != "running" || jo.taskWorkers[ev.Task] != ev.Worker {
		return
	}
	jo.taskStates[ev.Task] = "ended"
	if !jo.ended && (ev.State == Failed || ev.State == Unknown) {
		ch.mustEnd = ev.Job
	}
	if ev.State == NotStarted {
		jo.taskStates[ev.Task] = "notStarted"
		jo.started--
	}
	ch.runningByTeam[jo.team]--
	wo := ch.workers[ev.Worker]
	wo.leaving = wo.leaving || ev.Leaving
	wo.inFlight--
}

func (ch *checker) observeCommands(out []Command) {
	for _, cm := range out {
		switch cm := cm.(type) {
		case StartTask:
			ch.observeStart(cm)
		case FinishJob:
			ch.observeFinish(cm)
		}
	}
	if jo := ch.jobs[ch.mustEnd]; jo != nil && !jo.ended {
		ch.report("job %d goes on after a task failed", ch.mustEnd)
	}
	ch.mustEnd = 0
}

func (ch *checker) observeStart(cm StartTask) {
	jo, wo := ch.jobs[cm.Job], ch.workers[cm.Worker]
	if jo == nil || wo == nil {
		ch.report("start of unknown job %d or worker %s", cm.Job, cm.Worker)
		return
	}
	if st := jo.taskStates[cm.Task]; st == "running" || st == "ended" {
		ch.report("task %d of job %d started twice", cm.Task, cm.Job)
	}
	if jo.ended {
		ch.report("task %d of job %d started after the job's end", cm.Task, cm.Job)
	}
	if !wo.present || wo.leaving {
		ch.report("start on worker %s, which is leaving or gone", cm.Worker)
	}
	jo.taskStates[cm.Task], jo.taskWorkers[cm.Task] = "running", cm.Worker
	jo.started++
	ch.runningByTeam[jo.team]++
	if limit := ch.quotas[jo.team]; limit > 0 && ch.runningByTeam[jo.team] > limit {
		ch.report("team %s runs %d tasks, its quota is %d", jo.team, ch.runningByTeam[jo.team], limit)
	}
	if wo.inFlight++; wo.inFlight > wo.Slots {
		ch.report("worker %s: %d tasks on %d slots", cm.Worker, wo.inFlight, wo.Slots)
	}
}

func (ch *checker) observeFinish(cm FinishJob) {
	jo := ch.jobs[cm.Job]
	if jo == nil || jo.ended {
		ch.report("job %d ended twice or is unknown", cm.Job)
		return
	}
	jo.ended = true
	ch.finishedJobs++
	if cm.Outcome == lovagejob.NotRun && jo.started > 0 {
		ch.report("job %d: notRun after %d starts", cm.Job, jo.started)
	}
	if cm.Started != jo.started {
		ch.report("job %d: %d starts reported, %d seen", cm.Job, cm.Started, jo.started)
	}
	for task, st := range jo.taskStates {
		if cm.Outcome == lovagejob.Complete && st != "ended" {
			ch.report("job %d complete with task %d %q", cm.Job, task, st)
		}
	}
}

// checkCore checks that the core's sums match its jobs and workers, that each job that has not ended is queued or
// running, that at most a fifth of a pool is ejected, and that no task starts on an ejected worker.
func (ch *checker) checkCore(co *Core, out []Command) {
	queued, running := 0, 0
	for _, jo := range co.jobs {
		if jo.queue != nil {
			queued += jo.queuedTasks()
		}
		running += len(jo.inFlight)
		if !jo.ended && jo.queue == nil && len(jo.inFlight) == 0 {
			ch.report("job %d neither queued nor running", jo.id)
		}
	}
	if queued != co.queuedTasks || running != co.runningTasks {
		ch.report("sums: queued %d, kept %d; running %d, kept %d", queued, co.queuedTasks, running, co.runningTasks)
	}
	ready := 0
	for _, cl := range co.activeClasses {
		for _, en := range cl.teamQueues.entries {
			ready += en.item.queuedTasks
		}
		ready -= cl.readyTasks
	}
	slots, free := map[string]int{}, map[string]int{}
	for _, wo := range co.workerList {
		slots[wo.spec.Domain] += wo.capacity
		free[wo.spec.Domain] += wo.freeSlots
	}
	for name := range slots {
		if s, f := co.DomainSlots(name); s != slots[name] || f != free[name] {
			ch.report("domain %q: %d slots, %d free; kept %d and %d", name, slots[name], free[name], s, f)
		}
	}
	for _, gr := range co.groups {
		rates := gr.completionRates
		for _, wo := range gr.workers {
			rates[slowdownBucketOf(wo.slowdown)] -= wo.completionRate
		}
		if rates != [slowdownBucketCount]int64{} {
			ch.report("sums: rates differ by %v", rates)
		}
	}
	if ready != 0 {
		ch.report("sums: ready tasks differ by %d", ready)
	}
	live, unhealthy := map[string]int{}, map[string]int{}
	for _, wo := range co.workerList {
		if !wo.leaving {
			live[wo.spec.Pool]++
			if wo.health.state != healthy {
				unhealthy[wo.spec.Pool]++
			}
		}
	}
	for pool, n := range unhealthy {
		if 5*n > live[pool] {
			ch.report("pool %s: %d of %d workers ejected", pool, n, live[pool])
		}
	}
	for _, cm := range out {
		if st, ok := cm.(StartTask); ok && co.workers[st.Worker].health.state == ejected {
			ch.report("start on ejected worker %s", st.Worker)
		}
	}
}
