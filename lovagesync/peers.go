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

// changesPerMessage bounds the changes of one message; the rest follows in further ones.
const changesPerMessage = 256

// Handle answers ConfigDelta and ConfigAsk from the peer with the ID from.
func (ke *Keeper) Handle(_ context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	switch {
	case req.GetConfigDelta() != nil:
		return ke.handleDelta(from, req.GetConfigDelta())
	case req.GetConfigAsk() != nil:
		return ke.handleAsk(req.GetConfigAsk().GetAfter())
	}
	return nil, errors.New("request is neither ConfigDelta nor ConfigAsk")
}

// handleDelta applies pushed changes and pushes them on if other instances get them only through this one. If they do not
// follow the applied revision, the sender is asked for the rest.
func (ke *Keeper) handleDelta(from string, de *lovagemessage.ConfigDelta) (*lovagemessage.Response, error) {
	changes, err := fromMessage(de)
	if err != nil {
		return nil, err
	}
	before := ke.Store.Revision()
	err = ke.apply(changes)
	if ke.Store.Revision() > before {
		ke.push.start(ke.Peers.PushTo(from))
	}
	var gap *lovageresource.GapError
	if err != nil && !errors.As(err, &gap) {
		return nil, err
	}
	if n := len(changes); n > 0 {
		ke.Reported(from, changes[n-1].Revision)
	}
	return reply(&lovagemessage.ConfigReply{AppliedRevision: ke.Store.Revision()}), nil
}

// handleAsk gives the changes after a revision, or a snapshot if the log does not reach back.
func (ke *Keeper) handleAsk(after int64) (*lovagemessage.Response, error) {
	if ready, reason := ke.Ready(); !ready {
		return nil, errors.New(reason)
	}
	changes, err := ke.Store.Since(after, changesPerMessage)
	var old *lovageresource.TooOldError
	if errors.As(err, &old) {
		data, revision, err := ke.Store.Snapshot()
		if err != nil {
			return nil, err
		}
		return reply(&lovagemessage.ConfigReply{AppliedRevision: revision, Snapshot: data}), nil
	}
	if err != nil {
		return nil, err
	}
	de, err := toMessage(after, changes)
	if err != nil {
		return nil, err
	}
	return reply(&lovagemessage.ConfigReply{AppliedRevision: ke.Store.Revision(), Delta: de}), nil
}

func reply(co *lovagemessage.ConfigReply) *lovagemessage.Response {
	return &lovagemessage.Response{Body: &lovagemessage.Response_Config{Config: co}}
}

// toMessage encodes changes that follow the revision after.
func toMessage(after int64, changes []lovageresource.Change) (*lovagemessage.ConfigDelta, error) {
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

func fromMessage(de *lovagemessage.ConfigDelta) ([]lovageresource.Change, error) {
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

// call sends one request for configuration to a peer and notes the revision that it reports.
func (ke *Keeper) call(ctx context.Context, peer Peer, req *lovagemessage.Request) (*lovagemessage.ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ke.CallTimeout)
	defer cancel()
	res, err := ke.Peers.Call(ctx, peer.Address, req)
	if err == nil && res.GetError() != "" {
		err = errors.New(res.GetError())
	}
	if err == nil && res.GetConfig() == nil {
		err = errors.New("the reply holds no configuration")
	}
	if err != nil {
		ke.callFailed.Inc(1)
		return nil, errors.Wrapf(err, "call instance %s", peer.ID)
	}
	return res.GetConfig(), nil
}

// fetch brings the store up to the peer's revision and returns that revision.
func (ke *Keeper) fetch(ctx context.Context, peer Peer) (int64, error) {
	for {
		after := ke.Store.Revision()
		co, err := ke.call(ctx, peer, &lovagemessage.Request{
			Body: &lovagemessage.Request_ConfigAsk{ConfigAsk: &lovagemessage.ConfigAsk{After: after}},
		})
		if err != nil {
			return 0, err
		}
		ke.note(peer.ID, co.GetAppliedRevision())
		if co.GetAppliedRevision() <= after {
			return co.GetAppliedRevision(), nil
		}
		if len(co.GetSnapshot()) > 0 {
			if _, err := ke.Store.Restore(co.GetSnapshot()); err != nil {
				return 0, err
			}
		} else {
			changes, err := fromMessage(co.GetDelta())
			if err != nil {
				return 0, err
			}
			if err := ke.apply(changes); err != nil {
				return 0, err
			}
		}
		if ke.Store.Revision() == after {
			return 0, errors.Newf("instance %s reports revision %d but gave nothing after %d", peer.ID,
				co.GetAppliedRevision(), after)
		}
	}
}

// askAhead asks peers that reported a higher revision until the store has the highest of them.
func (ke *Keeper) askAhead(ctx context.Context) {
	ke.mu.Lock()
	ahead := ke.ahead
	ke.ahead = map[string]bool{}
	ke.mu.Unlock()
	for _, peer := range ke.Peers.Peers() {
		if ahead[peer.ID] && ke.reported(peer.ID) > ke.Store.Revision() {
			// A failure needs no retry here: the next heartbeat or poll comes within seconds.
			_, _ = ke.fetch(ctx, peer)
		}
	}
}

// loadFromPeers takes the highest revision among the peers that answer. Instances that have not loaded the resources
// themselves refuse, so two new instances cannot take each other's emptiness for the configuration.
func (ke *Keeper) loadFromPeers(ctx context.Context) {
	peers := ke.Peers.Peers()
	answered := make([]bool, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			_, err := ke.fetch(ctx, peer)
			answered[i] = err == nil
		})
	}
	wg.Wait()
	if slices.Contains(answered, true) {
		ke.setLoaded("peers")
	}
}
