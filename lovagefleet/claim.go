package lovagefleet

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lovagestack/lovageplatform"
)

const (
	// renewInterval is how often an owner renews its row and reads all rows. There may be many instances without a domain;
	// these renew every idleRenewInterval. While they have sessions with the owners of all domains, they read only every
	// idleReadInterval and idleReadPerMember for each instance, so that what they read in a second does not grow with the square
	// of the number of instances.
	renewInterval     = 500 * time.Millisecond
	idleReadInterval  = 5 * time.Second
	idleReadPerMember = 100 * time.Millisecond
	idleRenewInterval = 2 * time.Second
	// ownerStaleAfter is the time from an owner's last renewal until the owner counts as dead if this instance has no
	// session with it: a little over three renewal intervals. idleStaleAfter applies to instances that own no domain.
	ownerStaleAfter = 1600 * time.Millisecond
	idleStaleAfter  = 4500 * time.Millisecond
	// minRemoteClaimUptime is how long an instance runs before it claims the domain of another data centre. The
	// instances there may still be starting.
	minRemoteClaimUptime = 2500 * time.Millisecond
	// candidateDelay is how much longer each candidate for a domain waits than the next preferred one before it claims
	// the domain.
	candidateDelay = 700 * time.Millisecond
	// minReachableTime is how long the workers of another data centre must be reachable again before their domain is claimed.
	// When a partition heals, the owner becomes reachable too, so no claim is needed.
	minReachableTime = 1500 * time.Millisecond
	// minHandOverUptime is how long an owner must have known an instance of the domain's data centre before it hands the domain
	// over to that instance, unless the owner is leaving.
	minHandOverUptime = 1500 * time.Millisecond
	// handOverCoresFactor is how many times as many CPU cores a local instance must have for a local owner to hand the domain over
	// to it. An owner with too few is late for its workers and the instances that send it jobs.
	handOverCoresFactor = 2
)

// instanceRow is the row that an instance writes about itself.
type instanceRow struct {
	ID          string  `json:"id"`
	DataCentre  string  `json:"dataCentre"`
	Address     string  `json:"address"` // address for peer sessions
	Incarnation string  `json:"incarnation"`
	Cores       float64 `json:"cores"`           // CPU share of the process
	IsOwner     bool    `json:"owner,omitempty"` // owns a domain, so renews its row more often
	Leaving     bool    `json:"leaving,omitempty"`
	Slow        bool    `json:"slow,omitempty"` // late at present, or slow as slowness defines it; gets no domains
	Heartbeat   int64   `json:"beat"`
}

// domainRow names the owner of a domain. The row's version is the owner's fence.
type domainRow struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// decodeInstanceRow returns an instance's row, or an error if the row cannot be of an instance in one of the data centres.
func decodeInstanceRow(row lovageplatform.Row, dataCentres []string) (instanceRow, error) {
	var in instanceRow
	if err := json.Unmarshal(row.Value, &in); err != nil {
		return in, errors.Wrap(err, "decode the row of an instance")
	}
	switch {
	case in.ID == "" || instancePrefix+in.ID != row.Key:
		return in, errors.Newf("the row names the instance %q", in.ID)
	case !slices.Contains(dataCentres, in.DataCentre):
		return in, errors.Newf("unknown data centre %q", in.DataCentre)
	case !isPeerAddress(in.Address):
		return in, errors.Newf("%q is not an address of an instance", in.Address)
	case in.Incarnation == "" || in.Cores < 0:
		return in, errors.New("no incarnation, or a negative number of cores")
	}
	return in, nil
}

// decodeDomainRow returns a domain's row, or an error if no instance can have written it.
func decodeDomainRow(row lovageplatform.Row, dataCentres []string) (domainRow, error) {
	var dr domainRow
	if err := json.Unmarshal(row.Value, &dr); err != nil {
		return dr, errors.Wrap(err, "decode the row of a domain")
	}
	if !slices.Contains(dataCentres, strings.TrimPrefix(row.Key, domainPrefix)) {
		return dr, errors.New("unknown domain")
	}
	if dr.Owner == "" || dr.Incarnation == "" || !isPeerAddress(dr.Address) {
		return dr, errors.Newf("the row does not name an owner: %+v", dr)
	}
	return dr, nil
}

