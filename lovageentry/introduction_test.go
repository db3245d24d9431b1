package lovageentry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"lovagestack/lovageconfig"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepeer"
	"lovagestack/lovageplatform"
)

// slowPeer answers heartbeats when reply is closed. It has found the worker w-a leaving.
type slowPeer struct{ asked, reply chan struct{} }

func (sp *slowPeer) Handle(ctx context.Context, _ string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	hb := &lovagemessage.HeartbeatReply{}
	if req.GetHeartbeat() != nil {
		select {
		case sp.asked <- struct{}{}:
		default:
		}
		select {
		case <-sp.reply:
			hb.LeavingWorkers = []string{"w-a"}
		case <-ctx.Done():
		}
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Heartbeat{Heartbeat: hb}}, nil
}

// Guards against a process that gives tasks to leaving workers because its peers have not yet told it.
func TestNewProcessOwnsNothingBeforePeersAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peer := &slowPeer{asked: make(chan struct{}, 1), reply: make(chan struct{})}
	mesh := lovagepeer.New(lovagepeer.Options{Instance: "kandla-2", DataCentre: "kandla", Listen: "127.0.0.1:0"}, peer)
	address, err := mesh.Listen()
	must.NoError(t, err)
	go mesh.Serve(ctx) //nolint:errcheck // returns when ctx ends
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = "kandla-1", "kandla"
	settings.Addresses.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Peers.Seeds = []netip.AddrPort{netip.MustParseAddrPort(address)}
	settings.Heartbeat.Interval, settings.Heartbeat.Suspect, settings.Heartbeat.Gone = time.Minute, 5*time.Minute, 10*time.Minute
	settings.Shutdown = lovageconfig.Shutdown{Deadline: time.Second}
	platform := lovageplatform.NewMemory()
	in, err := New(Options{Settings: settings, Platform: platform, Seed: 1})
	must.NoError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_, _ = in.Serve(ctx)
	}()
	defer func() { cancel(); <-served }()
	ownsRange := func() bool {
		rows, err := platform.Scan(ctx, "range/")
		must.NoError(t, err)
		return len(rows) > 0
	}
	<-peer.asked
	for range 30 {
		must.False(t, ownsRange())
		time.Sleep(10 * time.Millisecond)
	}
	close(peer.reply)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ownsRange), wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}
