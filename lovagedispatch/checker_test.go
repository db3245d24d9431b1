package lovagedispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovagejob"
)

// checker follows the events and commands of a core from outside and records what breaks a promise of the package.
type checker struct {
	se       Settings
	now      time.Time
	jobs     map[uint64]*seenJob
	workers  map[string]*seenWorker
	members  []string
	quotas   map[string]int
	running  map[string]int // by team
	loans    map[loanKey]*seenLoan
	lent     map[uint64]*seenLoan
	faults   []string
	failing  uint64 // job that must end in this step
	finished int
}

type seenJob struct {
	team    string
	state   []string // "", "running", "ended" or "notStarted"
	worker  []string
	loan    []uint64
	ended   bool
	started int // starts that did not end with notStarted
}

type seenWorker struct {
	Worker
	present, leaving bool
	own              int // in flight on own slots
}

type seenLoan struct {
	until time.Time
	given map[string]int
	slots map[string]int // not returned
	used  map[string]int
}

func newChecker(se Settings) *checker {
	return &checker{
		se: se, jobs: map[uint64]*seenJob{}, workers: map[string]*seenWorker{}, quotas: map[string]int{},
		running: map[string]int{}, loans: map[loanKey]*seenLoan{}, lent: map[uint64]*seenLoan{},
	}
}

func (ch *checker) fault(format string, args ...any) {
	ch.faults = append(ch.faults, fmt.Sprintf(format, args...))
}

func (ch *checker) event(now time.Time, ev Event) {
	ch.now = now
	switch ev := ev.(type) {
	case Submit:
		if ch.jobs[ev.Job] == nil {
			n := max(0, ev.Tasks)
			ch.jobs[ev.Job] = &seenJob{team: ev.Team, state: make([]string, n), worker: make([]string, n), loan: make([]uint64, n)}
		}
	case TaskEnded:
		ch.taskEnded(ev)
	case WorkersChanged:
		for _, wo := range ch.workers {
			wo.present = false
		}
		for _, sp := range ev.Workers {
			wo := ch.workers[sp.ID]
			if wo == nil {
				wo = &seenWorker{}
				ch.workers[sp.ID] = wo
			}
			wo.Worker, wo.present, wo.leaving = sp, true, wo.leaving || sp.Leaving
		}
		for _, wo := range ch.workers {
			wo.leaving = wo.leaving && wo.present
		}
	case WorkerLeaving:
		if ch.workers[ev.Worker] == nil {
			ch.workers[ev.Worker] = &seenWorker{}
		}
		ch.workers[ev.Worker].leaving = true
	case MembersChanged:
		ch.members = nil
		for _, me := range ev.Members {
			if me.DataCentre == ch.se.DataCentre {
				ch.members = append(ch.members, me.ID)
			}
		}
		slices.Sort(ch.members)
	case TeamsChanged:
		clear(ch.quotas)
		for _, tm := range ev.Teams {
			ch.quotas[tm.Name] = tm.MaxRunning
		}
	case SlotsLent:
		ke := loanKey{ev.From, ev.Loan}
		if ch.loans[ke] == nil {
			ch.loans[ke] = &seenLoan{until: ev.Until, given: slotMap(ev.Slots), slots: slotMap(ev.Slots), used: map[string]int{}}
		}
	case SlotsReturned:
		if lo := ch.lent[ev.Loan]; lo != nil {
			for _, sl := range ev.Slots {
				lo.slots[sl.Worker] = max(0, min(lo.slots[sl.Worker], lo.given[sl.Worker]-sl.Slots))
			}
		}
	}
}

func slotMap(slots []LentSlots) map[string]int {
	out := map[string]int{}
	for _, sl := range slots {
		out[sl.Worker] += sl.Slots
	}
	return out
}

