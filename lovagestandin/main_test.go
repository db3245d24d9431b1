package main

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagefake"
	"lovagestack/lovageplatform"
)

// Checks that all workers appear in the platform's list, and that the commands exit.
func TestWorkersRegister(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := li.Addr().String()
	must.NoError(t, li.Close())
	ctx, cancel := context.WithCancel(context.Background())
	var commands sync.WaitGroup
	commands.Go(func() {
		workers := workersCommand{Count: 3, Listen: "127.0.0.1:0", DataCentres: "kandla,lami", Speeds: "1,2"}
		workers.Platform, workers.Control = addr, "127.0.0.1:0"
		if err := workers.run(ctx); err != nil {
			t.Error(err)
		}
	})
	commands.Go(func() {
		platform := platformCommand{Listen: addr, Limited: true}
		if err := platform.run(ctx); err != nil {
			t.Error(err)
		}
	})
	cl, err := lovageplatform.NewClient(lovageplatform.ClientSettings{Addresses: []string{addr}})
	must.NoError(t, err)
	var ids []string
	for end := time.Now().Add(30 * time.Second); len(ids) < 3 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		list, _ := cl.Instances(ctx) // fails until the platform listens
		ids = nil
		for _, in := range list {
			ids = append(ids, in.ID)
		}
	}
	must.Eq(t, []string{"kandla-w0", "kandla-w1", "lami-w0"}, ids)
	cl.Close()
	cancel()
	commands.Wait()
}

// Checks that a malformed service list is rejected. Otherwise a service would silently have the default run time.
func TestServiceList(t *testing.T) {
	var list serviceList
	must.NoError(t, list.UnmarshalText([]byte("ticket=20ms:0.5,price-quote=1s,proof=1ms:0")))
	must.Eq(t, serviceList{
		"ticket":      {Median: lovagefake.Duration(20 * time.Millisecond), Sigma: 0.5},
		"price-quote": {Median: lovagefake.Duration(time.Second)},
		"proof":       {Median: lovagefake.Duration(time.Millisecond), Sigma: -1},
	}, list)
	for _, text := range []string{"", "ticket", "ticket=", "ticket=5", "Ticket=5ms", "ticket=5ms:x"} {
		must.Error(t, list.UnmarshalText([]byte(text)), must.Sprint(text))
	}
}
