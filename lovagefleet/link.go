package lovagefleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

const (
	// pollWait is how long a worker may hold a look for an end. Each look extends the leases of 1 s. The lease of a look
	// lasts for one that is lost and two that repeat it.
	pollWait = 300 * time.Millisecond
	// pollGrace is how much later than its wait an answer may come before the look counts as lost.
	pollGrace = 120 * time.Millisecond
	// maxLostPolls is how many looks in a row must be lost, and silentAfter the time since the first of them was sent, for the
	// worker to count as silent: single calls get lost.
	maxLostPolls = 3
	silentAfter  = pollWait + maxLostPolls*pollGrace
	// requestTimeout bounds the answer to a start or stop; a worker answers within a few ms.
	requestTimeout = 120 * time.Millisecond

	// lossyPeriod is how long after a call was lost others are expected to be. Meanwhile losses are to be noticed sooner: a
	// lost look hides the ends of runs, and a lost start delays its task.
	lossyPeriod = 3 * time.Second
	// lossyPollWait and lossyTimeout take the place of pollWait, and of pollGrace and requestTimeout. The first is the length of
	// short tasks, the second leaves a process of 0.4 of a core time for a pause of its own.
	lossyPollWait = 60 * time.Millisecond
	lossyTimeout  = 60 * time.Millisecond
	// silentRetryInterval is the pause between looks at a worker that does not answer.
	silentRetryInterval = 200 * time.Millisecond
	// fencedRetryInterval is the pause between two attempts to claim the domain of a worker that rejected the fence; a claim may
	// fail with the store.
	fencedRetryInterval = 500 * time.Millisecond
)

// link carries the orders of one worker. Its looks follow each other without a pause.
type link struct {
	no            *Node
	worker        lovagepool.Worker
	lease         time.Duration
	cancel        context.CancelFunc
	mu            sync.Mutex
	fence         int64
	workerClock   int64 // last reading of the worker's clock, milliseconds
	clockReadAt   time.Time
	processStart  int64
	lastEnd       int64
	silent        bool      // does not answer
	lostPolls     int       // looks in a row without an answer
	firstLostAt   time.Time // when the first of them was sent
	rejectedFence int64     // highest fence of this link that the worker has rejected
}

func (no *Node) newLink(wo lovagepool.Worker, fence int64) *link {
	ctx, cancel := context.WithCancel(no.ctx)
	li := &link{no: no, worker: wo, lease: no.settings.Pool.Lease, cancel: cancel, fence: fence, processStart: wo.ProcessStart}
	go li.loop(ctx)
	return li
}

func (li *link) setFence(fence int64) {
	li.mu.Lock()
	li.fence = fence
	li.mu.Unlock()
}

// expires returns until when an order sent now may keep runs alive, on the worker's clock; 0 if its clock is unknown.
func (li *link) leaseExpiry() int64 {
	if li.clockReadAt.IsZero() {
		return 0
	}
	return li.workerClock + time.Since(li.clockReadAt).Milliseconds() + li.lease.Milliseconds()
}

// heard takes the clock of an answer.
func (li *link) updateClock(re Reply) {
	if re.Clock == 0 {
		return
	}
	li.mu.Lock()
	li.workerClock, li.clockReadAt = re.Clock, time.Now()
	li.mu.Unlock()
}

// fenceRejected returns the link's fence, and whether the worker has rejected it. The worker is not called again with it: an
// owner that was replaced must not go on calling, and the runs that it has there lapse.
func (li *link) fenceRejected() (int64, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.fence, li.fence <= li.rejectedFence
}

// nextPoll returns the next look. It extends no leases while the worker does not answer: the pool counts on them to run
// out, and a look takes effect even if its answer is lost.
func (li *link) nextPoll() PollRequest {
	li.mu.Lock()
	defer li.mu.Unlock()
	pr := PollRequest{Worker: li.worker.ID, Address: li.worker.Address, Fence: li.fence, AckedEnd: li.lastEnd}
	if !li.silent {
		pr.Expires = li.leaseExpiry()
	}
	if pr.Expires != 0 && li.lostPolls == 0 {
		pr.Wait = pollWait
		if li.no.lossy() {
			pr.Wait = lossyPollWait
		}
	}
	return pr
}

// lossy reports whether calls to workers are being lost.
func (no *Node) lossy() bool {
	at := no.lastLostCall.Load()
	return at != nil && time.Since(*at) < lossyPeriod
}

// noteLostCall notes that a call was lost to a worker that was thought to answer.
func (no *Node) noteLostCall() {
	no.count("callsLost")
	now := time.Now()
	no.lastLostCall.Store(&now)
}

// patience returns how much later than it may wait a worker's answer may come.
func (no *Node) replyTimeout(usual time.Duration) time.Duration {
	if no.lossy() {
		return lossyTimeout
	}
	return usual
}