func isPeerAddress(s string) bool {
	ad, err := netip.ParseAddrPort(s)
	return err == nil && ad.Port() != 0 && !ad.Addr().IsUnspecified()
}

// member is what this instance knows about an instance, itself included.
type member struct {
	instanceRow
	version           int64     // version of the instance's row
	lastRenewed       time.Time // when this instance last saw the version change
	firstSeen         time.Time // when this incarnation was first seen
	connected         bool      // this instance has a session with the member
	connectionRefused bool      // the member's machine refused a connection, so its process has ended
}

func (me *member) alive(now time.Time) bool {
	if me.connected {
		return true
	}
	if me.connectionRefused {
		return false
	}
	if me.IsOwner {
		return now.Sub(me.lastRenewed) < ownerStaleAfter
	}
	return now.Sub(me.lastRenewed) < idleStaleAfter
}

// domain is a group of workers that one instance owns.
type domain struct {
	name            string
	dataCentre      string
	row             domainRow
	version         int64     // version of the domain's row; 0: the row does not exist
	position        int       // of this instance among the candidates while the domain is ownerless; -1: it is none
	ownerlessSince  time.Time // since when this instance has seen no live owner; zero: the owner is live
	lastUnreachable time.Time // when this instance last failed to reach the workers
}

// claimView is the input of decideClaim.
type claimView struct {
	now       time.Time
	self      *member
	startedAt time.Time
	members   map[string]*member
	leaving   bool
	slow      bool // this instance is slow
}

// candidates returns the live instances that may own the domain, most preferred first: those in the domain's data centre before
// the others, and in each group slow ones last and those with more CPU cores first, as the owner sends all requests to the workers.
// A hash breaks ties, and so spreads domains over instances.
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
			if a.Slow != b.Slow {
				if a.Slow {
					return 1
				}
				return -1
			}
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
	claimIfReachable claimAction = "claimIfReachable" // claim if this instance can reach the workers
	claimHandOver    claimAction = "handOver"
)

// ownedBy reports whether the domain's row, as last read, names this incarnation of the instance.
func (do *domain) ownedBy(in *instanceRow) bool {
	return do.version > 0 && do.row.Owner == in.ID && do.row.Incarnation == in.Incarnation
}

// shouldOwn reports whether another instance should own the domain instead of this one, which is not leaving.
func (cv *claimView) shouldOwn(me *member, do *domain) bool {
	if me.DataCentre != do.dataCentre || me.Slow || cv.now.Sub(me.firstSeen) < minHandOverUptime {
		return false
	}
	switch {
	case cv.self.DataCentre != do.dataCentre:
		return true
	case cv.slow:
		return me.Cores >= minReliefShare*cv.self.Cores
	}
	return me.Cores >= handOverCoresFactor*cv.self.Cores && cv.self.Cores > 0
}

// decideClaim returns what this instance should do about a domain and, for claimHandOver, the instance to hand it to.
func (cv *claimView) decideClaim(do *domain) (claimAction, *member) {
	owned := do.ownedBy(&cv.self.instanceRow)
	list := cv.candidates(do)
	if owned {
		do.ownerlessSince = time.Time{}
		for _, me := range list {
			if me.ID != cv.self.ID && me.connected && (cv.leaving || cv.shouldOwn(me, do)) {
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
	do.position = slices.IndexFunc(list, func(me *member) bool { return me.ID == cv.self.ID })
	if do.position < 0 || cv.now.Sub(do.ownerlessSince) < time.Duration(do.position)*candidateDelay {
		return claimNone, nil
	}
	if cv.self.DataCentre == do.dataCentre {
		return claimNow, nil
	}
	if cv.now.Sub(cv.startedAt) < minRemoteClaimUptime {
		return claimNone, nil
	}
	return claimIfReachable, nil
}
