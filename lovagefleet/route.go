package lovagefleet

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageclock"
	"lovagestack/lovagejob"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

const (
	// findOwnerTimeout is how long a job waits for an instance that can place it, for example during a hand-over.
	findOwnerTimeout = 300 * time.Millisecond
	// ownerRetryInterval is the pause between attempts to find or reach an owner.
	ownerRetryInterval = 20 * time.Millisecond
	// answerGrace is how long after the caller's deadline an instance still waits for the owner's answer.
	answerGrace = 100 * time.Millisecond
	// retryWithoutOwner is the retry delay for callers if no owner of workers exists or none could take the job.
	retryWithoutOwner = time.Second
	// retryUnsupported is the retry delay for callers of jobs that this version cannot run.
	retryUnsupported = time.Minute
)

// Submit runs a job and returns its outcome. If ctx ends, the job is cancelled.
func (no *Node) Submit(ctx context.Context, wo *lovagejob.Workload) Answer {
	ctx, span := no.tracer.Start(ctx, lovagetrace.CallerRequest)
	span.SetString("job", wo.ID)
	ca := no.callers.add(jobName{wo.Queue, wo.ID})
	an, owner := no.submit(ctx, wo, ca)
	no.callers.remove(ca, an.Outcome)
	span.SetString("outcome", string(an.Outcome))
	span.End(nil)
	took := time.Since(wo.Arrived)
	no.counts.With("answered:" + string(an.Outcome)).Inc(1)
	no.responseTimes.With(string(an.Outcome)).Observe(took)
	outcome := string(an.Outcome)
	if ctx.Err() != nil {
		outcome = "callerLeft"
	}
	reason, late := zap.Skip(), zap.Skip()
	if an.Reason != "" {
		reason = zap.String("reason", an.Reason)
	}
	if an.Outcome == lovagepool.Completed && wo.Steps[0].RunTime > 0 && took > wo.ResponseGoal() {
		late = zap.Bool("late", true)
	}
	no.decisionLogger.LogDecision("answered", an.Outcome == lovagepool.Completed,
		zap.String("job", wo.ID), zap.String("outcome", outcome), reason,
		zap.String("queue", wo.Queue), zap.Int("tasks", wo.NumTasks()), zap.String("owner", owner),
		zap.Duration("tookMs", took), zap.Duration("expectedMs", wo.Steps[0].RunTime), zap.Int64("configVersion", no.configVersion()), late)
	return an
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (no *Node) configVersion() int64 {
	if co := no.config.Load(); co != nil {
		return co.Version
	}
	return 0
}

// submit implements Submit. It also returns the ID of the instance that answered, if any.
func (no *Node) submit(ctx context.Context, wo *lovagejob.Workload, ca *callerJob) (Answer, string) {
	if part := wo.Unsupported(); part != "" {
		no.countEvent("refusedUnsupported")
		return Answer{Outcome: lovagepool.NotRun, Reason: "not supported: " + part, RetryIn: retryUnsupported}, no.self.ID
	}
	wo = no.advanceDeadline(wo)
	ctx, cancel := context.WithDeadline(ctx, wo.Deadline.Add(answerGrace))
	defer cancel()
	no.awaitCallerCheck(ctx)
	if ctx.Err() != nil {
		return Answer{Outcome: lovagepool.NotRun, Reason: "the caller left before the job was submitted", RetryIn: retryWithoutOwner}, ""
	}
	giveUpAt := time.Now().Add(findOwnerTimeout)
	failed := map[string]bool{}
	forwarded, target := false, ""
	for {
		if ca.cancelled.Load() { // no owner has the job
			return Answer{Outcome: lovagepool.Cancelled, Reason: "cancelled by its caller"}, no.self.ID
		}
		if no.evacuations.allRequested() {
			no.countEvent("refusedEvacuated")
			return Answer{Outcome: lovagepool.NotRun, Reason: "all data centres are evacuated", RetryIn: retryEvacuated}, no.self.ID
		}
		wo = no.withPresentService(wo)
		ow, ok := no.ownerByID(target)
		if !ok {
			ow, ok = no.chooseOwner(wo.Service, failed)
		}
		target = ""
		if ok {
			fi, err := no.submitTo(ctx, ow, wo, forwarded)
			switch {
			case errors.Is(err, lovagepeer.ErrNotSent):
				no.countEvent("placeNotSent")
				failed[ow.ID] = true
			case err != nil:
				no.countEvent("placeUnknown")
				return Answer{Outcome: lovagepool.Unknown, Reason: "the owner of the workers has been lost: " + err.Error()}, ow.ID
			case fi.Outcome == lovagepool.Moved && fi.To != "":
				no.countEvent("passedOn")
				forwarded, target, giveUpAt = true, fi.To, time.Now().Add(findOwnerTimeout)
				continue
			case fi.Outcome == lovagepool.Moved:
				no.countEvent("placeMoved")
			default:
				return Answer{Outcome: fi.Outcome, Reason: fi.Reason, RetryIn: fi.RetryIn}, ow.ID
			}
		}
		if time.Now().After(giveUpAt) || ctx.Err() != nil {
			no.countEvent("refusedWithoutOwner")
			return Answer{Outcome: lovagepool.NotRun, Reason: "no instance owns workers of the service", RetryIn: retryWithoutOwner}, ""
		}
		sleep(ctx, ownerRetryInterval)
		clear(failed)
	}
}

// advanceDeadline returns the job with an earlier deadline if this process is late: its request may have waited for that long.
func (no *Node) advanceDeadline(wo *lovagejob.Workload) *lovagejob.Workload {
	lateness := no.lateness(time.Now())
	if lateness < lateEvent {
		return wo
	}
	earlier := *wo
	earlier.Deadline = wo.Deadline.Add(-lateness)
	return &earlier
}

// withPresentService returns the job with the service that the configuration in force names for its queue, if that is newer than the one
// by which the job has its service. A job whose queue has been removed keeps its service.
func (no *Node) withPresentService(wo *lovagejob.Workload) *lovagejob.Workload {
	co := no.config.Load()
	if co == nil || co.Version <= wo.ConfigVersion {
		return wo
	}
	for i := range co.Routes {
		if ro := &co.Routes[i]; ro.Name == wo.Queue && ro.Service != wo.Service {
			updated := *wo
			updated.Service, updated.ConfigVersion = ro.Service, co.Version
			return &updated
		}
	}
	return wo
}

// chooseOwner returns the owner in this data centre if it can be reached and has usable workers, otherwise the owner with
// usable workers and the most free capacity, or else any owner. While this data centre is evacuated, it returns an owner with usable
// workers, if there is one, so that the job does not have to be forwarded.
func (no *Node) chooseOwner(service string, failed map[string]bool) (ownerRef, bool) {
	usable := func(ow ownerRef) bool {
		if failed[ow.ID] {
			return false
		}
		if ow.isSelf {
			return !no.allHandedOver.Load()
		}
		return ow.Address != "" && no.mesh.Connected(ow.Address)
	}
	if no.evacuations.requested(no.settings.DataCentre) {
		if ow, ok := no.chooseOwnerElsewhere(service, usable); ok {
			no.countEvent("evacuationRouted")
			return ow, true
		}
	}
	local, hasLocal := no.ownerByDomain.Load(no.settings.DataCentre)
	if hasLocal && usable(local.(ownerRef)) {
		if _, workers := no.capacity(local.(ownerRef), service); workers > 0 {
			return local.(ownerRef), true
		}
	}
	var best ownerRef
	bestFree, bestWorkers, found := -1, 0, false
	no.ownerByDomain.Range(func(_, value any) bool {
		ow := value.(ownerRef)
		if !usable(ow) {
			return true
		}
		free, workers := no.capacity(ow, service)
		if !found || workers > 0 && bestWorkers == 0 || free > bestFree && (workers > 0 || bestWorkers == 0) {
			best, bestFree, bestWorkers, found = ow, free, workers, true
		}
		return true
	})
	if bestWorkers == 0 && hasLocal && usable(local.(ownerRef)) {
		return local.(ownerRef), true // no owner has reported workers yet; the local owner's report may be on its way
	}
	return best, found
}

// ownerByID returns the owner with the given ID if it is reachable.
func (no *Node) ownerByID(id string) (ownerRef, bool) {
	if id == "" {
		return ownerRef{}, false
	}
	if id == no.self.ID {
		return ownerRef{ID: id, isSelf: true}, !no.allHandedOver.Load()
	}
	address, ok := no.peerAddresses.Load(id)
	if !ok || !no.mesh.Connected(address.(string)) {
		return ownerRef{}, false
	}
	return ownerRef{ID: id, Address: address.(string)}, true
}

// capacity returns the number of free task slots and usable workers at an owner, by its last load report.
func (no *Node) capacity(ow ownerRef, service string) (free, workers int) {
	if no.isEvacuatedOwner(ow.ID) {
		return 0, 0 // its report may be older than the request
	}
	var lr lovagepool.LoadReport
	if ow.isSelf {
		if own := no.ownReports.Load(); own != nil {
			lr = (*own)[service]
		}
	} else if services, ok := no.peerReports.Load(ow.ID); ok {
		lr = services.(serviceReports)[service]
	}
	return lr.FreeTasks(), lr.Workers
}

// submitTo sends a job to an owner. After any error but ErrNotSent, the owner may have received it.
func (no *Node) submitTo(ctx context.Context, ow ownerRef, wo *lovagejob.Workload, forwarded bool) (
	lovagepool.FinishJob, error,
) {
	ref := no.newRef()
	if ow.isSelf {
		return no.submitLocal(ctx, &lovagepool.Job{Ref: ref, Work: wo, Forwarded: forwarded}, func() string { return "" })
	}
	pl := jobToMessage(ref, wo, nil)
	sentAt := lovageclock.Boot()
	pl.PassedOn, pl.SentMicros, pl.WantedMicros = forwarded, sentAt.Microseconds(), no.callersSeenAt().Microseconds()
	no.sent.add(ref, sentJob{address: ow.Address, sentAt: sentAt, deadline: bootTime(wo.Deadline)})
	defer no.sent.remove(ref)
	resp, err := no.tracedCall(ctx, ow.Address, &lovagemessage.Request{Body: &lovagemessage.Request_Place{Place: pl}})
	switch {
	case err == nil:
	case errors.Is(err, lovagepeer.ErrNotSent):
		return lovagepool.FinishJob{}, err
	case errors.Is(ctx.Err(), context.Canceled):
		// Nobody waits for the answer. The caller's connection keeps its place until the owner has been told, so that callers who leave do not
		// have more jobs in progress than there are places.
		no.withdrawJob(ow.Address, ref)
		return lovagepool.FinishJob{}, err
	default:
		go no.withdrawJob(ow.Address, ref)
		return lovagepool.FinishJob{}, err
	}
	return finishFromReply(resp.GetPlace()), nil
}

// tracedCall calls a peer within a new span.
func (no *Node) tracedCall(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	ctx, span := no.tracer.Start(ctx, lovagetrace.PeerHop)
	span.SetString("kind", lovagepeer.Kind(req))
	no.tracer.InjectRequest(ctx, req)
	resp, err := no.mesh.Call(ctx, address, req)
	span.End(err)
	return resp, err
}

func (no *Node) newRef() string {
	return no.self.ID + "/" + no.self.Incarnation + "/" + strconv.FormatInt(no.refCounter.Add(1), 36)
}

// submitLocal submits a job to this instance's pool and waits for its end. loop calls check right before the pool gets the job;
// the job is rejected if check returns a reason. If ctx ends, submitLocal returns when the pool knows it.
func (no *Node) submitLocal(ctx context.Context, jo *lovagepool.Job, check func() string) (lovagepool.FinishJob, error) {
	bytes := jo.Work.Bytes()
	defer no.queuedJobBytes.Add(-bytes)
	limit := no.settings.Pool.MaxJobBytes
	if waiting := no.queuedJobBytes.Add(bytes); limit > 0 && waiting > limit+limit/4 { // the pool refuses jobs before, unless it is late
		no.countEvent("refusedQueueFull")
		return lovagepool.FinishJob{}, errors.New("too many jobs wait to be placed")
	}
	wa := &waiter{result: make(chan lovagepool.FinishJob, 1), traceContext: ctx, submitted: time.Now()}
	no.post(func(now time.Time) {
		no.jobWaiters[jo.Ref] = wa
		if reason := check(); reason != "" {
			no.pool.Reject(now, jo, reason)
			return
		}
		no.pool.Submit(now, jo)
	})
	select {
	case fi := <-wa.result:
		return fi, nil
	case <-ctx.Done():
		cancelled := make(chan struct{})
		no.post(func(now time.Time) {
			delete(no.jobWaiters, jo.Ref)
			no.pool.Cancel(now, jo.Ref)
			close(cancelled)
		})
		if errors.Is(ctx.Err(), context.Canceled) {
			select {
			case <-cancelled:
			case <-no.ctx.Done():
			}
		}
		return lovagepool.FinishJob{}, errors.Wrap(ctx.Err(), "wait for the job")
	case <-no.ctx.Done():
		return lovagepool.FinishJob{}, errors.New("the instance has stopped")
	}
}

// withdrawJob cancels a job at the owner to which it was sent.
func (no *Node) withdrawJob(address, ref string) {
	ctx, cancel := context.WithTimeout(no.ctx, pingTimeout)
	defer cancel()
	if err := no.callWithdraw(ctx, address, ref); err != nil {
		no.countEvent("withdrawFailed") // the owner stops the job at its deadline, or when it loses the session
	}
}

// callWithdraw cancels a job at a peer. It returns nil if the peer knew the job and none of its runs is active any more.
func (no *Node) callWithdraw(ctx context.Context, address, ref string) error {
	_, err := no.mesh.Call(ctx, address, &lovagemessage.Request{
		Body: &lovagemessage.Request_Withdraw{Withdraw: &lovagemessage.Withdraw{Ref: ref}},
	})
	return err
}

// maxPendingAge is how old the answer of PendingJobs may be.
const maxPendingAge = 250 * time.Millisecond

// pendingCounts are the numbers of pending jobs by queue. Many callers may ask for them, so that the pool is asked once for all.
type pendingCounts struct {
	mu      sync.Mutex
	byQueue map[string]*pendingCount
}

type pendingCount struct {
	mu    sync.Mutex // held while the pool is asked
	count int
	at    time.Time
}

// PendingJobs returns how many jobs of a queue wait in this instance's pool without a started task, maxPendingAge ago at most.
func (no *Node) PendingJobs(ctx context.Context, queue string) int {
	no.pending.mu.Lock()
	pc := no.pending.byQueue[queue]
	if pc == nil {
		pc = &pendingCount{}
		no.pending.byQueue[queue] = pc
	}
	no.pending.mu.Unlock()
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if time.Since(pc.at) < maxPendingAge {
		return pc.count
	}
	result := make(chan int, 1)
	no.post(func(time.Time) { result <- no.pool.PendingJobs(queue) })
	select {
	case n := <-result:
		pc.count, pc.at = n, time.Now()
		return n
	case <-ctx.Done():
		return 0
	}
}
