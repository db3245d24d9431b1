package lovagefleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
	"lovagestack/lovagemetric"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
)

// nodeWithPeer returns a node of which only the mesh runs, the address of a peer with at most maxInFlight requests at a time (0: the
// usual limit), and a function that stops both.
func nodeWithPeer(t *testing.T, maxInFlight int, handler lovagepeer.Handler) (no *Node, address string, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	peer := lovagepeer.New(lovagepeer.Options{
		Instance: "west-1", Listen: "127.0.0.1:0", MaxInFlight: maxInFlight,
		Counters: lovagemetric.PeerCounters{Registry: lovagemetric.New()},
	}, handler)
	address, err := peer.Listen()
	must.NoError(t, err)
	no = New(Settings{ID: "east-1", DataCentre: "east", PeerListen: "127.0.0.1:0", Pool: lovagepool.DefaultSettings()},
		Dependencies{Metrics: lovagemetric.New(), Logger: testLogger{zap.NewNop()}})
	no.ctx = ctx
	_, err = no.mesh.Listen()
	must.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() { _ = peer.Serve(ctx) })
	wg.Go(func() { _ = no.mesh.Serve(ctx) })
	return no, address, func() {
		cancel()
		wg.Wait()
	}
}

type renewalRecorder struct{ wanted chan time.Duration }

func (rr renewalRecorder) Handle(_ context.Context, _ string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	for _, rl := range req.GetRenew().GetRenewals() {
		rr.wanted <- time.Duration(rl.GetWantedMicros()) * time.Microsecond
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Empty{Empty: &lovagemessage.Empty{}}}, nil
}

// Guards against confirmations of another instance's job that are newer than what that instance has confirmed. loop handles a batch
// of events with one time; the batch has taken 200 ms here.
func TestConfirmationIsNoNewerThanTheSendersConfirmation(t *testing.T) {
	recorder := renewalRecorder{make(chan time.Duration, 10)}
	no, address, stop := nodeWithPeer(t, 0, recorder)
	defer stop()

	now := time.Now()
	wo := testWork(randomID(), 1, 100*time.Millisecond)
	wo.SlackFactor, wo.Deadline = 20, now.Add(10*time.Second)
	wantedAt, wantedBoot := now.Add(-500*time.Millisecond), lovageclock.Boot()-500*time.Millisecond
	no.pool.SetPeer(now, "west-1", map[string]lovagepool.LoadReport{
		"s": {Free: []lovagepool.FreeCapacity{{Slowdown: 1, Tasks: 4}}, Workers: 1, Rate: 1},
	})
	no.pool.Submit(now, &lovagepool.Job{Ref: "entry/1", Work: wo, WantedAt: wantedAt})
	ref := ""
	for _, cmd := range no.pool.Commands(now) {
		if of, ok := cmd.(lovagepool.Offload); ok {
			ref = of.Ref
		}
	}
	must.NotEq(t, "", ref)
	no.sent.add(ref, sentJob{address: address, sentAt: lovageclock.Boot() - time.Second, offload: true})
	time.Sleep(200 * time.Millisecond)
	no.noteLateness(time.Now(), 200*time.Millisecond) // loop has noticed it
	no.sendRenewals(now)
	must.LessEq(t, 5*time.Millisecond, <-recorder.wanted-wantedBoot)
}

type blockingHandler struct{ called, release chan struct{} }

func (bh blockingHandler) Handle(context.Context, string, *lovagemessage.Request) (*lovagemessage.Response, error) {
	bh.called <- struct{}{}
	<-bh.release
	return &lovagemessage.Response{Body: &lovagemessage.Response_Empty{Empty: &lovagemessage.Empty{}}}, nil
}

// Guards against a second run of an offloaded task whose borrower was too busy to answer the question about it: that is no proof that
// it has restarted or does not know the task.
func TestRefusedWithdrawIsNoProofThatTheTaskIsUnknown(t *testing.T) {
	handler := blockingHandler{make(chan struct{}, 10), make(chan struct{})}
	no, address, stop := nodeWithPeer(t, 1, handler)
	var wg sync.WaitGroup
	defer func() {
		close(handler.release)
		stop()
		wg.Wait()
	}()
	place := jobToMessage("east-1/1", testWork(randomID(), 1, time.Second), nil)
	wg.Go(func() {
		for err := lovagepeer.ErrNotSent; errors.Is(err, lovagepeer.ErrNotSent) && no.ctx.Err() == nil; {
			_, err = no.mesh.Call(no.ctx, address, &lovagemessage.Request{Body: &lovagemessage.Request_Place{Place: place}})
		}
	})
	<-handler.called
	began := time.Now()
	must.Nil(t, no.resolveOffload(address, lovagepool.Offload{Peer: "west-1", Ref: "east-1/1"}))
	must.GreaterEq(t, sessionLossTimeout-50*time.Millisecond, time.Since(began))
}
