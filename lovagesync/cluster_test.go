package lovagesync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagemessage"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// faultyPlatform is one instance's access to the shared platform, with injected faults.
type faultyPlatform struct {
	*lovageplatform.Memory
	mu            sync.Mutex
	down          bool            // requests fail without effect
	hanging       bool            // requests get no reply and have no effect
	repliesToLose int             // number of further commits that take effect but lose their reply
	objectsDown   bool            // reads of objects fail
	deletesFail   bool            // deletions of objects fail
	objects       map[string]bool // names of objects that this instance put and has not deleted
}

func (fp *faultyPlatform) update(change func(fp *faultyPlatform)) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	change(fp)
}

func (fp *faultyPlatform) injectFault(ctx context.Context) error {
	fp.mu.Lock()
	down, hanging := fp.down, fp.hanging
	fp.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return &lovageplatform.Error{Operation: "test", Effect: lovageplatform.EffectAmbiguous, Err: ctx.Err()}
	}
	if down {
		return &lovageplatform.Error{Operation: "test", Effect: lovageplatform.EffectNotSent, Err: errors.New("down")}
	}
	return nil
}

func (fp *faultyPlatform) Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error) {
	if err := fp.injectFault(ctx); err != nil {
		return nil, err
	}
	return fp.Memory.Read(ctx, keys...)
}

func (fp *faultyPlatform) Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error) {
	if err := fp.injectFault(ctx); err != nil {
		return nil, err
	}
	return fp.Memory.Scan(ctx, prefix)
}

func (fp *faultyPlatform) Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	if err := fp.injectFault(ctx); err != nil {
		return lovageplatform.CommitResult{}, err
	}
	res, err := fp.Memory.Commit(ctx, tx)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.repliesToLose > 0 {
		fp.repliesToLose--
		return lovageplatform.CommitResult{}, &lovageplatform.Error{
			Operation: "commit", Effect: lovageplatform.EffectAmbiguous, Err: errors.New("reply lost"),
		}
	}
	return res, err
}

func (fp *faultyPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	fp.update(func(fp *faultyPlatform) {
		if fp.objects == nil {
			fp.objects = map[string]bool{}
		}
		fp.objects[name] = true
	})
	return fp.Memory.PutObject(ctx, name, data)
}

func (fp *faultyPlatform) DeleteObject(ctx context.Context, name string) error {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.deletesFail {
		return errors.New("object store refuses deletions")
	}
	delete(fp.objects, name)
	return fp.Memory.DeleteObject(ctx, name)
}

func (fp *faultyPlatform) GetObject(ctx context.Context, name string) ([]byte, error) {
	fp.mu.Lock()
	down := fp.objectsDown
	fp.mu.Unlock()
	if down {
		return nil, errors.New("object store is down")
	}
	return fp.Memory.GetObject(ctx, name)
}

// cluster is a set of instances that share a platform and can call each other unless isolated.
type cluster struct {
	t           *testing.T
	platform    *lovageplatform.Memory
	mu          sync.Mutex
	nodes       map[string]*node
	isolated    map[string]bool                    // IDs of instances that peers cannot reach
	pushTargets func(no *node, from string) []Peer // overrides PushTargets if not nil
}

type node struct {
	*Syncer
	cl       *cluster
	id       string
	platform *faultyPlatform
	stop     context.CancelFunc
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, platform: lovageplatform.NewMemory(), nodes: map[string]*node{}, isolated: map[string]bool{}}
}

// start starts an instance. It first calls configure, if not nil, to adjust the settings and the platform access.
func (cl *cluster) start(id string, configure func(se *Settings, fp *faultyPlatform)) *node {
	no := &node{cl: cl, id: id, platform: &faultyPlatform{Memory: cl.platform}}
	se := DefaultSettings(id)
	if configure != nil {
		configure(&se, no.platform)
	}
	no.Syncer = New(se, Dependencies{
		Table: no.platform, ObjectStore: no.platform, Writer: lovageplatform.NewWriter(no.platform, id, lovageplatform.WriterSettings{}),
		Peers: no, Store: lovageresource.NewStore(64),
	})
	ctx, cancel := context.WithCancel(context.Background())
	no.stop = cancel
	cl.mu.Lock()
	cl.nodes[id] = no
	cl.mu.Unlock()
	go no.Serve(ctx)         //nolint:errcheck // returns the error of the context
	go no.heartbeatLoop(ctx) // replaces the heartbeats of lovagepeer and lovagemember
	return no
}

func (cl *cluster) stop() {
	for _, no := range cl.nodes {
		no.stop()
	}
}

func (cl *cluster) setIsolated(id string, isolated bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.isolated[id] = isolated
}

// heartbeatLoop reports this instance's revision to every peer once a second.
func (no *node) heartbeatLoop(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, peer := range no.Peers() {
			if target := no.cl.reachable(no.id, peer.Address); target != nil {
				target.ObserveRevision(no.id, no.Store.Revision())
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Peers implements the interface Peers.
func (no *node) Peers() []Peer {
	no.cl.mu.Lock()
	defer no.cl.mu.Unlock()
	var out []Peer
	for id := range no.cl.nodes {
		if id != no.id {
			out = append(out, Peer{ID: id, Address: id})
		}
	}
	return out
}

// PushTargets implements the interface Peers.
func (no *node) PushTargets(from string) []Peer {
	no.cl.mu.Lock()
	override := no.cl.pushTargets
	no.cl.mu.Unlock()
	if override != nil {
		return override(no, from)
	}
	if from != "" {
		return nil
	}
	return no.Peers()
}

func (cl *cluster) reachable(from, to string) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.isolated[from] || cl.isolated[to] {
		return nil
	}
	return cl.nodes[to]
}

// Call implements the interface Peers. A call to an isolated instance gets no reply.
func (no *node) Call(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	target := no.cl.reachable(no.id, address)
	if target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !sleep(ctx, time.Millisecond) {
		return nil, ctx.Err()
	}
	return target.Handle(ctx, no.id, req)
}

func newTeam(name string, revision int64, weight int) lovageresource.Resource {
	return lovageresource.Resource{
		Kind: lovageresource.KindTeam, Name: name, Revision: revision, Spec: lovageresource.Team{Weight: float64(weight)},
	}
}

// mustPut creates or replaces the team and requires that the change is accepted.
func (no *node) mustPut(name string, weight int) int64 {
	no.cl.t.Helper()
	current, _ := no.Store.Get(lovageresource.KindTeam, name)
	res := no.Put(context.Background(), newTeam(name, current.Revision, weight))
	if res.Outcome != lovageresource.WriteAccepted {
		no.cl.t.Fatalf("put of %s on %s: %+v", name, no.id, res)
	}
	return res.Revision
}

// weight returns the weight of a team in the instance's store, 0 if the team does not exist.
func (no *node) weight(name string) int {
	re, ok := no.Store.Get(lovageresource.KindTeam, name)
	if !ok {
		return 0
	}
	return int(re.Spec.(lovageresource.Team).Weight)
}

func nodeID(i int) string { return fmt.Sprintf("kandla-%d", i) }
