package lovagepool

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"lovagestack/lovagejob"
)

const (
	// ejectAfterFailures is the number of consecutive failed or stuck runs, of different jobs, after which a worker is ejected:
	// it gets no starts for a while.
	ejectAfterFailures = 3
	// minEjection is the length of the first ejection; each further one is twice as long, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
)

// Worker describes a worker as it has registered itself.
type Worker struct {
	ID           string
	ProcessStart int64 // start of the worker's process, Unix milliseconds; if it changes, the old process's runs are gone
	Address      string
	Service      string
	Rack         string
	Kind         string // workers of one kind are expected to be equally fast
	Labels       []string
	Capacity     lovagejob.Resources
	Draining     bool
	KnownAt      time.Time // up to when changes of the registration are known; see SetRegistrationBound
}

type worker struct {
	Worker                     // the entry in use; it may be of a former process
	process          Process   // the newest process that is known, by an answer or an entry
	requestedEntry   int64     // start of the process for which ReadEntries was last issued
	doubtedEntry     int64     // start of the process in the last entry that SetWorkers did not use
	unsureSince      time.Time // no starts until a run list has arrived that was requested later; zero: one has
	usedResources    lovagejob.Resources
	runs             []*run           // in start order
	ends             []runEnd         // the latest ends of runs
	orphanRuns       int              // number of runs that belong to no job of this pool; their resources are unknown
	relativeSlowdown slowdownEstimate // slowdown relative to workers of the same kind
	reachable        bool             // has answered since it was added or last marked unreachable
	failures         int              // number of consecutive failed or stuck runs
	lastFailedJob    string
	ejections        int       // number of ejections since the last successful run
	ejectedUntil     time.Time // no starts until then, afterwards one as a probe; zero: not ejected
	probing          bool      // a run started after the ejection has neither succeeded nor failed
	handingOver      bool      // is being handed over to another instance; gets no starts
	unregistered     bool      // not in the last list of workers; kept until its runs have ended
	restriction      Restriction
	runsEndBy        time.Time // when all runs will have ended unless their leases are extended again; zero: no lease was granted
	knownAt          time.Time // Worker.KnownAt of the last entry, also if that was not used
	extendedAt       time.Time // when a poll last extended the lease
	leaseLimit       time.Time // Pool.leaseLimit when the worker was last considered for starts
	slowdown         float64
	slowdownVersion  int // Pool.slowdownVersion when slowdown was computed
}

// SetWorkers replaces the set of workers. A worker that is not in the list gets no more starts; its runs go on. The entry of a former
// process does not replace that of the present one.
func (po *Pool) SetWorkers(now time.Time, list []Worker) {
	seen := map[string]bool{}
	po.oldestKnownAt = time.Time{}
	for i, info := range list {
		seen[info.ID] = true
		if i == 0 || info.KnownAt.Before(po.oldestKnownAt) {
			po.oldestKnownAt = info.KnownAt
		}
		wo := po.workers[info.ID]
		if wo == nil {
			// Another owner, or this one before the worker was removed, may have extended its lease.
			wo = &worker{
				Worker: info, process: Process{info.ProcessStart, now}, runsEndBy: now.Add(po.settings.maxRunLifetime()), unsureSince: now,
				restriction: po.restrictions[info.ID], knownAt: info.KnownAt,
			}
			po.workers[info.ID] = wo
			po.workerList = append(po.workerList, wo)
			continue
		}
		wo.knownAt = info.KnownAt
		if wo.unregistered {
			wo.unregistered = false
			po.requireList(now, wo)
		}
		if wo.outlives(info) {
			if wo.doubtedEntry != info.ProcessStart {
				wo.doubtedEntry = info.ProcessStart
				po.requireList(now, wo)
			}
			continue
		}
		switch {
		case wo.process.Start == 0:
			wo.process = Process{info.ProcessStart, now}
		case wo.isSucceededBy(info):
			po.beginProcess(now, wo, info.ProcessStart)
			wo.reachable = false // until the process answers
		}
		wo.reachable = wo.reachable && info.Address == wo.Address
		wo.Worker, wo.slowdownVersion = info, 0 // the worker's kind may have changed
	}
	for _, wo := range po.workerList {
		if !seen[wo.ID] {
			wo.unregistered = true
			if len(wo.runs) == 0 {
				delete(po.workers, wo.ID)
			}
		}
	}
	kept := po.workerList[:0]
	for _, wo := range po.workerList {
		if po.workers[wo.ID] == wo {
			kept = append(kept, wo)
		}
	}
	po.workerList = kept
	sort.Slice(po.workerList, func(i, j int) bool { return po.workerList[i].ID < po.workerList[j].ID })
	po.needsSchedule = true
}

