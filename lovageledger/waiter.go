package lovageledger

import (
	"container/heap"
	"time"

	"lovagestack/lovagejob"
)

// waiter is a request whose reply is still due.
type waiter struct {
	request   uint64
	key       lovagejob.Key
	sk        shortKey
	until     time.Time
	hops      int
	index     int  // in the heap
	startOnly bool // waits only for the start, not for the end
}

// requests holds every waiter by request and in order of time.
type requests struct {
	waiting map[uint64]*waiter
	byTime  waiterHeap
}

func newRequests() requests {
	return requests{waiting: map[uint64]*waiter{}}
}

// add registers a waiter.
func (rs *requests) add(wa *waiter) {
	rs.waiting[wa.request] = wa
	heap.Push(&rs.byTime, wa)
}

// drop forgets a request.
func (rs *requests) drop(request uint64) {
	if wa := rs.waiting[request]; wa != nil {
		delete(rs.waiting, request)
		heap.Remove(&rs.byTime, wa.index)
	}
}

// expire answers the waiters whose time has come with the state of their keys.
func (rs *requests) expire(le *Ledger) {
	for len(rs.byTime) > 0 && !rs.byTime[0].until.After(le.now) {
		le.replyState(rs.byTime[0]) // replies and thereby drops it, or lets it wait for a copy of the end
	}
}

type waiterHeap []*waiter

func (wh waiterHeap) Len() int           { return len(wh) }
func (wh waiterHeap) Less(i, j int) bool { return wh[i].until.Before(wh[j].until) }
func (wh waiterHeap) Swap(i, j int) {
	wh[i], wh[j] = wh[j], wh[i]
	wh[i].index, wh[j].index = i, j
}

func (wh *waiterHeap) Push(x any) {
	if wa, ok := x.(*waiter); ok {
		wa.index = len(*wh)
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

// reply answers a waiting request.
func (le *Ledger) reply(wa *waiter, ans lovagejob.Answer) {
	le.requests.drop(wa.request)
	le.emit(Reply{Request: wa.request, Answer: ans})
}

// unknown returns the answer for a key that cannot be decided here and now.
func (le *Ledger) unknownAnswer(key lovagejob.Key, reason string) lovagejob.Answer {
	return lovagejob.Answer{
		Key: key, Outcome: lovagejob.Unknown, Reason: reason, RetryAt: le.now.Add(le.se.RetryBackoff),
	}
}

// replyState answers a waiter whose job has not ended.
func (le *Ledger) replyState(wa *waiter) {
	rg := le.ranges[rangeOf(wa.key)]
	re, ok := record{}, false
	if rg != nil {
		re, ok = rg.store.get(wa.sk)
	}
	switch {
	case ok && re.state == stateEnded:
		le.replyEnded(rg, wa, re)
	case ok && re.state == stateRunning:
		le.reply(wa, lovagejob.Answer{Key: wa.key, Outcome: lovagejob.Pending})
	case ok && re.state == stateRemote:
		le.reply(wa, le.unknownAnswer(wa.key, "another instance accepted the job and its end is not known here"))
	default:
		le.reply(wa, le.unknownAnswer(wa.key, "the job has not been started yet; ask again with the same key"))
	}
}

// wait makes the request wait for the end of the key's job, or answers at once if it does not want to wait.
func (le *Ledger) waitForEnd(rg *keyRange, wa *waiter) {
	if !wa.until.After(le.now) {
		le.replyState(wa)
		return
	}
	le.requests.add(wa)
	de := rg.store.detail(wa.sk)
	de.waiters = append(de.waiters, wa.request)
}

// answerBrief answers those who wait only for the start of the key's job.
func (le *Ledger) answerStartWaiters(rg *keyRange, sk shortKey) {
	de := rg.store.details[sk]
	if de == nil {
		return
	}
	for _, request := range de.waiters {
		if wa := le.requests.waiting[request]; wa != nil && wa.startOnly && wa.sk == sk && rangeOf(wa.key) == rg.id {
			le.replyState(wa)
		}
	}
}

// answerWaiters gives the answer to all who wait for the key.
func (le *Ledger) answerWaiters(rg *keyRange, sk shortKey, ans lovagejob.Answer, unreplicated bool) {
	de := rg.store.details[sk]
	if de == nil {
		return
	}
	waiting := de.waiters
	de.waiters = nil
	for _, request := range waiting {
		if wa := le.requests.waiting[request]; wa != nil && wa.sk == sk && rangeOf(wa.key) == rg.id {
			le.requests.drop(wa.request)
			le.emit(Reply{Request: wa.request, Answer: ans, Unreplicated: unreplicated})
		}
	}
}
