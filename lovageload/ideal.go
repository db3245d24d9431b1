package lovageload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Worker is a worker's speed, relative to a worker of speed 1, and the number of its slots that a job can use.
type Worker struct {
	Speed float64
	Slots int
}

// IdealResponseTime returns the response time of a job on an idle network without queueing: the network round trip,
// plus the time in which the job's tasks finish on the fastest slots that are free at submission. work holds the run
// time of each task on a worker of speed 1. If no slot is free, one slot of the fastest worker counts as free.
//
// The schedule is greedy: tasks are placed longest first, each on the slot where it finishes earliest, and a slot can run
// several tasks in turn. For one task the result is the minimum. For several tasks it can exceed the minimum: work of 6, 5
// and 5 on slots of speed 3, 2 and 1 gives 3.67 where 3.33 is possible. The exact minimum is a hard problem.
//
// A job can be faster if some of its tasks start on slots that become free after submission. Response over ideal is
// then below 1. ResponseTimeBound is a true lower bound.
func IdealResponseTime(roundTrip time.Duration, work []time.Duration, workers []Worker) time.Duration {
	work = slices.Clone(work)
	slices.SortFunc(work, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	slots := fastestSlots(workers, len(work))
	if len(slots) == 0 {
		return roundTrip
	}
	var last float64
	for _, runTime := range work {
		bestSlot, end := 0, math.Inf(1)
		for i, sl := range slots {
			if taskEnd := sl.freeAt + float64(runTime)/sl.speed; taskEnd < end {
				bestSlot, end = i, taskEnd
			}
			if sl.freeAt == 0 {
				break // the remaining slots are unused too and no faster
			}
		}
		slots[bestSlot].freeAt = end
		last = max(last, end)
	}
	return roundTrip + time.Duration(last)
}

// ResponseTimeBound returns a lower bound on a job's response time with any dispatcher. It is the network round trip
// plus the larger of two times: that of the longest task on the fastest worker, and that of the whole job on all slots
// together. All slots count as free.
func ResponseTimeBound(roundTrip time.Duration, work []time.Duration, workers []Worker) time.Duration {
	var fastest, capacity float64
	for _, wo := range workers {
		if wo.Slots > 0 {
			fastest = max(fastest, wo.Speed)
			capacity += wo.Speed * float64(wo.Slots)
		}
	}
	if fastest <= 0 {
		return roundTrip
	}
	var longest, sum float64
	for _, runTime := range work {
		longest = max(longest, float64(runTime))
		sum += float64(runTime)
	}
	return roundTrip + time.Duration(max(longest/fastest, sum/capacity))
}

// slot is a slot of a worker. At freeAt, in ns from submission, the slot has finished the tasks placed on it so far.
type slot struct{ speed, freeAt float64 }

// fastestSlots returns up to n free slots, fastest first, or one slot of the fastest worker if none is free.
func fastestSlots(workers []Worker, n int) []slot {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, func(a, b Worker) int { return cmp.Compare(b.Speed, a.Speed) })
	var slots []slot
	for _, wo := range workers {
		for range wo.Slots {
			if len(slots) < n && wo.Speed > 0 {
				slots = append(slots, slot{speed: wo.Speed})
			}
		}
	}
	if len(slots) == 0 && len(workers) > 0 && workers[0].Speed > 0 {
		slots = append(slots, slot{speed: workers[0].Speed})
	}
	return slots
}