// Process is a process that answers for a worker. What is known of a worker belongs to its process: a worker may start again under its
// ID with other labels, another capacity and another address.
type Process struct {
	Start      int64     // Unix milliseconds, by the clock of the worker's machine; 0: not known
	KnownSince time.Time // when its first answer or its entry was read
}

// Note handles an answer by the process that began at start to a call made at the time sent. restarted says that it has replaced
// the known process. former says that it is an earlier one: the answer has been overtaken and tells nothing about the present one.
//
// A process that has been replaced answers no call that is made after that, so an answer to such a call comes from a newer process
// whatever the starts say: clocks may step back between two processes. Only where calls overlap do the starts decide.
func (pr *Process) Note(now, sent time.Time, start int64) (restarted, former bool) {
	if start == 0 || start == pr.Start {
		return false, false
	}
	if start < pr.Start && sent.Before(pr.KnownSince) {
		return false, true
	}
	restarted = pr.Start != 0
	*pr = Process{start, now}
	return restarted, false
}

// HandleProcess handles an answer by the worker's process that began at processStart, 0 if not known, to a call made at the time sent.
// It reports whether the answer is of the present process; if not, its run list must be ignored. If this is another process than
// that of the worker's entry, the worker gets no starts until SetWorkers passes the entry of that process.
func (po *Pool) HandleProcess(now, sent time.Time, id string, processStart int64) bool {
	wo := po.workers[id]
	if wo == nil {
		return true
	}
	known := wo.process
	restarted, former := known.Note(now, sent, processStart)
	switch {
	case restarted:
		po.recordDecision(Decision{Kind: "workerReborn", Worker: id, Reason: "a new process of the worker has answered"})
		po.beginProcess(now, wo, processStart)
	case !former:
		wo.process = known
	}
	return !former
}

// beginProcess handles a new process of the worker. Runs of the old process are gone, but the new one may have got
// starts that were sent before the pool noticed the restart. So a running run counts as gone if the next run list lacks
// it. Stops are sent again, as the new process does not know them.
func (po *Pool) beginProcess(now time.Time, wo *worker, start int64) {
	for _, ru := range wo.runs {
		ru.missedLists = goneAfterMissedLists - 1
		if ru.state == runStopping {
			ru.stopAckedAt = time.Time{}
			po.stopRun(now, ru)
		}
	}
	wo.process, wo.ends = Process{start, now}, nil
	wo.relativeSlowdown, wo.slowdownVersion, wo.lastFailedJob = slowdownEstimate{}, 0, ""
	wo.resetFailures()
	po.needsSchedule = true
}

// entryIsCurrent reports whether the worker's entry is of the process that answers. An entry that does not tell its process is
// current if the answers do not tell it either.
func (wo *worker) entryIsCurrent() bool { return wo.ProcessStart == wo.process.Start }

// outlives reports whether an entry is, by its start, of a process before that of the worker's entry, which answers. Such an entry may
// be read late: a write that a process made before its end may take effect after the first one of its successor. But its process may
// also be a newer one whose clock has been set back. So it is not used unless that process answers, or the present one does not
// any more; and nothing is started until one of them has answered once more.
func (wo *worker) outlives(info Worker) bool {
	return wo.reachable && wo.entryIsCurrent() && info.ProcessStart < wo.ProcessStart
}

// Outlives reports whether an entry is of a former process of a worker whose present process has answered with an entry of its own,
// so that SetWorkers does not use it.
func (po *Pool) Outlives(info Worker) bool {
	wo := po.workers[info.ID]
	return wo != nil && wo.outlives(info)
}

// isSucceededBy reports whether an entry is of a process after the newest that is known. The entry in use is not, even if a process with
// a lower start has answered since.
func (wo *worker) isSucceededBy(info Worker) bool {
	return wo.process.Start != 0 && info.ProcessStart > wo.process.Start && info.ProcessStart != wo.ProcessStart
}

