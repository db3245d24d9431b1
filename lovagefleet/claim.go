package lovagefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// renewInterval is how often an owner renews its row and reads those of the others. The others do so less often while
	// all domains have owners: their calls grow with the number of instances.
	renewInterval     = 500 * time.Millisecond
	idleReadInterval  = time.Second
	idleRenewInterval = 2 * time.Second
	// staleAfter is how long after its last renewal an owner without a session counts as gone: three renewals.
	// idleStaleAfter holds for the others.
	ownerStaleAfter = 1600 * time.Millisecond
	idleStaleAfter  = 4500 * time.Millisecond
	// strangerUptime is how long an instance runs before it claims domains of other data centres, whose own instances
	// may be starting too.
	minRemoteClaimUptime = 2500 * time.Millisecond
	// candidateStep is the delay of each further candidate for a domain, in case the ones before it cannot claim.
	candidateDelay = 700 * time.Millisecond
	// reachConfirm is how long the workers of another data centre must be reachable again after they were not: a cut that
	// heals brings their owner back too.
	minReachableTime = 1500 * time.Millisecond
	// homeUptime is how long an instance must have been seen before a domain is handed to it.
	minHandOverUptime = 1500 * time.Millisecond
)

// instanceRow is what an instance writes about itself.
type instanceRow struct {
	ID          string  `json:"id"`
	DataCentre  string  `json:"dataCentre"`
	Address     string  `json:"address"` // of its peer sessions
	Incarnation string  `json:"incarnation"`
	Cores       float64 `json:"cores"`           // processor share of the process
	IsOwner     bool    `json:"owner,omitempty"` // of a domain; it renews its row more often than others
	Leaving     bool    `json:"leaving,omitempty"`
	Heartbeat   int64   `json:"beat"`
}

// domainRow says who owns a domain. The row's version is the owner's fence.
type domainRow struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// member is an instance as seen from here.
type member struct {
	instanceRow
	version     int64     // of the row
	lastRenewed time.Time // when the version was seen to change
	firstSeen   time.Time // when this incarnation was first seen
	connected   bool      // there is a session
	connRefused bool      // its machine refuses connections: the process is gone
}

func (me *member) alive(now time.Time) bool {
	if me.connected {
		return true
	}
	if me.connRefused {
		return false
	}
	if me.IsOwner {
		return now.Sub(me.lastRenewed) < ownerStaleAfter
	}
	return now.Sub(me.lastRenewed) < idleStaleAfter
}

// domain is a group of workers that one instance orders.
type domain struct {
	name            string
	dataCentre      string
	row             domainRow
	version         int64     // 0: the row does not exist
	ownerlessSince  time.Time // since when it is seen to have no owner that lives
	lastUnreachable time.Time // when its workers could last not be reached from here
}

// claimView is what decideClaim looks at.
type claimView struct {
	now     time.Time
	self    *member
	started time.Time
	members map[string]*member
	leaving bool
}

// candidates returns the instances that should own the domain, best first: those of its data centre, then others; among
// them those with more processor, as the owner carries all orders of the domain; then by a hash that spreads domains.
func (cv *claimView) candidates(do *domain) []*member {
	var local, remote []*member
	for _, me := range cv.members {
		if me.Leaving || !me.alive(cv.now) {
			continue
		}
		if me.DataCentre == do.dataCentre {
			local = append(local, me)
		} else {
			remote = append(remote, me)
		}
	}
	sortByPreference := func(list []*member) {
		slices.SortFunc(list, func(a, b *member) int {
			if a.Cores != b.Cores {
				return cmp.Compare(b.Cores, a.Cores)
			}
			ha, hb := xxhash.Sum64String(do.name+"/"+a.ID), xxhash.Sum64String(do.name+"/"+b.ID)
			return cmp.Compare(ha, hb)
		})
	}
	sortByPreference(local)
	sortByPreference(remote)
	return append(local, remote...)
}

type claimAction string

const (
	claimNone        claimAction = ""
	claimNow         claimAction = "claim"
	claimIfReachable claimAction = "claimIfReachable" // only if its workers can be reached from here
	claimHandOver    claimAction = "handOver"
)

// ownedBy reports whether the domain's row, as it was last read, names this process of an instance.
func (do *domain) ownedBy(in *instanceRow) bool {
	return do.version > 0 && do.row.Owner == in.ID && do.row.Incarnation == in.Incarnation
}

// decideClaim says what this instance should do about a domain, and to whom to hand it over.
func (cv *claimView) decideClaim(do *domain) (claimAction, *member) {
	owned := do.ownedBy(&cv.self.instanceRow)
	list := cv.candidates(do)
	if owned {
		do.ownerlessSince = time.Time{}
		if !cv.leaving && cv.self.DataCentre == do.dataCentre {
			return claimNone, nil
		}
		for _, me := range list {
			if me.ID == cv.self.ID {
				continue
			}
			local := me.DataCentre == do.dataCentre && cv.now.Sub(me.firstSeen) >= minHandOverUptime
			if me.connected && (cv.leaving || local) {
				return claimHandOver, me
			}
		}
		return claimNone, nil
	}
	if cv.leaving {
		return claimNone, nil
	}
	if ow := cv.members[do.row.Owner]; do.version > 0 && ow != nil && ow.Incarnation == do.row.Incarnation && ow.alive(cv.now) {
		do.ownerlessSince = time.Time{}
		return claimNone, nil
	}
	if do.ownerlessSince.IsZero() {
		do.ownerlessSince = cv.now
	}
	position := slices.IndexFunc(list, func(me *member) bool { return me.ID == cv.self.ID })
	if position < 0 || cv.now.Sub(do.ownerlessSince) < time.Duration(position)*candidateDelay {
		return claimNone, nil
	}
	if cv.self.DataCentre == do.dataCentre {
		return claimNow, nil
	}
	if cv.now.Sub(cv.started) < minRemoteClaimUptime {
		return claimNone, nil
	}
	return claimIfReachable, nil
}
