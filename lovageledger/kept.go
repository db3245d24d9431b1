package lovageledger

import (
	"time"

	"lovagestack/lovagejob"
)

// keptAnswers is the queue of full answers in the order of their ends.
type keptAnswers struct {
	queue []keptAnswer
	head  int
	bytes int
}

type keptAnswer struct {
	rg    *keyRange
	sk    shortKey
	until time.Time
	bytes int
}

func (ka *keptAnswers) add(le *Ledger, rg *keyRange, sk shortKey, ans *lovagejob.Answer) {
	entry := keptAnswer{rg: rg, sk: sk, until: le.now.Add(le.se.AnswerRetention), bytes: answerBytes(ans)}
	ka.queue = append(ka.queue, entry)
	ka.bytes += entry.bytes
	ka.expire(le)
}

// expire drops the full answers that are too old, and the oldest ones while they take too much memory. The outcome
// stays.
func (ka *keptAnswers) expire(le *Ledger) {
	for ka.head < len(ka.queue) {
		entry := &ka.queue[ka.head]
		if entry.until.After(le.now) && ka.bytes <= le.se.MaxAnswerBytes {
			break
		}
		ka.bytes -= entry.bytes
		le.dropAnswer(entry.rg, entry.sk)
		*entry = keptAnswer{}
		ka.head++
	}
	ka.compact()
}

// dropAnswer drops the full answer of a key. Those who wait for a copy of it get it now, because it is whole only now.
func (le *Ledger) dropAnswer(rg *keyRange, sk shortKey) {
	de := rg.store.details[sk]
	if de == nil {
		return
	}
	if de.answer.Outcome != "" {
		le.answerWaiters(rg, sk, de.answer, !de.copyUntil.IsZero())
	}
	switch {
	case !de.copyUntil.IsZero():
		de.answer = lovagejob.Answer{} // the mark stays until the copy of the outcome is acknowledged
	case len(de.waiters) == 0:
		rg.store.dropDetail(sk)
	}
}

func (ka *keptAnswers) compact() {
	if ka.head > len(ka.queue)/2 {
		n := copy(ka.queue, ka.queue[ka.head:])
		clear(ka.queue[n:])
		ka.queue, ka.head = ka.queue[:n], 0
	}
}
