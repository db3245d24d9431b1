package lovagefleet

import (
	"context"
	"sync"
	"time"

	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
)

// An instance that has sent a job or offloaded tasks to an owner confirms every renewalInterval that it still waits for them. The owner
// keeps their runs alive only as long as the last confirmation permits (see lovagepool/lease.go), so that they end in time even if
// neither a cancellation nor the end of the session is noticed. A confirmation says when the job's caller was last known to wait, by the
// sender's boot clock.

// renewalInterval is how often an instance confirms what it waits for. Leases are shortened if confirmations are older than about
// 130 ms; at 640 ms nothing is started.
const renewalInterval = 100 * time.Millisecond

// sentJobs holds the jobs and offloads that were sent to other owners and await their answers. It is safe for concurrent use.
type sentJobs struct {
	mu    sync.Mutex
	byRef map[string]sentJob
}

// sentJob is a job or offload. Its times are readings of the boot clock.
type sentJob struct {
	address  string // of the owner
	sentAt   time.Duration
	deadline time.Duration // until when the caller waits
	offload  bool
}

// bootTime converts a time to a reading of the boot clock.
func bootTime(at time.Time) time.Duration { return lovageclock.Boot() + time.Until(at) }

// add records a job. After remove, no confirmation with a later time is sent.
func (sj *sentJobs) add(ref string, jo sentJob) {
	sj.mu.Lock()
	sj.byRef[ref] = jo
	sj.mu.Unlock()
}

func (sj *sentJobs) remove(ref string) {
	sj.mu.Lock()
	delete(sj.byRef, ref)
	sj.mu.Unlock()
}

func (sj *sentJobs) empty() bool {
	sj.mu.Lock()
	defer sj.mu.Unlock()
	return len(sj.byRef) == 0
}

// callersSeenAt returns the reading of the boot clock at which this instance's callers were last known to wait.
func (no *Node) callersSeenAt() time.Duration {
	return lovageclock.Boot() - no.lateness(time.Now())
}

// sendRenewals confirms the jobs that were not sent just now. Only loop calls it.
func (no *Node) sendRenewals(time.Time) {
	byAddress := map[string]*lovagemessage.Renew{}
	no.sent.mu.Lock()
	boot, seenAt := lovageclock.Boot(), no.callersSeenAt()
	for ref, jo := range no.sent.byRef {
		if boot-jo.sentAt < renewalInterval/2 {
			continue
		}
		wantedAt := min(seenAt, jo.deadline)
		if jo.offload {
			at, ok := no.pool.OffloadWantedAt(ref)
			if !ok {
				continue
			}
			if !at.IsZero() {
				wantedAt = min(wantedAt, boot+time.Until(at))
			}
		}
		re := byAddress[jo.address]
		if re == nil {
			re = &lovagemessage.Renew{}
			byAddress[jo.address] = re
		}
		re.Renewals = append(re.Renewals, &lovagemessage.Renewal{Ref: ref, WantedMicros: wantedAt.Microseconds()})
	}
	no.sent.mu.Unlock()
	for address, re := range byAddress {
		go no.sendRenewal(address, re)
	}
}

func (no *Node) sendRenewal(address string, re *lovagemessage.Renew) {
	ctx, cancel := context.WithTimeout(no.ctx, pingTimeout)
	defer cancel()
	if _, err := no.mesh.Call(ctx, address, &lovagemessage.Request{Body: &lovagemessage.Request_Renew{Renew: re}}); err != nil {
		no.countEvent("renewalsNotSent")
	}
}

// serveRenew passes the confirmations of another instance to the pool.
func (no *Node) serveRenew(ctx context.Context, re *lovagemessage.Renew) {
	wantedAt := make(map[string]time.Duration, len(re.GetRenewals()))
	for _, rl := range re.GetRenewals() {
		if at, ok := lovagepeer.LocalTime(ctx, rl.GetWantedMicros()); ok {
			wantedAt[rl.GetRef()] = at
		}
	}
	no.post(func(now time.Time) {
		boot := lovageclock.Boot()
		for ref, at := range wantedAt {
			no.pool.Renew(ref, now.Add(at-boot))
		}
	})
}

// wantedAt returns when the caller of a job that a peer has just sent was last known to wait. It returns the zero time if the peer
// sends no confirmations.
func wantedAt(ctx context.Context, pl *lovagemessage.Place) time.Time {
	if at, ok := lovagepeer.LocalTime(ctx, pl.GetWantedMicros()); ok {
		return time.Now().Add(at - lovageclock.Boot())
	}
	return time.Time{}
}

// offloadWantedMicros returns Place.wanted_micros of an offload.
func (no *Node) offloadWantedMicros(of lovagepool.Offload) int64 {
	at := no.callersSeenAt()
	if !of.WantedAt.IsZero() {
		at = min(at, bootTime(of.WantedAt))
	}
	return at.Microseconds()
}
