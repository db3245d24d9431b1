package lovagefleet

import "sync"

// callQueue runs calls to workers on goroutines of their own, a limited number at once and the others in their order. A call that waits takes
// a small part of the memory of one that runs.
type callQueue struct {
	limit int // 0: none

	mu      sync.Mutex
	running int
	waiting []func()
}

// run runs a call, or queues it.
func (cq *callQueue) run(call func()) {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	if cq.limit > 0 && cq.running >= cq.limit {
		cq.waiting = append(cq.waiting, call)
		return
	}
	cq.running++
	go cq.loop(call)
}

// loop runs a call and then those that wait.
func (cq *callQueue) loop(call func()) {
	for call != nil {
		call()
		call = cq.next()
	}
}

// next returns the next call that waits, or nil if the goroutine must end.
func (cq *callQueue) next() func() {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	if len(cq.waiting) == 0 {
		cq.running--
		cq.waiting = nil
		return nil
	}
	call := cq.waiting[0]
	cq.waiting[0] = nil
	cq.waiting = cq.waiting[1:]
	return call
}

// stopKey names a run that is being stopped.
type stopKey struct {
	task    string
	attempt int
}

// stopSet holds the runs of a worker whose stops are waiting or under way, so that repeated stops do not add up.
type stopSet struct {
	mu   sync.Mutex
	keys map[stopKey]bool
}

// add reports whether the run was not in the set.
func (ss *stopSet) add(key stopKey) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.keys[key] {
		return false
	}
	if ss.keys == nil {
		ss.keys = map[stopKey]bool{}
	}
	ss.keys[key] = true
	return true
}

func (ss *stopSet) remove(key stopKey) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.keys, key)
}
