package lovagefleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

const (
	// maxLostPolls is how many polls in a row must be lost before a worker counts as unreachable; the network may lose single
	// calls. If the last poll timed out, unreachableAfter must also have passed since the first lost poll was sent.
	maxLostPolls     = 3
	unreachableAfter = pollWait + maxLostPolls*pollGrace
	// maxExcused is how long missing replies are put down to the lateness of this process.
	maxExcused = time.Second
	// unreachableRetryInterval is the pause between polls of an unreachable worker.
	unreachableRetryInterval = 200 * time.Millisecond
	// fencedRetryInterval is the pause between attempts to claim the domain of a worker that rejected the fence. An
	// attempt fails if the store does not answer.
	fencedRetryInterval = 500 * time.Millisecond
)

// link sends this instance's requests to one worker, and polls the worker without pauses.
type link struct {
	node          *Node
	worker        lovagepool.Worker // the entry by which the link was made; only its ID and its address hold as long as the link
	domain        string
	drift         float64   // fraction by which the worker's clock may be slow
	extendedAt    time.Time // when loop last granted an extension; used only by the link's loop
	cancel        context.CancelFunc
	done          <-chan struct{} // closed when the link has ended
	stops         stopSet
	mu            sync.Mutex
	fence         int64
	workerClock   int64 // last reading of the worker's clock, milliseconds
	clockReadAt   time.Time
	process       lovagepool.Process
	lastEndNumber int64     // highest number of an ended run in the replies of process that loop has or will get
	unreachable   bool      // the worker gets no starts until it answers a poll
	lostPolls     int       // polls in a row without a reply
	firstLostAt   time.Time // when the first of these lost polls was sent
	excusedSince  time.Time // when the first poll was sent whose reply is missing while this process was late; zero: none
	rejectedFence int64     // highest fence that the worker has rejected
}

func (no *Node) newLink(rw RegisteredWorker, fence int64) *link {
	ctx, cancel := context.WithCancel(no.ctx)
	wo := rw.Worker
	li := &link{
		node: no, worker: wo, domain: rw.DataCentre, drift: no.settings.Pool.ClockDrift, cancel: cancel,
		done: ctx.Done(), fence: fence,
		process: lovagepool.Process{Start: wo.ProcessStart, KnownSince: time.Now()},
	}
	go li.loop(ctx)
	return li
}

func (li *link) setFence(fence int64) {
	li.mu.Lock()
	li.fence = fence
	li.mu.Unlock()
}

// leaseExpiry converts the end of a lease to the worker's clock, which may be slow. It returns 0 for the zero time, or if that clock is
// unknown.
func (li *link) leaseExpiry(until time.Time) int64 {
	if li.clockReadAt.IsZero() || until.IsZero() {
		return 0
	}
	return li.workerClock + int64(float64(until.Sub(li.clockReadAt).Milliseconds())/(1+li.drift))
}

// noteReply stores what a worker's reply to a call made at the time sent tells of its process. It reports whether the reply is of a former
// process and must be ignored.
func (li *link) noteReply(sent time.Time, re Reply) (former bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := time.Now()
	restarted, former := li.process.Note(now, sent, re.ProcessStart)
	if former {
		return true
	}
	if restarted {
		li.lastEndNumber, li.workerClock, li.clockReadAt = 0, 0, time.Time{} // they start anew with each process
	}
	if re.ProcessStart == 0 && sent.Before(li.process.KnownSince) {
		return false // it may be of a former process, whose clock shows another time
	}
	if re.Clock != 0 {
		li.workerClock, li.clockReadAt = re.Clock, now
	}
	return false
}

// acknowledgeEnds lets later polls acknowledge the ended runs in a reply, which the worker then lists no more. Call it when the reply is
// in loop's queue: the pool would take a run that is missing in a later reply for lost.
func (li *link) acknowledgeEnds(re Reply) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if re.ProcessStart == 0 || re.ProcessStart == li.process.Start {
		li.lastEndNumber = max(li.lastEndNumber, re.LastEnd)
	}
}

// processStart returns the start of the newest process that is known, or 0.
func (li *link) processStart() int64 {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.process.Start
}

// answersAs reports whether the process that began at start, 0 for any, is the newest that is known.
func (li *link) answersAs(start int64) bool { return start == 0 || li.processStart() == start }

// fenceRejected returns the link's fence and whether the worker has rejected it. A replaced owner must stop calling the
// worker, so that the leases of its runs there expire.
func (li *link) fenceRejected() (int64, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.fence, li.fence <= li.rejectedFence
}

// newPoll returns a poll that extends no lease and does not wait. The caller holds mu.
func (li *link) newPoll() PollRequest {
	return PollRequest{
		Worker: li.worker.ID, Address: li.worker.Address, Fence: li.fence, AckedEnd: li.lastEndNumber, ProcessStart: li.process.Start,
	}
}

