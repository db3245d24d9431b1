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
	// maxRoutes bounds the remembered owners. The later size has 14 data centres with about 60 instances of two ranges
	// each; a caller that meets more ranges sends some of its jobs through its base address.
	maxRoutes = 2048
	// maxAvoided bounds the addresses that are remembered as failed.
	maxAvoided = 256
	// avoidFor is the time for which an address that failed is not used. A caller that can reach only the balancer pays
	// for one attempt in that time.
	avoidPeriod = 10 * time.Second
	// directDialTimeout bounds the attempt to connect to an owner. A network round trip takes a few milliseconds, and
	// the base address is there to fall back to.
	directDialTimeout = 500 * time.Millisecond
	// probeAfter is how long an answer is waited for before the owner is asked whether it knows the job. Most tasks take
	// up to 1 s, so few jobs cost this message.
	probeAfter = 3 * time.Second
	// probeTimeout is how long the owner may take to answer that.
	probeTimeout = time.Second
	// directGrace is how long after the time at which an answer is due an owner that is silent is still waited for.
	directGrace = 2 * time.Second
	// cancelPatience is how long the answer to a cancellation may take; an instance waits 10 s for it at most.
	cancelTimeout = 11 * time.Second
	// lateAskWait is the time for which the base address is asked to wait if an owner was silent beyond the deadline.
	lateAskWait = 10 * time.Second
)

// RouteCounts count the requests about a key that a client sent to the owner's address.
type RouteCounts struct {
	Direct   int64 // sent to the owner's address
	FellBack int64 // of these, sent again to the base address
	Probes   int64 // questions whether a silent owner works on the job
}

// keyRange is a key range; all its keys have the same owner at a time.
type keyRange struct {
	dataCentre string
	number     int
}

// routes remembers the caller addresses of the owners of key ranges, as replies named them.
type routes struct {
	base                     string // address that needs no route
	http                     *http.Client
	now                      func() time.Time
	probeAfter, probeTimeout time.Duration

	mu      sync.Mutex
	owners  map[keyRange]string
	avoided map[string]time.Time // address, and the time until which it is not used

	direct, fellBack, probes atomic.Int64
}

func newRoutes(base string) *routes {
	// The keep-alive probes find an owner whose machine is gone while a caller waits for its answer.
	di := &net.Dialer{Timeout: directDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
	}}
	return &routes{
		base: base, now: time.Now, probeAfter: probeAfter, probeTimeout: probeTimeout, owners: map[keyRange]string{}, avoided: map[string]time.Time{},
		http: &http.Client{Transport: &http.Transport{
			DialContext: di.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute,
		}},
	}
}

// owner returns the address of a key's owner, or "" if the base address is to be used.
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
	if until, ok := ro.avoided[address]; ok {
		if ro.now().Before(until) {
			return ""
		}
		delete(ro.avoided, address)
	}
	return address
}

// learn notes that an instance named the owner of some keys. What is no address is ignored.
func (ro *routes) learn(address string, keys ...lovagejob.Key) {
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
		if address == ro.base {
			delete(ro.owners, kr)
			continue
		}
		if _, known := ro.owners[kr]; !known {
			evictIfFull(ro.owners, maxRoutes)
		}
		ro.owners[kr] = address
	}
}

// makeRoom removes an arbitrary entry from a map that holds the most that it may.
func evictIfFull[K comparable, V any](entries map[K]V, limit int) {
	if len(entries) < limit {
		return
	}
	for key := range entries {
		delete(entries, key)
		return
	}
}

// forget drops the owner of a key's range. With avoid set, the address is not used for any range for a while.
func (ro *routes) forget(key, address string, avoid bool) {
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
	for other, until := range ro.avoided {
		if !now.Before(until) {
			delete(ro.avoided, other)
		}
	}
	evictIfFull(ro.avoided, maxAvoided)
	ro.avoided[address] = now.Add(avoidPeriod)
}

// question is a call about one key.
type keyCall struct {
	method, path, key string
	in                any
	answerBy          time.Time // when a direct answer counts as lost
}

