package lovageload

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Checks arrival times before, within and after bursts.
func TestAdvance(t *testing.T) {
	burst := Burst{Period: 10 * time.Second, Length: 2 * time.Second, Factor: 4}
	for _, tc := range []struct {
		at, want time.Duration
		seconds  float64
		burst    Burst
	}{
		{time.Second, 2500 * ms, 1.5, Burst{}},
		{0, 5 * time.Second, 5, burst},
		{0, 8 * time.Second, 8, burst},                                                      // ends at the start of the burst
		{7 * time.Second, 8250 * ms, 2, burst},                                              // 1 before, 1 within the burst
		{8 * time.Second, 11 * time.Second, 9, burst},                                       // 8 within the burst, 1 after
		{0, 28 * time.Second, 8 + 8 + 8 + 8 + 8, burst},                                     // two whole periods and 8 s
		{0, 12 * time.Second, 10, Burst{Period: 10 * time.Second, Length: 2 * time.Second}}, // factor 0: no arrivals in bursts
	} {
		must.Eq(t, tc.want, advance(tc.at, tc.seconds, tc.burst), must.Sprintf("%+v", tc))
	}
}

// Checks the rates inside and outside bursts, and that one seed always gives the same jobs.
func TestArrivals(t *testing.T) {
	model := DefaultModel(7)
	model.Rate, model.Duration = 100, 100*time.Second
	model.Burst = Burst{Period: 10 * time.Second, Length: time.Second, Factor: 5}
	jobs, err := model.Jobs()
	must.NoError(t, err)
	again, err := model.Jobs()
	must.NoError(t, err)
	must.Eq(t, jobs, again)
	inBurst := 0
	for i, jo := range jobs {
		must.True(t, i == 0 || jobs[i-1].SendAt <= jo.SendAt)
		if jo.SendAt%(10*time.Second) >= 9*time.Second {
			inBurst++
		}
	}
	// 5000 jobs in bursts and 9000 outside are expected; the bounds are 6 standard deviations.
	must.Between(t, 5000-425, inBurst, 5000+425)
	must.Between(t, 9000-570, len(jobs)-inBurst, 9000+570)
}

// Checks that jobs and tasks are within the limits of the model, and that its rare cases have the right shares.
func TestDefaultModel(t *testing.T) {
	model := DefaultModel(3)
	model.Rate = 500
	jobs, err := model.Jobs()
	must.NoError(t, err)
	var tasks, stragglers, cancelled, small, long, large int
	for _, jo := range jobs {
		var sum float64
		for _, ta := range jo.Tasks {
			must.Between(t, 50*ms, ta.RunTime, 8*time.Second)
			sum += ta.RunTime.Seconds()
			if ta.Slowdown > 1 {
				stragglers++
			}
			if ta.RunTime > time.Second {
				long++
			}
		}
		n := len(jo.Tasks)
		must.Between(t, 1, n, 350)
		tasks += n
		if n <= 3 {
			small++
		}
		if n > 100 {
			large++
		}
		errorFactor := jo.DeclaredRunTime.Seconds() / (sum / float64(n))
		must.Between(t, 0.0999, errorFactor, 10.001)
		if jo.CancelAt > 0 {
			must.Greater(t, jo.SendAt, jo.CancelAt)
			cancelled++
		}
	}
	must.Between(t, 0.007, float64(stragglers)/float64(tasks), 0.013)
	must.Between(t, 0.007, float64(cancelled)/float64(len(jobs)), 0.013)
	must.Between(t, 0.70, float64(small)/float64(len(jobs)), 0.90)
	must.Positive(t, long)
	must.Positive(t, large)
}

// Checks that jobs at the returned rate need the requested fraction of the workers' capacity.
func TestRateForLoad(t *testing.T) {
	model := DefaultModel(5)
	workers := []Worker{{Speed: 1, Slots: 8}, {Speed: 2.5, Slots: 8}} // capacity: 28 seconds of work per second
	model.Rate, model.Duration = model.RateForLoad(0.6, workers), 2*time.Hour
	jobs, err := model.Jobs()
	must.NoError(t, err)
	var work float64
	for _, jo := range jobs {
		work += jo.Work().Seconds()
	}
	must.Between(t, 0.56, work/(28*model.Duration.Seconds()), 0.64)
}

