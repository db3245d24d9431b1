package lovagefleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagemessage"
	"lovagestack/lovagepool"
)

// A caller cancels its job by ID at any instance. That instance asks every owner of a domain, and every instance that has lately reported
// that it holds jobs, such as a former owner whose runs go on during a hand-over. Each cancels what it has of the job, refuses the job
// from then on if it arrives later, and replies once no task of it runs there. Only if all of them have replied can no task start any
// more, so the caller is told that its job is cancelled, or not known, only then. A job that none of them knows may be on its way to one:
// they are asked once more when every copy of it has arrived or been answered.

// CancelOutcome says what the cancellation of a job has achieved.
type CancelOutcome string

// Outcomes of a cancellation.
const (
	JobCancelled    CancelOutcome = "cancelled" // no task of the job runs, and none will start
	JobNotKnown     CancelOutcome = "notKnown"  // no instance that could have the job knows it; none of its tasks will start
	CancelUncertain CancelOutcome = "uncertain" // not all instances could be asked, or runs may be active
)

const (
	// cancelTimeout is how long a caller waits for the end of its job's runs. A worker that does not answer keeps its runs for up to 1.1 s.
	cancelTimeout = 2 * time.Second
	// cancelRetryInterval is the pause before an instance that cannot be reached is tried again. By then it may have been replaced.
	cancelRetryInterval = 50 * time.Millisecond
	// maxHolderAge is the age of the last report above which an instance holds no jobs. It reports every peerReportInterval.
	maxHolderAge = 3 * peerReportInterval
	// maxNotedJobs is the maximum number of jobs in a NoteCancelled.
	maxNotedJobs = 1000
)

// jobName is what a caller names a job by.
type jobName struct{ queue, id string }

// callerJobs holds the jobs whose callers wait at this instance. It is safe for concurrent use.
type callerJobs struct {
	mu     sync.Mutex
	byName map[jobName][]*callerJob
}

// callerJob is a job whose caller waits at this instance.
type callerJob struct {
	name      jobName
	cancelled atomic.Bool
	answered  chan struct{}      // closed with the answer
	outcome   lovagepool.Outcome // set before answered is closed
}

func (cj *callerJobs) add(name jobName) *callerJob {
	ca := &callerJob{name: name, answered: make(chan struct{})}
	cj.mu.Lock()
	cj.byName[name] = append(cj.byName[name], ca)
	cj.mu.Unlock()
	return ca
}

func (cj *callerJobs) remove(ca *callerJob, oc lovagepool.Outcome) {
	cj.mu.Lock()
	list := cj.byName[ca.name]
	if list = slices.DeleteFunc(list, func(ot *callerJob) bool { return ot == ca }); len(list) > 0 {
		cj.byName[ca.name] = list
	} else {
		delete(cj.byName, ca.name)
	}
	cj.mu.Unlock()
	ca.outcome = oc
	close(ca.answered)
}

// cancel makes the jobs of this name that are not at an owner end as cancelled, and returns all of this name.
func (cj *callerJobs) cancel(name jobName) []*callerJob {
	cj.mu.Lock()
	defer cj.mu.Unlock()
	list := slices.Clone(cj.byName[name])
	for _, ca := range list {
		ca.cancelled.Store(true)
	}
	return list
}

// CancelJob cancels a job at the request of its caller, wherever it is. It waits until no task of it can run, for cancelTimeout at most.
// Whoever waits for the job gets the outcome lovagepool.Cancelled, or Completed if all tasks ended before they could be stopped.
func (no *Node) CancelJob(ctx context.Context, queue, id string) CancelOutcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	oc := no.cancelJob(ctx, jobName{queue, id})
	no.countEvent("cancel:" + string(oc))
	no.decisionLogger.LogDecision("cancel", oc == JobCancelled,
		zap.String("job", id), zap.String("queue", queue), zap.String("outcome", string(oc)), zap.Duration("tookMs", time.Since(began)))
	return oc
}