// loop looks at the worker until the link ends.
func (li *link) loop(ctx context.Context) {
	id := li.worker.ID
	for ctx.Err() == nil {
		if fence, ok := li.fenceRejected(); ok {
			li.no.reclaimDomainOf(id, fence)
			sleep(ctx, fencedRetryInterval)
			continue
		}
		pr := li.nextPoll()
		sent := time.Now()
		if pr.Expires != 0 {
			li.no.post(func(time.Time) { li.no.pool.HandleLeaseExtension(sent, id) })
		}
		callCtx, cancel := context.WithTimeout(ctx, pr.Wait+li.no.replyTimeout(pollGrace))
		re, err := li.no.workerClient.Poll(callCtx, pr)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			li.handleLostPoll(ctx, sent, err)
			continue
		}
		li.updateClock(re)
		switch re.Rejected {
		case "":
			li.handlePoll(sent, re)
		case RejectFence:
			li.handleFenced(pr.Fence)
		default:
			li.handleLostPoll(ctx, sent, errors.New("look rejected: "+string(re.Rejected)))
		}
	}
}

// look passes a list on to the pool.
func (li *link) handlePoll(sent time.Time, re Reply) {
	li.mu.Lock()
	crashed := re.ProcessStart != 0 && li.processStart != 0 && re.ProcessStart != li.processStart
	if re.ProcessStart != 0 {
		li.processStart = re.ProcessStart
	}
	if crashed {
		li.lastEnd = 0
	}
	li.lastEnd = max(li.lastEnd, re.LastEnd)
	wasSilent := li.silent
	li.silent, li.lostPolls = false, 0
	li.mu.Unlock()
	if wasSilent {
		li.no.log.Info("worker answers again", zap.String("worker", li.worker.ID))
	}
	id := li.worker.ID
	li.no.post(func(now time.Time) {
		if crashed {
			li.no.pool.HandleWorkerRestart(now, id)
		}
		li.no.pool.HandleRunList(now, sent, id, re.Active, re.Ended)
	})
}

// handleLostPoll notes that a look was not answered; after several in a row the worker counts as silent. A refused connection
// does not show that the worker's process is gone: a cut may refuse connections while tasks run on.
func (li *link) handleLostPoll(ctx context.Context, sent time.Time, err error) {
	timedOut := errors.Is(err, context.DeadlineExceeded)
	li.mu.Lock()
	if timedOut && !li.silent {
		li.no.noteLostCall()
	}
	if li.lostPolls++; li.lostPolls == 1 {
		li.firstLostAt = sent
	}
	if li.lostPolls < maxLostPolls || timedOut && time.Since(li.firstLostAt) < silentAfter {
		li.mu.Unlock()
		return
	}
	first := !li.silent
	li.silent = true
	li.mu.Unlock()
	if first {
		li.no.count("workerSilent")
		li.no.log.Warn("worker does not answer", zap.String("worker", li.worker.ID), errorField(err))
	}
	id := li.worker.ID
	li.no.post(func(now time.Time) { li.no.pool.MarkUnreachable(now, id) })
	sleep(ctx, silentRetryInterval)
}

// pollNow fetches the lists beside the loop, without extending leases.
func (li *link) pollNow(ctx context.Context) {
	if _, rejected := li.fenceRejected(); rejected {
		return
	}
	li.mu.Lock()
	pr := PollRequest{Worker: li.worker.ID, Address: li.worker.Address, Fence: li.fence, AckedEnd: li.lastEnd}
	li.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, li.no.replyTimeout(requestTimeout))
	defer cancel()
	sent := time.Now()
	re, err := li.no.workerClient.Poll(ctx, pr)
	if err != nil || re.Rejected != "" {
		return // the loop's next look shows the same
	}
	li.updateClock(re)
	li.handlePoll(sent, re)
}

func (li *link) runRequest(task string, attempt int, spec string) RunRequest {
	li.mu.Lock()
	defer li.mu.Unlock()
	return RunRequest{
		Worker: li.worker.ID, Address: li.worker.Address, Fence: li.fence, Task: task, Attempt: attempt, Spec: spec,
		Expires: li.leaseExpiry(),
	}
}

// start orders a run. The order was made when the pool decided, so that the lease ends as the pool reckons.
func (li *link) start(ctx context.Context, cm lovagepool.StartRun, rr RunRequest) {
	ctx, cancel := context.WithTimeout(ctx, li.no.replyTimeout(requestTimeout))
	defer cancel()
	ctx, span := li.no.tracer.Start(ctx, lovagetrace.WorkerCall)
	span.SetString("task", cm.Task)
	span.SetString("worker", cm.Worker)
	re, err := li.no.workerClient.Start(ctx, rr)
	span.End(err)
	if err == nil {
		li.updateClock(re)
	}
	li.no.post(func(now time.Time) {
		var refused ConnectionRefusedError
		switch {
		case errors.As(err, &refused):
			li.no.pool.HandleStartReply(now, cm.Worker, cm.Task, cm.Attempt, true, "refused")
			li.no.pool.MarkUnreachable(now, cm.Worker)
		case err != nil:
			li.no.noteLostCall()
			li.no.pool.HandleStartTimeout(now, cm.Worker, cm.Task, cm.Attempt)
		default:
			li.no.pool.HandleStartReply(now, cm.Worker, cm.Task, cm.Attempt, re.Rejected != "", string(re.Rejected))
		}
	})
	if err == nil && re.Rejected == RejectFence {
		li.handleFenced(rr.Fence)
	}
}

