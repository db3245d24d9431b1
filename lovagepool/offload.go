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
	maxForwardWaitShare = 0.8
	// maxLoan bounds the tasks of one loan, so that one report is not used up at once by a job that may be declined.
	maxOffloadTasks = 4
)

// lender is another owner of workers with its last report.
type peer struct {
	id       string
	services map[string]LoadReport
	reported time.Time
}

// loan is a set of tasks that another owner runs.
type offload struct {
	peerID string
	job    *Job
	tasks  []*task
}

// current reports whether the report can still be relied on.
func (pe *peer) fresh(now time.Time) bool { return now.Sub(pe.reported) <= MaxReportAge }

// fit returns how many tasks could start on workers that are not slower than given.
func (pe *peer) freeTasks(service string, maxSlowdown float64) int {
	n := 0
	for _, fc := range pe.services[service].Free {
		if fc.Slowdown <= maxSlowdown {
			n += fc.Tasks
		}
	}
	return n
}

// take uses up places, the fastest first, as the lender does.
func (pe *peer) reserve(service string, n int) {
	list := pe.services[service].Free
	for i := range list {
		used := min(n, list[i].Tasks)
		list[i].Tasks -= used
		n -= used
	}
}

func (pe *peer) setFree(service string, free []FreeCapacity) {
	lr := pe.services[service]
	lr.Free = free
	pe.services[service] = lr
}

// ownerInTime returns another owner whose workers are expected to start a job within the time left, and books the job's work
// there until the next report. It returns an empty string if there is none, or if the job was passed on before.
func (po *Pool) peerInTime(now time.Time, jo *Job, slack time.Duration) string {
	if jo.Forwarded {
		return ""
	}
	service := jo.Work.Service
	var best *peer
	var shortest time.Duration
	for _, pe := range po.peers {
		lr := pe.services[service]
		if lr.Rate <= 0 || !pe.fresh(now) {
			continue
		}
		wait := lr.Backlog + time.Duration(jo.remainingWork()/lr.Rate*float64(time.Second))
		if best == nil || wait < shortest || wait == shortest && pe.id < best.id {
			best, shortest = pe, wait
		}
	}
	if best == nil || float64(shortest) > maxForwardWaitShare*float64(slack) {
		return ""
	}
	lr := best.services[service]
	lr.Backlog = shortest
	best.services[service] = lr
	return best.id
}

// SetPeer takes the report of another owner, by service. The pool keeps and changes it.
func (po *Pool) SetPeer(now time.Time, id string, services map[string]LoadReport) {
	po.peers[id] = &peer{id: id, services: services, reported: now}
	po.needsSchedule = po.needsSchedule || len(po.queue) > 0
}

// RemovePeer forgets another owner.
func (po *Pool) RemovePeer(id string) { delete(po.peers, id) }

// lendQueue gives waiting tasks to owners that have free room.
func (po *Pool) offloadQueue(now time.Time, order []*Job) {
	if len(po.peers) == 0 {
		return
	}
	for _, jo := range order {
		if jo.Offloaded != nil || jo.ended || jo.waiting == 0 {
			continue
		}
		po.offloadWaiting(now, jo, po.maxSlowdownInTime(now, jo), false)
	}
}

// slowestInTime returns the largest factor of a worker on which a job is started: the largest on which it is expected to be in
// time, and any if it would be late on the fastest worker too.
func (po *Pool) maxSlowdownInTime(now time.Time, jo *Job) float64 {
	slack := jo.goal.Sub(now)
	if slack <= time.Duration(float64(jo.runTime)*po.candidatesOf(now, jo.Work.Service).minSlowdown) {
		return math.Inf(1)
	}
	return float64(slack) / (stragglerFactor * float64(jo.runTime))
}

func (po *Pool) bestPeer(now time.Time, service string, maxSlowdown float64) *peer {
	var best *peer
	most := 0
	for _, pe := range po.peers {
		if !pe.fresh(now) {
			continue
		}
		if n := pe.freeTasks(service, maxSlowdown); n > most || n > 0 && n == most && pe.id < best.id {
			best, most = pe, n
		}
	}
	return best
}

// lendWaiting gives waiting tasks of a job to owners that have free places on workers that are not slower than given. With
// anySpeed set they may start them on slower ones too.
func (po *Pool) offloadWaiting(now time.Time, jo *Job, maxSlowdown float64, anySpeed bool) {
	for jo.waiting > 0 {
		pe := po.bestPeer(now, jo.Work.Service, maxSlowdown)
		if pe == nil || !po.offload(jo, pe, maxSlowdown, anySpeed) {
			return
		}
	}
}

