package lovageledger

import (
	"time"

	"lovagestack/lovagejob"
)

// retainedAnswers is the queue of full answers in the order in which their jobs ended.
type retainedAnswers struct {
	queue []retainedAnswer
	head  int // index of the oldest kept answer in queue
	bytes int // memory of all kept answers
}

type retainedAnswer struct {
	keyRange  *keyRange
	shortKey  shortKey
	expiresAt time.Time
	bytes     int
}

func (ra *retainedAnswers) add(le *Ledger, rg *keyRange, sk shortKey, ans *lovagejob.Answer) {
	entry := retainedAnswer{
		keyRange: rg, shortKey: sk, expiresAt: le.now.Add(le.settings.AnswerRetention), bytes: answerBytes(ans),
	}
	ra.queue = append(ra.queue, entry)
	ra.bytes += entry.bytes
	ra.dropExpired(le)
}

// dropExpired drops the full answers that are older than AnswerRetention, and the oldest while all of them take more than
// MaxAnswerBytes. The records keep the outcomes.
func (ra *retainedAnswers) dropExpired(le *Ledger) {
	for ra.head < len(ra.queue) {
		entry := &ra.queue[ra.head]
		if entry.expiresAt.After(le.now) && ra.bytes <= le.settings.MaxAnswerBytes {
			break
		}
		ra.bytes -= entry.bytes
		le.dropAnswer(entry.keyRange, entry.shortKey)
		*entry = retainedAnswer{}
		ra.head++
	}
	ra.compact()
}

// dropAnswer drops the full answer of a key. Requests that still wait for its acknowledgement are answered first,
// because the full answer is not available afterwards.
func (le *Ledger) dropAnswer(rg *keyRange, sk shortKey) {
	de := rg.store.details[sk]
	if de == nil {
		return
	}
	if de.answer.Outcome != "" {
		le.answerWaiters(rg, sk, de.answer, !de.ackDeadline.IsZero())
	}
	switch {
	case !de.ackDeadline.IsZero():
		de.answer = lovagejob.Answer{} // ackDeadline stays until the outcome is acknowledged
	case len(de.waitingRequests) == 0:
		rg.store.dropDetail(sk)
	}
}

func (ra *retainedAnswers) compact() {
	if ra.head > len(ra.queue)/2 {
		n := copy(ra.queue, ra.queue[ra.head:])
		clear(ra.queue[n:])
		ra.queue, ra.head = ra.queue[:n], 0
	}
}
