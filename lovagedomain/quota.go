package lovagedomain

// QuotaShare returns the share of a quota of running tasks that an instance gets: in proportion to the slots for which
// it decides, or an equal part among the live members if it decides for none, for the time in which it mints its own
// keys. A part is at least one task, so parts can add up to more than the quota. A quota of 0 means none.
func QuotaShare(quota, ownSlots, allSlots, members int) int {
	if quota <= 0 {
		return 0
	}
	if ownSlots > 0 {
		return int(max(1, int64(quota)*int64(ownSlots)/int64(max(ownSlots, allSlots))))
	}
	return max(1, quota/max(1, members))
}
