package lovageledger

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// singleLedger is one Ledger without peers, with its own table that always answers at once.
type singleLedger struct {
	ledger *Ledger
	now    time.Time
	table  *fakeTable
}

func newSingleLedger(se Settings) *singleLedger {
	se.Instance, se.DataCentre = "a", "kandla"
	se.Rand = rand.New(rand.NewPCG(1, 2))
	return &singleLedger{ledger: New(se), now: time.UnixMilli(1_796_000_000_000).UTC(), table: newFakeTable()}
}

func (sl *singleLedger) step(ev Event) []Command {
	var rest []Command
	pending := []Event{ev}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, co := range sl.ledger.Step(sl.now, next, nil) {
			switch co := co.(type) {
			case ReadTable:
				pending = append(pending, &TableRead{ID: co.ID, Rows: sl.table.scan(co.Prefix)})
			case CommitTable:
				pending = append(pending, sl.table.commit(co))
			default:
				rest = append(rest, co)
			}
		}
	}
	return rest
}

func (sl *singleLedger) tick(d time.Duration) []Command {
	sl.now = sl.now.Add(d)
	return sl.step(&Tick{})
}

// settle ticks until the instance owns its ranges.
func (sl *singleLedger) settle() {
	for range 30 {
		sl.tick(100 * time.Millisecond)
	}
}

func (sl *singleLedger) mint(t testing.TB, repeatable bool) lovagejob.Key {
	out := sl.step(&Mint{Request: 1, Count: 1, Repeatable: repeatable})
	must.Len(t, 1, out)
	keys := out[0].(Minted).Keys
	must.Len(t, 1, keys)
	return keys[0]
}

// Checks that a resubmitted key starts once, that its submissions get the same answer, and that a submission with other
// content gets a fault.
func TestResubmitStartsOnce(t *testing.T) {
	sl := newSingleLedger(Settings{})
	sl.settle()
	key := sl.mint(t, true)
	until := sl.now.Add(time.Second)
	must.Eq(t, []Command{Admit{Key: key, Fingerprint: 7}}, sl.step(&Submit{Request: 2, Key: key, Fingerprint: 7, WaitUntil: until}))
	must.Len(t, 0, sl.step(&Submit{Request: 3, Key: key, Fingerprint: 7, WaitUntil: until}))
	wrong := sl.step(&Submit{Request: 4, Key: key, Fingerprint: 8, WaitUntil: until})
	must.Eq(t, FaultFingerprint, wrong[0].(Reply).Fault)
	ans := lovagejob.Answer{
		Key: key, Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: []byte("x")}},
	}
	must.Eq(t, []Command{Reply{Request: 2, Answer: ans}, Reply{Request: 3, Answer: ans}},
		sl.step(&JobEnded{Key: key, Answer: ans}))
	must.Eq(t, []Command{Reply{Request: 5, Answer: ans}}, sl.step(&Submit{Request: 5, Key: key, Fingerprint: 7}))
	sl.tick(61 * time.Second)
	late := sl.step(&Query{Request: 6, Key: key})[0].(Reply).Answer
	must.Eq(t, lovagejob.Complete, late.Outcome)
	must.StrContains(t, late.Reason, "no longer kept")
	must.Len(t, 0, late.Results)
}

// Checks that a key whose record has been dropped does not start, even if the wall clock steps back afterwards.
func TestOldKeyNeverStarts(t *testing.T) {
	sl := newSingleLedger(Settings{})
	sl.settle()
	key := sl.mint(t, true)
	sl.step(&Submit{Request: 2, Key: key})
	sl.step(&JobEnded{Key: key, Answer: lovagejob.Answer{Outcome: lovagejob.NotRun}})
	sl.tick(17 * time.Minute)
	must.Eq(t, 0, sl.ledger.RecordCount())
	sl.now = sl.now.Add(-time.Hour) // the wall clock steps back
	out := sl.step(&Submit{Request: 3, Key: key})
	must.Len(t, 1, out)
	must.Eq(t, lovagejob.Unknown, out[0].(Reply).Answer.Outcome)
}
