package lovagepool

import (
	"maps"
	"math"
	"time"
)

// Restriction says which starts a worker may get, beside what its own state allows.
type Restriction string

// Restrictions of a worker, from none to the strictest.
const (
	Unrestricted Restriction = ""
	NotOffered   Restriction = "notOffered" // gets no tasks that peers offload, and is left out of load reports
	Held         Restriction = "held"       // gets no starts for the moment; jobs wait for it
	Closed       Restriction = "closed"     // gets no starts; jobs do not wait for it
)

// RestrictWorkers replaces the restrictions of all workers, by ID. Runs in progress go on. Jobs that have only closed workers are
// forwarded, offloaded or refused at once, once no task of them has begun; the waiting tasks of the others are offloaded.
func (po *Pool) RestrictWorkers(restrictions map[string]Restriction) {
	if maps.Equal(po.restrictions, restrictions) {
		return
	}
	po.restrictions = restrictions
	for _, wo := range po.workerList {
		wo.restriction = restrictions[wo.ID]
	}
	po.needsSchedule = true
}

// ClosePeers replaces the set of peers, by instance ID, that get no jobs and no tasks, whatever their load reports say.
func (po *Pool) ClosePeers(ids map[string]bool) {
	po.closedPeers = ids
	po.needsSchedule = po.needsSchedule || len(po.readyJobs) > 0
}

// mayUsePeer reports whether the peer may get jobs and tasks, by a load report that is recent enough.
func (po *Pool) mayUsePeer(now time.Time, pe *peer) bool {
	return pe.hasFreshReport(now) && !po.closedPeers[pe.id]
}

// noteRestriction notes the restriction of a worker of the service, whether or not the worker may get starts for other reasons.
func (ca *candidates) noteRestriction(wo *worker) {
	if wo.unregistered {
		return
	}
	ca.hasOpen = ca.hasOpen || wo.restriction != Closed
	ca.hasClosed = ca.hasClosed || wo.restriction == Closed
	ca.hasHeld = ca.hasHeld || wo.restriction == Held
}

// allClosed reports whether the service has workers here, and all of them are closed.
func (ca *candidates) allClosed() bool { return ca.hasClosed && !ca.hasOpen }

// handleNoWorkers handles a job that has not begun while no worker of its service may get starts.
func (po *Pool) handleNoWorkers(now time.Time, jo *Job, ca *candidates) {
	switch {
	case ca.allClosed():
		po.leaveClosedWorkers(now, jo)
	case !ca.hasHeld:
		po.refuseWithoutWorkers(now, jo)
	}
}

// leaveClosedWorkers forwards a job that has not begun and whose workers are all closed, or offloads all its ready tasks, or else refuses
// the job. A forward comes first because the later steps of the job are then planned where workers are.
func (po *Pool) leaveClosedWorkers(now time.Time, jo *Job) {
	if peerID := po.chooseForwardTarget(now, jo, jo.usefulUntil().Sub(now)-jo.runTime); peerID != "" {
		po.Counts["evacuationMoved"]++
		po.forwardJob(now, jo, peerID)
		return
	}
	if po.startAllOrNone(now, jo, false) {
		po.Counts["evacuationMoved"]++
		return
	}
	reason := "the workers' data centre is evacuated, and no other can take the job"
	po.recordDecision(Decision{
		Kind: "refusedEvacuated", Job: jo.Work.ID, Ref: jo.Ref, Reason: reason, Age: now.Sub(jo.Work.Arrived),
		PeerFreeTasks: po.OffloadCapacity(now, jo.Work.Service),
	})
	po.finish(jo, NotRun, reason, minRetryDelay)
}

// offloadFromClosed offloads the waiting tasks of a job that has begun and whose workers are all closed, to workers of any speed: there
// are no others to wait for.
func (po *Pool) offloadFromClosed(now time.Time, jo *Job) {
	if jo.possibleStarts > 0 {
		po.offloadWaitingTasks(now, jo, math.Inf(1), true)
	}
}

// CountWaiting returns how many jobs of callers have tasks that wait for workers.
func (po *Pool) CountWaiting() int {
	n := 0
	for _, jo := range po.readyJobs {
		if jo.Offloaded == nil && !jo.ended && jo.readyTasks > 0 {
			n++
		}
	}
	return n
}
