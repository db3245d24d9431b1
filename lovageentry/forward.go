package lovageentry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagejob"
	"lovagestack/lovagemessage"
)

// forwardMargin is how long a forward outlasts its request's waiting time, so that a reply that the peer sends at the
// end of that time still arrives.
const forwardMargin = 500 * time.Millisecond

// target is an instance that may decide a key.
type target struct {
	id, address string
	owner       bool // of the key's range, as far as this instance knows
}

// forwarder sends a request to the instances that may decide its key, one after the other until one answers.
//
// Trying the next instance after an error is safe although the failed one may have acted: the key's records decide, and
// a replica starts nothing that the owner may have started.
type forwarder struct {
	in      *Instance
	re      *request
	targets []target
	log     *zap.Logger
}

func (fo *forwarder) run() {
	wait := fo.re.waitUntil
	if wait.IsZero() {
		wait = time.Now()
	}
	ctx, cancel := context.WithDeadline(fo.re.ctx, wait.Add(forwardMargin))
	defer cancel()
	for _, ta := range fo.targets {
		rp, err := fo.ask(ctx, ta)
		if err == nil {
			fo.in.setOwnerAddress(&rp.answer, ta)
			fo.re.replies <- rp
			return
		}
		fo.in.counts.forwardsFailed.Inc(1)
		fo.log.Debug("forward to a peer failed", zap.String("peer", ta.id), zap.Error(err))
		if ctx.Err() != nil {
			break
		}
	}
	tasks := 0
	if fo.re.sub != nil {
		tasks = len(fo.re.sub.Tasks)
	}
	fo.re.replies <- reply{answer: unknownAnswer(fo.re.key, tasks, "no instance that may decide this key can be reached")}
}

func (fo *forwarder) ask(ctx context.Context, ta target) (reply, error) {
	fo.in.reportStep(StepForward)
	fo.in.counts.forwards.Inc(1)
	res, err := fo.in.call(ctx, ta.address, fo.message())
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
	if ans.Key != fo.re.key {
		return reply{}, errors.New("the peer answered for another key")
	}
	return reply{answer: ans, fault: faultOf(res)}, nil
}

func (fo *forwarder) message() *lovagemessage.Request {
	hops, key, until := int32(fo.re.hops+1), fo.re.key.String(), unixMilli(fo.re.waitUntil)
	switch fo.re.kind {
	case kindSubmit:
		return &lovagemessage.Request{Body: &lovagemessage.Request_Submit{Submit: &lovagemessage.Submit{
			Submission: lovagemessage.FromSubmission(fo.re.sub), Hops: hops, WaitUntil: until,
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

// unixMilli returns t in Unix milliseconds, and 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMilli is the inverse of unixMilli.
func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// handleAnswer serves a peer's Submit, Ask or Cancel.
func (in *Instance) handleAnswer(ctx context.Context, re *request) (*lovagemessage.Response, error) {
	in.inFlight.add(1)
	defer in.inFlight.add(-1)
	rp, err := in.do(ctx, re)
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
	return in.handleAnswer(ctx, &request{
		kind: kindSubmit, sub: &sub, key: sub.Key, fingerprint: fingerprint(&sub),
		hops: int(msg.GetHops()), waitUntil: fromUnixMilli(msg.GetWaitUntil()),
	})
}

func (in *Instance) handleAsk(ctx context.Context, msg *lovagemessage.Ask) (*lovagemessage.Response, error) {
	key, err := lovagejob.ParseKey(msg.GetKey())
	if err != nil {
		return nil, err
	}
	return in.handleAnswer(ctx, &request{
		kind: kindAsk, key: key, hops: int(msg.GetHops()), waitUntil: fromUnixMilli(msg.GetWaitUntil()),
	})
}

func (in *Instance) handleCancel(ctx context.Context, msg *lovagemessage.Cancel) (*lovagemessage.Response, error) {
	key, err := lovagejob.ParseKey(msg.GetKey())
	if err != nil {
		return nil, err
	}
	return in.handleAnswer(ctx, &request{
		kind: kindCancel, key: key, hops: int(msg.GetHops()), waitUntil: fromUnixMilli(msg.GetWaitUntil()),
	})
}

func (in *Instance) handleMint(ctx context.Context, msg *lovagemessage.Mint) (*lovagemessage.Response, error) {
	if name := msg.GetService(); name != "" && !in.isDeclared(name) {
		// This instance would refuse a job of a service that it has not applied, so another one must mint the key.
		return &lovagemessage.Response{Body: &lovagemessage.Response_Mint{Mint: &lovagemessage.MintReply{}}}, nil
	}
	rp, err := in.do(ctx, &request{kind: kindMint, mint: lovagejob.MintRequest{
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
