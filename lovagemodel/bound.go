package lovagemodel

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Bound is what no policy can exceed in Result.Window on the jobs of a simulation, also with perfect knowledge of all jobs and run times.
//
// It is the value of a Lagrangian dual. The workers of a kind, by capacity and speed, are given a price for each interval of time,
// and a task pays for the share of a worker that it takes, for as long as it runs there. A job chooses the outcome that earns most
// after the cheapest interval and kind of worker that it could use before its goal or its deadline: in time, late, or not served.
// Whatever a policy serves must pay at most the price of the whole capacity, so the value of the capacity plus what the jobs earn
// beyond their payments is an upper bound for any prices that are not negative. The search for good prices only tightens it.
//
// Packing enters through the share of a worker that a task takes. It may be any dual feasible function of its size relative to the
// worker: one by which the shares of tasks that fit together add up to at most 1. Besides the size itself, the functions of Fekete
// and Schepers count, for example, each task of more than a third of the worker as a half, because no three of them fit.
//
// What the bound leaves out makes it larger, never smaller: each job may be served in part, its tasks may be interrupted and moved,
// all of its work may be done at one moment, and calls take no time. Runs take their usual time, without SlowRunShare, because with
// perfect knowledge a slow run would be stopped at once and started again. Workers with a fault other than a crash or slowness count
// as usable.
type Bound struct {
	Work  float64 // work of served jobs, in core-seconds on a worker of speed 1
	Value float64 // earned value
}

// Bounds are the bounds for the jobs of a simulation.
type Bounds struct {
	Any Bound // no policy can exceed it
	// NoRestart applies to policies that never stop a slow run to start the task again, which a policy without knowledge of run times can
	// hardly gain from. It equals Any without SlowRunShare.
	NoRestart Bound
}

// SimulateWithBounds runs the load once and computes the bounds for the same jobs. The load must have PairedRunTimes.
func SimulateWithBounds(lo Load, seed uint64) (Result, Bounds) {
	si := simulate(lo, seed)
	bounds := Bounds{Any: newDual(si, false).bound()}
	bounds.NoRestart = bounds.Any
	if lo.SlowRunShare > 0 {
		bounds.NoRestart = newDual(si, true).bound()
	}
	return si.result, bounds
}

const (
	boundCell = 100 * time.Millisecond // interval of time with one price
	// maxDivisions is the largest number of parts of a worker by which the share of a task is rounded.
	maxDivisions = 4
	// packingSample is about how many jobs the search for packing weights uses.
	packingSample = 3000
)

// boundJob is a job as the bound sees it.
type boundJob struct {
	milliCores             int64
	runTime                float64 // sum over its tasks, in seconds at speed 1
	work, value            float64
	firstCell              int
	inTimeCell, usefulCell int // last cells in which it may run to be in time, or late and useful; -1: impossible
}

// boundKind is the workers of one capacity and speed.
type boundKind struct {
	milliCores int64
	speed      float64
	time       []float64 // seconds of use by cell, over all workers
	price      float64   // relative to the other kinds
	weights    [maxDivisions + 1]float64
}

// dual is the dual problem of one simulation.
type dual struct {
	jobs  []boundJob
	kinds []boundKind
	cells int
	// changes are the cells in which the load or the workers change, ascending, with cells at the end.
	changes []int
}

// share returns the share of a worker that a task takes by the dual feasible function of Fekete and Schepers with the given number of
// divisions, or by its size if that is 0.
func share(milliCores, capacity int64, divisions int) float64 {
	k := int64(divisions)
	if k == 0 || milliCores*(k+1)%capacity == 0 {
		return float64(milliCores) / float64(capacity)
	}
	return float64(milliCores*(k+1)/capacity) / float64(k)
}

