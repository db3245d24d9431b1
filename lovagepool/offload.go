package lovagepool

import (
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// MaxReportAge is the age above which a peer's load report is no longer used.
	MaxReportAge = 400 * time.Millisecond
	// maxForwardWaitShare is the share of a job's slack that the expected wait at a peer may take. The rest covers the age of
	// the peer's report and the job's transfer.
	maxForwardWaitShare = 0.8
	// maxOffloadTasks is the maximum number of tasks in one offload, so that a request that the peer declines does not reserve
	// all the peer's reported free capacity.
	maxOffloadTasks = 4
)

// peer is another instance that owns workers, with its last load report.
type peer struct {
	id         string
	services   map[string]LoadReport
	reportedAt time.Time
}

// offload is a set of tasks of one job that a peer was asked to run.
type offload struct {
	peerID string
	job    *Job
	tasks  []*task
}

// hasFreshReport reports whether the load report is recent enough to be used.
func (pe *peer) hasFreshReport(now time.Time) bool { return now.Sub(pe.reportedAt) <= MaxReportAge }

// freeTasks returns how many tasks could start on workers with at most the given slowdown.
func (pe *peer) freeTasks(service string, maxSlowdown float64) int {
	n := 0
	for _, fc := range pe.services[service].Free {
		if fc.Slowdown <= maxSlowdown {
			n += fc.Tasks
		}
	}
	return n
}

// reserve subtracts n tasks from the peer's reported free capacity, fastest workers first, because the peer uses these
// first.
func (pe *peer) reserve(service string, n int) {
	list := pe.services[service].Free
	for i := range list {
		used := min(n, list[i].Tasks)
		list[i].Tasks -= used
		n -= used
	}
}

func (pe *peer) setFreeCapacity(service string, free []FreeCapacity) {
	lr := pe.services[service]
	lr.Free = free
	pe.services[service] = lr
}