// nextPoll returns the next poll, which extends the worker's lease until the given time. While the worker is unreachable, the poll
// extends no lease: the pool waits for it to expire, and a poll may extend it even if its reply is lost.
func (li *link) nextPoll(leaseUntil time.Time) PollRequest {
	li.mu.Lock()
	defer li.mu.Unlock()
	pr := li.newPoll()
	if !li.unreachable {
		pr.Expires = li.leaseExpiry(leaseUntil)
	}
	if !li.unreachable && li.lostPolls == 0 && !li.clockReadAt.IsZero() {
		pr.Wait = li.node.patience().pollWait()
	}
	return pr
}

// requestLease asks loop until when a poll may extend the worker's lease. loop has then handled the replies to the earlier polls of
// this link's loop. It does not wait for loop if the lease was extended just before: news of ended runs would come later.
func (li *link) requestLease(ctx context.Context) time.Time {
	li.mu.Lock()
	unreachable, lost := li.unreachable, li.lostPolls > 0 || !li.excusedSince.IsZero()
	li.mu.Unlock()
	if unreachable || !lost && time.Since(li.extendedAt) < lovagepool.ExtensionInterval {
		return time.Time{}
	}
	granted := make(chan time.Time, 1)
	li.node.post(func(now time.Time) { granted <- li.node.pool.GrantLease(now, li.worker.ID, lost) })
	select {
	case until := <-granted:
		if !until.IsZero() {
			li.extendedAt = time.Now()
		}
		return until
	case <-ctx.Done():
		return time.Time{}
	}
}

// loop polls the worker until the link ends.
func (li *link) loop(ctx context.Context) {
	id := li.worker.ID
	for ctx.Err() == nil {
		if fence, ok := li.fenceRejected(); ok {
			// The reply to a poll that was accepted before may have come after the rejection.
			li.node.post(func(now time.Time) { li.node.pool.MarkUnreachable(now, id) })
			li.node.reclaimDomainOf(id, fence)
			sleep(ctx, fencedRetryInterval)
			continue
		}
		leaseUntil := li.requestLease(ctx)
		sent := time.Now()
		pr := li.nextPoll(leaseUntil)
		giveUpAt := sent.Add(pr.Wait + li.node.patience().timeout(pollGrace))
		callCtx, cancel, expired := li.node.withPatience(ctx, giveUpAt, pollGrace)
		re, err := li.node.workerClient.Poll(callCtx, pr)
		timedOut := err != nil && (expired() || errors.Is(err, context.DeadlineExceeded))
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			li.handleLostPoll(ctx, sent, timedOut, err)
			continue
		}
		switch re.Rejected {
		case "":
			li.handlePoll(sent, re)
		case RejectFence:
			li.handleFenceRejected(pr.Fence)
		default:
			li.handleLostPoll(ctx, sent, false, errors.New("poll rejected: "+string(re.Rejected)))
		}
	}
}

// handlePoll tells the pool which runs are active or have ended, according to the worker's reply to a poll.
func (li *link) handlePoll(sent time.Time, re Reply) {
	if li.noteReply(sent, re) {
		return
	}
	li.mu.Lock()
	wasUnreachable := li.unreachable
	li.unreachable, li.lostPolls, li.excusedSince = false, 0, time.Time{}
	li.mu.Unlock()
	if wasUnreachable {
		li.node.log.Info("worker answers again", zap.String("worker", li.worker.ID))
	}
	id := li.worker.ID
	li.node.post(func(now time.Time) {
		if li.node.pool.HandleProcess(now, sent, id, re.ProcessStart) {
			li.node.pool.HandleRunList(now, sent, id, re.Active, re.Ended)
		}
	})
	li.acknowledgeEnds(re)
}

// handleLostPoll records a poll that got no reply or was rejected. A refused connection does not prove that the worker's
// process has ended: a partition may refuse connections while tasks go on running. A poll without a reply does not count while
// this process itself is late.
func (li *link) handleLostPoll(ctx context.Context, sent time.Time, timedOut bool, err error) {
	li.mu.Lock()
	if timedOut && !li.unreachable && !li.node.noteLostCall() {
		if li.excusedSince.IsZero() {
			li.excusedSince = sent
		}
		if time.Since(li.excusedSince) < maxExcused {
			li.mu.Unlock()
			return
		}
	}
	if li.lostPolls++; li.lostPolls == 1 {
		li.firstLostAt = sent
	}
	if li.lostPolls < maxLostPolls || timedOut && time.Since(li.firstLostAt) < unreachableAfter {
		li.mu.Unlock()
		return
	}
	newlyUnreachable := !li.unreachable
	li.unreachable = true
	li.mu.Unlock()
	if newlyUnreachable {
		li.node.countEvent("workerSilent")
		li.node.log.Warn("worker does not answer", zap.String("worker", li.worker.ID), errorField(err))
	}
	id := li.worker.ID
	li.node.post(func(now time.Time) { li.node.pool.MarkUnreachable(now, id) })
	sleep(ctx, unreachableRetryInterval)
}