func (no *Node) cancelJob(ctx context.Context, name jobName) CancelOutcome {
	waiting := no.callers.cancel(name)
	oc := no.cancelAt(ctx, name, no.cancelTargets)
	if oc != JobNotKnown {
		return oc
	}
	for _, ca := range waiting { // its job was at no owner, or has just ended
		select {
		case <-ca.answered:
			switch ca.outcome {
			case lovagepool.Cancelled:
				oc = JobCancelled
			case lovagepool.Unknown: // its owner has been lost
				return CancelUncertain
			default:
			}
		case <-ctx.Done():
			return CancelUncertain
		}
	}
	if len(waiting) > 0 {
		return oc
	}
	if sleep(ctx, findOwnerTimeout); ctx.Err() != nil {
		return CancelUncertain
	}
	return no.cancelAt(ctx, name, no.cancelTargets)
}

// cancelTarget is an instance that may have a job.
type cancelTarget struct {
	address   string
	forwarded bool // it owns no domain, so that it need not forward the request
}

// cancelTargets returns the other instances that may have a job, by ID. It reports whether the owners of all domains that have
// had one are known.
func (no *Node) cancelTargets() (map[string]cancelTarget, bool) {
	targets := no.heldTargets()
	known := true
	for _, dc := range no.settings.DataCentres {
		ow, ok := no.ownerByDomain.Load(dc)
		if !ok {
			known = known && no.domainRowsRead.Load()
		} else if ow := ow.(ownerRef); ow.ID != no.self.ID {
			targets[ow.ID] = cancelTarget{address: ow.Address}
		}
	}
	return targets, known
}

// heldTargets returns the instances that have lately reported that they hold jobs and own no domain, by ID.
func (no *Node) heldTargets() map[string]cancelTarget {
	targets := map[string]cancelTarget{}
	no.jobHolders.Range(func(id, at any) bool {
		if time.Since(at.(time.Time)) > maxHolderAge {
			no.jobHolders.CompareAndDelete(id, at)
			return true
		}
		address, ok := no.peerAddresses.Load(id)
		if ok && !no.ownsDomain(id.(string)) && no.mesh.Connected(address.(string)) {
			targets[id.(string)] = cancelTarget{address: address.(string), forwarded: true}
		}
		return true
	})
	return targets
}

// cancelAt cancels a job here and at the targets, until all have replied or ctx is done. The targets may change meanwhile; find returns
// the present ones, by ID, and whether they are known.
func (no *Node) cancelAt(ctx context.Context, name jobName, find func() (map[string]cancelTarget, bool)) CancelOutcome {
	type reply struct {
		from    string
		outcome CancelOutcome // empty: not reached
	}
	replies := make(chan reply, 8)
	send := func(re reply) {
		select {
		case replies <- re:
		case <-ctx.Done():
		}
	}
	go func() { send(reply{no.self.ID, no.cancelHere(ctx, name)}) }()
	outcomes := map[string]CancelOutcome{}
	asked := map[string]bool{no.self.ID: true}
	merged := JobNotKnown
	for {
		targets, known := find()
		for id, ta := range targets {
			if !asked[id] && no.mesh.Connected(ta.address) {
				asked[id] = true
				go func() { send(reply{id, no.callCancelJob(ctx, name, ta)}) }()
			}
		}
		_, done := outcomes[no.self.ID]
		for id := range targets {
			if _, ok := outcomes[id]; !ok {
				done = false
			}
		}
		if known && done {
			return merged
		}
		select {
		case re := <-replies:
			switch re.outcome {
			case "":
				time.AfterFunc(cancelRetryInterval, func() { send(reply{from: re.from, outcome: notReached}) })
			case notReached:
				delete(asked, re.from)
			case CancelUncertain:
				return CancelUncertain
			default:
				outcomes[re.from] = re.outcome
				if re.outcome == JobCancelled {
					merged = JobCancelled
				}
			}
		case <-time.After(cancelRetryInterval):
		case <-ctx.Done():
			return CancelUncertain
		}
	}
}

// notReached says that an instance that could not be reached may be tried again.
const notReached CancelOutcome = "notReached"

// callCancelJob cancels a job at another instance. It returns "" if the reply is lost.
func (no *Node) callCancelJob(ctx context.Context, name jobName, ta cancelTarget) CancelOutcome {
	resp, err := no.tracedCall(ctx, ta.address, &lovagemessage.Request{Body: &lovagemessage.Request_CancelJob{CancelJob: &lovagemessage.CancelJob{
		Job: &lovagemessage.JobName{Queue: name.queue, Id: name.id}, Forwarded: ta.forwarded,
	}}})
	if err != nil {
		return ""
	}
	switch oc := CancelOutcome(resp.GetCancelJob().GetOutcome()); oc {
	case JobCancelled, JobNotKnown:
		return oc
	default:
		return CancelUncertain
	}
}

