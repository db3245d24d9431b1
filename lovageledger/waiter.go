package lovageledger

import (
	"container/heap"
	"time"

	"lovagestack/lovagejob"
)

// waiter is a request that has not been answered.
type waiter struct {
	request   uint64
	key       lovagejob.Key
	shortKey  shortKey
	deadline  time.Time
	hops      int
	heapIndex int  // index in requests.byDeadline
	startOnly bool // waits for the start of the job, not for its end
}

// requests holds the waiters, by request ID and ordered by deadline.
type requests struct {
	waiters    map[uint64]*waiter
	byDeadline waiterHeap
}

func newRequests() requests {
	return requests{waiters: map[uint64]*waiter{}}
}

// add adds a waiter.
func (rs *requests) add(wa *waiter) {
	rs.waiters[wa.request] = wa
	heap.Push(&rs.byDeadline, wa)
}

// drop removes a request, if it waits.
func (rs *requests) drop(request uint64) {
	if wa := rs.waiters[request]; wa != nil {
		delete(rs.waiters, request)
		heap.Remove(&rs.byDeadline, wa.heapIndex)
	}
}

// answerExpired answers the waiters that have reached their deadline with the state of their keys.
func (rs *requests) answerExpired(le *Ledger) {
	for len(rs.byDeadline) > 0 && !rs.byDeadline[0].deadline.After(le.now) {
		le.replyCurrentState(rs.byDeadline[0]) // drops the waiter, or extends its deadline to the result's ackDeadline
	}
}

type waiterHeap []*waiter

func (wh waiterHeap) Len() int           { return len(wh) }
func (wh waiterHeap) Less(i, j int) bool { return wh[i].deadline.Before(wh[j].deadline) }
func (wh waiterHeap) Swap(i, j int) {
	wh[i], wh[j] = wh[j], wh[i]
	wh[i].heapIndex, wh[j].heapIndex = i, j
}

func (wh *waiterHeap) Push(x any) {
	if wa, ok := x.(*waiter); ok {
		wa.heapIndex = len(*wh)
		*wh = append(*wh, wa)
	}
}

func (wh *waiterHeap) Pop() any {
	last := len(*wh) - 1
	wa := (*wh)[last]
	(*wh)[last] = nil
	*wh = (*wh)[:last]
	return wa
}

// replyAnswer answers a request.
func (le *Ledger) replyAnswer(wa *waiter, ans lovagejob.Answer) {
	le.requests.drop(wa.request)
	le.emit(Reply{Request: wa.request, Answer: ans})
}

// unknownAnswer returns the answer for a key that cannot be decided here now.
func (le *Ledger) unknownAnswer(key lovagejob.Key, reason string) lovagejob.Answer {
	return lovagejob.Answer{
		Key: key, Outcome: lovagejob.Unknown, Reason: reason, RetryAt: le.now.Add(le.settings.RetryBackoff),
	}
}

// replyCurrentState answers a waiter with its job's current state.
func (le *Ledger) replyCurrentState(wa *waiter) {
	rg := le.ranges[rangeOf(wa.key)]
	re, ok := record{}, false
	if rg != nil {
		re, ok = rg.store.get(wa.shortKey)
	}
	switch {
	case ok && re.state == stateEnded:
		le.replyEnded(rg, wa, re)
	case ok && re.state == stateRunning:
		le.replyAnswer(wa, lovagejob.Answer{Key: wa.key, Outcome: lovagejob.Pending})
	case ok && re.state == stateRemote:
		le.replyAnswer(wa, le.unknownAnswer(wa.key, "another instance accepted the job and its end is not known here"))
	default:
		le.replyAnswer(wa, le.unknownAnswer(wa.key, "the job has not been started yet; ask again with the same key"))
	}
}

// waitForEnd makes the request wait for the end of the key's job, or answers it at once if its deadline has passed.
func (le *Ledger) waitForEnd(rg *keyRange, wa *waiter) {
	if !wa.deadline.After(le.now) {
		le.replyCurrentState(wa)
		return
	}
	le.requests.add(wa)
	de := rg.store.detail(wa.shortKey)
	de.waitingRequests = append(de.waitingRequests, wa.request)
}

// answerStartWaiters answers the requests that wait only for the start of the key's job.
func (le *Ledger) answerStartWaiters(rg *keyRange, sk shortKey) {
	de := rg.store.details[sk]
	if de == nil {
		return
	}
	for _, request := range de.waitingRequests {
		if wa := le.requests.waiters[request]; wa != nil && wa.startOnly && wa.shortKey == sk && rangeOf(wa.key) == rg.id {
			le.replyCurrentState(wa)
		}
	}
}

// answerWaiters answers all requests that wait for the key.
func (le *Ledger) answerWaiters(rg *keyRange, sk shortKey, ans lovagejob.Answer, unreplicated bool) {
	de := rg.store.details[sk]
	if de == nil {
		return
	}
	waitingRequests := de.waitingRequests
	de.waitingRequests = nil
	for _, request := range waitingRequests {
		if wa := le.requests.waiters[request]; wa != nil && wa.shortKey == sk && rangeOf(wa.key) == rg.id {
			le.requests.drop(wa.request)
			le.emit(Reply{Request: wa.request, Answer: ans, Unreplicated: unreplicated})
		}
	}
}
