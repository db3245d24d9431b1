package lovagepool

import (
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// MaxReportAge is how old the report of another owner may be for its free room to be relied on.
	MaxReportAge = 400 * time.Millisecond
	// passOnShare is the share of the time that is left for a job that another owner may need before it starts it: its report
	// is some time old, and the job has to get there.
	passOnShare = 0.8
	// maxLoan bounds the tasks of one loan, so that one report is not used up at once by a job that may be declined.
	maxLoan = 4
)

// lender is another owner of workers with its last report.
type lender struct {
	id       string
	services map[string]LoadReport
	reported time.Time
}

// loan is a set of tasks that another owner runs.
type loan struct {
	lender string
	job    *Job
	tasks  []*task
}

// current reports whether the report can still be relied on.
func (le *lender) current(now time.Time) bool { return now.Sub(le.reported) <= MaxReportAge }

// fit returns how many tasks could start on workers that are not slower than given.
func (le *lender) fit(service string, slowest float64) int {
	n := 0
	for _, pl := range le.services[service].Free {
		if pl.Slowdown <= slowest {
			n += pl.Tasks
		}
	}
	return n
}

// take uses up places, the fastest first, as the lender does.
func (le *lender) take(service string, n int) {
	list := le.services[service].Free
	for i := range list {
		used := min(n, list[i].Tasks)
		list[i].Tasks -= used
		n -= used
	}
}

func (le *lender) setFree(service string, free []FreeCapacity) {
	sd := le.services[service]
	sd.Free = free
	le.services[service] = sd
}

// ownerInTime returns another owner whose workers are expected to start a job within the time left, and books the job's work
// there until the next report. It returns an empty string if there is none, or if the job was passed on before.
func (po *Pool) ownerInTime(now time.Time, jo *Job, left time.Duration) string {
	if jo.Forwarded {
		return ""
	}
	service := jo.Work.Service
	var best *lender
	var shortest time.Duration
	for _, le := range po.lenders {
		sd := le.services[service]
		if sd.Rate <= 0 || !le.current(now) {
			continue
		}
		wait := sd.Backlog + time.Duration(jo.remaining()/sd.Rate*float64(time.Second))
		if best == nil || wait < shortest || wait == shortest && le.id < best.id {
			best, shortest = le, wait
		}
	}
	if best == nil || float64(shortest) > passOnShare*float64(left) {
		return ""
	}
	sd := best.services[service]
	sd.Backlog = shortest
	best.services[service] = sd
	return best.id
}

// SetPeer takes the report of another owner, by service. The pool keeps and changes it.
func (po *Pool) SetPeer(now time.Time, id string, services map[string]LoadReport) {
	po.lenders[id] = &lender{id: id, services: services, reported: now}
	po.dirty = po.dirty || len(po.queue) > 0
}

// RemovePeer forgets another owner.
func (po *Pool) RemovePeer(id string) { delete(po.lenders, id) }

// lendQueue gives waiting tasks to owners that have free room.
func (po *Pool) lendQueue(now time.Time, order []*Job) {
	if len(po.lenders) == 0 {
		return
	}
	for _, jo := range order {
		if jo.Offloaded != nil || jo.ended || jo.waiting == 0 {
			continue
		}
		po.lendWaiting(now, jo, po.slowestInTime(now, jo), false)
	}
}

// slowestInTime returns the largest factor of a worker on which a job is started: the largest on which it is expected to be in
// time, and any if it would be late on the fastest worker too.
func (po *Pool) slowestInTime(now time.Time, jo *Job) float64 {
	left := jo.goal.Sub(now)
	if left <= time.Duration(float64(jo.runTime)*po.rosterOf(now, jo.Work.Service).fastest) {
		return math.Inf(1)
	}
	return float64(left) / (lateMargin * float64(jo.runTime))
}

func (po *Pool) bestLender(now time.Time, service string, slowest float64) *lender {
	var best *lender
	most := 0
	for _, le := range po.lenders {
		if !le.current(now) {
			continue
		}
		if n := le.fit(service, slowest); n > most || n > 0 && n == most && le.id < best.id {
			best, most = le, n
		}
	}
	return best
}

