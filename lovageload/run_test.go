package lovageload

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// fakeTarget answers with the result of submit and sends the keys of cancelled jobs to the channel cancelled.
type fakeTarget struct {
	submit    func(sub *lovagejob.Submission) (lovagejob.Answer, error)
	cancelled chan lovagejob.Key
}

func (ft fakeTarget) Submit(_ context.Context, sub *lovagejob.Submission) (lovagejob.Answer, error) {
	return ft.submit(sub)
}

func (ft fakeTarget) Mint(context.Context, bool) (lovagejob.Key, error) {
	return lovagejob.Key{DataCentre: "kandla", Epoch: 1, Nonce: "a"}, nil
}

func (ft fakeTarget) Cancel(_ context.Context, key lovagejob.Key) error {
	ft.cancelled <- key
	return nil
}

func answerComplete(*lovagejob.Submission) (lovagejob.Answer, error) {
	return lovagejob.Answer{Outcome: lovagejob.Complete}, nil
}

// runJobs runs the jobs against op.Target. Tests call it within synctest, so that time is virtual.
func runJobs(op Options, jobs []Job) *Report {
	op.FreeWorkers = func() []Worker { return []Worker{{Speed: 1, Slots: 1}} }
	ru := &run{op: op.withDefaults(), rec: newRecorder(), start: time.Now()}
	ru.sendJobs(context.Background(), jobs)
	ru.wg.Wait()
	return ru.rec.report()
}

func oneTaskJob(at, runTime time.Duration) Job {
	return Job{SendAt: at, Deadline: time.Hour, Tasks: []Task{{RunTime: runTime, Slowdown: 1}}}
}

// Guards against coordinated omission. Jobs that are due while the target stalls must be
// sent on time, and their response times must count from the intended send time.
func TestResponseTimeDuringStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		target := fakeTarget{submit: func(sub *lovagejob.Submission) (lovagejob.Answer, error) {
			time.Sleep(time.Until(start.Add(time.Second))) // the target stalls for the first second
			return answerComplete(sub)
		}}
		var jobs []Job
		for i := range 10 {
			jobs = append(jobs, oneTaskJob(time.Duration(i)*100*ms, 100*ms))
		}
		re := runJobs(Options{Target: target}, jobs)
		must.Eq(t, map[string]int64{"complete": 10}, re.Outcomes)
		must.Eq(t, 0.55, re.ResponseSeconds.Mean) // 1.0, 0.9, ... 0.1 s
		must.Eq(t, 5.5, re.ResponseOverIdeal.Mean)
		must.Zero(t, re.SendDelaySeconds.Max)
		must.Between(t, 10, re.Curve[len(re.Curve)-1].Y, 10.01) // three significant digits
	})
}

// Checks that jobs are sent while earlier ones are unanswered, up to MaxOutstanding, and that outcomes are counted.
func TestOutcomeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		target := fakeTarget{submit: func(sub *lovagejob.Submission) (lovagejob.Answer, error) {
			switch n.Add(1) {
			case 1:
				time.Sleep(time.Hour)
			case 2:
				return lovagejob.Answer{}, errors.New("connection lost")
			case 3:
				return lovagejob.Answer{Outcome: lovagejob.NotRun}, nil
			}
			return answerComplete(sub)
		}}
		jobs := []Job{oneTaskJob(0, ms), oneTaskJob(ms, ms), oneTaskJob(2*ms, ms), oneTaskJob(3*ms, ms)}
		re := runJobs(Options{Target: target, MaxOutstanding: 2}, jobs)
		must.Eq(t, map[string]int64{"complete": 2, "error": 1, "notRun": 1}, re.Outcomes)
		n.Store(0)
		re = runJobs(Options{Target: target, MaxOutstanding: 1}, jobs)
		must.Eq(t, map[string]int64{"complete": 1, OutcomeNotSent: 3}, re.Outcomes)
	})
}

