package lovageledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// checkCopy checks that the replica holds each final answer that an owner gives, unless the answer says that it was
// given before the copy, and that an owner who decides the key's epoch still knows an end that was answered after an
// acknowledged copy.
func (wo *world) checkCopy(no *node, re Reply) {
	key, ans := re.Answer.Key, re.Answer
	rg := no.le.ranges[rangeOf(key)]
	if rg == nil || rg.owner == nil {
		return
	}
	jo := wo.job(key)
	sk, _ := shorten(key)
	row, _ := decodeRow(wo.table.rows[rg.id.String()].Value) // an instance may not know yet that it was superseded
	if ans.Outcome == lovagejob.Unknown && jo.copied && row.Owner == no.id && row.Epoch == rg.owner.epoch &&
		rg.owner.completeSince <= sk.epoch && sk.epoch <= rg.owner.epoch && sk.minted >= max(no.le.expiredBefore(), rg.store.droppedBefore) {
		wo.fail("copy before answer: the end of %s was answered after its copy, and %s answers %q", key, no.id, ans.Reason)
	}
	replica := wo.nodes[rg.owner.replica]
	if !ans.Outcome.Final() || replica == nil {
		return
	}
	if re.Unreplicated {
		wo.stats["answers before copy"]++
		return
	}
	copied := replica.le.ranges[rangeOf(key)]
	if copied == nil || sk.minted < max(replica.le.expiredBefore(), copied.store.droppedBefore) {
		return // the clocks differ by more than the lifetime of keys
	}
	wo.stats["answers after copy"]++
	rec, ok := copied.store.get(sk)
	kept := copied.store.answer(copied.id, sk, rec)
	switch {
	case !ok || rec.state != stateEnded || kept.Outcome != ans.Outcome:
		wo.fail("copy before answer: %s answers %s for %s, its replica %s has no such record", no.id, ans.Outcome, key, replica.id)
	case wo.now-jo.endedAt < 9*time.Second && len(kept.Results) != len(ans.Results):
		wo.fail("copy before answer: %s answers %s with results, which its replica %s does not have", no.id, key, replica.id)
	}
	jo.copied = true
}

// eachCopy changes the records of copies.
func eachCopy(do func(sr *SendResult)) func(*world, *node, []Command) []Command {
	return func(_ *world, _ *node, out []Command) []Command {
		for i, co := range out {
			if sr, ok := co.(SendResult); ok {
				do(&sr)
				out[i] = sr
			}
		}
		return out
	}
}

// copyPair is an owner and its replica; the test delivers the copies.
type copyPair struct {
	*duo
	key lovagejob.Key
	ans lovagejob.Answer
}

func newCopyPair(t *testing.T) *copyPair {
	cp := &copyPair{duo: newDuo()}
	cp.step(cp.owner, &Mint{Count: 1})
	cp.key = cp.minted[0]
	cp.step(cp.owner, &Submit{Request: 1, Key: cp.key, WaitUntil: cp.now.Add(time.Minute)})
	cp.acknowledge()
	cp.ans = lovagejob.Answer{
		Key: cp.key, Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: []byte("x")}},
	}
	must.NotEq(t, "", cp.owner.ranges[rangeOf(cp.key)].owner.replica)
	return cp
}

// end ends the job and returns the copy and the time of the wake.
func (cp *copyPair) end(t *testing.T) (SendResult, time.Time) {
	out := cp.owner.Step(cp.now, &JobEnded{Key: cp.key, Answer: cp.ans}, nil)
	must.Len(t, 2, out)
	return out[1].(SendResult), out[0].(WakeAt).At
}

func (cp *copyPair) deliver(t *testing.T, sr SendResult) *ResultReplied {
	out := cp.other.Step(cp.now, &PeerResult{Call: 7, Peer: "a", Range: sr.Range, Records: sr.Records}, nil)
	must.Eq(t, []Command{ReplyResult{Call: 7, Accepted: true}}, out)
	return &ResultReplied{Peer: "b", Range: sr.Range, Batch: sr.Batch, Accepted: true}
}

// Guards against an answer before the acknowledgement of its copy, to a caller who waits and to one who asks or cancels
// meanwhile, and against a replica without the full answer.
func TestAnswerWaitsForCopy(t *testing.T) {
	cp := newCopyPair(t)
	copied, _ := cp.end(t)
	must.Len(t, 0, cp.owner.Step(cp.now, &Query{Request: 2, Key: cp.key}, nil))
	must.Len(t, 0, cp.owner.Step(cp.now, &Cancel{Request: 3, Key: cp.key}, nil))
	out := cp.owner.Step(cp.now, cp.deliver(t, copied), nil)
	must.Eq(t, []Command{
		Reply{Request: 1, Answer: cp.ans}, Reply{Request: 2, Answer: cp.ans}, Reply{Request: 3, Answer: cp.ans},
	}, out)
	must.Eq(t, []Command{Reply{Request: 4, Answer: cp.ans}}, cp.other.Step(cp.now, &Query{Request: 4, Key: cp.key, Hops: 1}, nil))
}

// Guards against an answer that waits for longer than 50 ms for a silent replica, and against a late acknowledgement
// that is not taken note of.
func TestAnswerDoesNotWaitForSilentReplica(t *testing.T) {
	cp := newCopyPair(t)
	copied, wake := cp.end(t)
	must.Eq(t, 50*time.Millisecond, wake.Sub(cp.now))
	cp.now = wake
	out := cp.owner.Step(cp.now, &Wake{}, nil)
	must.Eq(t, []Command{Reply{Request: 1, Answer: cp.ans, Unreplicated: true}}, out)
	out = cp.owner.Step(cp.now, &Query{Request: 2, Key: cp.key}, nil)
	must.Eq(t, []Command{Reply{Request: 2, Answer: cp.ans, Unreplicated: true}}, out)
	must.Len(t, 0, cp.owner.Step(cp.now, cp.deliver(t, copied), nil))
	out = cp.owner.Step(cp.now, &Query{Request: 3, Key: cp.key}, nil)
	must.Eq(t, []Command{Reply{Request: 3, Answer: cp.ans}}, out)
}

// Guards against a full answer that a replica keeps without bound of memory, and against a wait that outlives an answer
// that is dropped for its size.
func TestCopiesAreBounded(t *testing.T) {
	cp := newCopyPair(t)
	cp.other.se.MaxAnswerBytes, cp.owner.se.MaxAnswerBytes = 100, 100
	out := cp.owner.Step(cp.now, &JobEnded{Key: cp.key, Answer: cp.ans}, nil)
	must.Eq(t, Reply{Request: 1, Answer: cp.ans}, out[0].(Reply))
	cp.deliver(t, out[1].(SendResult))
	must.MapEmpty(t, cp.other.ranges[rangeOf(cp.key)].store.details)
}
