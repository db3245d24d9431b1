package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// calm is a world without load of its own whose instances have settled.
func calm(t *testing.T) *world {
	wo := newWorld(11, 0)
	wo.idle = true
	wo.run(20 * time.Second)
	must.Eq(t, "", wo.violation)
	return wo
}

// Guards against more operations on the table than the package comment says.
func TestSteadyLoadOnTable(t *testing.T) {
	wo := calm(t)
	operations := map[string]int{}
	wo.breakRule = func(_ *world, _ *node, out []Command) []Command {
		for _, co := range out {
			switch co.(type) {
			case ReadTable:
				operations["read"]++
			case CommitTable:
				operations["write"]++
			}
		}
		return out
	}
	const seconds = 300
	wo.run(seconds * time.Second)
	reads := float64(operations["read"]) / float64(len(wo.ids)*seconds)
	writes := float64(operations["write"]) / float64(len(wo.ids)*seconds)
	t.Logf("per instance and second: %.3f reads, %.3f writes", reads, writes)
	must.LessEq(t, 0.21, reads) // the world scans every 10 s instead of every 30 s, so three times the figure
	must.LessEq(t, 0.51, writes)
}

// Guards against an instance that stops while the table is down: owners with reachable replicas continue, an owner
// whose replica is gone continues with its range without replica, and nobody takes over.
func TestTableDown(t *testing.T) {
	wo := calm(t)
	wo.table.down = true
	run := func(no *node, repeatable bool) RangeID {
		before := len(wo.keys)
		wo.step(no, &Mint{Count: 1, Repeatable: repeatable})
		must.Len(t, before+1, wo.keys)
		key := wo.keys[before]
		wo.submitAt(no, key, 1, 0)
		wo.run(5 * time.Second)
		must.True(t, wo.job(key).ended)
		return rangeOf(key)
	}
	for _, id := range wo.ids {
		rg := wo.nodes[id].le.ranges[run(wo.nodes[id], false)]
		must.NotEq(t, "", rg.owner.replica)
		run(wo.nodes[id], true)
	}
	owner := wo.nodes[wo.ids[0]]
	var replica string
	for _, rs := range owner.le.Ranges() {
		replica = max(replica, rs.Row.Replica)
	}
	wo.nodes[replica].dead = true
	wo.run(10 * time.Second)
	taken := wo.stats["done takeOver"]
	rg := owner.le.ranges[run(owner, false)]
	must.Eq(t, "", rg.owner.replica)
	wo.run(time.Minute)
	must.Eq(t, taken, wo.stats["done takeOver"])
	wo.table.down = false
	wo.run(15 * time.Second)
	rg = owner.le.ranges[run(owner, false)]
	must.NotEq(t, "", rg.owner.replica)
	must.Eq(t, "", wo.violation)
}

// Guards against a killed owner whose finished jobs are no longer known, and against a long wait for the take-over.
func TestReplicaAnswersAfterKill(t *testing.T) {
	wo := calm(t)
	owner := wo.nodes[wo.ids[0]]
	wo.step(owner, &Mint{Count: 20})
	keys := wo.keys
	for _, key := range keys {
		wo.submitAt(owner, key, 1, 0)
	}
	wo.run(5 * time.Second) // every job has ended and its end has been copied
	owner.dead = true
	wo.run(4 * time.Second)
	for _, key := range keys {
		wo.submitAt(wo.nodes[wo.ids[1]], key, 1, 0)
	}
	wo.run(2 * time.Second)
	for _, key := range keys {
		must.True(t, wo.job(key).final.Outcome.Final())
	}
	must.Eq(t, "", wo.violation)
}

// Guards against full answers that take memory without bound, and against an outcome that is lost with them.
func TestKeptAnswersAreBounded(t *testing.T) {
	si := newSingle(Settings{MaxAnswerBytes: 100_000})
	si.settle()
	var first lovagejob.Key
	for i := range 200 {
		key := si.mint(t, true)
		if i == 0 {
			first = key
		}
		si.step(&Submit{Request: 9, Key: key})
		si.step(&JobEnded{Key: key, Answer: lovagejob.Answer{
			Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: make([]byte, 5000)}},
		}})
		must.LessEq(t, 100_000, si.le.retained.bytes)
	}
	must.Less(t, 20, len(si.le.ranges[rangeOf(first)].store.details))
	ans := si.step(&Query{Request: 10, Key: first})[0].(Reply).Answer
	must.Eq(t, lovagejob.Complete, ans.Outcome)
	must.Len(t, 0, ans.Results)
}

// Guards against one message per key under load, and against two unacknowledged batches on a link.
func TestAcceptsAreBatched(t *testing.T) {
	du := newDuo()
	du.step(du.owner, &Mint{Count: 500})
	for i, key := range du.minted {
		du.step(du.owner, &Submit{Request: uint64(i), Key: key, WaitUntil: du.now.Add(time.Second)})
	}
	must.Len(t, 1, du.held)
	must.Len(t, 1, du.held[0].Keys)
	first := du.held[0]
	du.held = nil
	du.step(du.other, &PeerAccept{Peer: "a", Range: first.Range, Epoch: first.Epoch, Keys: first.Keys})
	du.step(du.owner, &AcceptReplied{
		Peer: "b", Range: first.Range, Batch: first.Batch, Accepted: true, Epoch: first.Epoch,
	})
	must.Len(t, 1, du.held)
	must.Len(t, 499, du.held[0].Keys)
}

// Guards against an answer "unknown" to a submission that does not wait for the end, when a replica has to
// acknowledge it first.
func TestSubmitWithoutWait(t *testing.T) {
	du := newDuo()
	du.step(du.owner, &Mint{Count: 1})
	du.step(du.owner, &Submit{Request: 1, Key: du.minted[0]})
	sa := du.held[0]
	out := du.owner.Step(du.now, &AcceptReplied{
		Peer: "b", Range: sa.Range, Batch: sa.Batch, Accepted: true, Epoch: sa.Epoch,
	}, nil)
	must.Eq(t, []Command{
		Admit{Key: du.minted[0]},
		Reply{Request: 1, Answer: lovagejob.Answer{Key: du.minted[0], Outcome: lovagejob.Pending}},
	}, out)
}