// serveCancelJob cancels a job here, and at the instances that hold jobs without owning a domain unless the request was forwarded.
func (no *Node) serveCancelJob(ctx context.Context, from string, cj *lovagemessage.CancelJob) CancelOutcome {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return no.cancelAt(ctx, jobName{cj.GetJob().GetQueue(), cj.GetJob().GetId()}, func() (map[string]cancelTarget, bool) {
		if cj.GetForwarded() {
			return nil, true
		}
		targets := no.heldTargets()
		delete(targets, from)
		return targets, true
	})
}

// cancelHere cancels what this instance's pool has of a job, and waits until none of its runs is active.
func (no *Node) cancelHere(ctx context.Context, name jobName) CancelOutcome {
	type found struct {
		stopped []chan bool
		before  bool
	}
	result := make(chan found, 1)
	no.post(func(now time.Time) {
		var fo found
		var refs []string
		refs, fo.before = no.pool.CancelJob(now, name.queue, name.id)
		for _, ref := range refs {
			stopped := make(chan bool, 1)
			no.stopWaiters[ref] = append(no.stopWaiters[ref], stopped)
			fo.stopped = append(fo.stopped, stopped)
		}
		result <- fo
	})
	var fo found
	select {
	case fo = <-result:
	case <-ctx.Done():
		return CancelUncertain
	}
	oc := JobNotKnown
	if fo.before {
		oc = JobCancelled
	}
	for _, stopped := range fo.stopped {
		select {
		case completed := <-stopped:
			if !completed {
				oc = JobCancelled
			}
		case <-ctx.Done():
			return CancelUncertain
		}
	}
	return oc
}

// passOnCancelledJobs tells a new owner which jobs have been cancelled, so that it refuses them if their callers send them again, or
// cancels those that it has got since.
func (no *Node) passOnCancelledJobs(ow ownerRef) {
	if ow.isSelf || ow.ID == no.self.ID || ow.Address == "" {
		return
	}
	no.post(func(time.Time) {
		var jobs []*lovagemessage.JobName
		no.pool.CancelledJobs(func(queue, id string) {
			jobs = append(jobs, &lovagemessage.JobName{Queue: queue, Id: id})
		})
		if len(jobs) > 0 {
			go no.sendCancelledJobs(ow.Address, jobs)
		}
	})
}

func (no *Node) sendCancelledJobs(address string, jobs []*lovagemessage.JobName) {
	ctx, cancel := context.WithTimeout(no.ctx, cancelTimeout)
	defer cancel()
	for list := range slices.Chunk(jobs, maxNotedJobs) {
		for {
			_, err := no.mesh.Call(ctx, address, &lovagemessage.Request{
				Body: &lovagemessage.Request_NoteCancelled{NoteCancelled: &lovagemessage.NoteCancelled{Jobs: list}},
			})
			if err == nil {
				break
			}
			if sleep(ctx, cancelRetryInterval); ctx.Err() != nil {
				no.countEvent("cancelledNotPassedOn")
				return
			}
		}
	}
}

func (no *Node) serveNoteCancelled(nc *lovagemessage.NoteCancelled) {
	no.post(func(now time.Time) {
		no.pool.NoteCancelled(now, func(yield func(queue, id string) bool) {
			for _, name := range nc.GetJobs() {
				if !yield(name.GetQueue(), name.GetId()) {
					return
				}
			}
		})
	})
}

// reportHeldJobs tells all peers that this instance holds jobs although it owns no domain any more. Only loop calls it.
func (no *Node) reportHeldJobs(now time.Time) {
	if no.pool.Idle() || now.Sub(no.sentReports.toAllAt) < peerReportInterval {
		return
	}
	no.sentReports.toAllAt = now
	st := &lovagemessage.Standing{
		Instance: no.self.ID, DataCentre: no.self.DataCentre, Leaving: no.leaving.Load(),
		Address: no.self.Address, ConfigurationVersion: no.configVersion(),
	}
	no.evacuations.addTo(st)
	for _, address := range no.reportTargets(true) {
		go no.sendReport(address, st)
	}
}
