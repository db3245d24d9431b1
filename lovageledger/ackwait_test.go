package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// checkReplicated checks that the replica holds an owner's final answer that is not marked as Unreplicated. After such an
// answer, an owner with the records of the key's epoch must not answer "unknown" until the key expires.
func (sim *simulation) checkReplicated(in *simInstance, re Reply) {
	key, ans := re.Answer.Key, re.Answer
	rg := in.ledger.ranges[rangeOf(key)]
	if rg == nil || rg.owner == nil {
		return
	}
	jo := sim.job(key)
	sk, _ := shorten(key)
	// The row is read from the table, because the instance may not know yet that the range has a new owner.
	row, _ := decodeRow(sim.table.rows[rg.id.String()].Value)
	if ans.Outcome == lovagejob.Unknown && jo.replicated && row.Owner == in.id && row.Epoch == rg.owner.epoch &&
		rg.owner.completeSince <= sk.epoch && sk.epoch <= rg.owner.epoch &&
		sk.mintedMillis >= max(in.ledger.expiredBeforeMillis(), rg.store.droppedBeforeMillis) {
		sim.recordViolation("answer before replication: a replicated result of %s was answered, and %s answers %q",
			key, in.id, ans.Reason)
	}
	replica := sim.instances[rg.owner.replica]
	if !ans.Outcome.Final() || replica == nil {
		return
	}
	if re.Unreplicated {
		sim.stats["answers before copy"]++
		return
	}
	replicaRange := replica.ledger.ranges[rangeOf(key)]
	if replicaRange == nil || sk.mintedMillis < max(replica.ledger.expiredBeforeMillis(), replicaRange.store.droppedBeforeMillis) {
		return // the clocks differ by more than the lifetime of keys, or the replica has evicted the record
	}
	sim.stats["answers after copy"]++
	rec, ok := replicaRange.store.get(sk)
	stored := replicaRange.store.answer(replicaRange.id, sk, rec)
	switch {
	case !ok || rec.state != stateEnded || stored.Outcome != ans.Outcome:
		sim.recordViolation("answer before replication: %s answers %s for %s, its replica %s has no such record",
			in.id, ans.Outcome, key, replica.id)
	case sim.now-jo.endedAt < 9*time.Second && len(stored.Results) != len(ans.Results):
		sim.recordViolation("answer before replication: %s answers %s with results, which its replica %s does not have",
			in.id, key, replica.id)
	}
	jo.replicated = true
}

// mutateResults returns a mutation that applies do to each SendResult.
func mutateResults(do func(sr *SendResult)) func(*simulation, *simInstance, []Command) []Command {
	return func(_ *simulation, _ *simInstance, out []Command) []Command {
		for i, co := range out {
			if sr, ok := co.(SendResult); ok {
				do(&sr)
				out[i] = sr
			}
		}
		return out
	}
}

// resultPair is an owner and its replica with one running job. The test delivers the results to the replica.
type resultPair struct {
	*ledgerPair
	key lovagejob.Key
	ans lovagejob.Answer
}

func newResultPair(t *testing.T) *resultPair {
	rp := &resultPair{ledgerPair: newLedgerPair()}
	rp.step(rp.owner, &Mint{Count: 1})
	rp.key = rp.minted[0]
	rp.step(rp.owner, &Submit{Request: 1, Key: rp.key, WaitUntil: rp.now.Add(time.Minute)})
	rp.acknowledge()
	rp.ans = lovagejob.Answer{
		Key: rp.key, Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: []byte("x")}},
	}
	must.NotEq(t, "", rp.owner.ranges[rangeOf(rp.key)].owner.replica)
	return rp
}

// endJob ends the job and returns the SendResult and the time of the WakeAt.
func (rp *resultPair) endJob(t *testing.T) (SendResult, time.Time) {
	out := rp.owner.Step(rp.now, &JobEnded{Key: rp.key, Answer: rp.ans}, nil)
	must.Len(t, 2, out)
	return out[1].(SendResult), out[0].(WakeAt).At
}

func (rp *resultPair) deliverResult(t *testing.T, sr SendResult) *ResultReplied {
	out := rp.replica.Step(rp.now, &PeerResult{Call: 7, Peer: "a", Range: sr.Range, Records: sr.Records}, nil)
	must.Eq(t, []Command{ReplyResult{Call: 7, Accepted: true}}, out)
	return &ResultReplied{Peer: "b", Range: sr.Range, Batch: sr.Batch, Accepted: true}
}

// Checks that the owner answers a waiting submission, a query and a cancellation only after the replica has
// acknowledged the result, and that the replica gets the full answer.
func TestAnswerWaitsForReplicaAck(t *testing.T) {
	rp := newResultPair(t)
	sr, _ := rp.endJob(t)
	must.Len(t, 0, rp.owner.Step(rp.now, &Query{Request: 2, Key: rp.key}, nil))
	must.Len(t, 0, rp.owner.Step(rp.now, &Cancel{Request: 3, Key: rp.key}, nil))
	out := rp.owner.Step(rp.now, rp.deliverResult(t, sr), nil)
	must.Eq(t, []Command{
		Reply{Request: 1, Answer: rp.ans}, Reply{Request: 2, Answer: rp.ans}, Reply{Request: 3, Answer: rp.ans},
	}, out)
	must.Eq(t, []Command{Reply{Request: 4, Answer: rp.ans}}, rp.replica.Step(rp.now, &Query{Request: 4, Key: rp.key, Hops: 1}, nil))
}

// Checks that an answer waits for at most 50 ms for a replica that does not acknowledge, and that answers are no longer
// marked Unreplicated after a late acknowledgement.
func TestAnswerDoesNotWaitForSilentReplica(t *testing.T) {
	rp := newResultPair(t)
	sr, wake := rp.endJob(t)
	must.Eq(t, 50*time.Millisecond, wake.Sub(rp.now))
	rp.now = wake
	out := rp.owner.Step(rp.now, &Wake{}, nil)
	must.Eq(t, []Command{Reply{Request: 1, Answer: rp.ans, Unreplicated: true}}, out)
	out = rp.owner.Step(rp.now, &Query{Request: 2, Key: rp.key}, nil)
	must.Eq(t, []Command{Reply{Request: 2, Answer: rp.ans, Unreplicated: true}}, out)
	must.Len(t, 0, rp.owner.Step(rp.now, rp.deliverResult(t, sr), nil))
	out = rp.owner.Step(rp.now, &Query{Request: 3, Key: rp.key}, nil)
	must.Eq(t, []Command{Reply{Request: 3, Answer: rp.ans}}, out)
}

// Checks that a replica keeps no full answers beyond MaxAnswerBytes, and that the owner answers its waiting caller
// although the full answer was dropped for its size.
func TestReplicaAnswersAreBounded(t *testing.T) {
	rp := newResultPair(t)
	rp.replica.settings.MaxAnswerBytes, rp.owner.settings.MaxAnswerBytes = 100, 100
	out := rp.owner.Step(rp.now, &JobEnded{Key: rp.key, Answer: rp.ans}, nil)
	must.Eq(t, Reply{Request: 1, Answer: rp.ans}, out[0].(Reply))
	rp.deliverResult(t, out[1].(SendResult))
	must.MapEmpty(t, rp.replica.ranges[rangeOf(rp.key)].store.details)
}
