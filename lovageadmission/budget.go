package lovageadmission

import "sync"

// Budget is memory that several users share. The zero Budget has no room. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	used, limit int64
	refused     int64
}

// NewBudget returns an unused budget.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes, or returns false.
func (bu *Budget) Reserve(n int64) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.used+n > bu.limit {
		bu.refused++
		return false
	}
	bu.used += n
	return true
}

// Release releases n reserved bytes.
func (bu *Budget) Release(n int64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= n
}

// Use returns the reserved bytes, and how many reservations were refused.
func (bu *Budget) Use() (reserved, refused int64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.used, bu.refused
}
