package lovagepool

import (
	"math"
	"time"

	"lovagestack/lovagejob"
)

const (
	// sampleWeight is the weight of a new sample in a moving average; the first samples may weigh more. With 1/32, the average
	// follows a change within about 30 tasks.
	sampleWeight = 1.0 / 32
	// workerSampleWeight is the same for the slowdown of a single worker, so that a worker that turns slow is noticed within
	// a few tasks.
	workerSampleWeight = 0.25
	// declaredWeight is the weight of the caller's estimate of the run time; the queue's learned mean has the rest. The two
	// are averaged on a log scale, with equal weights because both are wrong by a similar factor.
	declaredWeight = 0.5
	// defaultRunTime is the expected run time if the caller gives no estimate and the queue has fewer than minSamples samples.
	defaultRunTime = 200 * time.Millisecond
	// maxSampleSlowdown bounds the factor, up or down, by which one measured run time may differ from the expected one.
	maxSampleSlowdown = 20.0
	// minSampleRunTime is the shortest expected run time that is used as a sample. In shorter runs, the time of the calls
	// outweighs the worker's speed.
	minSampleRunTime = 10 * time.Millisecond
	// minSamples is the number of samples from which on a learned run time or a kind's slowdown is used.
	minSamples = 5
)

// queueStats holds what is learned about the jobs of a queue.
type queueStats struct {
	service     string
	logRunTime  float64 // mean logarithm of the run time in seconds on a worker of speed 1
	samples     int
	load        float64       // average work that arrives per second, in millicores of speed 1; decays with loadTimeConstant
	loadUpdated time.Time     // when load was last updated
	slack       time.Duration // mean time from arrival to the latest start that meets the goal
}

// slowdownEstimate is a learned factor on run times. Its logarithm is 0 if runs take as long as expected, and above 0 if they
// take longer.
type slowdownEstimate struct {
	log     float64
	exp     float64 // cached exp(log); 0 if not computed
	samples int
}

// value returns the slowdown on a linear scale.
func (se *slowdownEstimate) value() float64 {
	if se.exp == 0 {
		se.exp = math.Exp(se.log)
	}
	return se.exp
}

func (se *slowdownEstimate) add(sample, weight float64) {
	se.samples++
	se.exp = 0
	se.log += (sample - se.log) * math.Max(weight, 1/float64(se.samples))
}

// meanResources is the moving average of the resources of a service's tasks.
type meanResources struct{ milliCores, memoryMB, accelerators float64 }

func (mr *meanResources) add(re lovagejob.Resources) {
	weight := sampleWeight
	if *mr == (meanResources{}) {
		weight = 1
	}
	mr.milliCores += (float64(re.MilliCores) - mr.milliCores) * weight
	mr.memoryMB += (float64(re.MemoryMB) - mr.memoryMB) * weight
	mr.accelerators += (float64(re.Accelerators) - mr.accelerators) * weight
}

// recordResources adds the task size of the job's first step to the average.
func (po *Pool) recordResources(jo *Job) {
	mr := po.meanResources[jo.Work.Service]
	if mr == nil {
		mr = &meanResources{}
		po.meanResources[jo.Work.Service] = mr
	}
	mr.add(jo.Work.Steps[0].Resources)
}

// typicalResources returns the average resources of a service's tasks, or zero if no job has been seen.
func (po *Pool) typicalResources(service string) lovagejob.Resources {
	mr := po.meanResources[service]
	if mr == nil {
		return lovagejob.Resources{}
	}
	return lovagejob.Resources{
		MilliCores: int64(math.Round(mr.milliCores)), MemoryMB: int64(math.Round(mr.memoryMB)),
		Accelerators: int64(math.Round(mr.accelerators)),
	}
}

// loadTimeConstant is the time over which arriving work is averaged.
const loadTimeConstant = 2 * time.Second

