package lovagebench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageload"
)

// Run measures all variants and writes one line per row to progress.
func Run(ctx context.Context, op Options, progress io.Writer) (*Report, error) {
	re := &Report{Options: op, Started: time.Now()}
	for batch := range slices.Chunk(op.Variants, max(1, op.Parallel)) {
		ba := &batchRun{op: op, progress: progress, report: re}
		err := ba.measure(ctx, batch)
		ba.close()
		if err != nil {
			return nil, err
		}
	}
	re.Took = time.Since(re.Started)
	return re, nil
}

// batchRun measures several variants concurrently under one load, so that other load on the machine affects all
// equally.
type batchRun struct {
	op          Options
	progress    io.Writer
	report      *Report
	deployments []*deployment
	callers     []*callers
	roundTrip   time.Duration
}

func (ba *batchRun) close() {
	for _, de := range ba.deployments {
		de.close()
	}
}

func (ba *batchRun) measure(ctx context.Context, batch []Variant) error {
	for _, va := range batch {
		de, err := newDeployment(ctx, ba.op, va)
		if err != nil {
			return errors.Wrapf(err, "start the deployment of %q", va.Name)
		}
		ba.deployments = append(ba.deployments, de)
		ca := newCallers(de)
		if err := ca.mintInitialKeys(ctx); err != nil {
			return errors.Wrapf(err, "mint keys for %q", va.Name)
		}
		ba.callers = append(ba.callers, ca)
	}
	var err error
	if ba.roundTrip, err = roundTrip(ctx, ba.deployments[0]); err != nil {
		return err
	}
	warmUp := ba.op
	warmUp.RowWarmUp, warmUp.Measured = 0, ba.op.WarmUp
	if _, err := ba.measureRow(ctx, &warmUp, &point{name: "learn", load: warmUpLoad}, 1<<32); err != nil {
		return err
	}
	for _, po := range ba.op.points() {
		for i, seed := range ba.op.Seeds {
			if po.scenario.Destructive && i > 0 {
				continue
			}
			rows, err := ba.measureRow(ctx, &ba.op, &po, seed)
			if err != nil {
				return err
			}
			ba.report.addRows(rows)
		}
	}
	return nil
}

// roundTripCalls is large enough that the first connections do not affect the median.
const roundTripCalls = 101

// roundTrip returns the median time of a direct call of a worker, with run time 0 and the latency of callers. The ideal
// response time includes this time, but not the latency from an instance to a worker in another data centre.
func roundTrip(ctx context.Context, de *deployment) (time.Duration, error) {
	dial := delayedDial(func(string) time.Duration { return de.op.Latency.Callers })
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	defer client.CloseIdleConnections()
	address := de.workers[0].Instance().Address
	took := make([]time.Duration, roundTripCalls)
	for i := range took {
		start := time.Now()
		if err := callWorker(ctx, client, address, fmt.Sprintf("roundTrip/%d", i), `{"runTime":"0s"}`); err != nil {
			return 0, err
		}
		took[i] = time.Since(start)
	}
	slices.Sort(took)
	return took[len(took)/2], nil
}

// callWorker runs a task on a worker over the worker protocol.
func callWorker(ctx context.Context, client *http.Client, address, task, payload string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/direct/tasks", strings.NewReader(payload))
	if err != nil {
		return err
	}
	req.Header.Set("Lovage-Task", task)
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call a worker directly")
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.Wrap(err, "read the reply of a worker")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("a worker answered with status %d", res.StatusCode)
	}
	return nil
}

// measureRow runs one load or scenario on all deployments concurrently.
func (ba *batchRun) measureRow(ctx context.Context, op *Options, po *point, seed uint64) ([]*Row, error) {
	rows := make([]*Row, len(ba.deployments))
	errs := make([]error, len(rows))
	usage := startUsage()
	var wg sync.WaitGroup
	for i, de := range ba.deployments {
		wg.Go(func() {
			rr := &rowRun{op: op, po: po, de: de, ca: ba.callers[i], seed: seed, roundTrip: ba.roundTrip}
			rows[i], errs[i] = rr.measure(ctx)
		})
	}
	sleep(ctx, op.RowWarmUp+op.Measured)
	us := usage.stop() // excludes the wait for the last tasks
	wg.Wait()
	for i, row := range rows {
		if errs[i] != nil {
			return nil, errors.Wrapf(errs[i], "%s, %s", ba.deployments[i].va.Name, po.name)
		}
		row.Usage, row.ConcurrentVariants = us, len(rows)
		_, _ = fmt.Fprintf(ba.progress, "%s  %-24s %-24s mean %.3f p99 %.3f wasted %.4f process %.0f%% machine %.0f%% of the cores\n",
			time.Now().Format(time.TimeOnly), row.Variant.Name, row.Point, row.Report.ResponseOverIdeal.Mean, row.Report.ResponseOverIdeal.P99,
			row.wastedPerTask(), 100*us.Process, 100*us.Machine)
	}
	return rows, nil
}

