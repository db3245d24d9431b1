package lovagesync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRelayForwardsPush checks that a relay forwards a pushed change to the other instances of its data centre.
// Otherwise these instances get it only after the next heartbeat or poll.
func TestRelayForwardsPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		sender, relay, behindRelay := cl.start(nodeID(0), nil), cl.start(nodeID(1), nil), cl.start(nodeID(2), nil)
		cl.mu.Lock()
		cl.pushTargets = func(no *node, from string) []Peer {
			switch {
			case no == sender && from == "":
				return []Peer{{ID: relay.id, Address: relay.id}}
			case no == relay && from == sender.id:
				return []Peer{{ID: behindRelay.id, Address: behindRelay.id}}
			}
			return nil
		}
		cl.mu.Unlock()
		time.Sleep(3*time.Second + 500*time.Millisecond)
		sender.mustPut("a", 1)
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, 1, relay.weight("a"))
		must.Eq(t, 1, behindRelay.weight("a"))
	})
}

// TestObserveRevisionAt checks that an instance known only from an old summary does not count as answering, and that a
// summary does not replace a later report from the instance itself.
func TestObserveRevisionAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.stop()
		no := cl.start(nodeID(0), nil)
		time.Sleep(time.Second)
		appliedRevision := func(id string) (int64, bool) {
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
		revision, ok := appliedRevision("far")
		must.True(t, ok)
		must.Eq(t, 5, revision)
		time.Sleep(3 * time.Second)
		_, ok = appliedRevision("far")
		must.False(t, ok)
		revision, ok = appliedRevision("near")
		must.True(t, ok)
		must.Eq(t, 5, revision)
	})
}