// lendWaiting gives waiting tasks of a job to owners that have free places on workers that are not slower than given. With
// anySpeed set they may start them on slower ones too.
func (po *Pool) lendWaiting(now time.Time, jo *Job, slowest float64, anySpeed bool) {
	for jo.waiting > 0 {
		le := po.bestLender(now, jo.Work.Service, slowest)
		if le == nil || !po.lend(jo, le, slowest, anySpeed) {
			return
		}
	}
}

// lend asks the other owner to run waiting tasks of the job, on a worker of any speed if anySpeed is set.
func (po *Pool) lend(jo *Job, le *lender, slowest float64, anySpeed bool) bool {
	lo := &loan{lender: le.id, job: jo}
	most := min(le.fit(jo.Work.Service, slowest), maxLoan)
	var list []OffloadedTask
	for _, ta := range jo.tasks {
		if len(list) == most {
			break
		}
		if ta.state != taskReady || jo.Work.Steps[ta.step].AntiAffinity > 0 {
			continue
		}
		ta.state = taskLent
		jo.waiting--
		jo.running++
		lo.tasks = append(lo.tasks, ta)
		list = append(list, OffloadedTask{ta.step, ta.index, ta.attempt + 1})
	}
	if len(list) == 0 {
		return false
	}
	le.take(jo.Work.Service, len(list))
	po.nextLoan++
	ref := jo.Ref + "/" + strconv.Itoa(po.nextLoan)
	po.lent[ref] = lo
	jo.begun += len(list)
	po.Counts["tasksLent"] += int64(len(list))
	po.emit(Offload{Peer: le.id, Ref: ref, Work: jo.Work, Tasks: list, AnySpeed: anySpeed})
	return true
}

// HandleOffloadReply takes the answer of another owner. With known false nothing is known of its runs; they may go on until
// their leases have lapsed. NotSent says that the other owner never got the request.
func (po *Pool) HandleOffloadReply(now time.Time, ref string, ends []OffloadResult, known, notSent bool) {
	lo := po.lent[ref]
	if lo == nil {
		return
	}
	delete(po.lent, ref)
	declined := false
	for _, ta := range lo.tasks {
		how := RunDeclined
		if at := slices.IndexFunc(ends, func(en OffloadResult) bool { return en.Step == ta.step && en.Index == ta.index }); at >= 0 {
			how = ends[at].Outcome
			ta.attempt = max(ta.attempt, ends[at].Attempt)
		}
		if !known && !notSent {
			po.decide(Decision{
				Kind: "lentUnknown", Job: lo.job.Work.ID, Task: lo.job.Work.TaskName(ta.step, ta.index), Worker: lo.lender,
				Reason: "the other owner cannot be asked; held until its leases have lapsed",
			})
			ta.attempt++
			ta.state, ta.heldUntil = taskHeld, now.Add(po.se.lapse())
			continue
		}
		if how == RunDeclined || notSent {
			declined = true
			if le := po.lenders[lo.lender]; le != nil {
				le.setFree(lo.job.Work.Service, nil)
			}
		}
		po.taskEnded(now, ta, how)
	}
	if declined {
		po.decide(Decision{Kind: "lentDeclined", Job: lo.job.Work.ID, Worker: lo.lender})
	}
}

// releaseHeld makes tasks ready that were lent and of which no run can be left.
func (po *Pool) releaseHeld(now time.Time, jo *Job) {
	for _, ta := range jo.tasks {
		if ta.state == taskHeld && !now.Before(ta.heldUntil) {
			po.taskEnded(now, ta, RunLapsed)
		}
	}
}

// recall cancels the loans of a job.
func (po *Pool) recall(jo *Job) {
	var refs []string
	for ref, lo := range po.lent {
		if lo.job == jo {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	for _, ref := range refs {
		po.emit(CancelOffload{po.lent[ref].lender, ref})
	}
}

// placeLent starts all tasks of another owner's job at once, or declines them.
func (po *Pool) placeLent(now time.Time, jo *Job) {
	if !po.startAll(now, jo, !jo.AnySpeed) {
		po.decide(Decision{Kind: "loanDeclined", Job: jo.Work.ID, Reason: "no free room"})
		po.finish(jo, NotRun, "no free room", 0)
	}
}

// OffloadCapacity returns how many tasks of a service other owners could start, by their last reports.
func (po *Pool) OffloadCapacity(now time.Time, service string) int {
	n := 0
	for _, le := range po.lenders {
		if le.current(now) {
			n += le.fit(service, math.Inf(1))
		}
	}
	return n
}