// rowRun measures one load or scenario on one deployment.
type rowRun struct {
	op        *Options
	po        *point
	de        *deployment
	ca        *callers
	seed      uint64
	roundTrip time.Duration

	startOnce     sync.Once
	startCounters map[string]float64
	startTime     time.Time
}

func (rr *rowRun) measure(ctx context.Context) (*Row, error) {
	model, err := rr.op.model(rr.seed, rr.po.load, rr.po.burst(rr.op), rr.de.allWorkers())
	if err != nil {
		return nil, err
	}
	ac := &action{po: rr.po, de: rr.de, ca: rr.ca, done: make(chan struct{})}
	go ac.run(ctx, rr.op.RowWarmUp+rr.op.Measured/2)
	report, err := lovageload.Run(ctx, lovageload.Options{
		Name: rr.po.name, Model: model, Target: rr.ca, RoundTrip: rr.roundTrip, FreeWorkers: rr.de.freeWorkers, WarmUp: rr.op.RowWarmUp,
		AllWorkers: rr.de.allWorkers(), Messages: rr.messages,
	})
	ac.finish()
	if err != nil {
		return nil, err
	}
	after := rr.counterTotals()
	row := &Row{Variant: rr.de.va, Point: rr.po.name, Seed: rr.seed, Report: report, Violations: rr.ca.checkStarts()}
	row.SingleTask, row.Reasons = rr.ca.takeSingleTask(), rr.ca.takeReasons()
	row.Counters = make(map[string]float64)
	for name, value := range after {
		if d := value - rr.startCounters[name]; d != 0 {
			row.Counters[name] = d
		}
	}
	row.ControlPerSecond = controlMessages(row.Counters) / time.Since(rr.startTime).Seconds()
	return row, nil
}

// counterTotals returns the counters of all instances, workers and callers, summed by name.
func (rr *rowRun) counterTotals() map[string]float64 {
	out := make(map[string]float64)
	for _, in := range rr.de.instances {
		routes := in.client.RouteCounts()
		out["caller_direct"] += float64(routes.Direct)
		out["caller_repeated"] += float64(routes.FellBack)
		out["caller_probes"] += float64(routes.Probes)
		counters, err := in.counters()
		if err != nil {
			rr.ca.addViolation("metrics of instance %s cannot be read: %v", in.entry.ID(), err)
		}
		for name, value := range counters {
			out[name] += value
		}
	}
	started, startedTasks := 0, map[string]bool{}
	for i, wo := range rr.de.workers {
		co := wo.Counters()
		out[fmt.Sprintf("worker_started{speed=%q}", fmt.Sprint(rr.de.speeds[i]))] += float64(co.Started)
		out["worker_started"] += float64(co.Started)
		out["worker_refused"] += float64(co.Refused)
		out["worker_stopped"] += float64(co.Stopped)
		out["worker_connections"] += float64(co.Connections)
		out["worker_over_limit"] += float64(co.OverLimit)
		for task, n := range wo.StartCounts() {
			started += n
			startedTasks[task] = true
		}
	}
	out["worker_duplicate_starts"] = float64(started - len(startedTasks))
	out["caller_submissions"] = float64(rr.ca.submissions.Load())
	out["caller_repeated"] += float64(rr.ca.resubmissions.Load())
	return out
}

// messages returns the message counts. lovageload calls it at the start and the end of a row's measured part.
func (rr *rowRun) messages() lovageload.Messages {
	co := rr.counterTotals()
	rr.startOnce.Do(func() { rr.startCounters, rr.startTime = co, time.Now() })
	peerRequests := func(kinds ...string) (sum float64) {
		for _, kind := range kinds {
			sum += co[`lovage_peer_requests_sent_total{kind="`+kind+`"}`]
		}
		return sum
	}
	duplicate := co["worker_duplicate_starts"]
	return lovageload.Messages{
		Useful:    int64(co["worker_started"] - duplicate + co["caller_submissions"] + peerRequests("accept", "resultCopy")),
		Refused:   int64(co["worker_refused"]),
		Probed:    int64(peerRequests("slotsAsk", "slotsReturn")),
		Forwarded: int64(peerRequests("submit", "cancel", "mint")),
		Polled:    int64(peerRequests("ask") + co["caller_probes"]),
		Duplicate: int64(duplicate + co["caller_repeated"]),
	}
}

// controlMessages returns the number of messages whose rate does not depend on the load.
func controlMessages(co map[string]float64) float64 {
	return co[`lovage_peer_requests_sent_total{kind="heartbeat"}`] + co["lovage_estimate_copies_total"] + co["lovage_table_reads_total"] + co["lovage_table_writes_total"]
}
