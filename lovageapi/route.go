package lovageapi

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
)

const (
	// maxRoutes is the maximum number of key ranges whose owners are remembered. The planned size is
	// 14 data centres with about 60 instances of two ranges each; a caller that uses more ranges sends some of its jobs
	// through its base address.
	maxRoutes = 2048
	// maxAvoided is the maximum number of addresses remembered as failed.
	maxAvoided = 256
	// minAvoidPeriod is how long an address is not used after a call to it failed; it doubles with each failure in a row, up
	// to maxAvoidPeriod. One lost call costs little, and a caller that can reach only the balancer soon makes one failing
	// call per address and maxAvoidPeriod.
	minAvoidPeriod = 500 * time.Millisecond
	maxAvoidPeriod = 10 * time.Second
	// directDialTimeout limits the time to connect to an owner. A network round trip takes a few milliseconds, and
	// the client can fall back to the base address.
	directDialTimeout = 500 * time.Millisecond
	// probeAfter is how long the client waits for an answer before it asks the owner whether it knows the job. Most
	// tasks take up to 1 s, so few jobs cost this request.
	probeAfter = 3 * time.Second
	// probeTimeout limits the wait for the owner's reply to a probe.
	probeTimeout = time.Second
	// directGrace is how long the client waits for a silent owner after the answer was due.
	directGrace = 2 * time.Second
	// cancelTimeout limits the wait for the answer to a cancellation; the instance waits at most 10 s.
	cancelTimeout = 11 * time.Second
	// lateAskWait is how long an Ask at the base address waits, if the owner has not answered a submission by its
	// deadline.
	lateAskWait = 10 * time.Second
)

// RouteCounts counts the requests about a key that a client sent to owners directly.
type RouteCounts struct {
	Direct   int64 // requests sent to the owner's address
	FellBack int64 // direct requests sent again to the base address
	Probes   int64 // requests to a silent owner that ask whether it works on the job
}

// keyRange identifies a key range. All keys of a range have the same owner at any time.
type keyRange struct {
	dataCentre string
	number     int
}

// routes caches the caller addresses of the owners of key ranges, as named in replies.
type routes struct {
	baseAddress              string // never stored as an owner
	directHTTP               *http.Client
	now                      func() time.Time
	probeAfter, probeTimeout time.Duration

	mu      sync.Mutex
	owners  map[keyRange]string
	avoided map[string]avoidance // by address

	direct, fellBack, probes atomic.Int64
}

// avoidance says how long an address is not used after its calls failed.
type avoidance struct {
	until    time.Time
	failures int // number of failed calls in a row
}

func newRoutes(base string) *routes {
	// TCP keep-alive probes detect that the owner's machine is gone while a caller waits for its answer.
	di := &net.Dialer{Timeout: directDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
	}}
	return &routes{
		baseAddress: base, now: time.Now, probeAfter: probeAfter, probeTimeout: probeTimeout, owners: map[keyRange]string{}, avoided: map[string]avoidance{},
		directHTTP: &http.Client{Transport: &http.Transport{
			DialContext: di.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute,
		}},
	}
}