// newDual collects the jobs and the capacity of the window. With noRestart, the first run of each task is its only one.
func newDual(si *simulation, noRestart bool) *dual {
	begin, end := si.window()
	du := &dual{cells: int((end.Sub(begin) + boundCell - 1) / boundCell)}
	cellAt := func(at time.Time) int { return min(max(int(at.Sub(begin)/boundCell), 0), du.cells-1) }
	longest := time.Duration(0) // time after its arrival until which any job may usefully run
	fastest := slices.Max(si.load.WorkerSpeeds)
	for _, jr := range si.jobList {
		sum, largest := 0.0, 0.0
		for i, factor := range jr.taskFactors {
			if noRestart && jr.firstSlow[i] {
				factor *= si.load.SlowRunFactor
			}
			sum += factor
			largest = max(largest, factor)
		}
		// The pool notices a passed deadline at its next tick.
		usefulFor := min(maxLateFactor*jr.goal, jr.workload.Deadline.Sub(jr.arrived)+tickInterval)
		longest = max(longest, usefulFor)
		if jr.arrived.Add(usefulFor).Before(begin) || jr.arrived.After(end) {
			continue
		}
		shortest := time.Duration(float64(jr.runTime) * largest / fastest)
		jo := boundJob{
			milliCores: jr.workload.Steps[0].Resources.MilliCores, runTime: sum * jr.runTime.Seconds(), work: jr.work, value: jr.value,
			firstCell: cellAt(jr.arrived), inTimeCell: -1, usefulCell: -1,
		}
		if shortest <= usefulFor {
			jo.usefulCell = cellAt(jr.arrived.Add(usefulFor))
		}
		if inTimeFor := min(jr.goal, usefulFor); shortest <= inTimeFor && !jr.arrived.Add(inTimeFor).Before(begin) {
			jo.inTimeCell = cellAt(jr.arrived.Add(inTimeFor))
		}
		du.jobs = append(du.jobs, jo)
	}
	var changes []time.Duration
	for _, bu := range si.load.Bursts {
		changes = append(changes, bu.Start, bu.Start+bu.Duration)
	}
	for _, fa := range si.load.Faults {
		changes = append(changes, fa.Start, fa.Start+fa.Duration)
	}
	for _, at := range changes {
		if cell := cellAt(si.start.Add(at)); cell > 0 {
			du.changes = append(du.changes, cell)
		}
	}
	du.changes = append(du.changes, du.cells)
	slices.Sort(du.changes)
	du.changes = slices.Compact(du.changes)
	for _, ow := range si.owners {
		for _, sw := range ow.workers {
			du.addWorker(sw, begin, longest)
		}
	}
	return du
}

// addWorker adds the time for which a worker can be used. After the beginning of slowness, it counts in full for the longest time that a
// useful run may take, because earlier runs go on at full speed.
func (du *dual) addWorker(sw *simWorker, begin time.Time, longestRun time.Duration) {
	at := slices.IndexFunc(du.kinds, func(bk boundKind) bool { return bk.milliCores == sw.Capacity.MilliCores && bk.speed == sw.speed })
	if at < 0 {
		at = len(du.kinds)
		du.kinds = append(du.kinds, boundKind{milliCores: sw.Capacity.MilliCores, speed: sw.speed, time: make([]float64, du.cells)})
	}
	for cell := range du.cells {
		start := begin.Add(time.Duration(cell) * boundCell)
		end := start.Add(boundCell)
		usable := boundCell.Seconds()
		for _, fp := range sw.faults {
			from, lost := fp.start, 1.0
			switch fp.kind {
			case FaultCrash:
			case FaultSlow:
				from, lost = from.Add(longestRun), 1-1.0/slowFaultFactor
			case FaultErrors, FaultHang, FaultSilent, FaultLate:
				continue
			}
			usable -= lost * max(earlier(fp.end, end).Sub(later(from, start)).Seconds(), 0)
		}
		du.kinds[at].time[cell] += max(usable, 0)
	}
}

