package lovagefleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// loopStopTimeout is how long a stopping supervisor waits for its loops to return.
const loopStopTimeout = 5 * time.Second

// supervisedLoop is a loop that is restarted if it panics.
type supervisedLoop struct {
	name string
	run  func(context.Context)
}

// Serve runs the loop until ctx is done.
func (sl supervisedLoop) Serve(ctx context.Context) error {
	sl.run(ctx)
	return ctx.Err()
}

// String returns the name of the loop.
func (sl supervisedLoop) String() string { return sl.name }

// Run runs the instance until ctx is done. A loop that panics is logged, counted and restarted; the event in progress is lost,
// but the state of the Node remains.
func (no *Node) Run(ctx context.Context) error {
	no.ctx = ctx
	// Listen before the instance writes its row: peers take a refused connection as proof that the process has ended.
	if _, err := no.mesh.Listen(); err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	root := no.newSupervisor("instance")
	for _, part := range []struct {
		name  string
		loops []supervisedLoop
	}{
		{"control", []supervisedLoop{{"controlLoop", no.loop}, {"standingLoop", no.reportLoop}}},
		{"platform", []supervisedLoop{
			{"configLoop", no.configLoop}, {"registryLoop", no.registryLoop}, {"ownLoop", no.ownershipLoop},
		}},
		{"sessions", []supervisedLoop{{"mesh", no.meshLoop}}},
	} {
		sup := no.newSupervisor(part.name)
		for _, sl := range part.loops {
			sup.Add(sl)
		}
		root.Add(sup)
	}
	if err := root.Serve(ctx); ctx.Err() == nil {
		return errors.Wrap(err, "supervise the instance")
	}
	return nil
}

func (no *Node) newSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: no.onSupervisorEvent, Timeout: loopStopTimeout})
}

// onSupervisorEvent counts and logs failures of loops.
func (no *Node) onSupervisorEvent(ev suture.Event) {
	if no.ctx.Err() != nil {
		return
	}
	no.countEvent("servicesRestarted")
	no.log.Error("service of the instance failed and is started again", zap.String("event", ev.String()))
}

// meshLoop maintains the sessions with other instances.
func (no *Node) meshLoop(ctx context.Context) {
	if err := no.mesh.Serve(ctx); err != nil && ctx.Err() == nil {
		no.log.Error("sessions with other instances ended", errorField(err))
	}
}