// stop orders the end of a run.
func (li *link) stop(ctx context.Context, cm lovagepool.StopRun) {
	ctx, cancel := context.WithTimeout(ctx, li.no.replyTimeout(requestTimeout))
	defer cancel()
	re, err := li.no.workerClient.Stop(ctx, li.runRequest(cm.Task, cm.Attempt, ""))
	if err != nil || re.Rejected != "" {
		return // repeated by the pool until the end is certain
	}
	li.updateClock(re)
	li.no.post(func(now time.Time) { li.no.pool.HandleStopReply(now, cm.Worker, cm.Task, cm.Attempt) })
}

// fenced notes that the worker has rejected a fence: another instance has ordered it.
func (li *link) handleFenced(fence int64) {
	li.mu.Lock()
	li.rejectedFence = max(li.rejectedFence, fence)
	li.mu.Unlock()
	id := li.worker.ID
	li.no.count("fenced")
	li.no.log.Warn("fenced off", zap.String("worker", id), zap.Int64("fence", fence))
	li.no.post(func(now time.Time) { li.no.pool.MarkUnreachable(now, id) })
}

// reclaimDomainOf claims the domain of a worker that has rejected a fence again, for a higher one, if the domain's row shows
// that it still is this instance's.
func (no *Node) reclaimDomainOf(worker string, fence int64) {
	no.post(func(time.Time) {
		for _, wo := range no.registeredWorkers() {
			if wo.ID == worker && no.fences[wo.DataCentre] == fence {
				no.reclaimDomains.Store(wo.DataCentre, true)
				no.wakeOwnership()
			}
		}
	})
}

// workersOf returns the IDs of the workers of a domain.
func (no *Node) workersOf(name string) []string {
	var ids []string
	for _, wo := range no.registeredWorkers() {
		if wo.DataCentre == name {
			ids = append(ids, wo.ID)
		}
	}
	return ids
}

// refreshWorkers makes links and the pool match the registry and the domains that are owned.
func (no *Node) refreshWorkers(now time.Time) {
	no.ownsWorkers.Store(len(no.fences) > 0)
	var list []lovagepool.Worker
	used := map[string]bool{}
	for _, re := range no.registeredWorkers() {
		fence, ok := no.fences[re.DataCentre]
		if !ok || !no.registryIsCurrent(now, re.DataCentre) {
			continue
		}
		if ho := no.acceptedHandOver(re.DataCentre); ho != nil && !ho.pending[re.ID] {
			continue
		}
		if aw, ok := no.awaitedReleases[re.DataCentre]; ok {
			if now.After(aw.until) {
				delete(no.awaitedReleases, re.DataCentre)
			} else if !aw.released[re.ID] {
				continue
			}
		}
		used[re.ID] = true
		list = append(list, re.Worker)
		li := no.links[re.ID]
		if li != nil && (li.worker.Address != re.Address || li.worker.ProcessStart != re.ProcessStart) {
			li.cancel()
			li = nil
		}
		if li == nil {
			no.links[re.ID] = no.newLink(re.Worker, fence)
		} else {
			li.setFence(fence)
		}
	}
	no.pool.SetWorkers(now, list)
	for id, li := range no.links {
		// A worker that is gone from the registry may still run what was started.
		if !used[id] && !no.pool.HasRuns(id) {
			li.cancel()
			delete(no.links, id)
		}
	}
}

// registryReadTimeout is how long a new owner waits for the registered workers to be read after it has claimed a domain. It
// then uses what it knows, which may be older than a worker's notice that it is draining.
const registryReadTimeout = 3 * time.Second

// registryIsCurrent reports whether the registered workers were read after this instance has claimed the domain.
func (no *Node) registryIsCurrent(now time.Time, name string) bool {
	return no.registryReadAt.After(no.claimedAt[name]) || now.Sub(no.claimedAt[name]) > registryReadTimeout
}

// released tells the new owner of a worker that it has no run of this instance any more.
func (no *Node) workerReleased(worker string) {
	for _, wo := range no.registeredWorkers() {
		if wo.ID != worker {
			continue
		}
		if ho := no.acceptedHandOver(wo.DataCentre); ho != nil {
			delete(ho.pending, worker)
			if len(ho.pending) == 0 {
				delete(no.handOvers, wo.DataCentre)
				delete(no.fences, wo.DataCentre)
			}
			go no.sendReleased(ho.address, []string{worker})
		}
	}
	if li := no.links[worker]; li != nil {
		li.cancel()
		delete(no.links, worker)
	}
}
