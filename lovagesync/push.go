package lovagesync

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagemessage"
	"lovagestack/lovageresource"
)

// pusher sends accepted changes to all peers at once. A slow peer delays no other one.
type pusher struct {
	sy   *Syncer
	wake chan struct{}

	mu   sync.Mutex
	busy map[string]bool // IDs of peers with a push in progress
	due  map[string]Peer // by ID, for the next round of run
}

func newPusher(sy *Syncer) *pusher {
	return &pusher{sy: sy, wake: make(chan struct{}, 1), busy: map[string]bool{}, due: map[string]Peer{}}
}

// start makes run push the latest revision to some peers.
func (pu *pusher) start(peers []Peer) {
	pu.mu.Lock()
	for _, peer := range peers {
		pu.due[peer.ID] = peer
	}
	pu.mu.Unlock()
	signal(pu.wake)
}

// take returns the peers that are due and have no push in progress, and notes that they have one.
func (pu *pusher) take() []Peer {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	var out []Peer
	for id, peer := range pu.due {
		if !pu.busy[id] {
			pu.busy[id] = true
			out = append(out, peer)
		}
	}
	clear(pu.due)
	return out
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default: // a signal is waiting already
	}
}

// run starts a push to each peer that has none in progress, whenever there is something new.
func (pu *pusher) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pu.wake:
		}
		for _, peer := range pu.take() {
			wg.Go(func() { (&peerPush{pu: pu, peer: peer}).run(ctx) })
		}
	}
}

// peerPush brings one peer up to the latest revision.
type peerPush struct {
	pu   *pusher
	peer Peer
}

// run sends until the peer has the latest revision, a call fails or the peer does not advance. What is missing then,
// the peer fetches after the next heartbeat.
func (pp *peerPush) run(ctx context.Context) {
	sy := pp.pu.sy
	for {
		before := sy.reported(pp.peer.ID)
		err := pp.send(ctx, before)
		pp.pu.mu.Lock()
		after := sy.reported(pp.peer.ID)
		if err != nil || after >= sy.Store.Revision() || after <= before {
			delete(pp.pu.busy, pp.peer.ID)
			pp.pu.mu.Unlock()
			return
		}
		pp.pu.mu.Unlock()
	}
}

// send sends the changes after the revision that the peer last reported, or only the latest change if the peer has
// not reported one or the log does not reach back.
func (pp *peerPush) send(ctx context.Context, after int64) error {
	sy := pp.pu.sy
	if after == 0 {
		after = sy.Store.Revision() - 1
	}
	changes, err := sy.Store.Since(after, changesPerMessage)
	var old *lovageresource.TooOldError
	if errors.As(err, &old) {
		after = old.Current - 1
		changes, err = sy.Store.Since(after, 1)
	}
	if err != nil || len(changes) == 0 {
		return err
	}
	de, err := toMessage(after, changes)
	if err != nil {
		return err
	}
	co, err := sy.call(ctx, pp.peer, &lovagemessage.Request{
		Body: &lovagemessage.Request_ConfigDelta{ConfigDelta: de},
	})
	if err != nil {
		return err
	}
	sy.note(pp.peer.ID, co.GetAppliedRevision())
	return nil
}