// IsSucceededBy reports whether an entry is of a process of the worker that has not answered yet, after that which is known. Its calls
// must not wait for answers of the former process.
func (po *Pool) IsSucceededBy(info Worker) bool {
	wo := po.workers[info.ID]
	return wo != nil && wo.isSucceededBy(info)
}

// requestEntry issues ReadEntries once for each process of the worker that has no entry.
func (po *Pool) requestEntry(wo *worker) {
	if wo.awaitsEntry() && wo.requestedEntry != wo.process.Start {
		wo.requestedEntry = wo.process.Start
		po.emit(ReadEntries{})
	}
}

// awaitsEntry reports whether the worker could be used if the entry of its process were known.
func (wo *worker) awaitsEntry() bool {
	return wo.reachable && !wo.unregistered && !wo.handingOver && !wo.entryIsCurrent()
}

// AwaitsEntries reports whether a worker answers whose process has no entry among those of the last SetWorkers.
func (po *Pool) AwaitsEntries() bool {
	return slices.ContainsFunc(po.workerList, (*worker).awaitsEntry)
}

// MarkUnreachable notes that a worker has not answered a call in time. It gets no starts until it answers again.
func (po *Pool) MarkUnreachable(now time.Time, id string) {
	if wo := po.workers[id]; wo != nil {
		wo.reachable = false
		po.needsSchedule = true
	}
}

// HandOver stops starting runs on the given workers. A ReleaseWorker command follows for each worker once the worker
// has no runs, or at once if the pool does not know the worker.
func (po *Pool) HandOver(ids []string) {
	for _, id := range ids {
		wo := po.workers[id]
		if wo == nil {
			po.emit(ReleaseWorker{id})
			continue
		}
		if !wo.handingOver {
			wo.handingOver = true
			if len(wo.runs) == 0 {
				po.emit(ReleaseWorker{id})
			}
		}
	}
	po.needsSchedule = true
}

// KnownWorkers returns those of the given workers that the pool knows.
func (po *Pool) KnownWorkers(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return po.workers[id] == nil })
}

// TakeBack handles a new claim of the given workers by this instance, which may have owned them before, and ends their hand-over. Other
// owners may have started runs on them in between, so they get no starts before they have listed their runs.
func (po *Pool) TakeBack(now time.Time, ids []string) {
	for _, id := range ids {
		if wo := po.workers[id]; wo != nil {
			wo.handingOver = false
			po.requireList(now, wo)
		}
	}
}

// RequireLists keeps starts from all workers until they have listed their runs in reply to calls that are sent from now on. The process
// has not run for a while, in which workers may have restarted.
func (po *Pool) RequireLists(now time.Time) {
	for _, wo := range po.workerList {
		if wo.reachable && !wo.unregistered {
			po.requireList(now, wo)
		}
	}
}

// requireList keeps starts from the worker until a run list has arrived that was requested later.
func (po *Pool) requireList(now time.Time, wo *worker) {
	wo.unsureSince = now
	po.emit(PollWorker{wo.ID})
}

// SetRegistrationBound keeps starts from workers whose registrations are known only up to a time that is longer ago than the bound: they
// may have registered as draining since. With 0 there is no bound.
func (po *Pool) SetRegistrationBound(bound time.Duration) {
	if bound != po.registrationBound {
		po.registrationBound = bound
		po.needsSchedule = true
	}
}

// isStale reports whether what is known of the worker's registration is too old for starts.
func (po *Pool) isStale(now time.Time, wo *worker) bool {
	return po.registrationBound > 0 && now.Sub(wo.knownAt) > po.registrationBound
}

// StaleWorkers returns the number of registered workers that get no starts because their registrations are too old, and the age of the
// oldest registration. It looks at all workers only if there is one.
func (po *Pool) StaleWorkers(now time.Time) (count int, oldest time.Duration) {
	oldest = now.Sub(po.oldestKnownAt)
	if po.registrationBound == 0 || oldest <= po.registrationBound {
		return 0, oldest
	}
	for _, wo := range po.workerList {
		if !wo.unregistered && po.isStale(now, wo) {
			count++
		}
	}
	return count, oldest
}

