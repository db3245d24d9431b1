package lovageapi

import (
	"context"
	"io"
	"maps"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// testNow is the current time in the examples of docs/api.md.
var testNow = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func testClock() time.Time { return testNow }

// fakeJobs returns the answers in its map and completes other submissions with their payloads as results. If submit is
// set, it handles all submissions.
type fakeJobs struct {
	mu        sync.Mutex
	mintCount int
	answers   map[string]lovagejob.Answer // answers by nonce of the key
	submit    func(ctx context.Context, sub lovagejob.Submission) (lovagejob.Answer, error)
	askCount  int
	onAsk     func(n int) // called by Ask with the number of calls so far; may be nil
}

func (fa *fakeJobs) Mint(_ context.Context, req lovagejob.MintRequest) (lovagejob.MintResult, error) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if fa.mintCount+req.Count > 500 {
		return lovagejob.MintResult{}, errors.New("no range accepts new keys")
	}
	out := lovagejob.MintResult{CallerAddress: "10.1.0.1:7001"}
	for range req.Count {
		fa.mintCount++
		out.Keys = append(out.Keys, testKey("5f0c9a1be2d34c7"+string(rune('6'+fa.mintCount))))
	}
	return out, nil
}

func (fa *fakeJobs) KeyFor(ctx context.Context, service string, repeatable bool) (lovagejob.Key, error) {
	mi, err := fa.Mint(ctx, lovagejob.MintRequest{Service: service, Count: 1, Repeatable: repeatable})
	if err != nil {
		return lovagejob.Key{}, err
	}
	return mi.Keys[0], nil
}

func testKey(nonce string) lovagejob.Key {
	return lovagejob.Key{DataCentre: "kandla", Range: 12, Epoch: 7, Minted: testNow, Nonce: nonce}
}

func (fa *fakeJobs) Submit(ctx context.Context, sub lovagejob.Submission) (lovagejob.Answer, error) {
	if fa.submit != nil {
		return fa.submit(ctx, sub)
	}
	if sub.Service == "unheard-of" {
		return lovagejob.Answer{
			Key: sub.Key, Outcome: lovagejob.NotRun, Reason: `service "unheard-of" is not declared`, Tasks: len(sub.Tasks),
		}, nil
	}
	if an, ok := fa.answers[sub.Key.Nonce]; ok {
		an.Key = sub.Key
		return an, nil
	}
	an := lovagejob.Answer{Key: sub.Key, Outcome: lovagejob.Complete, Tasks: len(sub.Tasks), Started: len(sub.Tasks)}
	for i, ta := range sub.Tasks {
		an.Results = append(an.Results, lovagejob.TaskResult{Task: i, Worker: "kandla-w1", Status: 200, Body: ta.Payload})
	}
	return an, nil
}

func (fa *fakeJobs) Ask(_ context.Context, key lovagejob.Key, _ time.Time) (lovagejob.Answer, error) {
	if fa.onAsk != nil {
		fa.mu.Lock()
		fa.askCount++
		fa.onAsk(fa.askCount)
		fa.mu.Unlock()
	}
	an, ok := fa.answers[key.Nonce]
	if !ok {
		return lovagejob.Answer{}, errors.New("the owner of the key cannot be reached")
	}
	an.Key = key
	return an, nil
}

func (fa *fakeJobs) Cancel(ctx context.Context, key lovagejob.Key) (lovagejob.Answer, error) {
	an, err := fa.Ask(ctx, key, time.Time{})
	if an.Outcome == lovagejob.Pending {
		an.Outcome, an.Reason = lovagejob.Cancelled, "cancelled by the caller"
	}
	return an, err
}

// fakeResources keeps resources in a store and the table rows in a map.
type fakeResources struct {
	*lovageresource.Store
	mu          sync.Mutex
	rows        map[string]lovageplatform.Row
	fixedResult lovageresource.WriteResult // returned instead of writing, if its outcome is set
}

func newFakeResources() *fakeResources {
	return &fakeResources{Store: lovageresource.NewStore(4), rows: map[string]lovageplatform.Row{}}
}

func (fa *fakeResources) Put(_ context.Context, re lovageresource.Resource) lovageresource.WriteResult {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	row := fa.rows[lovageresource.ResourceKey(re.Kind, re.Name)]
	return fa.commit(lovageresource.BuildPut("", fa.rows[lovageresource.HeadKey], row, re))
}

func (fa *fakeResources) Delete(_ context.Context, kind lovageresource.Kind, name string, revision int64) lovageresource.WriteResult {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	row := fa.rows[lovageresource.ResourceKey(kind, name)]
	return fa.commit(lovageresource.BuildDelete("", fa.rows[lovageresource.HeadKey], row, kind, name, revision))
}

