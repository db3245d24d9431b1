package lovageentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagestack/lovagedomain"
	"lovagestack/lovagejob"
	"lovagestack/lovagemessage"
	"lovagestack/lovageresource"
)

// A candidate of a domain must reply to a request for keys within decidingTimeout. After a failure, the candidate is
// not asked again for decidingBackOff. Minting at an instance that does not decide costs response time, but waiting for
// an unresponsive instance costs more.
const (
	decidingTimeout = 250 * time.Millisecond
	decidingBackOff = 2 * time.Second
)

// Values of the label reason of the metric mints: which instance was asked for the keys.
const (
	mintDeciding = "deciding" // the deciding instance of the domain
	mintNext     = "next"     // the next candidate of the domain
	mintOwn      = "own"      // this instance or a peer, as no candidate gave keys or the policy is not central
)

// domainRouter chooses the instances that mint keys for a service. Traffic goroutines and the control loop share it.
type domainRouter struct {
	decidedCount atomic.Int64 // domains for which this instance decides
	dataCentre   string
	loadTTL      time.Duration // time for which a reported load is used

	mu           sync.Mutex
	layout       *lovagedomain.Layout
	candidates   [][]string // IDs by domain index: the deciding instance, then the next candidates
	loads        map[string]reportedLoad
	backOffUntil map[string]time.Time // end of the back-off, by instance ID
	rng          *rand.Rand
}

type reportedLoad struct {
	lovagedomain.Load
	expires time.Time
}

func newDomainRouter(dataCentre string, loadTTL time.Duration, seed uint64) *domainRouter {
	return &domainRouter{
		dataCentre: dataCentre, loadTTL: loadTTL, layout: lovagedomain.Divide(nil, 0),
		loads: make(map[string]reportedLoad), backOffUntil: make(map[string]time.Time), rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (dr *domainRouter) setLayout(layout *lovagedomain.Layout, candidates [][]string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.layout, dr.candidates = layout, candidates
}

// recordLoads stores the domain loads that an instance has reported, and drops expired loads.
func (dr *domainRouter) recordLoads(loads []*lovagemessage.DomainLoad, now time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, dl := range loads {
		dr.loads[dl.GetDomain()] = reportedLoad{expires: now.Add(dr.loadTTL), Load: lovagedomain.Load{
			Slots: int(dl.GetSlots()), FreeSlots: int(dl.GetFreeSlots()), QueuedTasks: int(dl.GetQueuedTasks()),
		}}
	}
	for id, rl := range dr.loads {
		if now.After(rl.expires) {
			delete(dr.loads, id)
		}
	}
}

// choose picks a domain for the service. It returns the IDs of the domain's deciding instance and next candidate, or no
// ID if there is no domain or no candidate.
func (dr *domainRouter) choose(service string, now time.Time) []string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	domain := dr.layout.Choose(service, dr.dataCentre, func(domain string) (lovagedomain.Load, bool) {
		rl, ok := dr.loads[domain]
		return rl.Load, ok && !now.After(rl.expires)
	}, dr.rng)
	if domain < 0 {
		return nil
	}
	ids := dr.candidates[domain]
	return ids[:min(len(ids), 2)]
}

// decides reports whether an instance decides for a domain that has workers of the service, or for any domain if the
// service is empty.
func (dr *domainRouter) decides(id, service string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for i, ids := range dr.candidates {
		if len(ids) > 0 && ids[0] == id && (service == "" || slices.Contains(dr.layout.Domains[i].Services, service)) {
			return true
		}
	}
	return false
}

// inBackOff reports whether the instance failed to give keys less than decidingBackOff ago.
func (dr *domainRouter) inBackOff(id string, now time.Time) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return now.Before(dr.backOffUntil[id])
}

func (dr *domainRouter) startBackOff(id string, now time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for other, until := range dr.backOffUntil {
		if now.After(until) {
			delete(dr.backOffUntil, other)
		}
	}
	dr.backOffUntil[id] = now.Add(decidingBackOff)
}

// isDeclared reports whether this instance knows the service.
func (in *Instance) isDeclared(service string) bool {
	_, ok := in.store.Get(lovageresource.KindService, service)
	return ok
}

// mintInDomain chooses a domain of the service and asks its deciding instance for keys, then the next candidate. It
// returns no keys if neither gives keys in time.
func (in *Instance) mintInDomain(ctx context.Context, req lovagejob.MintRequest) (lovagejob.MintResult, error) {
	for i, id := range in.domainRouter.choose(req.Service, time.Now()) {
		reason := mintDeciding
		if i > 0 {
			reason = mintNext
		}
		mi := lovagejob.MintResult{}
		switch {
		case id == in.id:
			rp, err := in.execute(ctx, &request{kind: kindMint, mint: req})
			if err != nil {
				return mi, err
			}
			mi.Keys, mi.CallerAddress = rp.keys, in.callerAddress
		case !in.domainRouter.inBackOff(id, time.Now()):
			mi = in.mintFromPeer(ctx, id, req, decidingTimeout)
			if len(mi.Keys) == 0 && ctx.Err() == nil {
				in.domainRouter.startBackOff(id, time.Now())
			}
		}
		if len(mi.Keys) > 0 {
			in.counts.mintRequests.With(reason).Inc(1)
			return mi, nil
		}
	}
	return lovagejob.MintResult{}, ctx.Err()
}
