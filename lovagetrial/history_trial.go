package lovagetrial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovagehistory"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// trialEndpoint is an instance of a deployment. Its caller and operator record their calls, so that Check covers the
// run, too.
type trialEndpoint struct {
	instance *Instance
	caller   *Caller
	operator *Operator
}

func (te trialEndpoint) Name() string { return te.instance.Name }

func (te trialEndpoint) Mint(ctx context.Context, count int, repeatable bool) ([]string, error) {
	return te.caller.Mint(ctx, te.instance, count, repeatable)
}

func (te trialEndpoint) Submit(ctx context.Context, jo lovageapi.JobRequest) (lovageapi.AnswerReply, error) {
	return te.caller.Submit(ctx, te.instance, jo)
}

func (te trialEndpoint) Ask(ctx context.Context, key string, wait time.Duration) (lovageapi.AnswerReply, error) {
	return te.caller.Ask(ctx, te.instance, key, wait)
}

func (te trialEndpoint) Cancel(ctx context.Context, key string) (lovageapi.AnswerReply, error) {
	return te.caller.Cancel(ctx, te.instance, key)
}

func (te trialEndpoint) Put(ctx context.Context, re lovageresource.Resource) (lovageresource.WriteResult, error) {
	return te.operator.Put(ctx, te.instance, re)
}

func (te trialEndpoint) Delete(ctx context.Context, kind lovageresource.Kind, name string, revision int64) (
	lovageresource.WriteResult, error,
) {
	return te.operator.Delete(ctx, te.instance, kind, name, revision)
}

func (te trialEndpoint) List(ctx context.Context) (lovageapi.ListReply, bool, error) {
	ready, _ := te.instance.Entry.Ready()
	li, err := te.operator.Read(ctx, te.instance)
	return li, ready, err
}

// HistoryTrial is a run of concurrent clients against a deployment while faults happen.
type HistoryTrial struct {
	Deployment *Deployment
	History    *History
	Faults     []PlannedFault
	faultLog   faultLog
}

// HistoryOptions describe a HistoryTrial.
type HistoryOptions struct {
	Seed        uint64
	Callers     int // number of callers; 0 means 6 to 10, by the seed
	Operators   int // number of operators; 0 means 3
	Duration    time.Duration
	DataCentres []DataCentre   // nil means historyDataCentres
	Faults      []PlannedFault // nil means the faults of planFaults
}

// historyDataCentres returns two or three data centres, depending on the seed.
func historyDataCentres(seed uint64) []DataCentre {
	out := []DataCentre{
		{Name: "kandla", Instances: 3, WorkerSpeeds: []float64{1, 0.5}},
		{Name: "navlakhi", Instances: 2, WorkerSpeeds: []float64{1, 1.5}},
	}
	if seed%2 == 0 {
		out = append(out, DataCentre{Name: "gandhidham", Instances: 1, WorkerSpeeds: []float64{1}})
	}
	return out
}

// NewHistoryTrial starts the deployment of a trial.
func NewHistoryTrial(op HistoryOptions) (*HistoryTrial, error) {
	if op.Callers == 0 {
		op.Callers = 6 + int(op.Seed%5)
	}
	if op.Operators == 0 {
		op.Operators = 3
	}
	if op.DataCentres == nil {
		op.DataCentres = historyDataCentres(op.Seed)
	}
	if op.Faults == nil {
		op.Faults = planFaults(op.Seed, op.Duration)
	}
	ht := &HistoryTrial{Faults: op.Faults}
	ht.History = NewHistory(HistoryWorkload{
		Seed: op.Seed, Callers: op.Callers, Operators: op.Operators, Duration: op.Duration,
		Endpoints: ht.endpoints,
		Rows: func(ctx context.Context) ([]lovageplatform.Row, error) {
			return ht.Deployment.platform.Memory().Scan(ctx, "range/")
		},
	})
	var err error
	ht.Deployment, err = New(Options{DataCentres: op.DataCentres, Seed: op.Seed, OnTaskStart: ht.History.RecordStart})
	return ht, err
}

func (ht *HistoryTrial) endpoints() []Endpoint {
	ca, op := ht.Deployment.NewCaller(), ht.Deployment.NewOperator()
	var out []Endpoint
	for _, it := range ht.Deployment.Instances() {
		out = append(out, trialEndpoint{it, ca, op})
	}
	return out
}

// Run runs the clients and the faults to their end and asks about all keys again. It then makes a last change and waits
// until this change is in force everywhere.
func (ht *HistoryTrial) Run(ctx context.Context) error {
	var faults sync.WaitGroup
	runStart := time.Now()
	var errFaults error
	faults.Go(func() { errFaults = ht.runFaults(ctx, runStart) })
	err := ht.History.Run(ctx)
	faults.Wait()
	if err := errors.CombineErrors(err, errFaults); err != nil {
		return err
	}
	if err := ht.History.Finish(ctx); err != nil {
		return err
	}
	return ht.changeAfterFaults(ctx)
}

// changeAfterFaults makes a change after all faults. It must be in force within inForceLimit (invariant 8).
func (ht *HistoryTrial) changeAfterFaults(ctx context.Context) error {
	op := ht.Deployment.NewOperator()
	team := lovageresource.Resource{Kind: lovageresource.KindTeam, Name: "after", Spec: lovageresource.DefaultTeam()}
	for {
		res, err := op.Put(ctx, ht.Deployment.Running()[0], team)
		if err == nil && (res.Outcome == lovageresource.WriteAccepted || res.Outcome == lovageresource.WriteUnchanged) {
			return op.AwaitInForce(ctx, res.Revision)
		}
		if errWait := pauseFor(ctx, pollInterval); errWait != nil {
			return errors.Wrapf(errWait, "change a resource after the run, last outcome %q, last error %v", res.Outcome, err)
		}
	}
}

// Judge checks the run with CheckHistory and with Check.
func (ht *HistoryTrial) Judge() (entries []lovagehistory.Entry, err error) {
	if entries, err = ht.History.Entries(); err != nil {
		return nil, err
	}
	err = CheckHistory(entries)
	ev := ht.Deployment.Evidence()
	// Check assumes that an instance cut off a request that got no answer during a shutdown. Drop the requests that
	// callers ended at historyCallTimeout.
	ev.Calls = slices.DeleteFunc(slices.Clone(ev.Calls), func(cr CallRecord) bool {
		return errors.Is(cr.Err, context.DeadlineExceeded) && cr.Returned.Sub(cr.Invoked) >= historyCallTimeout
	})
	var problems []string
	for _, vi := range Check(ev) {
		problems = append(problems, vi.String())
	}
	if len(problems) > 0 {
		err = errors.Join(err, fmt.Errorf("check:\n%s", strings.Join(problems, "\n")))
	}
	return entries, err
}

// FaultLog returns when each fault began and ended.
func (ht *HistoryTrial) FaultLog() string { return ht.faultLog.String() }
