package lovageledger

import (
	"cmp"
	"slices"
)

// droppable is a bucket with records that may be dropped before the lifetime of their keys ends.
type evictionCandidate struct {
	rg *keyRange
	id bucketID
}

// dropEarly drops the oldest ended records of all ranges while there is no room for more within MaxRecords. Whole buckets are
// dropped, so that it has nothing to do for a while after it. Keys as old as the dropped ones never start: the range's
// store.floor is raised past them, and goes to others with each transfer. A replica needs no word of it, because it
// holds records of its own and raises its own floor.
func (le *Ledger) evict(room int) {
	excess := le.RecordCount() + room - le.se.MaxRecords
	if excess <= 0 {
		return
	}
	limit := le.latestTime - le.se.MinRecordAge.Milliseconds()
	var found []evictionCandidate
	for _, id := range le.order {
		rg := le.ranges[id]
		for at, bu := range rg.store.buckets {
			if bu.ended > 0 && at.endMillis() <= limit {
				found = append(found, evictionCandidate{rg: rg, id: at})
			}
		}
	}
	slices.SortFunc(found, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.id.index, b.id.index), a.rg.id.compare(b.rg.id), cmp.Compare(a.id.epoch, b.id.epoch))
	})
	for _, ec := range found {
		if excess <= 0 {
			return
		}
		dropped := ec.rg.store.evictEnded(ec.id)
		excess -= dropped
		le.evictedRecords += int64(dropped)
	}
}

// full reports whether the instance remembers as many keys as it may, although it has dropped what can be dropped.
func (le *Ledger) atCapacity() bool {
	if le.RecordCount() < le.se.MaxRecords {
		return false
	}
	le.evict(1)
	return le.RecordCount() >= le.se.MaxRecords
}

// EvictedRecords returns the number of records that were dropped before the lifetime of their keys had ended.
func (le *Ledger) EvictedRecords() int64 { return le.evictedRecords }
