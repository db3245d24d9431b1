package lovageledger

import (
	"cmp"
	"slices"
)

// evictionCandidate is a bucket with records that may be dropped before their keys expire.
type evictionCandidate struct {
	keyRange *keyRange
	bucketID bucketID
}

// evict drops the oldest ended records of all ranges until room further records fit into MaxRecords. It drops whole
// buckets, so that the next eviction is not due at once. It raises the store's droppedBeforeMillis past the dropped
// records, so that no key of that age starts; transfers pass this time on. A replica is not told, because it evicts
// records and raises the time by itself.
func (le *Ledger) evict(room int) {
	excess := le.RecordCount() + room - le.settings.MaxRecords
	if excess <= 0 {
		return
	}
	limit := le.latestMillis - le.settings.MinRecordAge.Milliseconds()
	var candidates []evictionCandidate
	for _, id := range le.rangeIDs {
		rg := le.ranges[id]
		for at, bu := range rg.store.buckets {
			if bu.endedCount > 0 && at.endMillis() <= limit {
				candidates = append(candidates, evictionCandidate{keyRange: rg, bucketID: at})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.bucketID.index, b.bucketID.index), a.keyRange.id.compare(b.keyRange.id),
			cmp.Compare(a.bucketID.epoch, b.bucketID.epoch))
	})
	for _, ec := range candidates {
		if excess <= 0 {
			return
		}
		dropped := ec.keyRange.store.evictEnded(ec.bucketID)
		excess -= dropped
		le.evictedRecords += int64(dropped)
	}
}

// atCapacity evicts records if necessary, and reports whether the instance still holds at least MaxRecords.
func (le *Ledger) atCapacity() bool {
	if le.RecordCount() < le.settings.MaxRecords {
		return false
	}
	le.evict(1)
	return le.RecordCount() >= le.settings.MaxRecords
}

// EvictedRecords returns the number of records that were dropped before their keys expired.
func (le *Ledger) EvictedRecords() int64 { return le.evictedRecords }
