package lovageload

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagestack/lovagejob"
)

// Outcomes of jobs without an answer.
const (
	OutcomeError   = "error"   // the target returned an error
	OutcomeNotSent = "notSent" // not sent, because Options.MaxOutstanding jobs were in progress
)

// Quantiles are the mean, some quantiles and the maximum of a distribution.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Report is the result of a load run, without the jobs of the warm-up. Jobs, Tasks, Outcomes and SendDelaySeconds cover
// all other jobs. The quantiles of response times cover only complete jobs with no planned cancellation.
type Report struct {
	Name     string           `json:"name"`
	Seed     uint64           `json:"seed"`
	Rate     float64          `json:"jobsPerSecond"`
	Jobs     int64            `json:"jobs"`
	Tasks    int64            `json:"tasks"`
	Outcomes map[string]int64 `json:"outcomes"`

	ResponseSeconds   Quantiles    `json:"responseSeconds"`
	ResponseOverIdeal Quantiles    `json:"responseOverIdeal"` // can be below 1, see IdealResponseTime
	ResponseOverBound Quantiles    `json:"responseOverBound"` // at least 1, see ResponseTimeBound; 0 without Options.AllWorkers
	SendDelaySeconds  Quantiles    `json:"sentLateSeconds"`   // actual less intended send time; part of the response time
	BySize            []SizeBucket `json:"overIdealBySize"`
	Curve             []Point      `json:"overIdealCurve"` // response over ideal (Y) by percentile (X, 0 to 100)

	Messages     Messages `json:"messages"`
	CancelFailed int64    `json:"cancelFailed"` // cancellations that returned an error, warm-up included
}

// SizeBucket holds response over ideal of the jobs with From to To tasks, both included.
type SizeBucket struct {
	From              int       `json:"from"`
	To                int       `json:"to"`
	Jobs              int64     `json:"jobs"`
	ResponseOverIdeal Quantiles `json:"responseOverIdeal"`
}

// sizeBucketLimits are the values of SizeBucket.To in Report.BySize. The last bucket also has all larger jobs.
var sizeBucketLimits = []int{1, 9, 49, 350}

// Messages counts the messages that the system under test sent. Package lovagebench defines the kinds.
type Messages struct {
	Useful    int64 `json:"useful"`
	Refused   int64 `json:"refused"`
	Probed    int64 `json:"probed"`
	Forwarded int64 `json:"forwarded"`
	Polled    int64 `json:"polled"`
	Duplicate int64 `json:"duplicate"`
}

// Wasted returns the number of messages that were not useful.
func (me Messages) Wasted() int64 {
	return me.Refused + me.Probed + me.Forwarded + me.Polled + me.Duplicate
}

func (me Messages) sub(other Messages) Messages {
	return Messages{
		Useful:    me.Useful - other.Useful,
		Refused:   me.Refused - other.Refused,
		Probed:    me.Probed - other.Probed,
		Forwarded: me.Forwarded - other.Forwarded,
		Polled:    me.Polled - other.Polled,
		Duplicate: me.Duplicate - other.Duplicate,
	}
}

// MessagesPerTask returns the useful and the wasted messages per task.
func (re *Report) MessagesPerTask() (useful, wasted float64) {
	if re.Tasks == 0 {
		return 0, 0
	}
	return float64(re.Messages.Useful) / float64(re.Tasks), float64(re.Messages.Wasted()) / float64(re.Tasks)
}

type measurement struct {
	job                                *Job
	afterWarmUp                        bool
	sendDelay, idealResponse, response time.Duration
	responseBound                      time.Duration // lower bound of the response time; 0 without Options.AllWorkers
	outcome                            string
}

// recorder aggregates measurements. Its histograms have three significant digits. They hold durations up to 1 h in
// units of 1 µs, and ratios up to 1,000,000 in units of 0.001.
type recorder struct {
	mu                                     sync.Mutex
	response, responseOverIdeal, sendDelay distribution
	responseOverBound                      distribution
	responseOverIdealBySize                []distribution // one for each of sizeBucketLimits
	outcomes                               map[string]int64
	jobs, tasks                            int64
	cancelFailed                           atomic.Int64
}

