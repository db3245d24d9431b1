package lovageload

import (
	"fmt"
	"testing"
	"time"
)

// Uses 48 workers, most with free slots. The generator calls IdealResponseTime for each job.
func BenchmarkIdealResponseTime(b *testing.B) {
	workers := make([]Worker, 48)
	for i := range workers {
		workers[i] = Worker{Speed: 1 + float64(i%5)/2, Slots: i % 9}
	}
	for _, n := range []int{1, 10, 350} {
		work := make([]time.Duration, n)
		for i := range work {
			work[i] = time.Duration(50+i*7%900) * time.Millisecond
		}
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			for b.Loop() {
				IdealResponseTime(time.Millisecond, work, workers)
			}
		})
	}
}
