package lovageresource

import (
	"fmt"
	"sync"
	"testing"
)

// benchSizes are numbers of resources. Today's deployment has tens; a later one will have thousands.
var benchSizes = []int{10, 100, 1_000, 10_000}

// benchStore returns a store with n teams.
func benchStore(b *testing.B, n int) *Store {
	b.Helper()
	st := NewStore(4096)
	for i := range n {
		if err := st.Apply(benchChange(st.Revision()+1, i)); err != nil {
			b.Fatal(err)
		}
	}
	return st
}

func benchChange(revision int64, i int) Change {
	name := fmt.Sprintf("team-%d", i)
	re := &Resource{Kind: KindTeam, Name: name, Revision: revision, Spec: DefaultTeam()}
	return Change{Revision: revision, Kind: KindTeam, Name: name, Resource: re}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("resources=%d", n), func(b *testing.B) {
			st := benchStore(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if err := st.Apply(benchChange(st.Revision()+1, i%n)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("resources=%d", n), func(b *testing.B) {
			st := benchStore(b, n)
			data, _, err := st.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := NewStore(1).Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkWatch measures the time until every watcher has read a change.
func BenchmarkWatch(b *testing.B) {
	for _, n := range benchSizes {
		for _, watchers := range []int{1, 10, 100, 1_000} {
			b.Run(fmt.Sprintf("resources=%d/watchers=%d", n, watchers), func(b *testing.B) { benchWatch(b, n, watchers) })
		}
	}
}

func benchWatch(b *testing.B, n, watchers int) {
	st := benchStore(b, n)
	stop := make(chan struct{})
	var running, unread sync.WaitGroup
	for range watchers {
		wa := &benchWatcher{st: st, lastRead: st.Revision(), unread: &unread, stop: stop}
		running.Go(wa.run)
	}
	for i := 0; b.Loop(); i++ {
		unread.Add(watchers)
		if err := st.Apply(benchChange(st.Revision()+1, i%n)); err != nil {
			b.Fatal(err)
		}
		unread.Wait()
	}
	close(stop)
	running.Wait()
}

type benchWatcher struct {
	st       *Store
	lastRead int64
	unread   *sync.WaitGroup
	stop     chan struct{}
}

func (wa *benchWatcher) run() {
	for {
		changed := wa.st.Changed()
		changes, err := wa.st.Since(wa.lastRead, 256)
		if err != nil {
			panic(err)
		}
		for range changes {
			wa.lastRead++
			wa.unread.Done()
		}
		if len(changes) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-wa.stop:
			return
		}
	}
}
