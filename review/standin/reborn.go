package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["reborn"] = playReborn }

// playReborn keeps eight workers busy with jobs, some of which need a worker of kind b. With trouble, a worker of kind b crashes
// now and then and starts again under its ID, by turns as a worker of kind a and of kind b. Its capacity, rack and address stay.
// It registers as soon as it listens.
func playReborn(ctx context.Context, be *bed) error {
	be.zones = []string{"suva-a"}
	be.putConfig(3)
	for i := range 8 {
		kind := "a"
		if i >= 5 {
			kind = "b"
		}
		if _, err := be.addWorker("suva-a", 32000, kind, "r1-1"); err != nil {
			return err
		}
	}
	for range 2 {
		if _, err := be.addInstance("suva-a"); err != nil {
			return err
		}
	}
	if err := be.awaitReady(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	until := time.Now().Add(70 * time.Second)
	wg.Go(func() {
		for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
			in := be.instances[rand.IntN(len(be.instances))]
			jo := &job{tasks: 2, cpu: 14000, runTime: 200 * time.Millisecond}
			if n%5 < 2 {
				jo.constraint = "b"
			}
			wg.Go(func() { be.submit(ctx, in, jo) })
			// 24 jobs a second need 10 of the 16 places, 4 of them among the 6 places of kind b.
			_ = pause(ctx, time.Duration(rand.ExpFloat64()*float64(time.Second)/24))
		}
	})
	if be.trouble {
		wo := be.workers[7]
		for n := 0; time.Now().Before(until.Add(-8 * time.Second)); n++ {
			if err := pause(ctx, 5*time.Second); err != nil {
				return err
			}
			wo.crash()
			if err := pause(ctx, 1500*time.Millisecond+time.Duration(rand.IntN(600))*time.Millisecond); err != nil {
				return err
			}
			kind := "a"
			if n%2 == 1 {
				kind = "b"
			}
			if err := wo.start(32000, []string{kind, "r1-1"}); err != nil {
				return err
			}
		}
	}
	wg.Wait()
	return nil
}
