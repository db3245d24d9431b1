package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["cancel"] = playCancel }

// playCancel sends jobs of six steps of 0.9 s. With trouble, the clients of a quarter of them cancel them after half a second.
func playCancel(ctx context.Context, be *bed) error {
	be.zones = []string{"suva-a"}
	be.putConfig(3)
	for range 4 {
		if _, err := be.addWorker("suva-a", 32000, "a", "r1-1"); err != nil {
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
	for n := range 24 {
		in := be.instances[rand.IntN(len(be.instances))]
		jo := &job{id: newJobID(), tasks: 1, cpu: 14000, runTime: 900 * time.Millisecond, steps: 6, deadline: 15 * time.Second}
		wg.Go(func() { be.submit(ctx, in, jo) })
		if be.trouble && n%4 == 0 {
			wg.Go(func() {
				if pause(ctx, 500*time.Millisecond) == nil {
					be.cancelJob(ctx, in, jo)
				}
			})
		}
		if err := pause(ctx, time.Second); err != nil {
			return err
		}
	}
	wg.Wait()
	return nil
}
