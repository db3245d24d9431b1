package lovagedispatch

import (
	"math"
	"slices"
)

// class is the set of queued jobs of a service that the same groups of workers may run. All these jobs compete for the
// same slots, so dispatch considers only the first job of a class.
type class struct {
	service      *service
	groups       []*group
	teamQueues   indexedHeap[*teamQueue] // by virtual time of the team; without teams at their limit
	queueByTeam  map[*team]*teamQueue
	queuedTasks  int     // queued tasks of all teams, also of those at their limit
	readyTasks   int     // queued tasks of the teams in teamQueues
	blockedRound int64   // last dispatch round in which no task of the class could start
	recheckAt    instant // time by which a waiting first job is considered again
	activeIndex  int     // index in Core.activeClasses, -1 if no job of the class is queued
}

// teamQueue holds the queued jobs of a team within a class, shortest remaining job first.
type teamQueue struct {
	team         *team
	class        *class
	jobs         indexedHeap[*job]
	queuedTasks  int
	queuedBySize [sizeBuckets]int32 // queued tasks by size bucket of their job
	heapIndex    int32              // index in class.teamQueues, -1 while the team is at its limit
	teamIndex    int                // index in team.teamQueues
}

type classKey struct {
	sv           *service
	requirements requirements
}

// maxCachedClasses is the maximum size of Core.classCache, limited because callers choose the declared sizes freely.
const maxCachedClasses = 4096

// classFor returns the class of a job, creating it if needed.
func (co *Core) classFor(sv *service, req requirements) *class {
	ke := classKey{sv, req}
	if cl := co.classCache[ke]; cl != nil {
		return cl
	}
	var groups []*group
	for _, gr := range co.groups {
		if sv.runsIn(gr.key.pool) && req.fits(gr.key) {
			groups = append(groups, gr)
		}
	}
	var cl *class
	for _, it := range sv.classes {
		if slices.Equal(it.groups, groups) {
			cl = it
			break
		}
	}
	if cl == nil {
		cl = &class{service: sv, groups: groups, queueByTeam: map[*team]*teamQueue{}, activeIndex: -1}
		cl.teamQueues.indexOf = func(tq *teamQueue) *int32 { return &tq.heapIndex }
		sv.classes = append(sv.classes, cl)
	}
	if len(co.classCache) >= maxCachedClasses {
		clear(co.classCache)
	}
	co.classCache[ke] = cl
	return cl
}

// rebuildClasses rebuilds the classes after the groups or the pools of services have changed. If the groups are the
// same as before, the classes only get the new group records.
func (co *Core) rebuildClasses(sameGroups bool) {
	if sameGroups {
		byKey := make(map[groupKey]*group, len(co.groups))
		for _, gr := range co.groups {
			byKey[gr.key] = gr
		}
		for _, sv := range co.serviceList {
			for _, cl := range sv.classes {
				for i, gr := range cl.groups {
					cl.groups[i] = byKey[gr.key]
				}
			}
		}
		return
	}
	jobs := make([]*job, 0, co.deadlines.len())
	for _, en := range co.deadlines.entries {
		jobs = append(jobs, en.item)
	}
	for _, jo := range jobs {
		co.dequeue(jo)
	}
	clear(co.classCache)
	for _, sv := range co.serviceList {
		sv.classes = nil
	}
	for _, jo := range jobs {
		co.enqueue(jo, jo.queuedTasks())
		co.scheduleExpiry(jo)
	}
}

// enqueue queues further tasks of a job, which may have queued tasks already.
func (co *Core) enqueue(jo *job, tasks int) {
	if jo.queue == nil {
		cl := co.classFor(jo.service, jo.requirements)
		tq := co.teamQueueFor(cl, jo.team)
		jo.queue = tq
		tq.jobs.push(co.orderKey(jo), jo.id, jo)
	} else {
		jo.queue.jobs.setKey(jo.queueIndex, co.orderKey(jo))
	}
	co.addQueuedTasks(jo, tasks)
}

// scheduleExpiry makes a queued job expire at its deadline.
func (co *Core) scheduleExpiry(jo *job) {
	if jo.queue != nil && jo.deadlineIndex < 0 {
		co.deadlines.push(float64(jo.deadline), jo.id, jo)
	}
}

