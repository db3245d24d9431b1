package lovagepeer

import (
	"context"
	"sync"
)

// callbackQueue runs the session callbacks in order and without holding Mesh.mu, because a callback may call the Mesh.
type callbackQueue struct {
	wake  chan struct{}
	mu    sync.Mutex
	queue []func()
}

func (cq *callbackQueue) add(call func()) {
	cq.mu.Lock()
	cq.queue = append(cq.queue, call)
	cq.mu.Unlock()
	select {
	case cq.wake <- struct{}{}:
	default:
	}
}

func (cq *callbackQueue) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-cq.wake:
		}
		cq.mu.Lock()
		queue := cq.queue
		cq.queue = nil
		cq.mu.Unlock()
		for _, call := range queue {
			call()
		}
	}
}

func (me *Mesh) notifyUp(instance string) {
	if me.options.SessionUp != nil {
		me.callbacks.add(func() { me.options.SessionUp(instance) })
	}
}

func (me *Mesh) notifyDown(instance string, refused bool) {
	if me.options.SessionDown != nil && instance != "" {
		me.callbacks.add(func() { me.options.SessionDown(instance, refused) })
	}
}