func (ch *checker) taskEnded(ev TaskEnded) {
	jo := ch.jobs[ev.Job]
	if jo == nil || jo.state[ev.Task] != "running" || jo.worker[ev.Task] != ev.Worker {
		return
	}
	jo.state[ev.Task] = "ended"
	if !jo.ended && (ev.State == Failed || ev.State == Unknown) {
		ch.failing = ev.Job
	}
	if ev.State == NotStarted {
		jo.state[ev.Task] = "notStarted"
		jo.started--
	}
	ch.running[jo.team]--
	wo := ch.workers[ev.Worker]
	wo.leaving = wo.leaving || ev.Leaving
	if jo.loan[ev.Task] == 0 {
		wo.own--
	}
	for ke, lo := range ch.loans {
		if ke.id == jo.loan[ev.Task] && lo.used[ev.Worker] > 0 {
			lo.used[ev.Worker]--
		}
	}
}

// share lists the slots one by one, unlike the core.
func (ch *checker) share(wo *seenWorker) int {
	if ch.se.Policy != Lending && ch.se.Policy != Shares {
		return wo.Slots
	}
	n := 0
	for s := range wo.Slots {
		if len(ch.members) > 0 && wo.DataCentre == ch.se.DataCentre &&
			ch.members[(uint64(s)+xxhash.Sum64String(wo.ID))%uint64(len(ch.members))] == ch.se.Instance {
			n++
		}
	}
	return n
}

func (ch *checker) lentOf(worker string) int {
	n := 0
	for _, lo := range ch.lent {
		if ch.now.Before(lo.until.Add(ch.se.LoanGrace)) {
			n += lo.slots[worker]
		}
	}
	return n
}

func (ch *checker) commands(out []Command) {
	for _, cm := range out {
		switch cm := cm.(type) {
		case StartTask:
			ch.start(cm)
		case FinishJob:
			ch.finish(cm)
		case LendSlots:
			if cm.Loan == 0 || ch.lent[cm.Loan] != nil {
				continue
			}
			ch.lent[cm.Loan] = &seenLoan{until: cm.Until, given: slotMap(cm.Slots), slots: slotMap(cm.Slots)}
			for _, sl := range cm.Slots {
				if wo := ch.workers[sl.Worker]; wo.own+ch.lentOf(sl.Worker) > ch.share(wo) {
					ch.fault("lent %d slots of %s beyond the share", sl.Slots, sl.Worker)
				}
			}
		case ReturnSlots:
			if lo := ch.loans[loanKey{cm.To, cm.Loan}]; lo != nil {
				for _, sl := range cm.Slots {
					lo.slots[sl.Worker] = min(lo.slots[sl.Worker], lo.given[sl.Worker]-sl.Slots)
				}
			}
		}
	}
	if jo := ch.jobs[ch.failing]; jo != nil && !jo.ended {
		ch.fault("job %d goes on after a task failed", ch.failing)
	}
	ch.failing = 0
}

func (ch *checker) start(cm StartTask) {
	jo, wo := ch.jobs[cm.Job], ch.workers[cm.Worker]
	if jo == nil || wo == nil {
		ch.fault("start of unknown job %d or worker %s", cm.Job, cm.Worker)
		return
	}
	if st := jo.state[cm.Task]; st == "running" || st == "ended" {
		ch.fault("task %d of job %d started twice", cm.Task, cm.Job)
	}
	if jo.ended {
		ch.fault("task %d of job %d started after the job's end", cm.Task, cm.Job)
	}
	if !wo.present || wo.leaving {
		ch.fault("start on worker %s, which is leaving or gone", cm.Worker)
	}
	jo.state[cm.Task], jo.worker[cm.Task], jo.loan[cm.Task] = "running", cm.Worker, cm.Loan
	jo.started++
	ch.running[jo.team]++
	if limit := ch.quotas[jo.team]; limit > 0 && ch.running[jo.team] > limit {
		ch.fault("team %s runs %d tasks, its quota is %d", jo.team, ch.running[jo.team], limit)
	}
	if cm.Loan == 0 {
		wo.own++
		if share := ch.share(wo); wo.own+ch.lentOf(cm.Worker) > share {
			ch.fault("worker %s: %d own tasks and %d lent slots, share %d", cm.Worker, wo.own, ch.lentOf(cm.Worker), share)
		}
		return
	}
	for ke, lo := range ch.loans {
		if ke.id == cm.Loan && lo.slots[cm.Worker] > lo.used[cm.Worker] && ch.now.Before(lo.until) {
			lo.used[cm.Worker]++
			return
		}
	}
	ch.fault("start on worker %s without a free slot of loan %d", cm.Worker, cm.Loan)
}