// Checks that a cancellation is sent at CancelAt, and that response times exclude cancelled jobs.
func TestCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		target := fakeTarget{cancelled: make(chan lovagejob.Key, 2)}
		target.submit = func(sub *lovagejob.Submission) (lovagejob.Answer, error) {
			if sub.Key.IsZero() {
				return answerComplete(sub)
			}
			must.Eq(t, sub.Key, <-target.cancelled)
			must.Eq(t, 300*ms, time.Since(start))
			return lovagejob.Answer{Outcome: lovagejob.Cancelled}, nil
		}
		cancelled := oneTaskJob(100*ms, 100*ms)
		cancelled.CancelAt = 300 * ms
		re := runJobs(Options{Target: target, RoundTrip: ms}, []Job{oneTaskJob(0, 100*ms), cancelled})
		must.Eq(t, map[string]int64{"complete": 1, "cancelled": 1}, re.Outcomes)
		must.Zero(t, re.ResponseSeconds.Max)
	})
}

// Checks that job and message counts exclude the warm-up, and checks the message counts per task.
func TestWarmUpExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := DefaultModel(1)
		model.Rate, model.Duration, model.CancelShare = 20, 20*time.Second, 0
		jobs, err := model.Jobs()
		must.NoError(t, err)
		var want, messages int64
		for _, jo := range jobs {
			if jo.SendAt >= 10*time.Second {
				want++
			}
		}
		re, err := Run(context.Background(), Options{
			Name: "x", Model: model, WarmUp: 10 * time.Second,
			Target: fakeTarget{submit: func(sub *lovagejob.Submission) (lovagejob.Answer, error) {
				atomic.AddInt64(&messages, int64(len(sub.Tasks)))
				return answerComplete(sub)
			}},
			FreeWorkers: func() []Worker { return nil },
			Messages:    func() Messages { n := atomic.LoadInt64(&messages); return Messages{Useful: n, Polled: n, Refused: n} },
		})
		must.NoError(t, err)
		must.Eq(t, want, re.Jobs)
		useful, wasted := re.MessagesPerTask()
		must.Eq(t, 1.0, useful)
		must.Eq(t, 2.0, wasted)
	})
}

// Checks that tables, JSON and plots are well-formed and show the reports.
func TestTableAndPlot(t *testing.T) {
	reports := []*Report{{
		Name: "a<b", Rate: 12.5, Jobs: 3, Tasks: 8, Outcomes: map[string]int64{"failed": 1, "complete": 2},
		ResponseOverIdeal: Quantiles{Mean: 1.0625}, Messages: Messages{Useful: 12, Refused: 1},
		Curve: []Point{{0, 1}, {50, 1.05}, {99, 2}, {100, 3}},
	}, {Name: "empty"}}
	var text, js, svg bytes.Buffer
	must.NoError(t, WriteTable(&text, reports))
	must.StrContains(t, text.String(), "complete:2 failed:1")
	must.Eq(t, "a<b 12.5 3 8 1.062", strings.Join(strings.Fields(strings.Split(text.String(), "\n")[1])[:5], " "))
	must.NoError(t, WriteJSON(&js, reports))
	var decoded []*Report
	must.NoError(t, json.Unmarshal(js.Bytes(), &decoded))
	must.Eq(t, reports[0], decoded[0])
	must.NoError(t, CurvePlot("p & q", reports).WriteSVG(&svg))
	dec := xml.NewDecoder(bytes.NewReader(svg.Bytes()))
	for {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	must.StrContains(t, svg.String(), "a&lt;b")
	// Percentile 0 is at the left edge and 100 at the right. Ratio 1 is at the bottom and 3 at the top.
	must.StrContains(t, svg.String(), `points="70.0,425.0 `)
	must.StrContains(t, svg.String(), ` 780.0,40.0"`)
}

// Checks that counters of several instances are summed, and that label values may contain spaces.
func TestScrapeCounters(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "# TYPE x counter\nx_total{kind=\"a b\"} 2\nx_total{kind=\"c\"} 1.5 1700000000\ny 4\n\n")
	}))
	defer server.Close()
	got, err := ScrapeCounters(context.Background(), server.Client(), []string{server.URL, server.URL})
	must.NoError(t, err)
	must.Eq(t, map[string]float64{`x_total{kind="a b"}`: 4, `x_total{kind="c"}`: 3, "y": 8}, got)
	must.Eq(t, map[string]float64{"x_total": 7, "y": 8}, SumByName(got))
	_, err = MessagesFromCounters(got)
	must.Error(t, err)
	messages, err := MessagesFromCounters(map[string]float64{`lovage_messages_total{kind="polled"}`: 3})
	must.NoError(t, err)
	must.Eq(t, Messages{Polled: 3}, messages)
	for _, input := range []string{"x", "x{a=\"b\"}", "x y"} {
		_, err := ParseCounters(strings.NewReader(input))
		must.Error(t, err, must.Sprint(input))
	}
}