// dequeue removes a job with all its queued tasks from the queue.
func (co *Core) dequeue(jo *job) {
	if jo.queue == nil {
		return
	}
	co.addQueuedTasks(jo, -jo.queuedTasks())
	co.removeFromQueue(jo)
}

// taskDequeued updates the queue after one task was taken from the job.
func (co *Core) taskDequeued(jo *job) {
	co.addQueuedTasks(jo, -1)
	if jo.queuedTasks() == 0 {
		co.removeFromQueue(jo)
		return
	}
	jo.queue.jobs.setKey(jo.queueIndex, co.orderKey(jo))
}

func (co *Core) removeFromQueue(jo *job) {
	tq := jo.queue
	jo.queue = nil
	tq.jobs.remove(jo.queueIndex)
	if jo.deadlineIndex >= 0 {
		co.deadlines.remove(jo.deadlineIndex)
	}
	if tq.jobs.len() == 0 {
		co.removeTeamQueue(tq)
	}
}

func (co *Core) addQueuedTasks(jo *job, tasks int) {
	tq := jo.queue
	tq.queuedTasks += tasks
	tq.class.queuedTasks += tasks
	if tq.heapIndex >= 0 {
		tq.class.readyTasks += tasks
	}
	jo.service.queuedTasks += tasks
	jo.team.queuedTasks += tasks
	tq.queuedBySize[sizeBucket(int(jo.taskCount))] += int32(tasks)
	co.queuedTasks += tasks
}

// orderKey returns the key that orders the jobs of a team: the remaining work in seconds, minus the waiting time times
// Settings.Ageing. The waiting times of all jobs grow at the same rate, so the key uses the time of arrival instead and
// need not change while a job waits.
func (co *Core) orderKey(jo *job) float64 {
	work := float64(jo.queuedTasks()) * co.expectedRunTime(jo.service, jo.declaredRunTime)
	return work + co.settings.Ageing*jo.arrivedAt.seconds()
}

// sizeBuckets is the number of buckets of job sizes. Bucket i holds jobs of at least 2^i tasks and less than twice as
// many; the last bucket holds all larger jobs.
const sizeBuckets = 12

func sizeBucket(tasks int) int {
	if tasks <= 1 {
		return 0
	}
	return min(int(math.Log2(float64(tasks))), sizeBuckets-1)
}

func (co *Core) teamQueueFor(cl *class, tm *team) *teamQueue {
	if tq := cl.queueByTeam[tm]; tq != nil {
		return tq
	}
	if len(tm.teamQueues) == 0 {
		// A team gets no credit for the time in which it had no queued jobs.
		tm.virtualTime = max(tm.virtualTime, co.virtualTime)
		co.activeWeight += tm.weight()
	}
	tq := &teamQueue{team: tm, class: cl, heapIndex: -1, teamIndex: len(tm.teamQueues)}
	tq.jobs.indexOf = func(jo *job) *int32 { return &jo.queueIndex }
	tm.teamQueues = append(tm.teamQueues, tq)
	cl.queueByTeam[tm] = tq
	if cl.activeIndex < 0 {
		cl.activeIndex = len(co.activeClasses)
		co.activeClasses = append(co.activeClasses, cl)
	}
	if !tm.atLimit() {
		cl.teamQueues.push(tm.virtualTime, tm.seq, tq)
	}
	return tq
}

func (co *Core) removeTeamQueue(tq *teamQueue) {
	cl, tm := tq.class, tq.team
	if tq.heapIndex >= 0 {
		cl.teamQueues.remove(tq.heapIndex)
	}
	delete(cl.queueByTeam, tm)
	last := len(tm.teamQueues) - 1
	tm.teamQueues[tq.teamIndex] = tm.teamQueues[last]
	tm.teamQueues[tq.teamIndex].teamIndex = tq.teamIndex
	tm.teamQueues[last] = nil
	tm.teamQueues = tm.teamQueues[:last]
	if last == 0 {
		co.activeWeight -= tm.weight()
	}
	if len(cl.queueByTeam) == 0 {
		last := len(co.activeClasses) - 1
		co.activeClasses[cl.activeIndex] = co.activeClasses[last]
		co.activeClasses[cl.activeIndex].activeIndex = cl.activeIndex
		co.activeClasses[last] = nil
		co.activeClasses = co.activeClasses[:last]
		cl.activeIndex = -1
	}
	if len(co.activeClasses) == 0 {
		co.activeWeight = 0 // discards rounding errors
	}
}
