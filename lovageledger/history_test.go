package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagehistory"
	"lovagestack/lovagejob"
)

// historyRecorder records what callers, workers and the table of a simulation observe, for the models of lovagehistory.
type historyRecorder struct {
	sim          *simulation
	entries      []lovagehistory.Entry
	openRequests map[uint64]int // index of each open request's history entry
	starts       map[lovagejob.Key]int
}

func (hr *historyRecorder) beginOperation(op lovagehistory.Operation) int {
	hr.entries = append(hr.entries, lovagehistory.Entry{Call: int64(hr.sim.now) + 1, Operation: op})
	return len(hr.entries) - 1
}

func (hr *historyRecorder) endOperation(index int, result lovagehistory.Result) {
	hr.entries[index].Return, hr.entries[index].Result = int64(hr.sim.now)+1, result
}

// recordRequest records a submission or a query.
func (hr *historyRecorder) recordRequest(request uint64, cr *callerRequest) {
	op := lovagehistory.Operation{Kind: lovagehistory.Ask, Key: cr.key.String()}
	if cr.submit {
		op.Kind, op.Content = lovagehistory.Submit, time.Duration(cr.fingerprint).String()
	}
	hr.openRequests[request] = hr.beginOperation(op)
}

func (hr *historyRecorder) recordReply(re Reply) {
	ans := &re.Answer
	result := lovagehistory.Result{
		Outcome: string(ans.Outcome), Key: ans.Key.String(), Tasks: ans.Tasks, Started: ans.Started,
	}
	for _, res := range ans.Results {
		result.Results = append(result.Results, string(res.Body))
	}
	hr.endOperation(hr.openRequests[re.Request], result)
}

// recordStart records the start of the key's only task and the epoch under which the instance acted.
func (hr *historyRecorder) recordStart(in *simInstance, key lovagejob.Key, body string) {
	hr.starts[key] = hr.beginOperation(lovagehistory.Operation{Kind: lovagehistory.Start, Key: key.String(), Content: body})
	rg := in.ledger.ranges[rangeOf(key)]
	hr.endOperation(hr.beginOperation(lovagehistory.Operation{
		Kind: lovagehistory.OwnerAction, Range: rg.id.String(), Epoch: rg.owner.epoch, Instance: in.id,
	}), lovagehistory.Result{})
}

// recordEnd records the end of the key's task. If no task was started, it removes the recorded start instead.
func (hr *historyRecorder) recordEnd(key lovagejob.Key, notRun bool) {
	if notRun {
		hr.entries[hr.starts[key]].Operation.Kind = ""
		return
	}
	hr.endOperation(hr.starts[key], lovagehistory.Result{})
}

// recordCommit records the committed transactions that changed range rows.
func (hr *historyRecorder) recordCommit(co CommitTable, state CommitState) {
	for _, wr := range co.Transaction.Writes {
		id, err := ParseRangeID(wr.Key)
		if err != nil || state != Committed {
			continue
		}
		row, err := decodeRow(wr.Value)
		if err != nil {
			panic(err)
		}
		hr.endOperation(hr.beginOperation(lovagehistory.Operation{
			Kind: lovagehistory.Acquire, Range: id.String(), Epoch: row.Epoch - 1, Instance: row.Owner,
		}), lovagehistory.Result{WriteOutcome: lovagehistory.Committed})
	}
}

// Checks with porcupine that the histories of simulated runs fit the models of jobs and of ownership. The test fails if
// a Ledger breaks a model or if a model rejects correct runs.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(seed, maxSkewFor(seed))
		sim.history = &historyRecorder{sim: sim, openRequests: map[uint64]int{}, starts: map[lovagejob.Key]int{}}
		draw := newRand(seed + 2000)
		for range 80 {
			pickAction(draw.IntN).apply(sim, draw.IntN)
		}
		sim.checkRecovery()
		must.Eq(t, "", sim.violation)
		must.NoError(t, lovagehistory.CheckJobs(sim.history.entries))
		must.NoError(t, lovagehistory.CheckOwnership(sim.history.entries))
		t.Logf("seed %d: %d operations", seed, len(sim.history.entries))
	}
}

// Checks that the history check rejects the runs of a Ledger that starts keys without the acknowledgement of a replica.
func TestHistoryCheckDetectsBrokenRule(t *testing.T) {
	sim := newSimulation(0, 0)
	sim.history = &historyRecorder{sim: sim, openRequests: map[uint64]int{}, starts: map[lovagejob.Key]int{}}
	sim.mutate = startUnacknowledged
	draw := newRand(1000)
	for range 120 {
		pickAction(draw.IntN).apply(sim, draw.IntN)
	}
	must.Error(t, lovagehistory.CheckJobs(sim.history.entries))
}
