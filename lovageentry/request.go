package lovageentry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
)

// answerGrace is how long a submission waits for its answer after the job's deadline. Tasks that started before the
// deadline may end after it.
const answerGrace = 10 * time.Second

// FaultError reports an invalid request, which no retry can make valid.
type FaultError struct {
	Fault  lovageledger.Fault
	Reason string
}

// Error returns the reason.
func (fe *FaultError) Error() string { return fe.Reason }

// RequestField returns the name of the invalid field, which is always the key.
func (*FaultError) RequestField() string { return "key" }

type reply struct {
	answer      lovagejob.Answer
	keys        []lovagejob.Key
	peers       []string // peers to ask for keys if no range of this instance accepts any
	recordsFull bool     // no keys were minted because of limits.records
	fault       lovageledger.Fault
}

type requestKind string

const (
	kindSubmit requestKind = "submit"
	kindAsk    requestKind = "ask"
	kindCancel requestKind = "cancel"
	kindMint   requestKind = "mint"
)

// request is a caller's or a peer's request while the control loop works on it.
type request struct {
	kind        requestKind
	ctx         context.Context // ends when nobody waits for the reply any more; carries the span
	sub         *lovagejob.Submission
	key         lovagejob.Key
	fingerprint uint64
	hops        int // number of times that the request was forwarded
	waitUntil   time.Time
	mint        lovagejob.MintRequest
	replies     chan reply // buffered, gets at most one reply
}

// submissionID identifies the submissions of a key with the same content.
type submissionID struct {
	key         lovagejob.Key
	fingerprint uint64
}

func (re *request) submissionID() submissionID { return submissionID{re.key, re.fingerprint} }

// pendingSubmission is a submission whose key has not been admitted yet.
type pendingSubmission struct {
	sub             *lovagejob.Submission // the one with the latest deadline
	ctx             context.Context
	contentBytes    int64
	waitingRequests int // requests without a final reply from the ledger, including abandoned ones
}

// apply passes the request to the ledger.
func (re *request) apply(lo *controlLoop) {
	lo.lastRequestID++
	id := lo.lastRequestID
	lo.requests[id] = re
	switch re.kind {
	case kindMint:
		lo.stepLedger(&lovageledger.Mint{Request: id, Count: re.mint.Count, Repeatable: re.mint.Repeatable})
	case kindSubmit:
		lo.in.reportStep(StepAccept)
		lo.holdSubmission(re)
		lo.stepLedger(&lovageledger.Submit{
			Request: id, Key: re.key, Fingerprint: re.fingerprint, Hops: re.hops, WaitUntil: re.waitUntil,
		})
	case kindAsk:
		lo.stepLedger(&lovageledger.Query{Request: id, Key: re.key, Hops: re.hops, WaitUntil: re.waitUntil})
	case kindCancel:
		lo.stepLedger(&lovageledger.Cancel{Request: id, Key: re.key, Hops: re.hops, WaitUntil: re.waitUntil})
	}
	if lo.requests[id] != nil {
		ah := &abandonHook{lo: lo, request: id}
		ah.stop = context.AfterFunc(re.ctx, ah.run)
		lo.abandonHooks[id] = ah
	}
}

// holdSubmission keeps the submission's content until the ledger admits, answers or forwards its key. Without room for it, only an answer
// that is known already can be given.
func (lo *controlLoop) holdSubmission(re *request) {
	ps := lo.submissions[re.submissionID()]
	if ps == nil {
		n := contentBytes(re.sub)
		if !lo.makeContentRoom(n, re.sub.Deadline) {
			return
		}
		lo.content.add(n)
		ps = &pendingSubmission{sub: re.sub, ctx: re.ctx, contentBytes: n}
		lo.submissions[re.submissionID()] = ps
	}
	if re.sub.Deadline.After(ps.sub.Deadline) {
		ps.sub, ps.ctx = re.sub, re.ctx
	}
	ps.waitingRequests++
}

// abandonHook tells the control loop that a request's context has ended, so that nobody waits for the reply any more.
type abandonHook struct {
	lo      *controlLoop
	request uint64
	stop    func() bool
}

func (ah *abandonHook) run() {
	ah.lo.post(ah.lo.in.lifetimeContext(), ah)
}