// pollNow polls the worker at once, even during a poll of loop, unless the link has ended. It extends no leases.
func (li *link) pollNow(ctx context.Context) {
	if _, rejected := li.fenceRejected(); rejected {
		return
	}
	sent := time.Now()
	select {
	case <-li.done: // its fence may be an old one
		return
	default:
	}
	li.mu.Lock()
	pr := li.newPoll()
	li.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, li.node.patience().timeout(requestTimeout))
	defer cancel()
	re, err := li.node.workerClient.Poll(ctx, pr)
	if err != nil || re.Rejected != "" {
		return // loop handles the failure if it lasts
	}
	li.handlePoll(sent, re)
}

// newRunRequest returns a request about a run. With the zero time, it extends no lease.
func (li *link) newRunRequest(leaseUntil time.Time, task string, attempt int, spec string) RunRequest {
	li.mu.Lock()
	defer li.mu.Unlock()
	return RunRequest{
		Worker: li.worker.ID, Address: li.worker.Address, Fence: li.fence, Task: task, Attempt: attempt, Spec: spec,
		Expires: li.leaseExpiry(leaseUntil),
	}
}

// start asks the worker to start a run, unless the decision is too old or the worker has restarted since. If the process is paused before
// the request is sent, its lease has expired when the worker gets it.
func (li *link) start(ctx context.Context, decidedAt time.Time, cm lovagepool.StartRun, rr RunRequest) {
	giveUpAt := time.Now().Add(li.node.patience().timeout(requestTimeout))
	ctx, cancel, _ := li.node.withPatience(ctx, giveUpAt, requestTimeout)
	defer cancel()
	ctx, span := li.node.tracer.Start(ctx, lovagetrace.WorkerCall)
	span.SetString("task", cm.Task)
	span.SetString("worker", cm.Worker)
	sent := time.Now()
	var re Reply
	var err error
	switch {
	case !li.answersAs(cm.ProcessStart):
		re.Rejected = RejectIncarnation
	case time.Since(decidedAt) >= maxStall:
		re.Rejected = RejectDelayed
	case li.node.evacuations.closed(sent, li.domain):
		re.Rejected = RejectEvacuated
	default:
		re, err = li.node.workerClient.Start(ctx, rr)
	}
	span.End(err)
	if err == nil {
		li.noteReply(sent, re)
	}
	li.node.post(func(now time.Time) {
		var refused ConnectionRefusedError
		switch {
		case errors.As(err, &refused):
			li.node.pool.HandleStartReply(now, cm.Worker, cm.Task, cm.Attempt, true, "refused")
			li.node.pool.MarkUnreachable(now, cm.Worker)
		case err != nil:
			li.node.noteLostCall()
			li.node.pool.HandleStartTimeout(now, cm.Worker, cm.Task, cm.Attempt)
		default:
			li.node.pool.HandleProcess(now, sent, cm.Worker, re.ProcessStart) // before the task is placed again
			li.node.pool.HandleStartReply(now, cm.Worker, cm.Task, cm.Attempt, re.Rejected != "", string(re.Rejected))
		}
	})
	if err == nil && re.Rejected == RejectFence {
		li.handleFenceRejected(rr.Fence)
	}
}

// stop asks the worker to stop a run.
func (li *link) stop(ctx context.Context, cm lovagepool.StopRun) {
	ctx, cancel := context.WithTimeout(ctx, li.node.patience().timeout(requestTimeout))
	defer cancel()
	sent, process := time.Now(), li.processStart()
	re, err := li.node.workerClient.Stop(ctx, li.newRunRequest(time.Time{}, cm.Task, cm.Attempt, ""))
	if err != nil || re.Rejected != "" {
		return // the pool repeats the stop until the run has certainly ended
	}
	if li.noteReply(sent, re) {
		return
	}
	li.node.post(func(now time.Time) { li.node.pool.HandleStopReply(now, cm.Worker, cm.Task, cm.Attempt, process) })
}

// handleFenceRejected records that the worker has rejected the fence, having seen a higher one of another owner.
func (li *link) handleFenceRejected(fence int64) {
	li.mu.Lock()
	li.rejectedFence = max(li.rejectedFence, fence)
	li.mu.Unlock()
	id := li.worker.ID
	li.node.countEvent("fenced")
	li.node.log.Warn("fenced off", zap.String("worker", id), zap.Int64("fence", fence))
	li.node.post(func(now time.Time) { li.node.pool.MarkUnreachable(now, id) })
}

