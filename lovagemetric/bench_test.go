package lovagemetric

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// Measures a request's updates of counters and timers.
func BenchmarkUpdate(b *testing.B) {
	re := New()
	family := re.Counter("calls", "Calls.", LabelKind)
	counter, timer := family.With("accept"), re.Timer("wait", "Wait.").With()
	b.Run("counter", func(b *testing.B) {
		for b.Loop() {
			counter.Inc(1)
		}
	})
	b.Run("timer", func(b *testing.B) {
		for b.Loop() {
			timer.Observe(3 * time.Millisecond)
		}
	})
	b.Run("with", func(b *testing.B) {
		for b.Loop() {
			family.With("accept").Inc(1)
		}
	})
}

// Measures writing 300 counters and 30 timers in the text format.
func BenchmarkWriteText(b *testing.B) {
	re := New()
	for i := range 300 {
		re.Counter("calls", "Calls.", LabelKind).With(fmt.Sprint(i)).Inc(1)
		if i < 30 {
			re.Timer("wait", "Wait.", LabelKind).With(fmt.Sprint(i)).Observe(time.Second)
		}
	}
	for b.Loop() {
		if err := re.WriteText(io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