func (fa *fakeResources) commit(tx lovageplatform.Transaction, ch lovageresource.Change, err error) lovageresource.WriteResult {
	if fa.fixedResult.Outcome != "" {
		return fa.fixedResult
	}
	var conflict *lovageresource.ConflictError
	if errors.As(err, &conflict) {
		return lovageresource.WriteResult{
			Outcome: lovageresource.WriteConflict, Revision: conflict.Current, Reason: conflict.Error(),
		}
	}
	for _, wr := range tx.Writes {
		row := lovageplatform.Row{Key: wr.Key, Value: wr.Value, Version: fa.rows[wr.Key].Version + 1}
		if fa.rows[wr.Key] = row; wr.Delete {
			delete(fa.rows, wr.Key)
		}
	}
	if err := fa.Apply(ch); err != nil {
		panic(err)
	}
	return lovageresource.WriteResult{Outcome: lovageresource.WriteAccepted, Revision: ch.Revision}
}

func (fa *fakeResources) Get(kind lovageresource.Kind, name string) (lovageresource.Resource, bool) {
	re, ok := fa.Store.Get(kind, name)
	co, applied := fa.InForce(re.Revision)
	re.Status = lovageresource.Status{Conditions: []lovageresource.Condition{co}, Applied: applied}
	return re, ok
}

func (fa *fakeResources) InForce(int64) (lovageresource.Condition, []lovageresource.AppliedRevision) {
	return lovageresource.Condition{Type: lovageresource.InForce, Status: lovageresource.ConditionTrue},
		[]lovageresource.AppliedRevision{{Instance: "kandla-1", Revision: fa.Revision(), Answered: true}}
}

type fakeHealth struct{ reasons []string }

func (fa *fakeHealth) Ready() (bool, []string) { return len(fa.reasons) == 0, fa.reasons }

func (fa *fakeHealth) Decides(service string) bool { return service == "" || service == "ticket" }

func (fa *fakeHealth) Workers(context.Context) ([]lovagedispatch.WorkerStatus, error) {
	return []lovagedispatch.WorkerStatus{
		{Worker: "kandla-w0", State: "healthy", Factor: 0.75, Slots: 8, Running: 3},
		{Worker: "kandla-w1", State: "ejected", ProbeAt: testNow.Add(4 * time.Second), Factor: 1, Slots: 8},
	}, nil
}

func (fa *fakeHealth) WriteMetrics(w io.Writer) error {
	_, err := io.WriteString(w, "jobs_accepted 3\n")
	return err
}

// testAPI serves both APIs, each on its own address, with fakes.
type testAPI struct {
	jobs             *fakeJobs
	resources        *fakeResources
	health           *fakeHealth
	caller, operator *Server
	callerURL        string
	operatorURL      string
}

func startAPI(t *testing.T, se Settings) *testAPI {
	t.Helper()
	if se.Now == nil {
		se.Now = testClock
	}
	ta := &testAPI{
		jobs: &fakeJobs{answers: maps.Clone(exampleAnswers)}, resources: newFakeResources(), health: &fakeHealth{},
	}
	var err error
	ta.caller, err = NewCallerServer(se, ta.jobs, nil)
	must.NoError(t, err)
	ta.operator, err = NewOperatorServer(se, ta.resources, ta.health, nil)
	must.NoError(t, err)
	caller, operator := httptest.NewServer(ta.caller.Handler()), httptest.NewServer(ta.operator.Handler())
	t.Cleanup(caller.Close)
	t.Cleanup(operator.Close)
	ta.callerURL, ta.operatorURL = caller.URL, operator.URL
	return ta
}

// exampleAnswers are the answers in the examples of docs/api.md, by nonce of the key.
var exampleAnswers = map[string]lovagejob.Answer{
	"pending": {Outcome: lovagejob.Pending, Tasks: 2, Started: 1},
	"ended": {Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{
		{Task: 0, Worker: "kandla-w1", Status: 200, Body: []byte("ok\n")},
	}},
	"forwarded": {Outcome: lovagejob.Complete, Tasks: 1, Started: 1, OwnerAddress: "10.1.0.1:7001"},
	"failed":    {Outcome: lovagejob.Failed, Reason: "task 1 on worker kandla-w2: status 500", Tasks: 2, Started: 2},
	"busy": {
		Outcome: lovagejob.NotRun, Reason: "the deadline cannot be met", Tasks: 1, RetryAt: testNow.Add(1500 * time.Millisecond),
	},
}
