package lovageledger

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// single is one ledger with a table of its own that always answers at once.
type single struct {
	le    *Ledger
	now   time.Time
	table *fakeTable
}

func newSingle(se Settings) *single {
	se.Instance, se.DataCentre = "a", "kandla"
	se.Rand = rand.New(rand.NewPCG(1, 2))
	return &single{le: New(se), now: time.UnixMilli(1_796_000_000_000).UTC(), table: newFakeTable()}
}

func (si *single) step(ev Event) []Command {
	var rest []Command
	pending := []Event{ev}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, co := range si.le.Step(si.now, next, nil) {
			switch co := co.(type) {
			case ReadTable:
				pending = append(pending, &TableRead{ID: co.ID, Rows: si.table.scan(co.Prefix)})
			case CommitTable:
				pending = append(pending, si.table.commit(co))
			default:
				rest = append(rest, co)
			}
		}
	}
	return rest
}

func (si *single) tick(d time.Duration) []Command {
	si.now = si.now.Add(d)
	return si.step(&Tick{})
}

// settle ticks until the instance owns what it wants.
func (si *single) settle() {
	for range 30 {
		si.tick(100 * time.Millisecond)
	}
}

func (si *single) mint(t testing.TB, repeatable bool) lovagejob.Key {
	out := si.step(&Mint{Request: 1, Count: 1, Repeatable: repeatable})
	must.Len(t, 1, out)
	keys := out[0].(Minted).Keys
	must.Len(t, 1, keys)
	return keys[0]
}

// Guards against a second start of a resubmitted key, and against an answer that differs between resubmissions.
func TestSubmitTwice(t *testing.T) {
	si := newSingle(Settings{})
	si.settle()
	key := si.mint(t, true)
	until := si.now.Add(time.Second)
	must.Eq(t, []Command{Admit{Key: key}}, si.step(&Submit{Request: 2, Key: key, Fingerprint: 7, WaitUntil: until}))
	must.Len(t, 0, si.step(&Submit{Request: 3, Key: key, Fingerprint: 7, WaitUntil: until}))
	wrong := si.step(&Submit{Request: 4, Key: key, Fingerprint: 8, WaitUntil: until})
	must.Eq(t, FaultFingerprint, wrong[0].(Reply).Fault)
	ans := lovagejob.Answer{
		Key: key, Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: []byte("x")}},
	}
	must.Eq(t, []Command{Reply{Request: 2, Answer: ans}, Reply{Request: 3, Answer: ans}},
		si.step(&JobEnded{Key: key, Answer: ans}))
	must.Eq(t, []Command{Reply{Request: 5, Answer: ans}}, si.step(&Submit{Request: 5, Key: key, Fingerprint: 7}))
	si.tick(61 * time.Second)
	late := si.step(&Query{Request: 6, Key: key})[0].(Reply).Answer
	must.Eq(t, lovagejob.Complete, late.Outcome)
	must.StrContains(t, late.Reason, "no longer kept")
	must.Len(t, 0, late.Results)
}

// Guards against a start of a key whose record has been dropped.
func TestOldKeyNeverStarts(t *testing.T) {
	si := newSingle(Settings{})
	si.settle()
	key := si.mint(t, true)
	si.step(&Submit{Request: 2, Key: key})
	si.step(&JobEnded{Key: key, Answer: lovagejob.Answer{Outcome: lovagejob.NotRun}})
	si.tick(17 * time.Minute)
	must.Eq(t, 0, si.le.RecordCount())
	si.now = si.now.Add(-time.Hour) // the wall clock steps back
	out := si.step(&Submit{Request: 3, Key: key})
	must.Len(t, 1, out)
	must.Eq(t, lovagejob.Unknown, out[0].(Reply).Answer.Outcome)
}
