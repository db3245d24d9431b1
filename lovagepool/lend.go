package lovagepool

import (
	"slices"
	"strconv"
	"time"
)

const (
	// standingAge is how old the report of another owner may be for its free room to be relied on.
	standingAge = 400 * time.Millisecond
	// maxLoan bounds the tasks of one loan, so that one report is not used up at once by a job that may be declined.
	maxLoan = 16
)

// lender is another owner of workers with its last report.
type lender struct {
	id       string
	free     map[string]int // by service
	reported time.Time
}

// loan is a set of tasks that another owner runs.
type loan struct {
	lender string
	job    *Job
	tasks  []*task
}

// SetLender takes the report of another owner: how many tasks of each service it could start now.
func (po *Pool) SetLender(now time.Time, id string, free map[string]int) {
	po.lenders[id] = &lender{id: id, free: free, reported: now}
	po.dirty = po.dirty || len(po.queue) > 0
}

// DropLender forgets another owner.
func (po *Pool) DropLender(id string) { delete(po.lenders, id) }

// lendQueue gives waiting tasks to owners that have free room.
func (po *Pool) lendQueue(now time.Time, order []*Job) {
	if len(po.lenders) == 0 {
		return
	}
	for _, jo := range order {
		if jo.Lent != nil || jo.ended || jo.waiting == 0 {
			continue
		}
		for jo.waiting > 0 {
			le := po.bestLender(now, jo.Work.Service)
			if le == nil {
				return
			}
			if !po.lend(jo, le) {
				break
			}
		}
	}
}

func (po *Pool) bestLender(now time.Time, service string) *lender {
	var best *lender
	for _, le := range po.lenders {
		if now.Sub(le.reported) > standingAge || le.free[service] <= 0 {
			continue
		}
		if best == nil || le.free[service] > best.free[service] ||
			le.free[service] == best.free[service] && le.id < best.id {
			best = le
		}
	}
	return best
}

// lend asks the other owner to run waiting tasks of the job.
func (po *Pool) lend(jo *Job, le *lender) bool {
	lo := &loan{lender: le.id, job: jo}
	most := min(le.free[jo.Work.Service], maxLoan)
	var list []LentTask
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
		list = append(list, LentTask{ta.step, ta.index, ta.attempt + 1})
	}
	if len(list) == 0 {
		return false
	}
	le.free[jo.Work.Service] -= len(list)
	po.nextLoan++
	ref := jo.Ref + "/" + strconv.Itoa(po.nextLoan)
	po.lent[ref] = lo
	jo.begun += len(list)
	po.Counts["tasksLent"] += int64(len(list))
	po.emit(Lend{Lender: le.id, Ref: ref, Work: jo.Work, Tasks: list})
	return true
}

// LentEnded takes the answer of another owner. With known false nothing is known of its runs; they may go on until
// their leases have lapsed. NotSent says that the other owner never got the request.
func (po *Pool) LentEnded(now time.Time, ref string, ends []LentEnd, known, notSent bool) {
	lo := po.lent[ref]
	if lo == nil {
		return
	}
	delete(po.lent, ref)
	declined := false
	for _, ta := range lo.tasks {
		how := HowDeclined
		if at := slices.IndexFunc(ends, func(en LentEnd) bool { return en.Step == ta.step && en.Index == ta.index }); at >= 0 {
			how = ends[at].How
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
		if how == HowDeclined || notSent {
			declined = true
			if le := po.lenders[lo.lender]; le != nil {
				le.free[lo.job.Work.Service] = 0
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
			po.taskEnded(now, ta, HowLapsed)
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
		po.emit(Recall{po.lent[ref].lender, ref})
	}
}

// placeLent starts all tasks of another owner's job at once, or declines them.
func (po *Pool) placeLent(now time.Time, jo *Job) {
	if !po.startAll(now, jo, true) {
		po.decide(Decision{Kind: "loanDeclined", Job: jo.Work.ID, Reason: "no free room"})
		po.finish(jo, NotRun, "no free room", 0)
	}
}

// Borrowable returns how many tasks of a service other owners could start, by their last reports.
func (po *Pool) Borrowable(now time.Time, service string) int {
	n := 0
	for _, le := range po.lenders {
		if now.Sub(le.reported) <= standingAge {
			n += max(le.free[service], 0)
		}
	}
	return n
}