// Checks that the bound is at most the response time of a feasible schedule. Otherwise a response could be below the
// bound.
func TestBoundIsNeverBeaten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		work := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond
		}), 1, 30).Draw(rt, "work")
		workers := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Worker {
			return Worker{Speed: rapid.Float64Range(0.2, 3).Draw(rt, "speed"), Slots: rapid.IntRange(1, 8).Draw(rt, "slots")}
		}), 1, 6).Draw(rt, "workers")
		// With all slots free, the schedule of IdealResponseTime is feasible. Rounding to ns allows bound = ideal + 1.
		if bound, ideal := ResponseTimeBound(time.Millisecond, work, workers), IdealResponseTime(time.Millisecond, work, workers); bound > ideal+1 {
			rt.Fatalf("bound %s is above a feasible schedule of %s", bound, ideal)
		}
	})
	oneWorker := []Worker{{Speed: 2, Slots: 3}}
	must.Eq(t, time.Millisecond+time.Second, ResponseTimeBound(time.Millisecond, []time.Duration{2 * time.Second}, oneWorker))
	must.Eq(t, 2*time.Second, ResponseTimeBound(0, []time.Duration{2 * time.Second, 4 * time.Second, 2 * time.Second}, oneWorker))
	must.Eq(t, 2*time.Second, ResponseTimeBound(0, slices.Repeat([]time.Duration{2 * time.Second}, 6), oneWorker))
}

// Checks cases in which the ideal is the minimum response time. A higher ideal would make the
// dispatcher look better than it is.
func TestIdealResponseTime(t *testing.T) {
	for name, tc := range map[string]struct {
		work    []time.Duration
		workers []Worker
		want    time.Duration
	}{
		"fastest free worker":             {[]time.Duration{100 * ms}, []Worker{{1, 8}, {2, 1}, {4, 0}}, 50 * ms},
		"none free":                       {[]time.Duration{100 * ms}, []Worker{{1, 0}, {4, 0}}, 25 * ms},
		"no workers":                      {[]time.Duration{100 * ms}, nil, 0},
		"longest task on the fastest":     {[]time.Duration{100 * ms, 400 * ms}, []Worker{{1, 1}, {2, 1}}, 200 * ms},
		"fast slot twice beats slow once": {[]time.Duration{100 * ms, 100 * ms}, []Worker{{1, 1}, {4, 1}}, 50 * ms},
		"more tasks than slots":           {[]time.Duration{30 * ms, 20 * ms, 10 * ms}, []Worker{{1, 2}}, 30 * ms},
		"last task decides":               {[]time.Duration{10 * ms, time.Second, 20 * ms}, []Worker{{1, 8}}, time.Second},
	} {
		must.Eq(t, tc.want+ms, IdealResponseTime(ms, tc.work, tc.workers), must.Sprint(name))
	}
}

// Checks that quantiles and the mean differ from the exact values by at most the histogram's precision of 0.1%.
func TestQuantiles(t *testing.T) {
	di := newDistribution(1_000_000_000, 1e-3)
	must.Eq(t, Quantiles{}, di.quantiles())
	for i := 1; i <= 10000; i++ {
		di.add(float64(i) / 1000)
	}
	got := di.quantiles()
	for _, tc := range []struct{ want, got float64 }{
		{5.0005, got.Mean}, {5, got.P50}, {9.9, got.P99}, {9.99, got.P999}, {10, got.Max},
	} {
		must.LessEq(t, 0.001, math.Abs(tc.got-tc.want)/tc.want, must.Sprintf("%+v", got))
	}
	di.add(1e12) // beyond the range of the histogram
	must.Greater(t, 900_000, di.quantiles().Max)
}

// Checks that the submission has the job's deadline, and that a task's run time includes its slowdown.
func TestSubmission(t *testing.T) {
	start := time.Unix(1_796_000_000, 0)
	jo := Job{
		Service: "stock", Team: "shops", Repeatable: true, DeclaredRunTime: 70 * ms, Deadline: time.Minute,
		Tasks: []Task{{RunTime: 50 * ms, Slowdown: 1}, {RunTime: 50 * ms, Slowdown: 4}},
	}
	sub, err := jo.Submission(start)
	must.NoError(t, err)
	must.Eq(t, start.Add(time.Minute), sub.Deadline)
	var payload Payload
	must.NoError(t, json.Unmarshal(sub.Tasks[1].Payload, &payload))
	must.Eq(t, 200.0, payload.WorkMillis)
	must.Eq(t, 250*ms, jo.Work())
}
