package lovagetrial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovagejob"
)

// Caller sends requests to instances as callers do and records every request about a key.
type Caller struct {
	de           *Deployment
	answerGrace  time.Duration // how long the caller waits after an answer is due
	followOwners bool          // send requests about a key to the key's owner

	mu               sync.Mutex
	followingClients map[string]*lovageapi.Client // clients that follow owners, by instance address
}

// defaultAnswerGrace is how long a caller waits after a job's deadline. An instance answers within 10.5 s of the deadline.
const defaultAnswerGrace = 11 * time.Second

// NewCaller returns a caller that is safe for concurrent use.
func (de *Deployment) NewCaller() *Caller { return &Caller{de: de, answerGrace: defaultAnswerGrace} }

// NewRoutedCaller returns a caller that sends requests to the owners of keys, as the client does by default. Its records
// name the chosen instance, although another may have answered. The test must call Close.
func (de *Deployment) NewRoutedCaller() *Caller {
	return &Caller{
		de: de, answerGrace: defaultAnswerGrace, followOwners: true, followingClients: map[string]*lovageapi.Client{},
	}
}

// client returns the client for an instance.
func (ca *Caller) client(it *Instance) *lovageapi.Client {
	if !ca.followOwners {
		return it.CallerClient
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	cl := ca.followingClients[it.callerAddress]
	if cl == nil {
		cl = lovageapi.NewClient(it.callerAddress)
		ca.followingClients[it.callerAddress] = cl
	}
	return cl
}

// Close closes idle connections. Only a caller that follows owners has its own connections.
func (ca *Caller) Close() {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, cl := range ca.followingClients {
		cl.Close()
	}
}

// Mint requests new keys from an instance. It records nothing, since a failed request concerns no key.
func (ca *Caller) Mint(ctx context.Context, it *Instance, count int, repeatable bool) ([]string, error) {
	mi, err := ca.client(it).Mint(ctx, lovagejob.MintRequest{Service: ServiceName, Count: count, Repeatable: repeatable})
	if err != nil {
		return nil, err
	}
	out := make([]string, len(mi.Keys))
	for i, key := range mi.Keys {
		out[i] = key.String()
	}
	return out, nil
}

// taskPayload is the payload of a task, as the stand-in worker decodes it.
type taskPayload struct {
	RunTime string `json:"runTime"`
	Padding string `json:"padding"`
}

// NewJob returns a submission. Its payloads differ in length from each other and, mostly, from those of other keys.
// Check compares these lengths with the lengths in the workers' replies.
func NewJob(key string, repeatable bool, tasks int, runTime time.Duration, deadline time.Time) lovageapi.JobRequest {
	jo := lovageapi.JobRequest{
		Key: key, Service: ServiceName, Team: TeamName, Repeatable: repeatable, Deadline: deadline,
		Tasks: make([]lovageapi.TaskRequest, tasks),
	}
	padding := 0
	for _, c := range []byte(key) {
		padding = (padding*31 + int(c)) % 997
	}
	for i := range jo.Tasks {
		encoded, err := json.Marshal(taskPayload{RunTime: runTime.String(), Padding: string(bytes.Repeat([]byte{'x'}, padding+i))})
		if err != nil {
			panic(err) // strings can always be encoded
		}
		jo.Tasks[i].Payload = encoded
	}
	return jo
}

// Submit submits a job to an instance and waits for the answer.
func (ca *Caller) Submit(ctx context.Context, it *Instance, jo lovageapi.JobRequest) (lovageapi.AnswerReply, error) {
	rec := CallRecord{Operation: OpSubmit, Process: it.ID(), Key: jo.Key}
	for _, ta := range jo.Tasks {
		rec.Payloads = append(rec.Payloads, len(ta.Payload))
	}
	ctx, cancel := context.WithDeadline(ctx, jo.Deadline.Add(ca.answerGrace))
	defer cancel()
	return ca.recordCall(ctx, rec, func(ctx context.Context) (lovageapi.AnswerReply, error) {
		return ca.client(it).Submit(ctx, jo)
	})
}

// SubmitUntilFinal submits a job to the instances in turn until an answer is final. If ctx ends first, it returns the
// last answer and the error of ctx.
func (ca *Caller) SubmitUntilFinal(ctx context.Context, jo lovageapi.JobRequest, instances ...*Instance) (
	lovageapi.AnswerReply, error,
) {
	for i := 0; ; i++ {
		an, err := ca.Submit(ctx, instances[i%len(instances)], jo)
		if err == nil && an.Outcome.Final() {
			return an, nil
		}
		if ctxErr := pauseFor(ctx, pollInterval); ctxErr != nil {
			return an, errors.Wrapf(ctxErr, "key %s, last outcome %q (%s), last error %v", jo.Key, an.Outcome, an.Reason, err)
		}
	}
}

// Ask asks an instance for the answer to a key. The instance waits up to wait for the job to end.
func (ca *Caller) Ask(ctx context.Context, it *Instance, key string, wait time.Duration) (lovageapi.AnswerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ca.answerGrace)
	defer cancel()
	rec := CallRecord{Operation: OpAsk, Process: it.ID(), Key: key}
	return ca.recordCall(ctx, rec, func(ctx context.Context) (lovageapi.AnswerReply, error) {
		return ca.client(it).Ask(ctx, key, wait)
	})
}

// Cancel cancels a job at an instance.
func (ca *Caller) Cancel(ctx context.Context, it *Instance, key string) (lovageapi.AnswerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ca.answerGrace)
	defer cancel()
	rec := CallRecord{Operation: OpCancel, Process: it.ID(), Key: key}
	return ca.recordCall(ctx, rec, func(ctx context.Context) (lovageapi.AnswerReply, error) {
		return ca.client(it).Cancel(ctx, key)
	})
}

func (ca *Caller) recordCall(
	ctx context.Context, rec CallRecord, send func(ctx context.Context) (lovageapi.AnswerReply, error),
) (lovageapi.AnswerReply, error) {
	var writtenAt atomic.Pointer[time.Time] // atomic: the transport may set it after send returns
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				writtenAt.Store(&now)
			}
		},
	})
	rec.Invoked = time.Now()
	rec.Answer, rec.Err = send(ctx)
	rec.Returned = time.Now()
	if at := writtenAt.Load(); at != nil {
		rec.Written = *at
	}
	rec.NotSent = errors.Is(rec.Err, lovageapi.ErrNotSent)
	rec.CallerGaveUp = errors.IsAny(rec.Err, context.DeadlineExceeded, context.Canceled)
	var reply *lovageapi.ReplyError
	rec.Refused = errors.As(rec.Err, &reply)
	ca.de.evidence.update(func(ev *Evidence) { ev.Calls = append(ev.Calls, rec) })
	return rec.Answer, rec.Err
}

// String describes the request and its result.
func (cr *CallRecord) String() string {
	result := fmt.Sprintf("%s (%s) started %d of %d", cr.Answer.Outcome, cr.Answer.Reason, cr.Answer.Started, cr.Answer.Tasks)
	if cr.Err != nil {
		result = "error: " + cr.Err.Error()
	}
	return fmt.Sprintf("%s..%s %s %s at %s: %s", cr.Invoked.Format("05.000"), cr.Returned.Format("05.000"), cr.Operation,
		cr.Key, cr.Process, result)
}
