package lovagefleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// stopTimeout bounds the wait for the services of an instance to end.
const stopTimeout = 5 * time.Second

// service is a loop under supervision, by name.
type service struct {
	name string
	loop func(context.Context)
}

// Serve runs the loop until ctx ends.
func (se service) Serve(ctx context.Context) error {
	se.loop(ctx)
	return ctx.Err()
}

// String returns the name.
func (se service) String() string { return se.name }

// Run works until the context ends. A loop that panics is logged, counted and started again; what it was working on is lost,
// and the state that others see stays.
func (no *Node) Run(ctx context.Context) error {
	no.ctx = ctx
	// Others take a refused connection for the end of this process, so it listens before it writes its row.
	if _, err := no.mesh.Listen(); err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	root := no.supervisor("instance")
	for _, part := range []struct {
		name  string
		loops []service
	}{
		{"control", []service{{"controlLoop", no.loop}, {"standingLoop", no.standingLoop}}},
		{"platform", []service{
			{"configLoop", no.configLoop}, {"registryLoop", no.registryLoop}, {"ownLoop", no.ownLoop},
		}},
		{"sessions", []service{{"mesh", no.meshLoop}}},
	} {
		sup := no.supervisor(part.name)
		for _, se := range part.loops {
			sup.Add(se)
		}
		root.Add(sup)
	}
	if err := root.Serve(ctx); ctx.Err() == nil {
		return errors.Wrap(err, "supervise the instance")
	}
	return nil
}

func (no *Node) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: no.supervised, Timeout: stopTimeout})
}

// supervised notes what happens to the services.
func (no *Node) supervised(ev suture.Event) {
	if no.ctx.Err() != nil {
		return
	}
	no.count("servicesRestarted")
	no.log.Error("service of the instance failed and is started again", zap.String("event", ev.String()))
}

// meshLoop keeps the sessions with other instances.
func (no *Node) meshLoop(ctx context.Context) {
	if err := no.mesh.Serve(ctx); err != nil && ctx.Err() == nil {
		no.log.Error("sessions with other instances ended", errorField(err))
	}
}
