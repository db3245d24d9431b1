package lovagedispatch

// dispatch starts tasks until each class has no task that may start, has no available worker, or waits for a faster
// slot. The next class is the one whose first team has the least virtual time.
func (co *Core) dispatch() {
	co.dispatchRound++
	for {
		var best *class
		for _, cl := range co.activeClasses {
			if cl.blockedRound != co.dispatchRound && cl.teamQueues.len() > 0 && cl.hasFreeWorker() && (best == nil || cl.before(best)) {
				best = cl
			}
		}
		if best == nil {
			return
		}
		if !co.startNextTask(best) {
			best.blockedRound = co.dispatchRound
		}
	}
}

func (cl *class) hasFreeWorker() bool {
	for _, gr := range cl.groups {
		if gr.tree.ranks[1] < unavailable {
			return true
		}
	}
	return false
}

// before reports whether the first job of the class goes before that of the other class. Fair queueing decides between
// teams, and the order of jobs within a team.
func (cl *class) before(other *class) bool {
	a, b := cl.teamQueues.top(), other.teamQueues.top()
	if a.seq != b.seq {
		return a.before(b)
	}
	return a.item.jobs.top().before(b.item.jobs.top())
}

// startNextTask starts a task of the first job of the class. It returns false, without a start, if no worker is
// available or if the job is to wait for a faster slot.
func (co *Core) startNextTask(cl *class) bool {
	jo := cl.teamQueues.top().item.jobs.top().item
	runTime := co.expectedRunTime(jo.service, jo.declaredRunTime)
	wo, rank, cost := co.chooseWorker(cl, runTime)
	if wo == nil || co.ranker.mayWait() && co.shouldWait(cl, jo, wo, cost, runTime) {
		return false
	}
	co.ranker.workerChosen(rank)
	co.startTask(jo, wo, runTime)
	return true
}

// chooseWorker returns the available worker with the least cost, or nil if there is none.
func (co *Core) chooseWorker(cl *class, runTime float64) (wo *worker, rank, cost float64) {
	cost = unavailable
	for _, gr := range cl.groups {
		i, ra, ok := gr.tree.leastRank()
		if !ok {
			continue
		}
		if c := co.ranker.cost(ra, runTime, gr.latency); c < cost {
			wo, rank, cost = gr.workers[i], ra, c
		}
	}
	return wo, rank, cost
}

// maxWaitRatio is the ratio of the expected completion time with waiting to the one without, below which a task waits
// for a faster slot. Learned slowdowns of equal workers differ by a few hundredths, so a smaller gain may be
// noise.
const maxWaitRatio = 0.9

// waitFactor multiplies the expected wait for a faster slot, because shorter jobs and other teams' jobs that come
// later may go first. With 384 slots, a factor of 2 and a maxWaitRatio of 0.9 give the best mean response time.
const waitFactor = 2

// shouldWait reports whether the queued tasks of the class are expected to complete sooner on a faster slot that is in
// use than on the free slot of wo. The estimate uses the rate at which faster slots become free. It assumes that all
// competing ready tasks wait for these slots, so slow slots are used if the queue is long. A job waits at most twice
// the expected time, so slots that do not become free delay it only briefly.
func (co *Core) shouldWait(cl *class, jo *job, wo *worker, cost, runTime float64) bool {
	if jo.waitUntil != 0 && co.now >= jo.waitUntil {
		return false
	}
	fasterBucketEnd := wo.slowdownBucket - 1 // the buckets below this index are at least two buckets faster than the worker's
	var rates [slowdownBucketCount]int64
	found := false
	for _, gr := range cl.groups {
		if gr.freeSlots == 0 && gr.capacity == 0 {
			continue
		}
		for bu := range fasterBucketEnd {
			if gr.completionRates[bu] > 0 {
				rates[bu] += gr.completionRates[bu]
				found = true
			}
		}
	}
	if !found {
		return false
	}
	rate, best, wait := int64(0), unavailable, 0.0
	ahead := waitFactor * float64(co.competingTasks(cl))
	for bu := range fasterBucketEnd {
		if rates[bu] == 0 {
			continue
		}
		rate += rates[bu]
		free := ahead * rateUnit / float64(rate)
		if total := free + runTime*bucketSlowdowns[bu]; total < best {
			best, wait = total, free
		}
	}
	if best >= maxWaitRatio*cost {
		return false
	}
	if jo.waitUntil == 0 {
		jo.waitUntil = co.now + instant(2*wait*1e9) + 1
	}
	// One pending timer per class is enough, because only the first job of a class waits. The job is considered again
	// when the timer fires.
	if cl.recheckAt <= co.now || cl.recheckAt > jo.waitUntil {
		cl.recheckAt = jo.waitUntil
		co.setTimer(jo.waitUntil, recheckTimer{})
	}
	return true
}

// competingTasks returns the number of ready tasks in all classes that share slots with the class.
func (co *Core) competingTasks(cl *class) int {
	n := 0
	for _, it := range co.activeClasses {
		if it.service == cl.service || it.service.sharesPool(cl.service) {
			n += it.readyTasks
		}
	}
	return n
}