// payment returns what a job pays at a price of 1.
func (du *dual) payment(jo *boundJob) float64 {
	least := math.Inf(1)
	for i := range du.kinds {
		bk := &du.kinds[i]
		if jo.milliCores > bk.milliCores {
			continue
		}
		part := 0.0
		for divisions, weight := range bk.weights {
			if weight > 0 {
				part += weight * share(jo.milliCores, bk.milliCores, divisions)
			}
		}
		least = min(least, bk.price*part/bk.speed)
	}
	return least * jo.runTime
}

// capacity returns the value of the workers' time by cell at a price of 1.
func (du *dual) capacity() []float64 {
	list := make([]float64, du.cells)
	for _, bk := range du.kinds {
		for cell, seconds := range bk.time {
			list[cell] += bk.price * seconds
		}
	}
	return list
}

func (du *dual) bound() Bound {
	return Bound{
		Work:  du.minimize(func(jo *boundJob) (inTime, late float64) { return jo.work, jo.work }),
		Value: du.minimize(func(jo *boundJob) (inTime, late float64) { return jo.value, lateValueShare * jo.value }),
	}
}

// minimize returns the least bound that the search finds. earnings returns what a job earns in time and late.
func (du *dual) minimize(earnings func(jo *boundJob) (inTime, late float64)) float64 {
	for i := range du.kinds {
		bk := &du.kinds[i]
		bk.price, bk.weights = bk.speed*float64(bk.milliCores), [maxDivisions + 1]float64{1} // cores of speed 1, by size
	}
	prices, before := du.searchPrices(earnings, nil)
	du.searchPacking(earnings, prices)
	_, after := du.searchPrices(earnings, prices)
	return min(before, after)
}

// searchPrices searches for the prices of the cells, from those given, and returns them with their bound. A first search finds one
// price for all cells. Then the search moves the prices of groups of neighbouring cells, which it halves step by step: with a price
// for each cell, small differences would let each job find a cheap one.
func (du *dual) searchPrices(earnings func(jo *boundJob) (inTime, late float64), prices []float64) ([]float64, float64) {
	capacity := du.capacity()
	payments := make([]float64, len(du.jobs))
	highest := 0.0
	for i := range du.jobs {
		payments[i] = du.payment(&du.jobs[i])
		inTime, _ := earnings(&du.jobs[i])
		highest = max(highest, inTime/payments[i])
	}
	evaluate := func() float64 { return du.evaluate(earnings, payments, capacity, prices) }
	if prices == nil {
		prices = make([]float64, du.cells)
		at := func(price float64) float64 {
			for i := range prices {
				prices[i] = price
			}
			return evaluate()
		}
		at(minimizeConvex(0, highest, 60, at))
	}
	best := evaluate()
	former := make([]float64, du.cells)
	for _, groups := range [][]int{du.groups(1), du.groups(2), du.groups(4)} {
		for range 3 {
			improved := false
			for first := range len(groups) - 1 {
				for _, last := range []int{first + 1, first + 2, len(groups) - 1} {
					if last >= len(groups) {
						continue
					}
					for _, factor := range []float64{0, 0.7, 0.9, 0.97, 1.03, 1.1, 1.4} {
						copy(former, prices)
						for i := groups[first]; i < groups[last]; i++ {
							prices[i] *= factor
						}
						if bound := evaluate(); bound < best*(1-1e-6) {
							best, improved = bound, true
						} else {
							copy(prices, former)
						}
					}
				}
			}
			if !improved {
				break
			}
		}
	}
	return prices, best
}

// groups returns the limits of groups of cells: those between changes of the load, each divided into the given number of parts.
func (du *dual) groups(parts int) []int {
	list := []int{0}
	for _, limit := range du.changes {
		first := list[len(list)-1]
		for part := 1; part <= parts; part++ {
			if at := first + (limit-first)*part/parts; at > list[len(list)-1] {
				list = append(list, at)
			}
		}
	}
	return list
}

