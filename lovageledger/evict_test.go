package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// Checks that no key is minted while an instance holds MaxRecords records, that a record is kept for two minutes after
// minting, that a key whose record was evicted does not start again, and that a key minted earlier is accepted although
// the instance is at capacity.
func TestRecordsAreBounded(t *testing.T) {
	sl := newSingleLedger(Settings{MaxRecords: 100})
	sl.settle()
	var keys []lovagejob.Key
	run := func(n int) (full bool) {
		for range n {
			minted := sl.step(&Mint{Request: 1, Count: 1, Repeatable: true})[0].(Minted)
			if minted.Full {
				must.Len(t, 0, minted.Keys)
				must.Len(t, 0, minted.Peers)
				return true
			}
			keys = append(keys, minted.Keys...)
			sl.step(&Submit{Request: 2, Key: minted.Keys[0], WaitUntil: sl.now.Add(time.Second)})
			sl.step(&JobEnded{Key: minted.Keys[0], Answer: lovagejob.Answer{Outcome: lovagejob.Complete}})
		}
		return false
	}
	must.False(t, run(60))
	sl.tick(40 * time.Second)
	spare := sl.mint(t, true) // minted before the instance is at capacity
	must.True(t, run(60))
	must.Eq(t, 100, sl.ledger.RecordCount())
	must.Eq(t, []Command{Admit{Key: spare}}, sl.step(&Submit{Request: 3, Key: spare, WaitUntil: sl.now.Add(time.Second)}))
	sl.step(&JobEnded{Key: spare, Answer: lovagejob.Answer{Outcome: lovagejob.Complete}})
	must.Eq(t, 101, sl.ledger.RecordCount())
	sl.tick(79 * time.Second)
	must.Eq(t, 101, sl.ledger.RecordCount())
	must.True(t, run(1))
	sl.tick(12 * time.Second) // now the whole bucket of the first 60 keys is older than two minutes
	must.Eq(t, 41, sl.ledger.RecordCount())
	must.Eq(t, 60, sl.ledger.EvictedRecords())
	must.False(t, run(50))
	must.LessEq(t, 100, sl.ledger.RecordCount())
	out := sl.step(&Submit{Request: 4, Key: keys[0], WaitUntil: sl.now.Add(time.Second)})
	must.Len(t, 1, out)
	must.Eq(t, lovagejob.Unknown, out[0].(Reply).Answer.Outcome)
	out = sl.step(&Query{Request: 5, Key: keys[70]})
	must.Eq(t, lovagejob.Complete, out[0].(Reply).Answer.Outcome)
}

// Checks that the record of a job is evicted only after the job has ended and the replica has acknowledged its result.
func TestUnendedRecordsAreNotEvicted(t *testing.T) {
	rp := newResultPair(t)
	rp.owner.settings.MaxRecords = 1
	rp.now = rp.now.Add(3 * time.Minute)
	rp.owner.evict(1)
	must.Eq(t, 1, rp.owner.RecordCount())
	sr, _ := rp.endJob(t)
	rp.owner.evict(1)
	must.Eq(t, 1, rp.owner.RecordCount())
	rp.owner.Step(rp.now, rp.deliverResult(t, sr), nil)
	rp.owner.evict(1)
	must.Eq(t, 0, rp.owner.RecordCount())
}