// ask makes a call about a key: at the owner's address if one is known, and at the base address if there is none or if
// that gave no answer to this key. The call has the same key both times, so whatever the owner did with it still holds.
func (cl *Client) ask(ctx context.Context, kc keyCall) (AnswerReply, error) {
	owner := cl.routes.owner(kc.key)
	if owner == "" {
		return cl.askAt(ctx, cl.http, cl.baseURL, kc)
	}
	cl.routes.direct.Add(1)
	directCtx, cancel := context.WithDeadline(ctx, kc.answerBy)
	pr := &probe{cl: cl, owner: owner, key: kc.key, ctx: directCtx, cancel: cancel}
	timer := time.AfterFunc(cl.routes.probeAfter, pr.run)
	out, err := cl.askAt(directCtx, cl.routes.http, "http://"+owner, kc)
	timer.Stop()
	cancel()
	if err == nil {
		if out.Outcome == lovagejob.Unknown {
			cl.routes.forget(kc.key, owner, false) // the caller asks again, at the base address
		}
		return out, nil
	}
	if ctx.Err() != nil {
		return out, err
	}
	refused := isRefusal(err)
	cl.routes.forget(kc.key, owner, !refused)
	cl.routes.fellBack.Add(1)
	if jo, ok := kc.in.(JobRequest); ok && !refused && !time.Now().Before(jo.Deadline) {
		kc = newAskCall(kc.key, lateAskWait) // a submission after its deadline is refused
	}
	out, baseErr := cl.askAt(ctx, cl.http, cl.baseURL, kc)
	if baseErr != nil && !refused && !errors.Is(err, ErrNotSent) {
		// The owner may have processed the request, so the error must match neither ErrNotSent nor a ReplyError.
		return out, errors.Newf("%s; before that, owner %s: %s", baseErr, owner, err)
	}
	return out, baseErr
}

// probe finds out whether an owner that has not answered yet still works on the job. The connection may have gone silent
// with the request or the answer on it, or the owner may have stopped; waiting until the deadline would lose the job.
type probe struct {
	cl         *Client
	owner, key string
	ctx        context.Context // of the call that waits
	cancel       func()          // ends it
}

func (pr *probe) run() {
	pr.cl.routes.probes.Add(1)
	ctx, cancel := context.WithTimeout(pr.ctx, pr.cl.routes.probeTimeout)
	defer cancel()
	out, err := pr.cl.askAt(ctx, pr.cl.routes.http, "http://"+pr.owner, newAskCall(pr.key, 0))
	switch {
	case pr.ctx.Err() != nil:
	case err == nil && out.Outcome == lovagejob.Pending, isRefusal(err):
		time.AfterFunc(pr.cl.routes.probeAfter, pr.run)
	default:
		pr.cancel()
	}
}

// isRefusal reports whether the error is a reply with which an instance refuses a request that it did not process. Other
// error replies, such as 404 and 502, do not come from a caller API.
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// askAt makes a call about a key at one address. An answer to another key is an error.
func (cl *Client) askAt(ctx context.Context, hc *http.Client, baseURL string, kc keyCall) (AnswerReply, error) {
	var out AnswerReply
	header, err := callJSONAt(ctx, hc, baseURL, kc.method, kc.path, kc.in, &out, func(status int) bool {
		return status < 300 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
			status == http.StatusGatewayTimeout
	})
	switch {
	case err != nil:
		return out, err
	case kc.key != "" && out.Key.String() != kc.key:
		return AnswerReply{}, errors.Newf("asked about key %s but got the answer to key %s", kc.key, out.Key)
	case kc.key != "" && !out.Outcome.Valid():
		return AnswerReply{}, errors.Newf("the answer to key %s has the outcome %q", kc.key, out.Outcome)
	}
	cl.routes.learn(header.Get(OwnerHeader), out.Key)
	return out, nil
}

// RouteCounts returns how many requests went to owners directly. They are 0 for a fixed client.
func (cl *Client) RouteCounts() RouteCounts {
	if cl.routes == nil {
		return RouteCounts{}
	}
	return RouteCounts{Direct: cl.routes.direct.Load(), FellBack: cl.routes.fellBack.Load(), Probes: cl.routes.probes.Load()}
}
