package lovagedomain

// QuotaShare returns an instance's share of a quota of running tasks: quota * ownSlots / allSlots. The instance decides
// for ownSlots of the allSlots in all domains. With no slots, it gets an equal share among the live members, for the time
// in which it mints its own keys. A share is at least one task, so shares can add up to more than the quota. A quota of 0
// means no quota.
func QuotaShare(quota, ownSlots, allSlots, members int) int {
	if quota <= 0 {
		return 0
	}
	if ownSlots > 0 {
		return int(max(1, int64(quota)*int64(ownSlots)/int64(max(ownSlots, allSlots))))
	}
	return max(1, quota/max(1, members))
}
