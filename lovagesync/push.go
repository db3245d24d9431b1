package lovagesync

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagemessage"
	"lovagestack/lovageresource"
)

// pusher sends accepted changes to peers concurrently. A slow peer does not delay the others.
type pusher struct {
	sy   *Syncer
	wake chan struct{} // wakes run

	mu         sync.Mutex
	inProgress map[string]bool // IDs of peers with a push in progress
	pending    map[string]Peer // peers for the next round of run, by ID
}

func newPusher(sy *Syncer) *pusher {
	return &pusher{sy: sy, wake: make(chan struct{}, 1), inProgress: map[string]bool{}, pending: map[string]Peer{}}
}

// schedule makes run push the latest revision to the peers.
func (pu *pusher) schedule(peers []Peer) {
	pu.mu.Lock()
	for _, peer := range peers {
		pu.pending[peer.ID] = peer
	}
	pu.mu.Unlock()
	signal(pu.wake)
}

// takePending returns the pending peers without a push in progress and marks them as in progress. It drops peers with a
// push in progress, because that push sends the latest revision too.
func (pu *pusher) takePending() []Peer {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	var out []Peer
	for id, peer := range pu.pending {
		if !pu.inProgress[id] {
			pu.inProgress[id] = true
			out = append(out, peer)
		}
	}
	clear(pu.pending)
	return out
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default: // a signal is already pending
	}
}

// run starts the scheduled pushes.
func (pu *pusher) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pu.wake:
		}
		for _, peer := range pu.takePending() {
			wg.Go(func() { (&peerPush{pu: pu, peer: peer}).run(ctx) })
		}
	}
}

// peerPush pushes changes to one peer.
type peerPush struct {
	pu   *pusher
	peer Peer
}

// run sends changes until the peer has the latest revision, a call fails or the peer does not advance. After the next
// heartbeat, the peer fetches the changes that it still lacks.
func (pp *peerPush) run(ctx context.Context) {
	sy := pp.pu.sy
	for {
		before := sy.reportedRevision(pp.peer.ID)
		err := pp.send(ctx, before)
		pp.pu.mu.Lock()
		after := sy.reportedRevision(pp.peer.ID)
		if err != nil || after >= sy.Store.Revision() || after <= before {
			delete(pp.pu.inProgress, pp.peer.ID)
			pp.pu.mu.Unlock()
			return
		}
		pp.pu.mu.Unlock()
	}
}

// send sends the changes after the revision that the peer last reported. If the peer has reported none or the
// change log does not reach back that far, send sends only the latest change.
func (pp *peerPush) send(ctx context.Context, after int64) error {
	sy := pp.pu.sy
	if after == 0 {
		after = sy.Store.Revision() - 1
	}
	changes, err := sy.Store.Since(after, changesPerMessage)
	var tooOld *lovageresource.TooOldError
	if errors.As(err, &tooOld) {
		after = tooOld.Current - 1
		changes, err = sy.Store.Since(after, 1)
	}
	if err != nil || len(changes) == 0 {
		return err
	}
	de, err := encodeDelta(after, changes)
	if err != nil {
		return err
	}
	co, err := sy.call(ctx, pp.peer, &lovagemessage.Request{
		Body: &lovagemessage.Request_ConfigDelta{ConfigDelta: de},
	})
	if err != nil {
		return err
	}
	sy.recordRevision(pp.peer.ID, co.GetAppliedRevision())
	return nil
}
