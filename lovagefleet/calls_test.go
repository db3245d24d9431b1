package lovagefleet

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against more calls at once than the limit, calls that are lost, and calls out of order.
func TestCallQueue(t *testing.T) {
	cq := callQueue{limit: 2}
	release, started := make(chan struct{}), make(chan int, 100)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Add(1)
		cq.run(func() {
			started <- i
			<-release
			wg.Done()
		})
	}
	first := []int{<-started, <-started}
	must.SliceContainsAll(t, []int{0, 1}, first)
	must.Eq(t, 2, cq.running)
	must.SliceLen(t, 98, cq.waiting)
	for i := 2; i < 100; i++ {
		release <- struct{}{}
		must.Eq(t, i, <-started)
	}
	close(release)
	wg.Wait()
	done := make(chan struct{})
	cq.run(func() { close(done) })
	<-done
}

// Guards against stops that are repeated while an earlier one of the same run waits.
func TestStopSet(t *testing.T) {
	var ss stopSet
	must.True(t, ss.add(stopKey{"a", 1}))
	must.False(t, ss.add(stopKey{"a", 1}))
	must.True(t, ss.add(stopKey{"a", 2}))
	ss.remove(stopKey{"a", 1})
	must.True(t, ss.add(stopKey{"a", 1}))
}
