package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["antiAffinity"] = playAntiAffinity }

// playAntiAffinity sends jobs of three tasks of which at most one may run on a worker. With trouble, two large jobs come at once
// half a second before each; without, the same jobs come one after the other, so that there is always room.
func playAntiAffinity(ctx context.Context, be *bed) error {
	be.zones = []string{"suva-a"}
	be.putConfig(3)
	for range 3 {
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
	large := func() *job { return &job{tasks: 3, cpu: 16000, runTime: 900 * time.Millisecond} }
	var wg sync.WaitGroup
	send := func(jo *job) {
		wg.Go(func() { be.submit(ctx, be.instances[rand.IntN(len(be.instances))], jo) })
	}
	for range 16 {
		began := time.Now()
		send(large())
		delay := 470*time.Millisecond + time.Duration(rand.IntN(60))*time.Millisecond
		if be.trouble {
			send(large())
		} else {
			delay += 700 * time.Millisecond
		}
		if err := pause(ctx, delay); err != nil {
			return err
		}
		send(&job{tasks: 3, cpu: 8000, runTime: 900 * time.Millisecond, antiAffinity: 1})
		if !be.trouble {
			if err := pause(ctx, time.Until(began.Add(2500*time.Millisecond))); err != nil {
				return err
			}
			send(large())
		}
		if err := pause(ctx, time.Until(began.Add(4*time.Second))); err != nil {
			return err
		}
	}
	wg.Wait()
	return nil
}