// lend asks the other owner to run waiting tasks of the job, on a worker of any speed if anySpeed is set.
func (po *Pool) offload(jo *Job, pe *peer, maxSlowdown float64, anySpeed bool) bool {
	of := &offload{peerID: pe.id, job: jo}
	most := min(pe.freeTasks(jo.Work.Service, maxSlowdown), maxOffloadTasks)
	var list []OffloadedTask
	for _, ta := range jo.tasks {
		if len(list) == most {
			break
		}
		if ta.state != taskReady || jo.Work.Steps[ta.step].AntiAffinity > 0 {
			continue
		}
		ta.state = taskOffloaded
		jo.waiting--
		jo.running++
		of.tasks = append(of.tasks, ta)
		list = append(list, OffloadedTask{ta.step, ta.index, ta.attempt + 1})
	}
	if len(list) == 0 {
		return false
	}
	pe.reserve(jo.Work.Service, len(list))
	po.lastOffload++
	ref := jo.Ref + "/" + strconv.Itoa(po.lastOffload)
	po.offloads[ref] = of
	jo.possibleStarts += len(list)
	po.Counts["tasksLent"] += int64(len(list))
	po.emit(Offload{Peer: pe.id, Ref: ref, Work: jo.Work, Tasks: list, AnySpeed: anySpeed})
	return true
}

// HandleOffloadReply takes the answer of another owner. With known false nothing is known of its runs; they may go on until
// their leases have lapsed. NotSent says that the other owner never got the request.
func (po *Pool) HandleOffloadReply(now time.Time, ref string, ends []OffloadResult, known, notSent bool) {
	of := po.offloads[ref]
	if of == nil {
		return
	}
	delete(po.offloads, ref)
	declined := false
	for _, ta := range of.tasks {
		outcome := RunDeclined
		if at := slices.IndexFunc(ends, func(en OffloadResult) bool { return en.Step == ta.step && en.Index == ta.index }); at >= 0 {
			outcome = ends[at].Outcome
			ta.attempt = max(ta.attempt, ends[at].Attempt)
		}
		if !known && !notSent {
			po.recordDecision(Decision{
				Kind: "lentUnknown", Job: of.job.Work.ID, Task: of.job.Work.TaskName(ta.step, ta.index), Worker: of.peerID,
				Reason: "the other owner cannot be asked; held until its leases have lapsed",
			})
			ta.attempt++
			ta.state, ta.heldUntil = taskHeld, now.Add(po.se.maxRunLifetime())
			continue
		}
		if outcome == RunDeclined || notSent {
			declined = true
			if pe := po.peers[of.peerID]; pe != nil {
				pe.setFree(of.job.Work.Service, nil)
			}
		}
		po.taskEnded(now, ta, outcome)
	}
	if declined {
		po.recordDecision(Decision{Kind: "lentDeclined", Job: of.job.Work.ID, Worker: of.peerID})
	}
}

// releaseHeld makes tasks ready that were lent and of which no run can be left.
func (po *Pool) expireHeld(now time.Time, jo *Job) {
	for _, ta := range jo.tasks {
		if ta.state == taskHeld && !now.Before(ta.heldUntil) {
			po.taskEnded(now, ta, RunLapsed)
		}
	}
}

// recall cancels the loans of a job.
func (po *Pool) cancelOffloads(jo *Job) {
	var refs []string
	for ref, of := range po.offloads {
		if of.job == jo {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	for _, ref := range refs {
		po.emit(CancelOffload{po.offloads[ref].peerID, ref})
	}
}

// placeLent starts all tasks of another owner's job at once, or declines them.
func (po *Pool) placeOffloaded(now time.Time, jo *Job) {
	if !po.startAll(now, jo, !jo.AnySpeed) {
		po.recordDecision(Decision{Kind: "loanDeclined", Job: jo.Work.ID, Reason: "no free room"})
		po.finish(jo, NotRun, "no free room", 0)
	}
}

// OffloadCapacity returns how many tasks of a service other owners could start, by their last reports.
func (po *Pool) OffloadCapacity(now time.Time, service string) int {
	n := 0
	for _, pe := range po.peers {
		if pe.fresh(now) {
			n += pe.freeTasks(service, math.Inf(1))
		}
	}
	return n
}