// Checks that the target's requests follow the caller API and that it accepts valid replies only.
func TestHTTPTarget(t *testing.T) {
	key := lovagejob.Key{DataCentre: "kandla", Range: 1, Epoch: 2, Minted: time.UnixMilli(5).UTC(), Nonce: "a"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "POST /v1/keys":
			_ = json.NewEncoder(w).Encode(map[string]any{"keys": []lovagejob.Key{key}})
		case "POST /v1/jobs":
			var sub lovagejob.Submission
			if err := json.NewDecoder(r.Body).Decode(&sub); err != nil || sub.Service != "stock" {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(lovagejob.Answer{Key: sub.Key, Outcome: lovagejob.NotRun})
		case "DELETE /v1/jobs/" + key.String():
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	ht := NewHTTPTarget([]string{server.URL})
	ctx := context.Background()
	got, err := ht.Mint(ctx, true)
	must.NoError(t, err)
	must.Eq(t, key, got)
	answer, err := ht.Submit(ctx, &lovagejob.Submission{Key: key, Service: "stock"})
	must.NoError(t, err)
	must.Eq(t, lovagejob.Answer{Key: key, Outcome: lovagejob.NotRun}, answer)
	_, err = ht.Submit(ctx, &lovagejob.Submission{Service: "other"})
	must.Error(t, err)
	must.NoError(t, ht.Cancel(ctx, key))
	must.Error(t, ht.Cancel(ctx, lovagejob.Key{}))
	ht.Client.CloseIdleConnections()
}

// Checks arrivals, response times and ratios against theory, as errors in them could be consistent with each other. A
// server with a fixed run time S and load r is an M/D/1 queue with the mean response time S + r*S/(2*(1-r))
// (Pollaczek-Khinchine).
func TestMD1Queue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := DefaultModel(11)
		model.Services = []Service{{Name: "x", Weight: 1, MinRunTime: 100 * ms, MaxRunTime: 100 * ms}}
		model.MaxTasks, model.StragglerShare, model.CancelShare = 1, 0, 0
		model.Rate, model.Duration = 6, 4*time.Hour
		var mu sync.Mutex
		serverFreeAt := time.Now()
		re, err := Run(context.Background(), Options{
			Model: model, FreeWorkers: func() []Worker { return []Worker{{Speed: 1, Slots: 1}} },
			Target: fakeTarget{submit: func(sub *lovagejob.Submission) (lovagejob.Answer, error) {
				mu.Lock()
				if now := time.Now(); serverFreeAt.Before(now) {
					serverFreeAt = now
				}
				serverFreeAt = serverFreeAt.Add(100 * ms)
				end := serverFreeAt
				mu.Unlock()
				time.Sleep(time.Until(end))
				return answerComplete(sub)
			}},
		})
		must.NoError(t, err)
		// 86,400 jobs are expected; the bounds are 3%.
		must.Between(t, 0.175*0.97, re.ResponseSeconds.Mean, 0.175*1.03)
		must.Between(t, 1.75*0.97, re.ResponseOverIdeal.Mean, 1.75*1.03)
		must.Between(t, 0.99, re.ResponseOverIdeal.P50, 1.75)
	})
}
