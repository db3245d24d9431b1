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
	// workerSampleWeight replaces sampleWeight for a worker's own slowdown, so that a worker that turns slow is noticed within a
	// few tasks.
	workerSampleWeight = 0.25
	// callerEstimateWeight is the weight of the caller's run time estimate against the queue's learned mean, on a log
	// scale. Both weigh the same because both are wrong by a similar factor.
	callerEstimateWeight = 0.5
	// defaultRunTime is the expected run time without the caller's estimate and with fewer than minSamples samples of the queue.
	defaultRunTime = 200 * time.Millisecond
	// maxSampleSlowdown is the largest factor of slowdown or speed-up that is learned from a single run.
	maxSampleSlowdown = 20.0
	// minSampleRunTime is the shortest expected run time from which slowdowns are learned. In shorter runs, the time of the
	// calls to the worker outweighs the worker's speed.
	minSampleRunTime = 10 * time.Millisecond
	// minSamples is how many samples a learned run time or a kind's slowdown needs before it is used.
	minSamples = 5
)

// queueStats holds what is learned about the jobs of a queue.
type queueStats struct {
	name           string
	service        string
	meanLogRunTime float64 // mean logarithm of the run time in seconds on a worker of speed 1
	samples        int
	load           float64 // work that arrives per second, in millicores of speed 1; decays with loadTimeConstant
	loadUpdatedAt  time.Time
	jobRate        float64       // jobs that arrive per second; decays like load
	meanSlack      time.Duration // mean time from arrival to the latest start that meets the goal
	priority       int           // of the latest job
	noted          string        // service of the job whose priority was noted last
	shares         [2]float64    // under overload: shares of the smaller and of the large jobs that are admitted
	credit         [2]float64    // under overload: share summed over the jobs that have arrived, less those admitted
	sizes          int           // number of jobs from which the following is learned
	largeSize      float64       // logarithm of the work from which a job is large
	sumWork        float64       // mean work of a job
	sumLargeWork   float64       // mean over all jobs, with the work of smaller ones as 0
}

// slowdownEstimate is a learned factor on run times; its logarithm is above 0 if runs take longer than expected.
type slowdownEstimate struct {
	meanLog      float64
	cachedFactor float64 // exp(meanLog); 0: not computed
	samples      int
}

// factor returns the slowdown on a linear scale.
func (se *slowdownEstimate) factor() float64 {
	if se.cachedFactor == 0 {
		se.cachedFactor = math.Exp(se.meanLog)
	}
	return se.cachedFactor
}

func (se *slowdownEstimate) add(sample, weight float64) {
	se.samples++
	se.cachedFactor = 0
	se.meanLog += (sample - se.meanLog) * math.Max(weight, 1/float64(se.samples))
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

// recordResources adds the task size of the job's first step to the average of its service.
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

// addArrival updates the load and the mean slack for an arriving job.
func (qs *queueStats) addArrival(now time.Time, work float64, slack time.Duration) {
	qs.jobRate = qs.currentJobRate(now) + 1/loadTimeConstant.Seconds()
	qs.load = qs.currentLoad(now) + work/loadTimeConstant.Seconds()
	qs.loadUpdatedAt = now
	if qs.meanSlack == 0 {
		qs.meanSlack = slack
	}
	qs.meanSlack += time.Duration(sampleWeight * float64(slack-qs.meanSlack))
}

// currentLoad returns the load, decayed to now.
func (qs *queueStats) currentLoad(now time.Time) float64 {
	return qs.load * math.Exp(-now.Sub(qs.loadUpdatedAt).Seconds()/loadTimeConstant.Seconds())
}

// currentJobRate returns the arrival rate of jobs, decayed to now.
func (qs *queueStats) currentJobRate(now time.Time) float64 {
	return qs.jobRate * math.Exp(-now.Sub(qs.loadUpdatedAt).Seconds()/loadTimeConstant.Seconds())
}

// removeWork takes back work of a job that another owner runs and counts.
func (qs *queueStats) removeWork(now time.Time, work float64) {
	qs.load = max(qs.load-work/loadTimeConstant.Seconds()*math.Exp(now.Sub(qs.loadUpdatedAt).Seconds()/loadTimeConstant.Seconds()), 0)
}

// urgentLoad returns the work per second that arrives for a service. urgent counts only the queues whose mean slack is
// below slack, because their jobs start first; all counts every queue.
func (po *Pool) urgentLoad(now time.Time, service string, slack time.Duration) (urgent, all float64) {
	for _, qs := range po.queueStats {
		if qs.service != service {
			continue
		}
		load := qs.currentLoad(now)
		all += load
		if qs.meanSlack < slack {
			urgent += load
		}
	}
	return urgent, all
}

func (po *Pool) ensureQueueStats(queue string) *queueStats {
	qs := po.queueStats[queue]
	if qs == nil {
		qs = &queueStats{name: queue}
		po.queueStats[queue] = qs
	}
	return qs
}

// expectedRunTime returns a task's run time on a worker of speed 1, from the caller's estimate and the queue's earlier tasks.
func (qs *queueStats) expectedRunTime(declared time.Duration) time.Duration {
	known := qs.samples >= minSamples
	switch {
	case declared > 0 && known:
		logRunTime := callerEstimateWeight*math.Log(declared.Seconds()) + (1-callerEstimateWeight)*qs.meanLogRunTime
		return time.Duration(math.Exp(logRunTime) * float64(time.Second))
	case declared > 0:
		return declared
	case known:
		return time.Duration(math.Exp(qs.meanLogRunTime) * float64(time.Second))
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
		wo.slowdown = ki.factor()
	}
	if wo.relativeSlowdown.samples > 0 {
		wo.slowdown *= wo.relativeSlowdown.factor()
	}
	return wo.slowdown
}

// recordRunTime learns from the run time of a task that is done. Slowdowns of kinds are relative to the callers'
// estimates, so the mean slowdown over all kinds is near 1.
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
	// Only a deviation from the kind's slowdown by a factor of 2 or more is ascribed to the worker; smaller ones are usual.
	deviation := sample - ki.meanLog
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
	qs.meanLogRunTime += (math.Log(took.Seconds()) - math.Log(po.slowdown(wo)) - qs.meanLogRunTime) * weight
}
