package lovagemetric

import (
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bucketBounds are the upper bounds of the buckets of timers. They cover durations from the 0.5 ms that the dispatcher
// may add to a task up to tasks of several seconds. All timers have these bounds, so that counts of instances can be
// summed.
var bucketBounds = []time.Duration{
	100 * time.Microsecond, 200 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Timer is a histogram of durations. WriteText writes it in seconds.
type Timer struct {
	buckets  []metrics.Counter // counts, one per bound and one for longer durations
	sumNanos metrics.Counter   // sum of all durations
}

// TimerFamily is a set of timers that differ in their label values.
type TimerFamily struct{ fa *family }

// Timer returns the timer family with the given name. WriteText appends "_seconds" to the name.
func (re *Registry) Timer(name, help string, labels ...LabelName) TimerFamily {
	return TimerFamily{re.family(typeHistogram, name, help, labels)}
}

// With returns the timer with the given label values, in the order of the labels.
func (tf TimerFamily) With(values ...string) *Timer {
	return tf.fa.getOrCreate(values, func(string) any {
		ti := &Timer{buckets: make([]metrics.Counter, len(bucketBounds)+1), sumNanos: metrics.NewCounter()}
		for i := range ti.buckets {
			ti.buckets[i] = metrics.NewCounter()
		}
		return ti
	}).(*Timer)
}

// Observe records one duration.
func (ti *Timer) Observe(du time.Duration) {
	i := sort.Search(len(bucketBounds), func(i int) bool { return du <= bucketBounds[i] })
	ti.buckets[i].Inc(1)
	ti.sumNanos.Inc(int64(du))
}

// ObserveSince records the time elapsed since start.
func (ti *Timer) ObserveSince(start time.Time) { ti.Observe(time.Since(start)) }
