package lovageplatform_test

import (
	"context"
	"testing"

	"lovagestack/lovageplatform"
)

// BenchmarkTable measures the client and the writer against the fake platform on loopback, without the latency of a
// real table.
func BenchmarkTable(b *testing.B) {
	ctx := context.Background()
	_, addr := startPlatform(b)
	cl := newClient(b, lovageplatform.ClientSettings{Addresses: []string{addr}, ID: "k1"})
	wr := lovageplatform.NewWriter(cl, "k1", lovageplatform.WriterSettings{})
	value := make([]byte, 200)
	tx := lovageplatform.Transaction{Writes: []lovageplatform.Write{{Key: "range/kandla/1", Value: value}}}
	check := func(b *testing.B, err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			_, err := cl.Read(ctx, "range/kandla/1", "head")
			check(b, err)
		}
	})
	b.Run("commit", func(b *testing.B) {
		for b.Loop() {
			_, err := cl.Commit(ctx, tx)
			check(b, err)
		}
	})
	b.Run("writer", func(b *testing.B) {
		for b.Loop() {
			_, err := wr.Commit(ctx, tx)
			check(b, err)
		}
	})
	b.Run("writer-memory", func(b *testing.B) {
		wr := lovageplatform.NewWriter(lovageplatform.NewMemory(), "k1", lovageplatform.WriterSettings{})
		for b.Loop() {
			_, err := wr.Commit(ctx, tx)
			check(b, err)
		}
	})
}
