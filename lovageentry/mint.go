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

// The deciding instance is asked for keys for a short time only, and after a failure not for a while: minting elsewhere
// costs response time, but waiting for a silent instance costs more.
const (
	decidingTimeout = 250 * time.Millisecond
	decidingBackOff = 2 * time.Second
)

// Values of the label reason of the counter of mints: where keys came from.
const (
	mintDeciding = "deciding" // the deciding instance of the domain
	mintNext     = "next"     // the one with the next hash
	mintOwn      = "own"      // this instance, or a peer in its place, because neither could be reached
)

// domainBook is what traffic goroutines know of the decision domains.
type domainRouter struct {
	decidedCount atomic.Int64 // number of domains for which this instance decides
	dataCentre   string
	loadTTL      time.Duration // time after which a reported load is of no use

	mu           sync.Mutex
	layout       *lovagedomain.Layout
	candidates   [][]string // by domain, as Layout.Candidates returns it
	loads        map[string]reportedLoad
	backOffUntil map[string]time.Time // until when an instance is not asked for keys
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

func (dr *domainRouter) set(layout *lovagedomain.Layout, deciding [][]string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.layout, dr.candidates = layout, deciding
}

// heard notes the loads that a deciding instance reports.
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

// choose returns the deciding instance and the next one of a domain for the service. It is empty without domains.
func (dr *domainRouter) choose(service string, now time.Time) []string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	do := dr.layout.Choose(service, dr.dataCentre, func(domain string) (lovagedomain.Load, bool) {
		rl, ok := dr.loads[domain]
		return rl.Load, ok && !now.After(rl.expires)
	}, dr.rng)
	if do < 0 {
		return nil
	}
	ids := dr.candidates[do]
	return ids[:min(len(ids), 2)]
}

// decides reports whether an instance is the deciding one of a domain that has workers of the service, or of any domain if
// the name is empty.
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

// isSilent reports whether the instance has just failed to give keys.
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

// knows reports whether the service is declared as far as this instance knows.
func (in *Instance) declares(service string) bool {
	_, ok := in.store.Get(lovageresource.KindService, service)
	return ok
}

// mintInDomain returns keys of the deciding instance of a domain for the service, else of the next one. There are none
// if neither gave any in time.
func (in *Instance) mintInDomain(ctx context.Context, req lovagejob.MintRequest) (lovagejob.MintResult, error) {
	for i, id := range in.domainRouter.choose(req.Service, time.Now()) {
		reason := mintDeciding
		if i > 0 {
			reason = mintNext
		}
		mi := lovagejob.MintResult{}
		switch {
		case id == in.id:
			rp, err := in.do(ctx, &request{kind: kindMint, mint: req})
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
			in.counts.mints.With(reason).Inc(1)
			return mi, nil
		}
	}
	return lovagejob.MintResult{}, ctx.Err()
}
