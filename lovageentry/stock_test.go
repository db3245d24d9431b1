package lovageentry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovagemetric"
)

// minter mints numbered keys; each refill takes a second.
type minter struct {
	mu     sync.Mutex
	n      int
	asked  []int // counts of the requests
	age    time.Duration
	failed error
}

func (mi *minter) mint(_ context.Context, req lovagejob.MintRequest) (lovagejob.Minted, time.Duration, error) {
	time.Sleep(time.Second)
	mi.mu.Lock()
	defer mi.mu.Unlock()
	mi.asked = append(mi.asked, req.Count)
	var out lovagejob.Minted
	for range req.Count {
		mi.n++
		out.Keys = append(out.Keys, lovagejob.Key{DataCentre: "kandla", Epoch: 1, Nonce: fmt.Sprint(mi.n)})
	}
	if mi.failed != nil {
		return lovagejob.Minted{}, 0, mi.failed
	}
	return out, mi.age, nil
}

// requests returns the counts of the requests after all refills in progress.
func (mi *minter) requests() []int {
	time.Sleep(2 * time.Second)
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.asked
}

func testStocks(mi *minter) *keyStocks { return newKeyStocks(newCounts(lovagemetric.New()), mi.mint) }

// Guards against a submission that waits although there are keys, a key that is given out twice, and more than one
// message for 24 keys.
func TestStockRefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mi := &minter{age: stockAge}
		ks := testStocks(mi)
		seen := map[string]bool{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 20 { // the first refill serves all of them
			wg.Go(func() {
				key, err := ks.take(t.Context(), stockKind{service: "a"})
				must.NoError(t, err)
				mu.Lock()
				defer mu.Unlock()
				must.False(t, seen[key.Nonce])
				seen[key.Nonce] = true
			})
		}
		wg.Wait()
		must.Eq(t, []int{32}, mi.requests())
		began := time.Now()
		for range 12 {
			key, err := ks.take(t.Context(), stockKind{service: "a"})
			must.NoError(t, err)
			must.False(t, seen[key.Nonce])
			seen[key.Nonce] = true
		}
		must.Eq(t, 0, time.Since(began))
		must.Eq(t, []int{32, 24}, mi.requests())
	})
}

// Guards against keys that are used too late or after another instance decides, and against a failure that blocks
// submissions or is kept.
func TestStockDropsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mi := &minter{age: stockAge}
		ks, kind := testStocks(mi), stockKind{service: "a", repeatable: true}
		take := func() string {
			key, err := ks.take(t.Context(), kind)
			must.NoError(t, err)
			return key.Nonce
		}
		must.Eq(t, "1", take())
		time.Sleep(stockAge) // from the start of the refill, so the keys are too old now
		must.Eq(t, "33", take())
		ks.drop()
		must.Eq(t, "65", take())
		go func() {
			time.Sleep(time.Second / 2)
			ks.drop()
		}()
		for range 31 { // the last ones start a refill, which is in progress when the keys are dropped
			take()
		}
		time.Sleep(time.Second / 2)
		must.Eq(t, "121", take())
		mi.failed = errors.New("no")
		ks.drop()
		_, err := ks.take(t.Context(), kind)
		must.ErrorIs(t, err, mi.failed)
		mi.failed = nil
		take()
		time.Sleep(time.Minute)
	})
}

// Guards against memory that grows with the names of services.
func TestStocksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ks := testStocks(&minter{age: stockAge})
		for i := range maxStocks + 10 {
			_, err := ks.take(t.Context(), stockKind{service: fmt.Sprint(i)})
			must.NoError(t, err)
		}
		must.MapLen(t, maxStocks, ks.stocks)
		must.MapNotContainsKey(t, ks.stocks, stockKind{service: "9"})
		must.MapContainsKey(t, ks.stocks, stockKind{service: "10"})
	})
}

// BenchmarkTakePrefetchedKey measures a submission's part without refills, which are messages.
func BenchmarkTakePrefetchedKey(b *testing.B) {
	ks := newKeyStocks(newCounts(lovagemetric.New()), func(_ context.Context, req lovagejob.MintRequest) (lovagejob.Minted, time.Duration, error) {
		return lovagejob.Minted{Keys: make([]lovagejob.Key, req.Count)}, stockAge, nil
	})
	kind := stockKind{service: "a"}
	st := &keyStock{}
	ks.stocks[kind] = st
	until := time.Now().Add(time.Hour)
	for range stockSize {
		st.keys = append(st.keys, stockedKey{key: lovagejob.Key{Epoch: 1}, until: until})
	}
	all := st.keys
	b.ReportAllocs()
	for b.Loop() {
		if len(st.keys) <= stockRefill+1 {
			st.keys = all
		}
		if _, err := ks.take(b.Context(), kind); err != nil {
			b.Fatal(err)
		}
	}
}
