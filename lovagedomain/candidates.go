package lovagedomain

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a live instance.
type Member struct{ ID, DataCentre string }

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// score returns the score of two hashed names for rendezvous hashing. Each name is hashed only once, and mixing
// two hashes takes 1 ns. The constants are those of the finalizer of MurmurHash3.
func score(a, b uint64) uint64 {
	h := a ^ (b*0x9e3779b97f4a7c15 + 1)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// candidate is a member and the criteria of its rank for one domain.
type candidate struct {
	id    string
	local bool // the member's data centre has workers of the domain
	score uint64
}

func (ca candidate) before(other candidate) bool {
	if ca.local != other.local {
		return ca.local
	}
	if ca.score != other.score {
		return ca.score > other.score
	}
	return ca.id < other.id
}

// Candidates returns the IDs of up to n members for each domain, in order of preference. The first member decides for the
// domain; a later one takes over if those before it cannot be reached. Members in data centres that have workers of the domain
// come before all others. The cost is proportional to the number of domains times the number of members.
func (la *Layout) Candidates(members []Member, n int) [][]string {
	hashes := make([]uint64, len(members))
	for i := range members {
		hashes[i] = hashOf(members[i].ID)
	}
	out := make([][]string, len(la.Domains))
	best := make([]candidate, 0, n+1)
	for i := range la.Domains {
		do := &la.Domains[i]
		hash := hashOf(do.ID)
		best = best[:0]
		for j, me := range members {
			ca := candidate{me.ID, slices.Contains(do.DataCentres, me.DataCentre), score(hash, hashes[j])}
			at := len(best)
			for at > 0 && ca.before(best[at-1]) {
				at--
			}
			if at < n {
				best = slices.Insert(best, at, ca)
				best = best[:min(len(best), n)]
			}
		}
		for _, ca := range best {
			out[i] = append(out[i], ca.id)
		}
	}
	return out
}
