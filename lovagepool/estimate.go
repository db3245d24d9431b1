package lovagepool

import (
	"math"
	"time"

	"lovagestack/lovagejob"
)

const (
	// speedWeight of a new sample, after the first ones; 1/32 follows a change within about 30 tasks.
	speedWeight = 1.0 / 32
	// workerWeight follows a worker that turns slow within a few tasks.
	workerWeight = 0.25
	// estimateWeight is the share of the caller's estimate against the learned mean of its queue, on a log scale. Both
	// are off by a similar factor.
	estimateWeight = 0.5
	// defaultRunTime is used for a queue without estimates and without samples.
	defaultRunTime = 200 * time.Millisecond
	// maxSpeedFactor bounds what one sample can say.
	maxSpeedFactor = 20.0
	// minRunTime is the shortest expected run time from which a worker's speed is learned; below it the time that calls
	// take counts for more.
	minRunTime = 10 * time.Millisecond
	// minSamples before a learned figure is used.
	minSamples = 5
)

// class holds what is learned about the jobs of a queue.
type class struct {
	service string
	logWork float64 // mean of the logarithm of run time in seconds on a worker of speed 1
	samples int
	load    float64       // work that arrives, in thousandths of a core of speed 1; decays with loadTime
	loadAt  time.Time     // when load was last brought up to date
	slack   time.Duration // mean time from arrival to the latest start
}

// speed is a learned factor on run times, on a log scale: 0 is as estimated, above 0 slower.
type speed struct {
	log     float64
	exp     float64 // of log, 0 if it has not been computed
	samples int
}

// factor is the speed on a linear scale.
func (sp *speed) factor() float64 {
	if sp.exp == 0 {
		sp.exp = math.Exp(sp.log)
	}
	return sp.exp
}

func (sp *speed) add(sample, weight float64) {
	sp.samples++
	sp.exp = 0
	sp.log += (sample - sp.log) * math.Max(weight, 1/float64(sp.samples))
}

// meanRoom is the mean room of the tasks of a service, over its last jobs.
type meanRoom struct{ milliCores, memoryMB, accelerators float64 }

func (mr *meanRoom) add(ro lovagejob.Resources) {
	weight := speedWeight
	if *mr == (meanRoom{}) {
		weight = 1
	}
	mr.milliCores += (float64(ro.MilliCores) - mr.milliCores) * weight
	mr.memoryMB += (float64(ro.MemoryMB) - mr.memoryMB) * weight
	mr.accelerators += (float64(ro.Accelerators) - mr.accelerators) * weight
}

// noteRoom takes the size of a job's tasks.
func (po *Pool) noteRoom(jo *Job) {
	mr := po.rooms[jo.Work.Service]
	if mr == nil {
		mr = &meanRoom{}
		po.rooms[jo.Work.Service] = mr
	}
	mr.add(jo.Work.Steps[0].Resources)
}

// usualRoom returns the mean room of a service's tasks, or an empty one if no job has been seen.
func (po *Pool) usualRoom(service string) lovagejob.Resources {
	mr := po.rooms[service]
	if mr == nil {
		return lovagejob.Resources{}
	}
	return lovagejob.Resources{
		MilliCores: int64(math.Round(mr.milliCores)), MemoryMB: int64(math.Round(mr.memoryMB)),
		Accelerators: int64(math.Round(mr.accelerators)),
	}
}

// loadTime is the time over which arriving work is averaged.
const loadTime = 2 * time.Second

// arrive counts the work of a job that has arrived.
func (cl *class) arrive(now time.Time, work float64, slack time.Duration) {
	cl.load = cl.loadNow(now) + work/loadTime.Seconds()
	cl.loadAt = now
	if cl.slack == 0 {
		cl.slack = slack
	}
	cl.slack += time.Duration(speedWeight * float64(slack-cl.slack))
}

// loadNow returns the mean work per second that arrives.
func (cl *class) loadNow(now time.Time) float64 {
	return cl.load * math.Exp(-now.Sub(cl.loadAt).Seconds()/loadTime.Seconds())
}

// urgentLoad returns the work per second that arrives with less time to spare than given, and will go first, and the
// work of all classes of the service.
func (po *Pool) urgentLoad(now time.Time, service string, left time.Duration) (urgent, all float64) {
	for _, cl := range po.classes {
		if cl.service != service {
			continue
		}
		load := cl.loadNow(now)
		all += load
		if cl.slack < left {
			urgent += load
		}
	}
	return urgent, all
}

func (po *Pool) classOf(queue string) *class {
	cl := po.classes[queue]
	if cl == nil {
		cl = &class{}
		po.classes[queue] = cl
	}
	return cl
}

// expectedRunTime combines the caller's estimate with what the queue's tasks took.
func (cl *class) expectedRunTime(declared time.Duration) time.Duration {
	known := cl.samples >= minSamples
	switch {
	case declared > 0 && known:
		lo := estimateWeight*math.Log(declared.Seconds()) + (1-estimateWeight)*cl.logWork
		return time.Duration(math.Exp(lo) * float64(time.Second))
	case declared > 0:
		return declared
	case known:
		return time.Duration(math.Exp(cl.logWork) * float64(time.Second))
	}
	return defaultRunTime
}

// factor returns by how much longer than on a worker of speed 1 a task takes on the worker.
func (po *Pool) factor(wo *worker) float64 {
	if wo.factorAt == po.learned {
		return wo.factor
	}
	wo.factor, wo.factorAt = 1, po.learned
	if ki := po.kinds[wo.Kind]; ki != nil && ki.samples >= minSamples {
		wo.factor = ki.factor()
	}
	if wo.speed.samples > 0 {
		wo.factor *= wo.speed.factor()
	}
	return wo.factor
}

// learn takes the run time of a task that is done. The kinds' factors are relative to the callers' estimates, so the
// mean over all kinds is near 1.
func (po *Pool) learn(ru *run, took time.Duration) {
	jo := ru.task.job
	if took <= 0 {
		return
	}
	st := &jo.Work.Steps[ru.task.step]
	wo := ru.worker
	ki := po.kinds[wo.Kind]
	if ki == nil {
		ki = &speed{}
		po.kinds[wo.Kind] = ki
	}
	expected := jo.class.expectedRunTime(st.RunTime)
	if st.RunTime > 0 {
		expected = st.RunTime
	}
	if expected < minRunTime {
		return
	}
	bound := math.Log(maxSpeedFactor)
	sample := math.Max(-bound, math.Min(bound, math.Log(took.Seconds()/expected.Seconds())))
	// A worker counts as slow against its kind only by what is far outside the spread of single tasks.
	off := sample - ki.log
	if math.Abs(off) < math.Ln2 {
		off = 0
	}
	po.learned++
	wo.speed.add(off, workerWeight)
	if off == 0 {
		ki.add(sample, speedWeight)
	}
	cl := jo.class
	cl.samples++
	wei := math.Max(speedWeight, 1/float64(cl.samples))
	cl.logWork += (math.Log(took.Seconds()) - math.Log(po.factor(wo)) - cl.logWork) * wei
}
