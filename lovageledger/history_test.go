package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagehistory"
	"lovagestack/lovagejob"
)

// historian records what callers, workers and the table of a world saw, for the models of lovagehistory.
type historian struct {
	wo      *world
	entries []lovagehistory.Entry
	open    map[uint64]int // request -> index of its entry
	starts  map[lovagejob.Key]int
}

func (hi *historian) begin(op lovagehistory.Operation) int {
	hi.entries = append(hi.entries, lovagehistory.Entry{Call: int64(hi.wo.now) + 1, Operation: op})
	return len(hi.entries) - 1
}

func (hi *historian) end(index int, result lovagehistory.Result) {
	hi.entries[index].Return, hi.entries[index].Result = int64(hi.wo.now)+1, result
}

// request records a submission or a question.
func (hi *historian) request(request uint64, qu *question) {
	op := lovagehistory.Operation{Kind: lovagehistory.Ask, Key: qu.key.String()}
	if qu.submit {
		op.Kind, op.Content = lovagehistory.Submit, time.Duration(qu.print).String()
	}
	hi.open[request] = hi.begin(op)
}

func (hi *historian) reply(re Reply) {
	ans := &re.Answer
	result := lovagehistory.Result{
		Outcome: string(ans.Outcome), Key: ans.Key.String(), Tasks: ans.Tasks, Started: ans.Started,
	}
	for _, res := range ans.Results {
		result.Results = append(result.Results, string(res.Body))
	}
	hi.end(hi.open[re.Request], result)
}

// admitted records a start of the key's only task under the epoch by which the instance acted.
func (hi *historian) admitted(no *node, key lovagejob.Key, body string) {
	hi.starts[key] = hi.begin(lovagehistory.Operation{Kind: lovagehistory.Start, Key: key.String(), Content: body})
	rg := no.le.ranges[rangeOf(key)]
	hi.end(hi.begin(lovagehistory.Operation{
		Kind: lovagehistory.Act, Range: rg.id.String(), Epoch: rg.owner.epoch, Instance: no.id,
	}), lovagehistory.Result{})
}

// ended closes the start. A job that was refused has had none.
func (hi *historian) ended(key lovagejob.Key, refused bool) {
	if refused {
		hi.entries[hi.starts[key]].Operation.Kind = ""
		return
	}
	hi.end(hi.starts[key], lovagehistory.Result{})
}

// committed records the transactions that changed range rows.
func (hi *historian) committed(co CommitTable, state CommitState) {
	for _, wr := range co.Transaction.Writes {
		id, err := ParseRangeID(wr.Key)
		if err != nil || state != Committed {
			continue
		}
		row, err := decodeRow(wr.Value)
		if err != nil {
			panic(err)
		}
		hi.end(hi.begin(lovagehistory.Operation{
			Kind: lovagehistory.Acquire, Range: id.String(), Epoch: row.Epoch - 1, Instance: row.Owner,
		}), lovagehistory.Result{State: lovagehistory.Committed})
	}
}

// Guards against a ledger whose runs porcupine rejects, and against models that reject the runs of a right one.
func TestHistories(t *testing.T) {
	for seed := range uint64(6) {
		wo := newWorld(seed, skewOf(seed))
		wo.history = &historian{wo: wo, open: map[uint64]int{}, starts: map[lovagejob.Key]int{}}
		draw := newRand(seed + 2000)
		for range 80 {
			pickAction(draw.IntN).do(wo, draw.IntN)
		}
		wo.recover()
		must.Eq(t, "", wo.violation)
		must.NoError(t, lovagehistory.CheckJobs(wo.history.entries))
		must.NoError(t, lovagehistory.CheckOwnership(wo.history.entries))
		t.Logf("seed %d: %d operations", seed, len(wo.history.entries))
	}
}

// Guards against a history check that cannot fail on runs of a ledger.
func TestHistoryOfBrokenRule(t *testing.T) {
	wo := newWorld(0, 0)
	wo.history = &historian{wo: wo, open: map[uint64]int{}, starts: map[lovagejob.Key]int{}}
	wo.breakRule = startUnacknowledged
	draw := newRand(1000)
	for range 120 {
		pickAction(draw.IntN).do(wo, draw.IntN)
	}
	must.Error(t, lovagehistory.CheckJobs(wo.history.entries))
}