// mayGetStart reports whether the worker may get starts.
func (po *Pool) mayGetStart(now time.Time, wo *worker) bool {
	if wo.unregistered || wo.handingOver || wo.Draining || !wo.reachable || wo.orphanRuns > 0 || !wo.entryIsCurrent() || !wo.unsureSince.IsZero() {
		return false
	}
	if wo.restriction == Held || wo.restriction == Closed || !po.mayStartRuns() || po.isStale(now, wo) {
		return false
	}
	if !wo.leaseLimit.IsZero() && wo.leaseLimit.Sub(now) < po.settings.runLifetime(po.settings.minStartLease()) {
		return false
	}
	if wo.ejectedUntil.IsZero() {
		return true
	}
	return !now.Before(wo.ejectedUntil) && !wo.probing
}

func (po *Pool) freeResources(wo *worker) lovagejob.Resources {
	return wo.Capacity.Minus(wo.usedResources)
}

// resetFailures ends an ejection after a successful run.
func (wo *worker) resetFailures() {
	wo.failures, wo.ejections, wo.ejectedUntil, wo.probing = 0, 0, time.Time{}, false
}

// recordFailure counts a failed or stuck run, and ejects the worker after ejectAfterFailures in a row. Failures of one job in a
// row count once, except while probing is set.
func (po *Pool) recordFailure(now time.Time, wo *worker, jobID string) {
	if jobID != wo.lastFailedJob || wo.probing {
		wo.failures++
	}
	wo.lastFailedJob = jobID
	if wo.failures < ejectAfterFailures {
		return
	}
	wo.probing = false
	backOff := min(minEjection<<min(wo.ejections, 8), maxEjection)
	wo.ejections++
	wo.ejectedUntil = now.Add(backOff)
	po.recordDecision(Decision{
		Kind: "workerEjected", Job: jobID, Worker: wo.ID, Attempt: wo.ejections, Wait: backOff,
		Reason: "consecutive runs of several jobs failed or were stuck",
	})
}

// FreeCapacity is how many tasks of typical size fit on the free resources of workers of similar speed.
type FreeCapacity struct {
	Slowdown float64 // run time relative to a worker of speed 1
	Tasks    int
}

// LoadReport describes the free capacity and the backlog of a pool for a service.
type LoadReport struct {
	Free    []FreeCapacity // by speed, fastest workers first
	Workers int            // number of usable workers
	Rate    float64        // work that these workers do per second, in millicores of speed 1
	Backlog time.Duration  // time that the workers need for the waiting work
}

// FreeTasks returns how many tasks fit on workers of all speeds.
func (lr LoadReport) FreeTasks() int {
	n := 0
	for _, fc := range lr.Free {
		n += fc.Tasks
	}
	return n
}

// Equal reports whether two reports are the same, apart from the rate.
func (lr LoadReport) Equal(ot LoadReport) bool {
	return lr.Workers == ot.Workers && lr.Backlog == ot.Backlog && slices.Equal(lr.Free, ot.Free)
}

// speedGroupsPerDoubling is how many groups of speed there are between a worker and one that is twice as fast.
const speedGroupsPerDoubling = 4

// LoadReport returns the load report of a service for the workers that may get starts now and are not restricted.
func (po *Pool) LoadReport(now time.Time, service string) LoadReport {
	var lr LoadReport
	typical := po.typicalResources(service)
	free := map[int]int{} // number of tasks, by group of speed
	ca := &candidates{offeredOnly: true}
	po.collectCandidates(now, ca, service)
	lr.Workers, lr.Rate = len(ca.workers), ca.workRate
	for _, wo := range ca.workers {
		if n := po.freeResources(wo).FitCount(typical); n > 0 {
			free[int(math.Ceil(speedGroupsPerDoubling*math.Log2(po.slowdown(wo))))] += n
		}
	}
	if lr.Rate > 0 {
		waiting := 0.0
		for _, jo := range po.readyJobs {
			if jo.Work.Service == service && jo.Offloaded == nil && !jo.ended {
				waiting += jo.unstartedWork()
			}
		}
		lr.Backlog = po.reportedBacklog(service, time.Duration(waiting/lr.Rate*float64(time.Second)).Truncate(time.Millisecond))
	}
	for _, group := range slices.Sorted(maps.Keys(free)) {
		lr.Free = append(lr.Free, FreeCapacity{Slowdown: math.Exp2(float64(group) / speedGroupsPerDoubling), Tasks: free[group]})
	}
	return lr
}