// addArrival adds an arriving job's work to the load.
func (qs *queueStats) addArrival(now time.Time, work float64, slack time.Duration) {
	qs.load = qs.currentLoad(now) + work/loadTimeConstant.Seconds()
	qs.loadUpdated = now
	if qs.slack == 0 {
		qs.slack = slack
	}
	qs.slack += time.Duration(sampleWeight * float64(slack-qs.slack))
}

// currentLoad returns the average work that arrives per second.
func (qs *queueStats) currentLoad(now time.Time) float64 {
	return qs.load * math.Exp(-now.Sub(qs.loadUpdated).Seconds()/loadTimeConstant.Seconds())
}

// urgentLoad returns the work that arrives for a service per second: in urgent, that of the queues whose mean slack is less
// than the given slack, as their jobs are served first; in all, that of all queues.
func (po *Pool) urgentLoad(now time.Time, service string, slack time.Duration) (urgent, all float64) {
	for _, qs := range po.queueStats {
		if qs.service != service {
			continue
		}
		load := qs.currentLoad(now)
		all += load
		if qs.slack < slack {
			urgent += load
		}
	}
	return urgent, all
}

func (po *Pool) statsOf(queue string) *queueStats {
	qs := po.queueStats[queue]
	if qs == nil {
		qs = &queueStats{}
		po.queueStats[queue] = qs
	}
	return qs
}

// expectedRunTime combines the caller's estimate with the run times of the queue's tasks so far.
func (qs *queueStats) expectedRunTime(declared time.Duration) time.Duration {
	known := qs.samples >= minSamples
	switch {
	case declared > 0 && known:
		logRunTime := declaredWeight*math.Log(declared.Seconds()) + (1-declaredWeight)*qs.logRunTime
		return time.Duration(math.Exp(logRunTime) * float64(time.Second))
	case declared > 0:
		return declared
	case known:
		return time.Duration(math.Exp(qs.logRunTime) * float64(time.Second))
	}
	return defaultRunTime
}

// slowdown returns the factor by which a task takes longer on the worker than on one of speed 1.
func (po *Pool) slowdown(wo *worker) float64 {
	if wo.slowdownVersion == po.slowdownVersion {
		return wo.slowdown
	}
	wo.slowdown, wo.slowdownVersion = 1, po.slowdownVersion
	if ki := po.kindSlowdowns[wo.Kind]; ki != nil && ki.samples >= minSamples {
		wo.slowdown = ki.value()
	}
	if wo.relativeSlowdown.samples > 0 {
		wo.slowdown *= wo.relativeSlowdown.value()
	}
	return wo.slowdown
}

// recordRunTime learns from the run time of a task that is done. Slowdowns of kinds are relative to the callers' estimates,
// so their mean over all kinds is near 1.
func (po *Pool) recordRunTime(ru *run, took time.Duration) {
	jo := ru.task.job
	if took <= 0 {
		return
	}
	st := &jo.Work.Steps[ru.task.step]
	wo := ru.worker
	ki := po.kindSlowdowns[wo.Kind]
	if ki == nil {
		ki = &slowdownEstimate{}
		po.kindSlowdowns[wo.Kind] = ki
	}
	expected := jo.stats.expectedRunTime(st.RunTime)
	if st.RunTime > 0 {
		expected = st.RunTime
	}
	if expected < minSampleRunTime {
		return
	}
	bound := math.Log(maxSampleSlowdown)
	sample := math.Max(-bound, math.Min(bound, math.Log(took.Seconds()/expected.Seconds())))
	// Only a deviation from the kind's slowdown by a factor of 2 or more is ascribed to the worker itself. A smaller one is
	// within the usual spread of tasks.
	deviation := sample - ki.log
	if math.Abs(deviation) < math.Ln2 {
		deviation = 0
	}
	po.slowdownVersion++
	wo.relativeSlowdown.add(deviation, workerSampleWeight)
	if deviation == 0 {
		ki.add(sample, sampleWeight)
	}
	qs := jo.stats
	qs.samples++
	weight := math.Max(sampleWeight, 1/float64(qs.samples))
	qs.logRunTime += (math.Log(took.Seconds()) - math.Log(po.slowdown(wo)) - qs.logRunTime) * weight
}