// owner returns the address of the key's owner, or "" if the call goes to the base address.
func (ro *routes) owner(key string) string {
	if ro == nil || key == "" {
		return ""
	}
	ke, err := lovagejob.ParseKey(key)
	if err != nil {
		return ""
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	address := ro.owners[keyRange{ke.DataCentre, ke.Range}]
	if ro.now().Before(ro.avoided[address].until) {
		return ""
	}
	return address
}

// noteAnswer records that a call to the address was answered.
func (ro *routes) noteAnswer(address string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	delete(ro.avoided, address)
}

// learnOwner records address as the owner of the keys' ranges. If address is the base address, it removes the recorded
// owner instead. It ignores invalid addresses.
func (ro *routes) learnOwner(address string, keys ...lovagejob.Key) {
	if ro == nil || address == "" {
		return
	}
	if ad, err := netip.ParseAddrPort(address); err != nil || ad.Port() == 0 || ad.Addr().IsUnspecified() {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, ke := range keys {
		kr := keyRange{ke.DataCentre, ke.Range}
		if address == ro.baseAddress {
			delete(ro.owners, kr)
			continue
		}
		if _, known := ro.owners[kr]; !known {
			evictIfFull(ro.owners, maxRoutes)
		}
		ro.owners[kr] = address
	}
}

// evictIfFull removes an arbitrary entry from a map that has reached its limit.
func evictIfFull[K comparable, V any](entries map[K]V, limit int) {
	if len(entries) < limit {
		return
	}
	for key := range entries {
		delete(entries, key)
		return
	}
}

// forgetOwner drops address as the owner of the key's range. If avoid is set, the address is not used for any range for a
// while.
func (ro *routes) forgetOwner(key, address string, avoid bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ke, err := lovagejob.ParseKey(key); err == nil {
		if kr := (keyRange{ke.DataCentre, ke.Range}); ro.owners[kr] == address {
			delete(ro.owners, kr)
		}
	}
	if !avoid {
		return
	}
	now := ro.now()
	for other, av := range ro.avoided { // failures long ago say nothing of the next call
		if now.Sub(av.until) > maxAvoidPeriod {
			delete(ro.avoided, other)
		}
	}
	av, known := ro.avoided[address]
	if !known {
		evictIfFull(ro.avoided, maxAvoided)
	}
	av.until = now.Add(min(minAvoidPeriod<<min(av.failures, 8), maxAvoidPeriod))
	av.failures++
	ro.avoided[address] = av
}

// keyCall is a call about one key.
type keyCall struct {
	method, path, key string
	body              any
	answerBy          time.Time // time after which the owner's answer counts as lost
}

// callForKey makes a call about a key at the owner's address, and at the base address if no owner is known or the owner
// gave no answer to this key. Both calls have the same key, so a job that the owner has started is not started again.
func (cl *Client) callForKey(ctx context.Context, kc keyCall) (AnswerReply, error) {
	owner := cl.routes.owner(kc.key)
	if owner == "" {
		return cl.callForKeyAt(ctx, cl.http, cl.baseURL, kc)
	}
	cl.routes.direct.Add(1)
	directCtx, cancel := context.WithDeadline(ctx, kc.answerBy)
	pr := &probe{cl: cl, owner: owner, key: kc.key, ctx: directCtx, cancel: cancel}
	timer := time.AfterFunc(cl.routes.probeAfter, pr.run)
	out, err := cl.callForKeyAt(directCtx, cl.routes.directHTTP, "http://"+owner, kc)
	timer.Stop()
	cancel()
	if err == nil {
		cl.routes.noteAnswer(owner)
		if out.Outcome == lovagejob.Unknown {
			cl.routes.forgetOwner(kc.key, owner, false) // the caller's next call goes to the base address
		}
		return out, nil
	}
	if ctx.Err() != nil {
		return out, err
	}
	refused := isRefusal(err)
	cl.routes.forgetOwner(kc.key, owner, !refused)
	cl.routes.fellBack.Add(1)
	if jo, ok := kc.body.(JobRequest); ok && !refused && !time.Now().Before(jo.Deadline) {
		kc = newAskCall(kc.key, lateAskWait) // a submission after its deadline is rejected
	}
	out, baseErr := cl.callForKeyAt(ctx, cl.http, cl.baseURL, kc)
	if baseErr != nil && !refused && !errors.Is(err, ErrNotSent) {
		// The owner may have processed the request, so the error must match neither ErrNotSent nor a ReplyError.
		return out, errors.Newf("%s; before that, owner %s: %s", baseErr, owner, err)
	}
	return out, baseErr
}

// probe asks an owner that has not answered yet whether it still works on the job. The connection may have failed
// silently with the request or the answer in transit, or the owner may have stopped. If the client waited until the
// deadline, it could no longer submit the job elsewhere, because a submission after its deadline is rejected.
type probe struct {
	cl         *Client
	owner, key string
	ctx        context.Context // context of the waiting call
	cancel     func()          // cancels the waiting call
}

func (pr *probe) run() {
	pr.cl.routes.probes.Add(1)
	ctx, cancel := context.WithTimeout(pr.ctx, pr.cl.routes.probeTimeout)
	defer cancel()
	out, err := pr.cl.callForKeyAt(ctx, pr.cl.routes.directHTTP, "http://"+pr.owner, newAskCall(pr.key, 0))
	switch {
	case pr.ctx.Err() != nil:
	case err == nil && out.Outcome == lovagejob.Pending, isRefusal(err):
		time.AfterFunc(pr.cl.routes.probeAfter, pr.run)
	default:
		pr.cancel()
	}
}

// isRefusal reports whether err is a reply by which a caller API rejects a request without processing it. Other error
// replies, such as 404, do not come from a caller API.
func isRefusal(err error) bool {
	var re *ReplyError
	if !errors.As(err, &re) {
		return false
	}
	switch re.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callForKeyAt makes a call about a key at one address. An answer to another key or without a valid outcome is an error.
func (cl *Client) callForKeyAt(ctx context.Context, hc *http.Client, baseURL string, kc keyCall) (AnswerReply, error) {
	var out AnswerReply
	header, err := callJSONAt(ctx, hc, baseURL, kc.method, kc.path, kc.body, &out, func(status int) bool {
		return status < 300 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
			status == http.StatusGatewayTimeout
	})
	switch {
	case err != nil:
		return out, err
	case kc.key != "" && out.Key.String() != kc.key:
		return AnswerReply{}, errors.Newf("asked about key %s but got the answer to key %s", kc.key, out.Key)
	case !out.Outcome.Valid():
		return AnswerReply{}, errors.Newf("the answer to key %q has the outcome %q", kc.key, out.Outcome)
	}
	cl.routes.learnOwner(header.Get(OwnerHeader), out.Key)
	return out, nil
}

// RouteCounts returns the counts, which are 0 for a fixed client.
func (cl *Client) RouteCounts() RouteCounts {
	if cl.routes == nil {
		return RouteCounts{}
	}
	return RouteCounts{Direct: cl.routes.direct.Load(), FellBack: cl.routes.fellBack.Load(), Probes: cl.routes.probes.Load()}
}