func (ah *abandonHook) apply(lo *controlLoop) {
	if re := lo.requests[ah.request]; re != nil {
		lo.stepLedger(&lovageledger.RequestAbandoned{Request: ah.request})
		lo.removeRequest(ah.request)
		if re.kind != kindSubmit {
			return
		}
		// The ledger may still admit the key, so the submission's content is kept until dropExpiredSubmissions removes
		// it.
	}
}

// removeRequest removes a request and returns it, or nil if the ID is unknown.
func (lo *controlLoop) removeRequest(id uint64) *request {
	re := lo.requests[id]
	delete(lo.requests, id)
	if ah := lo.abandonHooks[id]; ah != nil {
		ah.stop()
		delete(lo.abandonHooks, id)
	}
	return re
}

// releaseSubmission is for a submission that the ledger answered or forwarded instead of admitting its key. It drops
// the submission's content once no other request for the key waits for the ledger.
func (lo *controlLoop) releaseSubmission(re *request) {
	ps := lo.submissions[re.submissionID()]
	if re.kind != kindSubmit || ps == nil {
		return
	}
	ps.waitingRequests--
	if ps.waitingRequests <= 0 {
		lo.dropSubmission(re.submissionID())
	}
}

// dropExpiredSubmissions drops the content of submissions whose deadline passed more than answerGrace ago. Their
// callers no longer wait. The ledger admits such a key only after a change of the table, and admit then refuses the job
// because its content is gone.
func (lo *controlLoop) dropExpiredSubmissions() {
	for id, ps := range lo.submissions {
		if lo.now.After(ps.sub.Deadline.Add(answerGrace)) {
			lo.dropSubmission(id)
		}
	}
}

func (lo *controlLoop) replyMinted(cm lovageledger.Minted) {
	if cm.Full {
		lo.in.counts.mintsRefused.Inc(1)
	}
	if re := lo.removeRequest(cm.Request); re != nil {
		re.replies <- reply{keys: cm.Keys, peers: cm.Peers, recordsFull: cm.Full}
	}
}

func (lo *controlLoop) sendReply(cm lovageledger.Reply) {
	re := lo.removeRequest(cm.Request)
	if re == nil {
		return
	}
	if cm.Unreplicated {
		lo.in.counts.answersBeforeCopy.Inc(1)
	}
	if cm.Answer.Outcome != lovagejob.Pending {
		lo.releaseSubmission(re)
	}
	re.replies <- reply{answer: cm.Answer, fault: cm.Fault}
}

func (lo *controlLoop) forward(cm lovageledger.Forward) {
	re := lo.removeRequest(cm.Request)
	if re == nil {
		return
	}
	lo.releaseSubmission(re)
	fo := &forwarder{in: lo.in, request: re, log: lo.log}
	for i, id := range cm.Targets {
		if address := lo.members.address(id); address != "" {
			fo.targets = append(fo.targets, forwardTarget{id: id, address: address, isOwner: i == 0})
		}
	}
	go fo.run()
}

// execute passes a request to the control loop and waits for the reply.
func (in *Instance) execute(ctx context.Context, re *request) (reply, error) {
	re.ctx = ctx
	re.replies = make(chan reply, 1)
	if !in.control.post(ctx, re) {
		return reply{}, errors.Wrapf(ctx.Err(), "%s: hand the request to the control loop", re.kind)
	}
	select {
	case rp := <-re.replies:
		return rp, nil
	case <-ctx.Done():
		return reply{}, errors.Wrapf(ctx.Err(), "%s: wait for the answer", re.kind)
	case <-in.stopped:
		return reply{}, errors.Newf("%s: the instance has stopped", re.kind)
	}
}

// fingerprint hashes the service, team and payloads of a submission, so that the ledger can detect the reuse of a key
// with other content.
func fingerprint(sub *lovagejob.Submission) uint64 {
	di := xxhash.New()
	var buffer [8]byte
	writeInt := func(n int64) {
		binary.LittleEndian.PutUint64(buffer[:], uint64(n))
		_, _ = di.Write(buffer[:])
	}
	writeBytes := func(b []byte) {
		writeInt(int64(len(b)))
		_, _ = di.Write(b)
	}
	writeBytes([]byte(sub.Service))
	writeBytes([]byte(sub.Team))
	for i := range sub.Tasks {
		writeBytes(sub.Tasks[i].Payload)
	}
	return di.Sum64() | 1 // never 0, which stands for an unknown fingerprint
}
