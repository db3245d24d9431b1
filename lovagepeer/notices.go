package lovagepeer

import (
	"context"
	"sync"
)

// notices calls the session callbacks in order, outside of the Mesh's lock, because a callback may call the Mesh.
type notices struct {
	wake  chan struct{}
	mu    sync.Mutex
	queue []func()
}

func (no *notices) add(call func()) {
	no.mu.Lock()
	no.queue = append(no.queue, call)
	no.mu.Unlock()
	select {
	case no.wake <- struct{}{}:
	default:
	}
}

func (no *notices) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-no.wake:
		}
		no.mu.Lock()
		queue := no.queue
		no.queue = nil
		no.mu.Unlock()
		for _, call := range queue {
			call()
		}
	}
}

func (me *Mesh) noticeUp(instance string) {
	if me.op.SessionUp != nil {
		me.notices.add(func() { me.op.SessionUp(instance) })
	}
}

func (me *Mesh) noticeDown(instance string, refused bool) {
	if me.op.SessionDown != nil && instance != "" {
		me.notices.add(func() { me.op.SessionDown(instance, refused) })
	}
}
