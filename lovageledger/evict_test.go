package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// Guards against records above the bound, records that are dropped within two minutes of minting, a key that starts
// again after its record was dropped, and a minted key that is not decided any more because the instance is full.
func TestRecordsAreBounded(t *testing.T) {
	si := newSingle(Settings{MaxRecords: 100})
	si.settle()
	var keys []lovagejob.Key
	run := func(n int) (full bool) {
		for range n {
			minted := si.step(&Mint{Request: 1, Count: 1, Repeatable: true})[0].(Minted)
			if minted.Full {
				must.Len(t, 0, minted.Keys)
				must.Len(t, 0, minted.Peers)
				return true
			}
			keys = append(keys, minted.Keys...)
			si.step(&Submit{Request: 2, Key: minted.Keys[0], WaitUntil: si.now.Add(time.Second)})
			si.step(&JobEnded{Key: minted.Keys[0], Answer: lovagejob.Answer{Outcome: lovagejob.Complete}})
		}
		return false
	}
	must.False(t, run(60))
	si.tick(40 * time.Second)
	spare := si.mint(t, true) // minted before the instance is full
	must.True(t, run(60))
	must.Eq(t, 100, si.le.RecordCount())
	must.Eq(t, []Command{Admit{Key: spare}}, si.step(&Submit{Request: 3, Key: spare, WaitUntil: si.now.Add(time.Second)}))
	si.step(&JobEnded{Key: spare, Answer: lovagejob.Answer{Outcome: lovagejob.Complete}})
	must.Eq(t, 101, si.le.RecordCount())
	si.tick(79 * time.Second)
	must.Eq(t, 101, si.le.RecordCount())
	must.True(t, run(1))
	si.tick(12 * time.Second) // the first 60 keys are older than two minutes and their bucket now
	must.Eq(t, 41, si.le.RecordCount())
	must.Eq(t, 60, si.le.EvictedRecords())
	must.False(t, run(50))
	must.LessEq(t, 100, si.le.RecordCount())
	out := si.step(&Submit{Request: 4, Key: keys[0], WaitUntil: si.now.Add(time.Second)})
	must.Len(t, 1, out)
	must.Eq(t, lovagejob.Unknown, out[0].(Reply).Answer.Outcome)
	out = si.step(&Query{Request: 5, Key: keys[70]})
	must.Eq(t, lovagejob.Complete, out[0].(Reply).Answer.Outcome)
}

// Guards against records of jobs that have not ended, and ends without an acknowledged copy, being dropped early.
func TestUnendedRecordsAreNotDroppedEarly(t *testing.T) {
	cp := newCopyPair(t)
	cp.owner.se.MaxRecords = 1
	cp.now = cp.now.Add(3 * time.Minute)
	cp.owner.evict(1)
	must.Eq(t, 1, cp.owner.RecordCount())
	copied, _ := cp.end(t)
	cp.owner.evict(1)
	must.Eq(t, 1, cp.owner.RecordCount())
	cp.owner.Step(cp.now, cp.deliver(t, copied), nil)
	cp.owner.evict(1)
	must.Eq(t, 0, cp.owner.RecordCount())
}
