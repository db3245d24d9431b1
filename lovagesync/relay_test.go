package lovagesync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRelayForwardsPush checks that a relay forwards a pushed change to its data centre. Otherwise the change arrives
// there only after the next heartbeat or poll.
func TestRelayForwardsPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		first, relay, behind := cl.start(nodeID(0), nil), cl.start(nodeID(1), nil), cl.start(nodeID(2), nil)
		cl.mu.Lock()
		cl.pushTargets = func(no *node, from string) []Peer {
			switch {
			case no == first && from == "":
				return []Peer{{ID: relay.id, Address: relay.id}}
			case no == relay && from == first.id:
				return []Peer{{ID: behind.id, Address: behind.id}}
			}
			return nil
		}
		cl.mu.Unlock()
		time.Sleep(3*time.Second + 500*time.Millisecond)
		first.mustPut("a", 1)
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, 1, relay.weight("a"))
		must.Eq(t, 1, behind.weight("a"))
	})
}

// TestObserveRevisionAt checks that an instance known from an old summary does not count as answering, and that a summary
// does not replace a later report from the instance itself.
func TestObserveRevisionAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		no := cl.start(nodeID(0), nil)
		time.Sleep(time.Second)
		answered := func(id string) (int64, bool) {
			_, applied := no.InForce(1)
			for _, ap := range applied {
				if ap.Instance == id {
					return ap.Revision, ap.Answered
				}
			}
			return 0, false
		}
		no.ObserveRevisionAt("far", 5, time.Now().Add(-4*time.Second))
		no.ObserveRevision("near", 5)
		no.ObserveRevisionAt("near", 4, time.Now().Add(-4*time.Second))
		revision, ok := answered("far")
		must.True(t, ok)
		must.Eq(t, 5, revision)
		time.Sleep(3 * time.Second)
		_, ok = answered("far")
		must.False(t, ok)
		revision, ok = answered("near")
		must.True(t, ok)
		must.Eq(t, 5, revision)
	})
}