// evaluate returns the bound at the given prices.
func (du *dual) evaluate(earnings func(jo *boundJob) (inTime, late float64), payments, capacity, prices []float64) float64 {
	bound := 0.0
	for i, ca := range capacity {
		bound += ca * prices[i]
	}
	cheapest := newRangeMin(prices)
	for i := range du.jobs {
		jo := &du.jobs[i]
		inTime, late := earnings(jo)
		gain := 0.0
		if jo.inTimeCell >= 0 {
			gain = max(gain, inTime-payments[i]*cheapest.within(jo.firstCell, jo.inTimeCell))
		}
		if jo.usefulCell >= 0 {
			gain = max(gain, late-payments[i]*cheapest.within(jo.firstCell, jo.usefulCell))
		}
		bound += gain
	}
	return bound
}

// searchPacking searches for the price of each kind of worker and the weights of the dual feasible functions, with a sample of the
// jobs. It scales the prices of the cells to what it finds.
func (du *dual) searchPacking(earnings func(jo *boundJob) (inTime, late float64), prices []float64) {
	every := max(len(du.jobs)/packingSample, 1)
	sample := &dual{kinds: du.kinds, cells: du.cells}
	for i := 0; i < len(du.jobs); i += every {
		sample.jobs = append(sample.jobs, du.jobs[i])
	}
	payments, scaled := make([]float64, len(sample.jobs)), make([]float64, len(prices))
	evaluate := func() (bound, scale float64) {
		capacity := sample.capacity()
		for i := range capacity {
			capacity[i] *= float64(len(sample.jobs)) / float64(len(du.jobs))
		}
		for i := range sample.jobs {
			payments[i] = sample.payment(&sample.jobs[i])
		}
		at := func(scale float64) float64 {
			for i, price := range prices {
				scaled[i] = scale * price
			}
			return sample.evaluate(earnings, payments, capacity, scaled)
		}
		scale = minimizeConvex(0.3, 2, 16, at)
		return at(scale), scale
	}
	best, bestScale := evaluate()
	for range 3 {
		for i := range sample.kinds {
			bk := &sample.kinds[i]
			keepIfBetter := func(former boundKind) {
				if bound, scale := evaluate(); bound < best*(1-1e-6) {
					best, bestScale = bound, scale
				} else {
					*bk = former
				}
			}
			for _, factor := range []float64{0.95, 0.98, 1.02, 1.05, 1.1} {
				former := *bk
				bk.price *= factor
				keepIfBetter(former)
			}
			for divisions := range bk.weights {
				for _, step := range []float64{0.1, 0.3, 1} {
					former := *bk
					for k := range bk.weights {
						bk.weights[k] *= 1 - step
					}
					bk.weights[divisions] += step
					keepIfBetter(former)
				}
			}
		}
	}
	for i := range prices {
		prices[i] *= bestScale
	}
}

// minimizeConvex returns about where a convex function is least between low and high.
func minimizeConvex(low, high float64, steps int, at func(float64) float64) float64 {
	for range steps {
		third := (high - low) / 3
		if at(low+third) <= at(high-third) {
			high -= third
		} else {
			low += third
		}
	}
	return low
}

// rangeMin finds the least value of a range of a list.
type rangeMin struct {
	levels [][]float64 // least values of 1, 2, 4 and so on elements
}

func newRangeMin(list []float64) rangeMin {
	rm := rangeMin{[][]float64{list}}
	for width := 2; width <= len(list); width *= 2 {
		below := rm.levels[len(rm.levels)-1]
		level := make([]float64, len(list)-width+1)
		for i := range level {
			level[i] = min(below[i], below[i+width/2])
		}
		rm.levels = append(rm.levels, level)
	}
	return rm
}

// within returns the least value from first to last.
func (rm rangeMin) within(first, last int) float64 {
	level := bits.Len(uint(last-first+1)) - 1
	return min(rm.levels[level][first], rm.levels[level][last+1-1<<level])
}
