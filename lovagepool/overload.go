package lovagepool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Under overload, the queues of a service share its workers by priority, and each queue gets at least a floor. The decisions are made
// where the queues have different priorities; for other services, each job is judged alone, by refuseInfeasible. See
// docs/design/overload.md.

const (
	// shareFloor is the least admitted share of a queue, as a share of the mean admitted share. Callers are told one half; the rest
	// covers jobs that are admitted and still refused, because estimates of run times are off by 40%.
	shareFloor = 0.65
	// waitShare is the share of the mean slack for which admitted work may wait. Shorter queues leave workers without a
	// task that fits; longer ones make jobs late.
	waitShare = 0.1
	// enterShare is the share of the mean slack for which work must wait before a service counts as overloaded. Below, jobs are
	// expected to be in time whatever arrives.
	enterShare = 0.3
	// drainTime is the time over which work that waits for too long is worked off, by admitting less.
	drainTime = 250 * time.Millisecond
	// calmTime is how long all work must have been admitted before an overload counts as over.
	calmTime = 500 * time.Millisecond
	// shareInterval is the time between two computations of the admitted shares.
	shareInterval = 5 * time.Millisecond
	// maxRetryDelay bounds the time after which a refused caller should retry: nobody knows how long an overload will last.
	maxRetryDelay = 30 * time.Second
	// saturatedWait is the waiting work, as time of all workers, from which the rate at which work starts is what the workers can do.
	saturatedWait = 30 * time.Millisecond
	// efficiencyTimeConstant is the time over which the rate of starts is averaged.
	efficiencyTimeConstant = 2 * time.Second
	// minEfficiency and maxEfficiency bound the learned efficiency. Estimates that are too high make it exceed 1.
	minEfficiency, maxEfficiency = 0.3, 1.5
	// A job is large if it is among the largeJobs of its queue with the most work. Large jobs are admitted at least largeFloor times
	// as often as the whole of their queue; callers are told one half.
	largeJobs, largeFloor = 0.3, 0.8
	// sizeStep is the step, on a log scale, by which a job moves the bound of large jobs.
	sizeStep = 0.05
	// Below enterLoad of the workers' work rate, a service counts as overloaded only if work waits for longWait times the mean slack:
	// what waits then is a burst.
	enterLoad, longWait = 0.9, 2
)

// queueDemand is what the callers of a queue ask for.
type queueDemand struct {
	priority int     // 0 is the most urgent
	load     float64 // work offered per second
	jobs     float64 // jobs offered per second
}

