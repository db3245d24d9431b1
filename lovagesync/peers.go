package lovagesync

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagemessage"
	"lovagestack/lovageresource"
)

// changesPerMessage is the maximum number of changes in one message. Further messages carry the rest.
const changesPerMessage = 256

// Handle answers a ConfigDelta or ConfigAsk request. from is the ID of the peer that sent it.
func (sy *Syncer) Handle(_ context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	switch {
	case req.GetConfigDelta() != nil:
		return sy.handleDelta(from, req.GetConfigDelta())
	case req.GetConfigAsk() != nil:
		return sy.handleAsk(req.GetConfigAsk().GetAfter())
	}
	return nil, errors.New("request is neither ConfigDelta nor ConfigAsk")
}

// handleDelta applies changes that a peer pushed, and pushes them on to the PushTargets. If the changes do not follow the
// applied revision, fetchLoop fetches the missing ones from the sender.
func (sy *Syncer) handleDelta(from string, de *lovagemessage.ConfigDelta) (*lovagemessage.Response, error) {
	changes, err := decodeDelta(de)
	if err != nil {
		return nil, err
	}
	before := sy.Store.Revision()
	err = sy.apply(changes)
	if sy.Store.Revision() > before {
		sy.pusher.schedule(sy.Peers.PushTargets(from))
	}
	var gap *lovageresource.GapError
	if err != nil && !errors.As(err, &gap) {
		return nil, err
	}
	if n := len(changes); n > 0 {
		sy.ObserveRevision(from, changes[n-1].Revision)
	}
	return configResponse(&lovagemessage.ConfigReply{AppliedRevision: sy.Store.Revision()}), nil
}

// handleAsk returns the changes after a revision, or a snapshot if the change log does not reach back that far. It
// returns an error while this instance has not loaded the resources.
func (sy *Syncer) handleAsk(after int64) (*lovagemessage.Response, error) {
	if ready, reason := sy.Ready(); !ready {
		return nil, errors.New(reason)
	}
	changes, err := sy.Store.Since(after, changesPerMessage)
	var tooOld *lovageresource.TooOldError
	if errors.As(err, &tooOld) {
		data, revision, err := sy.Store.Snapshot()
		if err != nil {
			return nil, err
		}
		return configResponse(&lovagemessage.ConfigReply{AppliedRevision: revision, Snapshot: data}), nil
	}
	if err != nil {
		return nil, err
	}
	de, err := encodeDelta(after, changes)
	if err != nil {
		return nil, err
	}
	return configResponse(&lovagemessage.ConfigReply{AppliedRevision: sy.Store.Revision(), Delta: de}), nil
}

func configResponse(co *lovagemessage.ConfigReply) *lovagemessage.Response {
	return &lovagemessage.Response{Body: &lovagemessage.Response_Config{Config: co}}
}

// encodeDelta encodes changes that follow the revision after.
func encodeDelta(after int64, changes []lovageresource.Change) (*lovagemessage.ConfigDelta, error) {
	out := &lovagemessage.ConfigDelta{After: after}
	for _, ch := range changes {
		msg := &lovagemessage.Change{Revision: ch.Revision, Kind: string(ch.Kind), Name: ch.Name, Deleted: ch.Deleted}
		if ch.Resource != nil {
			data, err := json.Marshal(ch.Resource)
			if err != nil {
				return nil, errors.Wrapf(err, "encode change %d", ch.Revision)
			}
			msg.Resource = data
		}
		out.Changes = append(out.Changes, msg)
	}
	return out, nil
}

func decodeDelta(de *lovagemessage.ConfigDelta) ([]lovageresource.Change, error) {
	out := make([]lovageresource.Change, 0, len(de.GetChanges()))
	for _, msg := range de.GetChanges() {
		ch := lovageresource.Change{
			Revision: msg.GetRevision(), Kind: lovageresource.Kind(msg.GetKind()), Name: msg.GetName(),
			Deleted: msg.GetDeleted(),
		}
		if len(msg.GetResource()) > 0 {
			ch.Resource = new(lovageresource.Resource)
			if err := json.Unmarshal(msg.GetResource(), ch.Resource); err != nil {
				return nil, errors.Wrapf(err, "decode change %d from a peer", ch.Revision)
			}
		}
		out = append(out, ch)
	}
	return out, nil
}

// call sends one configuration request.
func (sy *Syncer) call(ctx context.Context, peer Peer, req *lovagemessage.Request) (*lovagemessage.ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, sy.CallTimeout)
	defer cancel()
	res, err := sy.Peers.Call(ctx, peer.Address, req)
	if err == nil && res.GetError() != "" {
		err = errors.New(res.GetError())
	}
	if err == nil && res.GetConfig() == nil {
		err = errors.New("the reply has no ConfigReply")
	}
	if err != nil {
		sy.callFailures.Inc(1)
		return nil, errors.Wrapf(err, "call instance %s", peer.ID)
	}
	return res.GetConfig(), nil
}

// fetch requests changes from the peer until the store has the peer's revision, and returns that revision.
func (sy *Syncer) fetch(ctx context.Context, peer Peer) (int64, error) {
	for {
		after := sy.Store.Revision()
		co, err := sy.call(ctx, peer, &lovagemessage.Request{
			Body: &lovagemessage.Request_ConfigAsk{ConfigAsk: &lovagemessage.ConfigAsk{After: after}},
		})
		if err != nil {
			return 0, err
		}
		sy.recordRevision(peer.ID, co.GetAppliedRevision())
		if co.GetAppliedRevision() <= after {
			return co.GetAppliedRevision(), nil
		}
		if len(co.GetSnapshot()) > 0 {
			if _, err := sy.Store.Restore(co.GetSnapshot()); err != nil {
				return 0, err
			}
		} else {
			changes, err := decodeDelta(co.GetDelta())
			if err != nil {
				return 0, err
			}
			if err := sy.apply(changes); err != nil {
				return 0, err
			}
		}
		if sy.Store.Revision() == after {
			return 0, errors.Newf("instance %s reports revision %d but sent no change after %d", peer.ID,
				co.GetAppliedRevision(), after)
		}
	}
}

// fetchFromPeersAhead fetches changes from peers that reported a higher revision until the store has the highest one.
func (sy *Syncer) fetchFromPeersAhead(ctx context.Context) {
	sy.mu.Lock()
	ahead := sy.peersAhead
	sy.peersAhead = map[string]bool{}
	sy.mu.Unlock()
	for _, peer := range sy.Peers.Peers() {
		if ahead[peer.ID] && sy.reportedRevision(peer.ID) > sy.Store.Revision() {
			// A failed fetch is not retried: the next heartbeat or poll follows within seconds.
			_, _ = sy.fetch(ctx, peer)
		}
	}
}

// loadFromPeers loads the highest revision of the peers that answer. Peers that have not loaded the resources refuse the
// request, so that two new instances cannot take each other's empty stores for the configuration.
func (sy *Syncer) loadFromPeers(ctx context.Context) {
	peers := sy.Peers.Peers()
	answered := make([]bool, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			_, err := sy.fetch(ctx, peer)
			answered[i] = err == nil
		})
	}
	wg.Wait()
	if slices.Contains(answered, true) {
		sy.setLoaded("peers")
	}
}