// reclaimDomainOf handles a worker that has rejected a fence. If this instance still has that fence for the domain, it asks
// ownershipLoop to claim the domain again, for a higher fence.
func (no *Node) reclaimDomainOf(worker string, fence int64) {
	no.post(func(time.Time) {
		for _, wo := range no.registeredWorkers() {
			if wo.ID == worker && no.fenceByDomain[wo.DataCentre] == fence {
				no.reclaimDomains.Store(wo.DataCentre, true)
				no.wakeOwnershipLoop()
			}
		}
	})
}

// workersOfDomain returns the IDs of a domain's workers: those that are registered, and others on which this instance has runs.
func (no *Node) workersOfDomain(name string) []string {
	var ids []string
	registered := map[string]bool{}
	for _, wo := range no.registeredWorkers() {
		if wo.DataCentre == name {
			ids = append(ids, wo.ID)
			registered[wo.ID] = true
		}
	}
	for id, li := range no.links {
		if li.domain == name && !registered[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// refreshWorkers gives the pool and the links the registered workers of this instance's domains, except those that another
// owner uses during a hand-over and those not read since the claim.
func (no *Node) refreshWorkers(now time.Time) {
	no.ownsWorkers.Store(len(no.fenceByDomain) > 0)
	var list []lovagepool.Worker
	used := map[string]bool{}
	re := no.registrations()
	for _, rw := range re.Workers {
		fence, ok := no.fenceByDomain[rw.DataCentre]
		if !ok {
			continue
		}
		rw.KnownAt = re.Known.Of(rw.ID)
		if !no.registrationIsCurrent(now, rw) || !no.evacuationsAreCurrent(now, rw.DataCentre) {
			continue
		}
		if ho := no.acceptedHandOver(rw.DataCentre); ho != nil && !ho.unreleased[rw.ID] {
			continue
		}
		if ar, ok := no.awaitedReleases[rw.DataCentre]; ok {
			if now.After(ar.deadline) {
				delete(no.awaitedReleases, rw.DataCentre)
			} else if !ar.released[rw.ID] {
				continue
			}
		}
		used[rw.ID] = true
		list = append(list, rw.Worker)
		li := no.links[rw.ID]
		if li != nil && (no.pool.IsSucceededBy(rw.Worker) || li.worker.Address != rw.Address && !no.pool.Outlives(rw.Worker)) {
			li.cancel()
			li = nil
		}
		if li == nil {
			no.links[rw.ID] = no.newLink(rw, fence)
		} else {
			li.setFence(fence)
		}
	}
	no.restrictWorkers(now)              // before the pool gets workers that are new to it
	no.pool.SetWorkers(time.Now(), list) // lists that are requested from now on have the fences set above
	for id, li := range no.links {
		// A worker that is not used any more may still have runs.
		if !used[id] && !no.pool.HasRuns(id) {
			li.cancel()
			delete(no.links, id)
		}
	}
	no.linkCount.Store(int64(len(no.links)))
}

const (
	// registryReadTimeout is how long a new owner waits, after claiming a domain, for a read of the registered workers. It then
	// uses the list that it had, unless that is older than maxFallbackListAge: a worker that drains may not be marked in it.
	registryReadTimeout = 3 * time.Second
	// maxFallbackListAge is registryReadTimeout, and maxWorkerListAge before the claim, and what a read may take.
	maxFallbackListAge = registryReadTimeout + maxWorkerListAge + registryTimeout
)

// registrationIsCurrent reports whether the worker's registration is known as of after this instance claimed the domain, or the wait for
// that is over and an older one may be used. How old it may be for starts is a matter of registrationBound.
func (no *Node) registrationIsCurrent(now time.Time, rw RegisteredWorker) bool {
	claimedAt := no.claimedAt[rw.DataCentre]
	return rw.KnownAt.After(claimedAt) || now.Sub(claimedAt) > registryReadTimeout && now.Sub(rw.KnownAt) <= maxFallbackListAge
}

// releaseWorker tells a worker's new owner that this instance has no run left on the worker, and ends the link.
func (no *Node) releaseWorker(worker string) {
	for name, ho := range no.handOvers {
		if ho.state != handOverAccepted || !ho.unreleased[worker] {
			continue
		}
		delete(ho.unreleased, worker)
		no.unsentReleases++
		go no.sendReleased(ho.newOwnerAddress, []string{worker}, nil)
		if len(ho.unreleased) == 0 {
			no.endHandOver(name, ho)
		}
	}
	if li := no.links[worker]; li != nil {
		li.cancel()
		delete(no.links, worker)
	}
}

// endHandOver gives up a domain on whose workers this instance has no runs left.
func (no *Node) endHandOver(name string, ho *handOver) {
	delete(no.handOvers, name)
	delete(no.fenceByDomain, name)
	no.unsentReleases++
	go no.sendReleased(ho.newOwnerAddress, nil, []string{name})
}