func (ch *checker) finish(cm FinishJob) {
	jo := ch.jobs[cm.Job]
	if jo == nil || jo.ended {
		ch.fault("job %d ended twice or is unknown", cm.Job)
		return
	}
	jo.ended = true
	ch.finished++
	if cm.Outcome == lovagejob.NotRun && jo.started > 0 {
		ch.fault("job %d: notRun after %d starts", cm.Job, jo.started)
	}
	if cm.Started != jo.started {
		ch.fault("job %d: %d starts reported, %d seen", cm.Job, cm.Started, jo.started)
	}
	for task, st := range jo.state {
		if cm.Outcome == lovagejob.Complete && st != "ended" {
			ch.fault("job %d complete with task %d %q", cm.Job, task, st)
		}
	}
}

// checkCore checks what cannot be seen from outside: the sums kept by the core, and the ejected workers.
func (ch *checker) checkCore(co *Core, out []Command) {
	queued, running := 0, 0
	for _, jo := range co.jobs {
		if jo.queue != nil {
			queued += jo.queuedTasks()
		}
		running += len(jo.run)
		if !jo.ended && jo.queue == nil && len(jo.run) == 0 {
			ch.fault("job %d neither queued nor running", jo.id)
		}
	}
	if queued != co.queued || running != co.running {
		ch.fault("sums: queued %d, kept %d; running %d, kept %d", queued, co.queued, running, co.running)
	}
	ready := 0
	for _, cl := range co.active {
		for _, en := range cl.teams.entries {
			ready += en.item.queued
		}
		ready -= cl.ready
	}
	for _, sv := range co.serviceList {
		idle := sv.peerIdle
		co.sumPeerIdle()
		if idle != sv.peerIdle {
			ch.fault("sums: %d free slots at peers, kept %d", sv.peerIdle, idle)
		}
	}
	slots, free := map[string]int{}, map[string]int{}
	for _, wo := range co.list {
		slots[wo.spec.Domain] += wo.capacity
		free[wo.spec.Domain] += wo.ownFree
	}
	for name := range slots {
		if s, f := co.DomainSlots(name); s != slots[name] || f != free[name] {
			ch.fault("domain %q: %d slots, %d free; kept %d and %d", name, slots[name], free[name], s, f)
		}
	}
	for _, gr := range co.groups {
		rates := gr.rates
		for _, wo := range gr.workers {
			rates[bucketOf(wo.factor)] -= wo.rate
		}
		if rates != [speedBuckets]int64{} {
			ch.fault("sums: rates differ by %v", rates)
		}
	}
	if ready != 0 {
		ch.fault("sums: ready tasks differ by %d", ready)
	}
	live, bad := map[string]int{}, map[string]int{}
	for _, wo := range co.list {
		if !wo.leaving {
			live[wo.spec.Pool]++
			if wo.health.state != healthy {
				bad[wo.spec.Pool]++
			}
		}
	}
	for pool, n := range bad {
		if 5*n > live[pool] {
			ch.fault("pool %s: %d of %d workers ejected", pool, n, live[pool])
		}
	}
	for _, cm := range out {
		if st, ok := cm.(StartTask); ok && co.workers[st.Worker].health.state == ejected {
			ch.fault("start on ejected worker %s", st.Worker)
		}
	}
}