// admittedShares returns the share of the jobs of each queue that is admitted so that the admitted work does not exceed the
// capacity. Every queue gets the floor; the rest goes to the queues by priority, and among equal ones by least work per job.
func admittedShares(queues []queueDemand, capacity float64) []float64 {
	shares := make([]float64, len(queues))
	total, jobs := 0.0, 0.0
	order := make([]int, len(queues))
	for i, qd := range queues {
		total += qd.load
		jobs += qd.jobs
		order[i] = i
	}
	if total <= capacity {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	slices.SortStableFunc(order, func(a, b int) int {
		qa, qb := queues[a], queues[b]
		return cmp.Or(cmp.Compare(qa.priority, qb.priority), cmp.Compare(qa.load*qb.jobs, qb.load*qa.jobs))
	})
	// fill sets the shares with a floor and returns their mean, by queues or by jobs, whichever is higher.
	fill := func(floor float64) float64 {
		rest := capacity - floor*total
		byQueue, byJob := 0.0, 0.0
		for _, i := range order {
			qd := queues[i]
			shares[i] = floor
			if qd.load > 0 {
				extra := min(max(rest, 0)/qd.load, 1-floor)
				shares[i] += extra
				rest -= extra * qd.load
			}
			byQueue += shares[i] / float64(len(queues))
			byJob += shares[i] * qd.jobs / max(jobs, math.SmallestNonzeroFloat64)
		}
		return max(byQueue, byJob)
	}
	// The mean falls as the floor rises, so the floor that is shareFloor of the mean is found by bisection.
	low, high := 0.0, max(capacity, 0)/total
	for range 20 {
		middle := (low + high) / 2
		if middle < shareFloor*fill(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	fill(low)
	return shares
}

// serviceLoad is what is known of the load of a service whose queues have different priorities.
type serviceLoad struct {
	overloaded   bool
	since        time.Time // when the present overload began
	calmSince    time.Time // since when all work has been admitted; zero: some is not
	updatedAt    time.Time
	waitingWork  float64 // of admitted jobs, at the last pass
	capacity     float64 // work that can be admitted per second
	excessShare  float64 // share of the load that exceeds what the workers can do
	targetWait   time.Duration
	meanSlack    time.Duration // of the queues, by their load
	peerLoad     float64       // work per second that is started for peers; decays with loadTimeConstant
	peerLoadAt   time.Time
	startedWork  float64 // since measuredAt
	measuredAt   time.Time
	saturated    bool    // since measuredAt, work has waited that the workers had no room for
	doneWork     float64 // decayed sums over saturated times, of work started
	possibleWork float64 // and of the nominal work rate
}

// efficiency returns the work that the workers start under a full queue as a share of what all their cores could do. It covers packing,
// the time between runs, and the bias of estimates.
func (sl *serviceLoad) efficiency() float64 {
	if sl.possibleWork <= 0 {
		return packingFactor
	}
	return min(max(sl.doneWork/sl.possibleWork, minEfficiency), maxEfficiency)
}

// measure adds the work started since the last call, if the workers were saturated, and notes whether they are now.
func (sl *serviceLoad) measure(now time.Time, nominalRate float64, saturated bool) {
	elapsed := now.Sub(sl.measuredAt).Seconds()
	if sl.measuredAt.IsZero() {
		elapsed = 0
	}
	if sl.possibleWork == 0 { // begins with the usual packing, as if measured for one second
		sl.possibleWork, sl.doneWork = nominalRate, packingFactor*nominalRate
	}
	if sl.saturated {
		decay := math.Exp(-elapsed / efficiencyTimeConstant.Seconds())
		sl.doneWork = sl.doneWork*decay + sl.startedWork
		sl.possibleWork = sl.possibleWork*decay + nominalRate*elapsed
	}
	sl.measuredAt, sl.startedWork, sl.saturated = now, 0, saturated
}

func (sl *serviceLoad) currentPeerLoad(now time.Time) float64 {
	return sl.peerLoad * math.Exp(-now.Sub(sl.peerLoadAt).Seconds()/loadTimeConstant.Seconds())
}

// addPeerWork counts work that is started for a peer.
func (sl *serviceLoad) addPeerWork(now time.Time, work float64) {
	sl.peerLoad = sl.currentPeerLoad(now) + work/loadTimeConstant.Seconds()
	sl.peerLoadAt = now
}

// retryDelay returns the time after which a refused caller should retry. An overload is expected to last as long again as it has lasted.
func (sl *serviceLoad) retryDelay(now time.Time) time.Duration {
	return min(max(now.Sub(sl.since).Truncate(time.Millisecond), minRetryDelay), maxRetryDelay)
}

// update computes the admitted shares of the queues, given the work rate of the workers without packing.
func (sl *serviceLoad) update(now time.Time, queues []*queueStats, nominalRate float64) {
	sl.updatedAt = now
	demands := make([]queueDemand, len(queues))
	total, slack := 0.0, 0.0
	for i, qs := range queues {
		demands[i] = queueDemand{qs.priority, qs.currentLoad(now), qs.currentJobRate(now)}
		total += demands[i].load
		slack += demands[i].load * qs.meanSlack.Seconds()
	}
	if total <= 0 || nominalRate <= 0 {
		return // without load nothing is decided, and without workers everything is refused for that
	}
	rate := sl.efficiency() * nominalRate
	sl.meanSlack = time.Duration(slack / total * float64(time.Second))
	sl.targetWait = time.Duration(waitShare * float64(sl.meanSlack))
	surplus := sl.waitingWork - sl.targetWait.Seconds()*rate
	sl.capacity = max(rate-sl.currentPeerLoad(now)-surplus/drainTime.Seconds(), 0)
	sl.excessShare = max(1-max(rate-sl.currentPeerLoad(now), 0)/total, 0)
	excess := total > sl.capacity
	plenty := total < enterLoad*rate && sl.waitingWork < longWait*sl.meanSlack.Seconds()*rate
	switch {
	case !sl.overloaded:
		if !excess || plenty || sl.waitingWork < enterShare*sl.meanSlack.Seconds()*rate {
			return
		}
		sl.overloaded, sl.since, sl.calmSince = true, now, time.Time{}
		for _, qs := range queues {
			qs.credit = [2]float64{initialCredit, initialCredit}
		}
	case excess:
		sl.calmSince = time.Time{}
	case sl.calmSince.IsZero():
		sl.calmSince = now
	case now.Sub(sl.calmSince) >= calmTime:
		sl.overloaded = false
	}
	for i, share := range admittedShares(demands, sl.capacity) {
		queues[i].shares[0], queues[i].shares[1] = sharesBySize(share, queues[i].largeWorkShare())
	}
}

// initialCredit is the credit of a queue at the beginning of an overload; minCredit and maxCredit bound what is carried over.
const initialCredit, minCredit, maxCredit = 0.5, -2, 2

// sharesBySize returns the admitted shares of the smaller and of the large jobs of a queue, of which the given share of the work is
// admitted. Refusing a large job leaves room for several smaller ones, so fewer callers are refused; largeFloor bounds that.
func sharesBySize(share, largeWork float64) (smaller, large float64) {
	const ratio = (1 - largeJobs) * largeFloor / (1 - largeJobs*largeFloor) // of both, if large jobs get largeFloor of the mean
	smaller = share / (1 - largeWork + ratio*largeWork)
	if smaller <= 1 {
		return smaller, ratio * smaller
	}
	return 1, max(share-(1-largeWork), 0) / max(largeWork, math.SmallestNonzeroFloat64)
}

// addSize notes the work of an arriving job and reports whether the job is large. The bound is a moving quantile: each job moves it
// by a step, up with a weight of 1-largeJobs if it is above, and down with largeJobs if it is below.
func (qs *queueStats) addSize(work float64) (large bool) {
	if work <= 0 {
		return false
	}
	size := math.Log(work)
	if qs.sizes == 0 {
		qs.largeSize = size
	}
	qs.sizes++
	step := max(sizeStep, 1/float64(qs.sizes))
	large = size > qs.largeSize
	if large {
		qs.largeSize += step * (1 - largeJobs)
	} else {
		qs.largeSize -= step * largeJobs
	}
	qs.sumWork += (work - qs.sumWork) * max(sampleWeight/4, 1/float64(qs.sizes))
	largeWork := 0.0
	if large {
		largeWork = work
	}
	qs.sumLargeWork += (largeWork - qs.sumLargeWork) * max(sampleWeight/4, 1/float64(qs.sizes))
	return large
}

// largeWorkShare returns the share of the queue's work that large jobs ask for.
func (qs *queueStats) largeWorkShare() float64 {
	if qs.sumWork <= 0 {
		return largeJobs
	}
	return min(max(qs.sumLargeWork/qs.sumWork, largeJobs), 0.9)
}

// admit decides whether a job of the queue is admitted. Within both sizes, the credit depends on the number of jobs and not on their work.
func (qs *queueStats) admit(size int) bool {
	qs.credit[size] = min(qs.credit[size]+qs.shares[size], maxCredit)
	if qs.credit[size] < 1 {
		return false
	}
	qs.credit[size]--
	return true
}

// returnCredit lets the queue admit another job of the same size in place of an admitted one that is not served, so that the shares
// hold for served jobs.
func (po *Pool) returnCredit(jo *Job) {
	if jo.Offloaded == nil && po.inOverload(jo) {
		jo.stats.credit[jo.size] = min(jo.stats.credit[jo.size]+1, maxCredit)
	}
}

// loadOf returns the load of a service whose queues have different priorities, or nil for other services.
func (po *Pool) loadOf(service string) *serviceLoad {
	return po.serviceLoads[service]
}

// notePriority notes the priority of a queue by its latest job, and whether the queues of the service have different ones.
func (po *Pool) notePriority(jo *Job) {
	qs := jo.stats
	if qs.priority == jo.Work.Priority && qs.noted == jo.Work.Service {
		return
	}
	former := qs.noted
	qs.priority, qs.noted = jo.Work.Priority, jo.Work.Service
	for _, service := range []string{former, jo.Work.Service} {
		queues := po.queuesOf(service)
		differ := slices.ContainsFunc(queues, func(ot *queueStats) bool { return ot.priority != queues[0].priority })
		switch {
		case !differ:
			delete(po.serviceLoads, service)
		case po.serviceLoads[service] == nil:
			po.serviceLoads[service] = &serviceLoad{}
		}
	}
}

// queuesOf returns the queues of a service that have had jobs, by name.
func (po *Pool) queuesOf(service string) []*queueStats {
	var list []*queueStats
	for _, qs := range po.queueStats {
		if qs.service == service {
			list = append(list, qs)
		}
	}
	slices.SortFunc(list, func(a, b *queueStats) int { return cmp.Compare(a.name, b.name) })
	return list
}

// admitJobs decides for the jobs that no pass has seen yet whether they are admitted.
func (po *Pool) admitJobs(now time.Time) {
	for service, sl := range po.serviceLoads {
		if now.Sub(sl.updatedAt) >= shareInterval {
			before := sl.overloaded
			sl.update(now, po.queuesOf(service), po.candidatesOf(now, service).workRate/packingFactor)
			if sl.overloaded != before {
				po.recordOverload(now, service, sl)
			}
		}
	}
	for _, jo := range po.readyJobs {
		if jo.seen {
			continue
		}
		jo.seen = true
		if sl := po.loadOf(jo.Work.Service); sl != nil && sl.overloaded && jo.Offloaded == nil && jo.possibleStarts == 0 {
			jo.excess = !jo.stats.admit(jo.size)
		}
	}
}

// recordOverload records the beginning or the end of an overload.
func (po *Pool) recordOverload(now time.Time, service string, sl *serviceLoad) {
	kind := "overloadBegan"
	if !sl.overloaded {
		kind = "overloadEnded"
	}
	po.recordDecision(Decision{
		Kind: kind, Reason: "service " + service, Age: now.Sub(sl.since),
		Wait: time.Duration(sl.waitingWork / max(sl.capacity, 1) * float64(time.Second)).Truncate(time.Millisecond),
	})
}

// measureLoads notes how much work waits after a pass.
func (po *Pool) measureLoads(now time.Time) {
	if len(po.serviceLoads) == 0 {
		return
	}
	waiting := map[string]float64{}
	for _, jo := range po.readyJobs {
		if jo.Offloaded == nil && !jo.ended {
			waiting[jo.Work.Service] += jo.unstartedWork()
		}
	}
	for service, sl := range po.serviceLoads {
		sl.waitingWork = waiting[service]
		nominalRate := po.candidatesOf(now, service).workRate / packingFactor
		sl.measure(now, nominalRate, sl.waitingWork > saturatedWait.Seconds()*nominalRate)
	}
}

// due returns the time by which the job should end. Under overload, an end after the caller's deadline is work for nothing.
func (po *Pool) due(jo *Job) time.Time {
	if po.inOverload(jo) {
		return earlier(jo.goal, jo.Work.Deadline)
	}
	return jo.goal
}

// usefulEnd returns the time until which the job's answer is useful and its caller waits.
func (jo *Job) usefulEnd() time.Time { return earlier(jo.usefulUntil(), jo.Work.Deadline) }

// inOverload reports whether the job's service is overloaded.
func (po *Pool) inOverload(jo *Job) bool {
	sl := po.loadOf(jo.Work.Service)
	return sl != nil && sl.overloaded
}

// startSome starts those tasks of a job that fit now, also on slow workers, and offloads others to peers with free workers. It reports
// whether there was one.
func (po *Pool) startSome(now time.Time, jo *Job) bool {
	pl := po.planJob(now, jo, false)
	pl.start()
	po.offloadWaitingTasks(now, jo, math.Inf(1), true)
	return jo.possibleStarts > 0
}

// refuseInOverload refuses the job if it is not admitted, or if it has not started and cannot be in time any more, unless a task of it
// can start now. It reports whether the job was refused
// or forwarded.
func (po *Pool) refuseInOverload(now time.Time, jo *Job, slack, fastestRunTime time.Duration) bool {
	reason := ""
	switch {
	case jo.excess:
		reason = excessReason
	case slack <= 0:
		reason = lateReason
	default:
		return false
	}
	if now.Add(fastestRunTime).Before(jo.usefulEnd()) && po.startSome(now, jo) {
		if jo.excess {
			jo.excess = false
			jo.stats.credit[jo.size] = max(jo.stats.credit[jo.size]-1, minCredit)
		}
		return false
	}
	if jo.excess {
		if peerID := po.chooseLessLoaded(now, jo, slack); peerID != "" {
			po.forwardJob(now, jo, peerID)
			return true
		}
	}
	sl := po.loadOf(jo.Work.Service)
	retryIn := sl.retryDelay(now)
	po.recordDecision(jo.withNeeds(Decision{
		Kind: RefusedOverload, Job: jo.Work.ID, Ref: jo.Ref, Reason: reason, Age: now.Sub(jo.Work.Arrived), Slack: slack,
		Wait:            time.Duration(sl.waitingWork / max(sl.capacity, 1) * float64(time.Second)),
		ExpectedRunTime: fastestRunTime, PeerFreeTasks: po.OffloadCapacity(now, jo.Work.Service),
	}, jo.readyStep(), jo.readyTasks))
	kind := "excess"
	if !jo.excess {
		kind = "late"
		po.returnCredit(jo)
	}
	po.Counts["refusedOverload:"+jo.Work.Queue+":"+kind]++
	po.finish(jo, NotRun, reason, retryIn)
	return true
}

// Reasons of refusals under overload.
const (
	excessReason = "more work arrives than the workers can do, and the queue has had its share"
	lateReason   = "admitted under overload, but it can no longer be in time"
)

const (
	// An overloaded service reports overloadBacklog as its backlog, so that owners that are not overloaded forward nothing to it, and
	// backlogPerExcess more for the share of its load that exceeds its capacity, so that overloaded owners find the less loaded one.
	overloadBacklog  = time.Second
	backlogPerExcess = 3 * time.Second
	// backlogStep is the step of what is reported, and the difference from which a peer counts as less loaded.
	backlogStep = 50 * time.Millisecond
)

// reportedBacklog returns the backlog of a service to be reported to the peers.
func (po *Pool) reportedBacklog(service string, backlog time.Duration) time.Duration {
	if sl := po.loadOf(service); sl != nil && sl.overloaded {
		return overloadBacklog + time.Duration(sl.excessShare*float64(backlogPerExcess)).Truncate(backlogStep)
	}
	return backlog
}

// chooseLessLoaded returns the ID of the peer to which a job that is not admitted is forwarded: one that is expected to start it in time,
// or else the overloaded one with the least excess, if it has less than this pool. Without that, callers of the data centre with the
// most load would be refused most.
func (po *Pool) chooseLessLoaded(now time.Time, jo *Job, slack time.Duration) string {
	if jo.Forwarded {
		return ""
	}
	if id := po.chooseForwardTarget(now, jo, slack); id != "" {
		return id
	}
	service := jo.Work.Service
	var best *peer
	for _, pe := range po.peers {
		lr := pe.services[service]
		if lr.Rate <= 0 || !po.mayUsePeer(now, pe) {
			continue
		}
		if least := best; least == nil || lr.Backlog < least.services[service].Backlog ||
			lr.Backlog == least.services[service].Backlog && pe.id < least.id {
			best = pe
		}
	}
	if best == nil {
		return ""
	}
	lr := best.services[service]
	if lr.Backlog+backlogStep >= po.reportedBacklog(service, 0) {
		return ""
	}
	lr.Backlog += time.Duration(jo.unstartedWork() / lr.Rate * float64(time.Second))
	best.services[service] = lr
	return best.id
}
