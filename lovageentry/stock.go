package lovageentry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
	"lovagestack/lovageresource"
)

const (
	stockSize   = 32 // keys that a stock holds after a refill
	stockRefill = 8  // keys left at which it is refilled
	// stockAge bounds the time from the minting of a prefetched key to its use. A key decides where its job runs, and the
	// load of the domains changes within seconds.
	stockAge = 30 * time.Second
	// maxStocks bounds the stocks of an instance, and with it their memory: a key takes about 100 B, so 512 stocks take
	// 1.7 MB. Above it the stock that was used least recently is dropped.
	maxStocks = 512
)

// stockKind says what the keys of a stock are for.
type stockKind struct {
	service    string
	repeatable bool
}

// keyStocks holds keys that were minted at the deciding instance ahead of submissions without a key.
type keyStocks struct {
	mint                             func(ctx context.Context, req lovagejob.MintRequest) (lovagejob.Minted, time.Duration, error)
	taken, refills, emptied, dropped counter

	mu     sync.Mutex
	stocks map[stockKind]*keyStock
}

// counter counts events.
type counter interface{ Inc(n int64) }

// keyStock holds the keys of one kind, the oldest first.
type keyStock struct {
	keys   []stockedKey
	used   time.Time
	refill *stockFill // in progress; nil: none
}

type stockedKey struct {
	key   lovagejob.Key
	until time.Time // not used after it
}

// stockFill is one refill of a stock.
type stockFill struct {
	ks   *keyStocks
	kind stockKind
	st   *keyStock
	want int
	done chan struct{} // closed at the end
	err  error         // valid when done is closed
}

func newKeyStocks(
	co *counts, mint func(context.Context, lovagejob.MintRequest) (lovagejob.Minted, time.Duration, error),
) *keyStocks {
	return &keyStocks{
		mint: mint, taken: co.keysPrefetched, refills: co.keyRefills, emptied: co.keyStocksEmpty, dropped: co.keysDropped,
		stocks: map[stockKind]*keyStock{},
	}
}

// take returns a key from the stock and refills it in the background when few are left. It waits for a refill only
// while the stock is empty.
func (ks *keyStocks) take(ctx context.Context, kind stockKind) (lovagejob.Key, error) {
	for {
		key, fill := ks.pop(ctx, kind)
		if !key.IsZero() {
			return key, nil
		}
		select {
		case <-fill.done:
			if fill.err != nil {
				return lovagejob.Key{}, fill.err
			}
		case <-ctx.Done():
			return lovagejob.Key{}, errors.Wrap(ctx.Err(), "wait for keys")
		}
	}
}

// pop returns a key or, if there is none, the refill to wait for.
func (ks *keyStocks) pop(ctx context.Context, kind stockKind) (lovagejob.Key, *stockFill) {
	now := time.Now()
	ks.mu.Lock()
	defer ks.mu.Unlock()
	st := ks.stocks[kind]
	if st == nil {
		ks.makeRoom()
		st = &keyStock{}
		ks.stocks[kind] = st
	}
	st.used = now
	old := 0
	for old < len(st.keys) && !now.Before(st.keys[old].until) {
		old++
	}
	ks.dropped.Inc(int64(old))
	st.keys = st.keys[old:]
	var key lovagejob.Key
	if len(st.keys) > 0 {
		key, st.keys = st.keys[0].key, st.keys[1:]
		ks.taken.Inc(1)
	}
	if len(st.keys) <= stockRefill && st.refill == nil {
		st.refill = &stockFill{ks: ks, kind: kind, st: st, want: stockSize - len(st.keys), done: make(chan struct{})}
		go st.refill.run(context.WithoutCancel(ctx))
	}
	if key.IsZero() {
		ks.emptied.Inc(1)
	}
	return key, st.refill
}

// makeRoom drops the stock that was used least recently if there are as many as there may be. A refill in progress of
// it still serves those who wait.
func (ks *keyStocks) makeRoom() {
	if len(ks.stocks) < maxStocks {
		return
	}
	var least stockKind
	var used time.Time
	for kind, st := range ks.stocks {
		if used.IsZero() || st.used.Before(used) {
			least, used = kind, st.used
		}
	}
	ks.dropped.Inc(int64(len(ks.stocks[least].keys)))
	delete(ks.stocks, least)
}

// drop drops all prefetched keys, because another instance decides now. They stay valid, but their jobs would run at the
// instance that minted them. Keys of refills in progress are not kept either.
func (ks *keyStocks) drop() {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	for _, st := range ks.stocks {
		ks.dropped.Inc(int64(len(st.keys)))
	}
	ks.stocks = map[stockKind]*keyStock{}
}

func (sf *stockFill) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, mintPeerTimeout+2*decidingTimeout)
	defer cancel()
	sf.ks.refills.Inc(1)
	began := time.Now()
	mi, age, err := sf.ks.mint(ctx, lovagejob.MintRequest{
		Service: sf.kind.service, Count: sf.want, Repeatable: sf.kind.repeatable,
	})
	if err == nil && len(mi.Keys) == 0 {
		err = ErrNoKeys
	}
	sf.ks.mu.Lock()
	defer sf.ks.mu.Unlock()
	for _, key := range mi.Keys {
		sf.st.keys = append(sf.st.keys, stockedKey{key: key, until: began.Add(age)})
	}
	sf.st.refill, sf.err = nil, err
	close(sf.done)
}

// KeyFor returns a key for a submission without one. The error is ErrNoKeys if no range can accept.
//
// The key of a job whose service is declared comes from a stock if other instances decide for its workers, so that a
// submission costs no message for its key. The names of services come from callers; one that is not declared gets no
// stock.
func (in *Instance) KeyFor(ctx context.Context, service string, repeatable bool) (lovagejob.Key, error) {
	if in.policy == lovagedispatch.Central {
		elsewhere, _ := in.domains.elsewhere(in.id, service, time.Now())
		if _, declared := in.store.Get(lovageresource.KindService, service); declared && elsewhere {
			return in.stocks.take(ctx, stockKind{service, repeatable})
		}
	}
	mi, err := in.Mint(ctx, lovagejob.MintRequest{Service: service, Count: 1, Repeatable: repeatable})
	if err != nil {
		return lovagejob.Key{}, err
	}
	return mi.Keys[0], nil
}

// mintStock mints keys for a stock and returns how long they may be used: only shortly if a deciding instance has just
// failed to give keys, because these may come from another one, where their jobs would run.
func (in *Instance) mintStock(ctx context.Context, req lovagejob.MintRequest) (lovagejob.Minted, time.Duration, error) {
	mi, err := in.Mint(ctx, req)
	if _, silent := in.domains.elsewhere(in.id, req.Service, time.Now()); silent {
		return mi, decidingBackOff, err
	}
	return mi, stockAge, err
}
