package lovagefleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestPatience(t *testing.T) {
	for _, tc := range []struct {
		name          string
		pa            patience
		wait, timeout time.Duration
	}{
		{"calm", patience{links: 48}, pollWait, requestTimeout},
		{"lossy", patience{lossy: true, links: 16, cores: 0.4}, lossyPollWait, lossyTimeout},
		{"lossy, many workers", patience{lossy: true, links: 120, cores: 0.8}, 150 * time.Millisecond, lossyTimeout},
		{"lossy, very many workers", patience{lossy: true, links: 600, cores: 0.8}, pollWait, lossyTimeout},
		{"lossy, cores not known", patience{lossy: true, links: 16}, lossyPollWait, lossyTimeout},
		{"a little late", patience{lossy: true, links: 16, lag: minLag - 1}, lossyPollWait, lossyTimeout},
		{"late", patience{lag: 100 * time.Millisecond, links: 16}, pollWait, requestTimeout + 200*time.Millisecond},
		{"late and lossy", patience{lossy: true, lag: 100 * time.Millisecond}, pollWait, requestTimeout + 200*time.Millisecond},
	} {
		test.Eq(t, tc.wait, tc.pa.pollWait(), test.Sprint(tc.name))
		test.Eq(t, tc.timeout, tc.pa.timeout(requestTimeout), test.Sprint(tc.name))
	}
}

func TestLagMeter(t *testing.T) {
	lm := lagMeter{period: lagPeriod}
	now := time.Unix(1_700_000_000, 0)
	must.Eq(t, 0, lm.lag(now))
	lm.note(now, 50*time.Millisecond)
	lm.note(now, 20*time.Millisecond)
	must.Eq(t, 50*time.Millisecond, lm.lag(now.Add(lagPeriod/2)))
	lm.note(now.Add(lagPeriod/2), 40*time.Millisecond)
	must.Eq(t, 40*time.Millisecond, lm.lag(now.Add(lagPeriod)))
	must.Eq(t, 0, lm.lag(now.Add(3*lagPeriod)))
}

// Checks that a call is given up on time, and a little later if this process noticed that time late.
func TestWithPatience(t *testing.T) {
	no := &Node{lags: lagMeter{period: lagPeriod}}
	wait := func(ctx context.Context) time.Duration {
		began := time.Now()
		<-ctx.Done()
		return time.Since(began)
	}
	ctx, cancel, expired := no.withPatience(t.Context(), time.Now().Add(50*time.Millisecond), time.Second)
	test.Less(t, 500*time.Millisecond, wait(ctx))
	test.True(t, expired())
	cancel()
	ctx, cancel, expired = no.withPatience(t.Context(), time.Now().Add(-2*minLag), 200*time.Millisecond)
	test.GreaterEq(t, 200*time.Millisecond, wait(ctx))
	test.True(t, expired())
	cancel()
	test.GreaterEq(t, minLag, no.lags.lag(time.Now()))
	ctx, cancel, expired = no.withPatience(t.Context(), time.Now().Add(time.Minute), time.Second)
	cancel()
	wait(ctx)
	test.False(t, expired())
}

// pollModel plays an owner that polls its workers in virtual time. Its CPU handles one thing after another: callers' jobs take
// part of it, and each poll, each reply and each new connection after a lost poll costs some. Workers reply at once after their
// wait.
type pollModel struct {
	links       int
	cores       float64
	jobShare    float64 // share of the CPU that callers' jobs take
	decide      func(patience) (wait, timeout time.Duration)
	respectsLag bool // a reply that is missing while the process is late is not a lost call
}

const (
	modelStep     = time.Millisecond
	pollCost      = 100 * time.Microsecond // CPU time to send a poll or to handle its reply
	reconnectCost = time.Millisecond
)

// run plays 10 s, with a stall of the process at 1 s, and returns the polls lost in the last 5 s and the latest CPU backlog.
func (pm pollModel) run(stall time.Duration) (lost int, backlog time.Duration) {
	type link struct {
		sentAt, giveUpAt, replyAt time.Duration // replyAt: when the reply reaches the socket
		handledAt                 time.Duration // when the CPU gets to the reply; 0: it has not arrived
	}
	links := make([]link, pm.links)
	var lossyUntil time.Duration
	for i := range links {
		links[i].replyAt = time.Duration(i) * pollWait / time.Duration(pm.links)
		links[i].giveUpAt = links[i].replyAt + pollGrace
	}
	lags := lagMeter{period: lagPeriod}
	epoch := time.Unix(0, 0)
	for now := time.Duration(0); now < 10*time.Second; now += modelStep {
		if now == time.Second {
			backlog += stall
		}
		backlog = max(backlog-time.Duration(float64(modelStep)*pm.cores*(1-pm.jobShare)), 0)
		lags.note(epoch.Add(now), backlog)
		lag := lags.lag(epoch.Add(now))
		for i := range links {
			li := &links[i]
			if li.handledAt == 0 && now >= li.replyAt {
				backlog += pollCost
				li.handledAt = now + backlog
			}
			timedOut := now >= li.giveUpAt && (li.handledAt == 0 || li.handledAt > now)
			if !timedOut && (li.handledAt == 0 || li.handledAt > now) {
				continue
			}
			if timedOut {
				backlog += reconnectCost
				if now >= 5*time.Second {
					lost++
				}
				if !pm.respectsLag || lag < minLag {
					lossyUntil = now + lossyPeriod
				}
			}
			backlog += pollCost
			wait, timeout := pm.decide(patience{lossy: now < lossyUntil, lag: lag, links: pm.links, cores: pm.cores})
			*li = link{sentAt: now, replyAt: now + backlog + wait, giveUpAt: now + wait + timeout}
		}
	}
	return lost, backlog
}

// Checks that an owner of 120 workers with 0.8 of a core, 40% of it taken by jobs, recovers from a stall of 300 ms. With waits and
// timeouts that only depend on lost calls, the stall looked like losses, and the cost of shorter polls and new connections kept
// the owner late from then on.
func TestOwnerRecoversFromStall(t *testing.T) {
	model := pollModel{links: 120, cores: 0.8, jobShare: 0.4}
	model.decide = func(pa patience) (time.Duration, time.Duration) {
		if pa.lossy {
			return lossyPollWait, lossyTimeout
		}
		return pollWait, pollGrace
	}
	lost, backlog := model.run(300 * time.Millisecond)
	must.Greater(t, 1000, lost, must.Sprint("the model does not show the load"))
	must.Greater(t, lossyTimeout, backlog)

	model.decide = func(pa patience) (time.Duration, time.Duration) { return pa.pollWait(), pa.timeout(pollGrace) }
	model.respectsLag = true
	for _, stall := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		lost, backlog = model.run(stall)
		test.Eq(t, 0, lost, test.Sprint(stall))
		test.Less(t, minLag, backlog, test.Sprint(stall))
	}
}