// distribution is a histogram with an exact mean. scaledSum is an integer, the sum times sumScale, because a sum of floats
// would depend on the order in which the jobs finish.
type distribution struct {
	histogram  *hdrhistogram.Histogram
	unit       float64 // value that 1 in the histogram represents
	scaledSum  int64
	valueCount int64
}

// sumScale is what 1 s or a ratio of 1 adds to distribution.scaledSum. An int64 can then hold a sum of up to 9e9.
const sumScale = 1e9

func newDistribution(maxScaled int64, unit float64) distribution {
	return distribution{histogram: hdrhistogram.New(1, maxScaled, 3), unit: unit}
}

func (di *distribution) add(value float64) {
	di.scaledSum += int64(math.Round(value * sumScale))
	di.valueCount++
	scaled := min(max(int64(value/di.unit+0.5), 0), di.histogram.HighestTrackableValue())
	_ = di.histogram.RecordValue(scaled) // fails only outside the range
}

func (di *distribution) quantiles() Quantiles {
	if di.valueCount == 0 {
		return Quantiles{}
	}
	quantile := func(q float64) float64 { return float64(di.histogram.ValueAtQuantile(q)) * di.unit }
	return Quantiles{
		Mean: float64(di.scaledSum) / sumScale / float64(di.valueCount), P50: quantile(50), P99: quantile(99), P999: quantile(99.9), Max: float64(di.histogram.Max()) * di.unit,
	}
}

func newRecorder() *recorder {
	hourMicros := time.Hour.Microseconds()
	rec := &recorder{
		response: newDistribution(hourMicros, 1e-6), sendDelay: newDistribution(hourMicros, 1e-6), responseOverIdeal: newDistribution(1_000_000_000, 1e-3),
		responseOverBound: newDistribution(1_000_000_000, 1e-3),
		outcomes:          make(map[string]int64),
	}
	for range sizeBucketLimits {
		rec.responseOverIdealBySize = append(rec.responseOverIdealBySize, newDistribution(1_000_000_000, 1e-3))
	}
	return rec
}

func (rec *recorder) add(me measurement) {
	if !me.afterWarmUp {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.jobs++
	rec.tasks += int64(len(me.job.Tasks))
	rec.outcomes[me.outcome]++
	rec.sendDelay.add(max(0, me.sendDelay.Seconds()))
	if me.outcome != string(lovagejob.Complete) || me.job.CancelAt > 0 || me.idealResponse <= 0 {
		return
	}
	rec.response.add(me.response.Seconds())
	ratio := me.response.Seconds() / me.idealResponse.Seconds()
	rec.responseOverIdeal.add(ratio)
	if me.responseBound > 0 {
		rec.responseOverBound.add(me.response.Seconds() / me.responseBound.Seconds())
	}
	bucket := sort.SearchInts(sizeBucketLimits, len(me.job.Tasks))
	rec.responseOverIdealBySize[min(bucket, len(sizeBucketLimits)-1)].add(ratio)
}

// curvePercentiles are the X values of Report.Curve.
var curvePercentiles = []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 99.99, 100}

func (rec *recorder) report() *Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	re := &Report{
		Jobs: rec.jobs, Tasks: rec.tasks, Outcomes: rec.outcomes, CancelFailed: rec.cancelFailed.Load(),
		ResponseSeconds: rec.response.quantiles(), ResponseOverIdeal: rec.responseOverIdeal.quantiles(), ResponseOverBound: rec.responseOverBound.quantiles(),
		SendDelaySeconds: rec.sendDelay.quantiles(),
	}
	from := 1
	for i, to := range sizeBucketLimits {
		re.BySize = append(re.BySize, SizeBucket{From: from, To: to, Jobs: rec.responseOverIdealBySize[i].valueCount, ResponseOverIdeal: rec.responseOverIdealBySize[i].quantiles()})
		from = to + 1
	}
	if rec.responseOverIdeal.valueCount > 0 {
		for _, percentile := range curvePercentiles {
			re.Curve = append(re.Curve, Point{X: percentile, Y: float64(rec.responseOverIdeal.histogram.ValueAtQuantile(percentile)) * rec.responseOverIdeal.unit})
		}
	}
	return re
}