// chooseForwardTarget returns the ID of the peer with the shortest expected wait for the job, and adds the job's work to that
// peer's backlog until its next report. It returns "" if that wait exceeds maxForwardWaitShare of the slack, or if the job was
// forwarded before.
func (po *Pool) chooseForwardTarget(now time.Time, jo *Job, slack time.Duration) string {
	if jo.Forwarded {
		return ""
	}
	service := jo.Work.Service
	var best *peer
	var shortest time.Duration
	for _, pe := range po.peers {
		lr := pe.services[service]
		if lr.Rate <= 0 || !po.mayUsePeer(now, pe) {
			continue
		}
		wait := lr.Backlog + time.Duration(jo.unstartedWork()/lr.Rate*float64(time.Second))
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

// SetPeer records the load report of a peer, by service. The pool keeps and modifies the map.
func (po *Pool) SetPeer(now time.Time, id string, services map[string]LoadReport) {
	po.peers[id] = &peer{id: id, services: services, reportedAt: now}
	po.needsSchedule = po.needsSchedule || len(po.readyJobs) > 0
}

// RemovePeer forgets a peer.
func (po *Pool) RemovePeer(id string) { delete(po.peers, id) }

// offloadQueuedJobs offloads waiting tasks to peers.
func (po *Pool) offloadQueuedJobs(now time.Time, order []*Job) {
	if len(po.peers) == 0 {
		return
	}
	for _, jo := range order {
		if jo.Offloaded != nil || jo.ended || jo.readyTasks == 0 {
			continue
		}
		if po.candidatesOf(now, jo.Work.Service).allClosed() {
			po.offloadFromClosed(now, jo)
			continue
		}
		po.offloadWaitingTasks(now, jo, po.maxSlowdownInTime(now, jo), false)
	}
}

// maxSlowdownInTime returns the largest slowdown with which the job is expected to meet its goal, or infinity if it would be
// late even on the fastest worker.
func (po *Pool) maxSlowdownInTime(now time.Time, jo *Job) float64 {
	timeLeft := jo.goal.Sub(now)
	if timeLeft <= time.Duration(float64(jo.runTime)*po.candidatesOf(now, jo.Work.Service).minSlowdown) {
		return math.Inf(1)
	}
	return float64(timeLeft) / (stragglerFactor * float64(jo.runTime))
}

func (po *Pool) peerWithMostFree(now time.Time, service string, maxSlowdown float64) *peer {
	var best *peer
	most := 0
	for _, pe := range po.peers {
		if !po.mayUsePeer(now, pe) {
			continue
		}
		if n := pe.freeTasks(service, maxSlowdown); n > most || n > 0 && n == most && pe.id < best.id {
			best, most = pe, n
		}
	}
	return best
}

// offloadWaitingTasks offloads waiting tasks of a job to peers with free workers of at most the given slowdown. With
// anySpeed, the peers may use slower workers too.
func (po *Pool) offloadWaitingTasks(now time.Time, jo *Job, maxSlowdown float64, anySpeed bool) {
	for jo.readyTasks > 0 {
		pe := po.peerWithMostFree(now, jo.Work.Service, maxSlowdown)
		if pe == nil || !po.offload(now, jo, pe, maxSlowdown, anySpeed) {
			return
		}
	}
}

// offload asks the peer to run waiting tasks of the job, on workers of any speed if anySpeed is set. It returns false if no
// task may be offloaded.
func (po *Pool) offload(now time.Time, jo *Job, pe *peer, maxSlowdown float64, anySpeed bool) bool {
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
		jo.readyTasks--
		jo.activeTasks++
		jo.stats.removeWork(now, jo.taskWork(ta))
		of.tasks = append(of.tasks, ta)
		list = append(list, OffloadedTask{ta.step, ta.index, ta.attempt + 1})
	}
	if len(list) == 0 {
		return false
	}
	pe.reserve(jo.Work.Service, len(list))
	po.lastOffloadNumber++
	ref := jo.Ref + "/" + strconv.Itoa(po.lastOffloadNumber)
	po.offloads[ref] = of
	jo.possibleStarts += len(list)
	po.Counts["tasksOffloaded"] += int64(len(list))
	po.emit(Offload{Peer: pe.id, Ref: ref, Work: jo.Work, Tasks: list, AnySpeed: anySpeed, WantedAt: jo.WantedAt})
	return true
}

// HandleOffloadReply handles a peer's answer to an Offload. If known is false, the tasks' outcomes are unknown: runs
// may have started and go on until their leases have expired. If notSent is true, the request never reached the peer.
func (po *Pool) HandleOffloadReply(now time.Time, ref string, results []OffloadResult, known, notSent bool) {
	of := po.offloads[ref]
	if of == nil {
		return
	}
	delete(po.offloads, ref)
	declined := false
	for _, ta := range of.tasks {
		outcome := RunDeclined
		if at := slices.IndexFunc(results, func(en OffloadResult) bool {
			return en.Step == ta.step && en.Index == ta.index
		}); at >= 0 {
			outcome = results[at].Outcome
			ta.attempt = max(ta.attempt, results[at].Attempt)
		}
		if !known && !notSent {
			po.recordDecision(Decision{
				Kind: "offloadUnknown", Job: of.job.Work.ID, Ref: ref, Task: of.job.Work.TaskName(ta.step, ta.index), Worker: of.peerID,
				Reason: "the peer cannot be asked; held until its leases have expired",
			})
			ta.attempt++
			ta.state, ta.heldUntil = taskHeld, now.Add(po.settings.maxRunLifetime())
			continue
		}
		if outcome == RunDeclined || notSent {
			declined = true
			of.job.stats.removeWork(now, -of.job.taskWork(ta))
			if pe := po.peers[of.peerID]; pe != nil {
				pe.setFreeCapacity(of.job.Work.Service, nil)
			}
		}
		po.taskEnded(now, ta, outcome)
	}
	if declined {
		po.recordDecision(Decision{Kind: "offloadDeclined", Job: of.job.Work.ID, Ref: ref, Worker: of.peerID})
	}
}

// OffloadWantedAt returns WantedAt of the job of an offload, and whether the job is still wanted.
func (po *Pool) OffloadWantedAt(ref string) (time.Time, bool) {
	of := po.offloads[ref]
	if of == nil || of.job.ended {
		return time.Time{}, false
	}
	return of.job.WantedAt, true
}

// expireHeldTasks makes held tasks ready once all runs that a peer may have started for them must have ended.
func (po *Pool) expireHeldTasks(now time.Time, jo *Job) {
	for _, ta := range jo.tasks {
		if ta.state == taskHeld && !now.Before(ta.heldUntil) {
			po.taskEnded(now, ta, RunLapsed)
		}
	}
}

// cancelOffloads cancels the offloads of a job.
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

// placeOffloaded starts all tasks of a peer's job at once, or declines them all.
func (po *Pool) placeOffloaded(now time.Time, jo *Job) {
	reason := ""
	switch {
	case po.presentService(jo) != jo.Work.Service:
		reason = "the peer's configuration is older, and names another service for the queue"
	case !po.startAllOrNone(now, jo, !jo.AnySpeed):
		reason = "no free room"
	}
	if sl := po.loadOf(jo.Work.Service); sl != nil && reason == "" {
		for _, ta := range jo.tasks {
			sl.addPeerWork(now, jo.taskWork(ta))
		}
	}
	if reason != "" {
		de := Decision{Kind: "offloadRefused", Job: jo.Work.ID, Ref: jo.Ref, Reason: reason}
		po.recordDecision(jo.withNeeds(de, jo.readyStep(), jo.readyTasks))
		po.finish(jo, NotRun, reason, 0)
	}
}

// OffloadCapacity returns how many tasks of a service the peers could start, by their recent reports.
func (po *Pool) OffloadCapacity(now time.Time, service string) int {
	n := 0
	for _, pe := range po.peers {
		if po.mayUsePeer(now, pe) {
			n += pe.freeTasks(service, math.Inf(1))
		}
	}
	return n
}
