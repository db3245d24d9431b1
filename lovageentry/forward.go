package lovageentry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagejob"
	"lovagestack/lovagemessage"
)

// forwardMargin is how long a forwarder waits after the request's waitUntil, so that a reply sent just before that time
// still arrives.
const forwardMargin = 500 * time.Millisecond

// forwardTarget is an instance that may decide about a key.
type forwardTarget struct {
	id, address string
	isOwner     bool // the target owns the key's range, as far as this instance knows
}

// forwarder sends a request to the instances that may decide about the request's key, one after the other until one
// answers.
//
// A failed instance may have acted on the request. Trying the next one is still safe, because the key's records decide,
// and a replica starts no job that the owner may have started.
type forwarder struct {
	in      *Instance
	request *request
	targets []forwardTarget
	log     *zap.Logger
}

func (fo *forwarder) run() {
	wait := fo.request.waitUntil
	if wait.IsZero() {
		wait = time.Now()
	}
	ctx, cancel := context.WithDeadline(fo.request.ctx, wait.Add(forwardMargin))
	defer cancel()
	for _, ta := range fo.targets {
		rp, err := fo.forwardTo(ctx, ta)
		if err == nil {
			fo.in.setOwnerAddress(&rp.answer, ta)
			fo.request.replies <- rp
			return
		}
		fo.in.counts.forwardsFailed.Inc(1)
		fo.log.Debug("forward to a peer failed", zap.String("peer", ta.id), zap.Error(err))
		if ctx.Err() != nil {
			break
		}
	}
	tasks := 0
	if fo.request.sub != nil {
		tasks = len(fo.request.sub.Tasks)
	}
	fo.request.replies <- reply{answer: unknownAnswer(fo.request.key, tasks, "no instance that may decide this key can be reached")}
}

func (fo *forwarder) forwardTo(ctx context.Context, ta forwardTarget) (reply, error) {
	fo.in.reportStep(StepForward)
	fo.in.counts.forwards.Inc(1)
	res, err := fo.in.callPeer(ctx, ta.address, fo.message())
	if err != nil {
		return reply{}, err
	}
	msg := res.GetAnswer()
	if msg == nil {
		return reply{}, errors.New("the peer's response holds no answer")
	}
	ans, err := lovagemessage.ToAnswer(msg)
	if err != nil {
		return reply{}, err
	}
	if ans.Key != fo.request.key {
		return reply{}, errors.New("the peer answered for another key")
	}
	return reply{answer: ans, fault: faultOf(res)}, nil
}

func (fo *forwarder) message() *lovagemessage.Request {
	hops, key, until := int32(fo.request.hops+1), fo.request.key.String(), unixMilli(fo.request.waitUntil)
	switch fo.request.kind {
	case kindSubmit:
		return &lovagemessage.Request{Body: &lovagemessage.Request_Submit{Submit: &lovagemessage.Submit{
			Submission: lovagemessage.FromSubmission(fo.request.sub), Hops: hops, WaitUntil: until,
		}}}
	case kindCancel:
		return &lovagemessage.Request{Body: &lovagemessage.Request_Cancel{Cancel: &lovagemessage.Cancel{
			Key: key, Hops: hops, WaitUntil: until,
		}}}
	case kindAsk, kindMint:
	}
	return &lovagemessage.Request{Body: &lovagemessage.Request_Ask{Ask: &lovagemessage.Ask{
		Key: key, Hops: hops, WaitUntil: until,
	}}}
}

// unixMilli returns 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMilli inverts unixMilli.
func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// handleJobRequest serves a Submit, Ask or Cancel.
func (in *Instance) handleJobRequest(ctx context.Context, re *request) (*lovagemessage.Response, error) {
	in.inFlight.add(1)
	defer in.inFlight.add(-1)
	rp, err := in.execute(ctx, re)
	if err != nil {
		return nil, err
	}
	return &lovagemessage.Response{
		Fault: string(rp.fault),
		Body:  &lovagemessage.Response_Answer{Answer: lovagemessage.FromAnswer(&rp.answer)},
	}, nil
}

func (in *Instance) handleSubmit(ctx context.Context, msg *lovagemessage.Submit) (*lovagemessage.Response, error) {
	sub, err := lovagemessage.ToSubmission(msg.GetSubmission())
	if err != nil {
		return nil, err
	}
	return in.handleJobRequest(ctx, &request{
		kind: kindSubmit, sub: &sub, key: sub.Key, fingerprint: fingerprint(&sub),
		hops: int(msg.GetHops()), waitUntil: fromUnixMilli(msg.GetWaitUntil()),
	})
}

func (in *Instance) handleAsk(ctx context.Context, msg *lovagemessage.Ask) (*lovagemessage.Response, error) {
	key, err := lovagejob.ParseKey(msg.GetKey())
	if err != nil {
		return nil, err
	}
	return in.handleJobRequest(ctx, &request{
		kind: kindAsk, key: key, hops: int(msg.GetHops()), waitUntil: fromUnixMilli(msg.GetWaitUntil()),
	})
}

func (in *Instance) handleCancel(ctx context.Context, msg *lovagemessage.Cancel) (*lovagemessage.Response, error) {
	key, err := lovagejob.ParseKey(msg.GetKey())
	if err != nil {
		return nil, err
	}
	return in.handleJobRequest(ctx, &request{
		kind: kindCancel, key: key, hops: int(msg.GetHops()), waitUntil: fromUnixMilli(msg.GetWaitUntil()),
	})
}

func (in *Instance) handleMint(ctx context.Context, msg *lovagemessage.Mint) (*lovagemessage.Response, error) {
	if name := msg.GetService(); name != "" && !in.isDeclared(name) {
		// This instance would refuse jobs of a service that it does not know, so another instance must mint the keys.
		return &lovagemessage.Response{Body: &lovagemessage.Response_Mint{Mint: &lovagemessage.MintReply{}}}, nil
	}
	rp, err := in.execute(ctx, &request{kind: kindMint, mint: lovagejob.MintRequest{
		Service: msg.GetService(), Count: int(msg.GetCount()), Repeatable: msg.GetRepeatable(),
	}})
	if err != nil {
		return nil, err
	}
	keys := make([]string, len(rp.keys))
	for i, key := range rp.keys {
		keys[i] = key.String()
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Mint{Mint: &lovagemessage.MintReply{
		Keys: keys, CallerAddress: in.callerAddress,
	}}}, nil
}
