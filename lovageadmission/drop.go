package lovageadmission

import "time"

// minRateAge is the least age by which the rate of a body is computed.
const minRateAge = 100 * time.Millisecond

// rate returns the bytes a second of the body in progress, 0 if there is none.
func (co *Connection) rate(now time.Time) float64 {
	if co.state != stateBody {
		return 0
	}
	return float64(co.received) / max(now.Sub(co.since), minRateAge).Seconds()
}

// progresses reports whether the client sends what it has begun: bytes have arrived lately, and a body beyond the grace period has the
// minimum rate.
func (co *Connection) progresses(now time.Time) bool {
	if now.Sub(co.lastProgress) >= co.ac.se.Stall {
		return false
	}
	return co.state != stateBody || now.Sub(co.since) < co.ac.se.Grace || co.rate(now) >= float64(co.ac.se.MinRate)
}

// owes reports whether the client has not taken any of its answer lately.
func (co *Connection) owes(now time.Time) bool {
	since := co.writeSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(co.ac.se.Stall)
}

// idle reports whether the client has had an answer and has not begun another request.
func (co *Connection) idle() bool {
	return co.state == stateWaiting && co.answered && co.headerBytes == 0
}

// rank orders clients by what speaks for dropping them; the lowest is dropped first.
type rank int

const (
	rankOwing   rank = iota // an answer is not being taken
	rankStalled             // a request, or the first one, makes no progress
	rankIdle                // no request is in progress
	rankSlow                // a body makes progress, much slower than that of the client that needs room
	rankKept                // not dropped
)

// fasterBy is how many times faster a body must be for another one that makes progress to be dropped in its favour.
const fasterBy = 4

// rank returns the client's rank if another client needs room, which is nil for a new connection.
func (co *Connection) rank(now time.Time, other *Connection) rank {
	switch {
	case co.dropped != ReasonNone || co == other:
		return rankKept
	case co.owes(now):
		return rankOwing
	case co.state == stateServing:
		return rankKept
	case !co.progresses(now) && co.idle():
		return rankIdle
	case !co.progresses(now):
		return rankStalled
	case other != nil && co.state == stateBody && other.state == stateBody && other.progresses(now) &&
		now.Sub(co.since) >= co.ac.se.Grace && fasterBy*co.rate(now) < other.rate(now):
		return rankSlow
	}
	return rankKept
}

// slowest returns the client to drop first in favour of another one, which is nil for a new connection: by rank, then the slowest, then the
// oldest. It returns nil if no client of which mayDrop is true may be dropped.
func (ac *Account) slowest(now time.Time, other *Connection, mayDrop func(co *Connection) bool) *Connection {
	var worst *Connection
	worstRank, worstRate := rankKept, 0.0
	for _, co := range ac.connections {
		ra := co.rank(now, other)
		if ra == rankKept || ra > worstRank || !mayDrop(co) {
			continue
		}
		rate := co.rate(now)
		if ra == worstRank && (rate > worstRate || rate == worstRate && !co.since.Before(worst.since)) {
			continue
		}
		worst, worstRank, worstRate = co, ra, rate
	}
	return worst
}

// makeRoom drops clients until a connection can have more bytes for a header or a body. It returns the dropped ones, whose drop functions
// the caller must call without the lock, and false if there is no room.
func (ac *Account) makeRoom(now time.Time, co *Connection, more int64, reason Reason) (victims []*Connection, ok bool) {
	po, limit := &ac.bodies, ac.se.BodyBytes
	if reason == ReasonHeaders {
		po, limit = &ac.headers, ac.se.HeaderBytes
	}
	if co.index < 0 || co.dropped != ReasonNone || !po.mayFit(more, limit) {
		return nil, false
	}
	for {
		var mayDrop func(victim *Connection) bool
		switch {
		case reason == ReasonBodies && co.isLarge(co.requestBytes+more) && ac.largeBytes+ac.moreLarge(co, more) > limit-ac.se.SmallBytes:
			mayDrop = func(victim *Connection) bool { return victim.isLarge(victim.requestBytes) }
		case po.used+more <= limit:
			return victims, true
		case reason == ReasonHeaders:
			mayDrop = func(victim *Connection) bool { return victim.headerBytes > 0 }
		default:
			mayDrop = func(victim *Connection) bool { return victim.requestBytes > 0 }
		}
		victim := ac.slowest(now, co, mayDrop)
		if victim == nil {
			return victims, false
		}
		ac.markDropped(victim, reason)
		victims = append(victims, victim)
	}
}

// isLarge reports whether the connection's request is a large one with n bytes.
func (co *Connection) isLarge(n int64) bool {
	return n > 0 && co.expectsLarge || n > co.ac.se.SmallRequest
}

// moreLarge returns by how much the memory of large requests grows if that of the connection's request does.
func (ac *Account) moreLarge(co *Connection, more int64) int64 {
	if co.isLarge(co.requestBytes) {
		return more
	}
	return co.requestBytes + more
}

// markDropped moves what the connection holds to what is about to be released. It returns false if the connection was dropped before.
func (ac *Account) markDropped(co *Connection, reason Reason) bool {
	if co == nil || co.index < 0 || co.dropped != ReasonNone {
		return false
	}
	header, request := co.headerBytes, co.requestBytes
	co.setHeaderBytes(0)
	co.setRequestBytes(0)
	co.dropped = reason
	ac.numDropped++
	ac.counts[reason]++
	co.setHeaderBytes(header)
	co.setRequestBytes(request)
	return true
}

func (co *Connection) setHeaderBytes(n int64) {
	if co.index < 0 {
		return
	}
	if co.dropped != ReasonNone {
		co.ac.headers.leaving += n - co.headerBytes
	} else {
		co.ac.headers.used += n - co.headerBytes
	}
	co.headerBytes = n
}

func (co *Connection) setRequestBytes(n int64) {
	ac := co.ac
	if co.index < 0 {
		return
	}
	if co.dropped != ReasonNone {
		ac.bodies.leaving += n - co.requestBytes
	} else {
		ac.bodies.used += n - co.requestBytes
		if co.isLarge(co.requestBytes) {
			ac.largeBytes -= co.requestBytes
		}
		if co.isLarge(n) {
			ac.largeBytes += n
		}
	}
	co.requestBytes = n
}

func callDrops(victims []*Connection) {
	for _, co := range victims {
		co.callDrop()
	}
}

// callDrop calls drop without the account's lock.
func (co *Connection) callDrop() {
	if co == nil {
		return
	}
	co.ac.mu.Lock()
	inBody := co.state == stateBody
	co.ac.mu.Unlock()
	if co.client != nil {
		co.client.Drop(inBody)
	}
}
