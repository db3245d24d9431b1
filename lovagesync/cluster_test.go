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

// link is the platform as one instance reaches it.
type link struct {
	*lovageplatform.Memory
	mu        sync.Mutex
	down      bool // requests fail without effect
	silent    bool // requests get no reply and have no effect
	loseReply int  // so many commits take effect but their reply is lost
	noObjects bool
	noDelete  bool // objects cannot be deleted
	objects   map[string]bool
}

func (li *link) set(change func(li *link)) {
	li.mu.Lock()
	defer li.mu.Unlock()
	change(li)
}

func (li *link) fail(ctx context.Context) error {
	li.mu.Lock()
	down, silent := li.down, li.silent
	li.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &lovageplatform.Error{Operation: "test", Effect: lovageplatform.EffectAmbiguous, Err: ctx.Err()}
	}
	if down {
		return &lovageplatform.Error{Operation: "test", Effect: lovageplatform.EffectNotSent, Err: errors.New("down")}
	}
	return nil
}

func (li *link) Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error) {
	if err := li.fail(ctx); err != nil {
		return nil, err
	}
	return li.Memory.Read(ctx, keys...)
}

func (li *link) Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error) {
	if err := li.fail(ctx); err != nil {
		return nil, err
	}
	return li.Memory.Scan(ctx, prefix)
}

func (li *link) Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	if err := li.fail(ctx); err != nil {
		return lovageplatform.CommitResult{}, err
	}
	res, err := li.Memory.Commit(ctx, tx)
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.loseReply > 0 {
		li.loseReply--
		return lovageplatform.CommitResult{}, &lovageplatform.Error{
			Operation: "commit", Effect: lovageplatform.EffectAmbiguous, Err: errors.New("reply lost"),
		}
	}
	return res, err
}

func (li *link) PutObject(ctx context.Context, name string, data []byte) error {
	li.set(func(li *link) {
		if li.objects == nil {
			li.objects = map[string]bool{}
		}
		li.objects[name] = true
	})
	return li.Memory.PutObject(ctx, name, data)
}

func (li *link) DeleteObject(ctx context.Context, name string) error {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.noDelete {
		return errors.New("object store refuses deletions")
	}
	delete(li.objects, name)
	return li.Memory.DeleteObject(ctx, name)
}

func (li *link) GetObject(ctx context.Context, name string) ([]byte, error) {
	li.mu.Lock()
	missing := li.noObjects
	li.mu.Unlock()
	if missing {
		return nil, errors.New("object store is down")
	}
	return li.Memory.GetObject(ctx, name)
}

// cluster is a set of instances that share a platform and reach each other unless cut.
type cluster struct {
	t        *testing.T
	platform *lovageplatform.Memory
	mu       sync.Mutex
	nodes    map[string]*node
	cut      map[string]bool                    // IDs of instances that no peer reaches
	relay    func(no *node, from string) []Peer // takes the place of PushTargets
}

type node struct {
	*Syncer
	cl   *cluster
	id   string
	link *link
	stop context.CancelFunc
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, platform: lovageplatform.NewMemory(), nodes: map[string]*node{}, cut: map[string]bool{}}
}

// start starts an instance; change adjusts its settings and its link first.
func (cl *cluster) start(id string, change func(se *Settings, li *link)) *node {
	no := &node{cl: cl, id: id, link: &link{Memory: cl.platform}}
	se := DefaultSettings(id)
	if change != nil {
		change(&se, no.link)
	}
	no.Syncer = New(se, Dependencies{
		Table: no.link, ObjectStore: no.link, Writer: lovageplatform.NewWriter(no.link, id, lovageplatform.WriterSettings{}),
		Peers: no, Store: lovageresource.NewStore(64),
	})
	ctx, cancel := context.WithCancel(context.Background())
	no.stop = cancel
	cl.mu.Lock()
	cl.nodes[id] = no
	cl.mu.Unlock()
	go no.Serve(ctx)         //nolint:errcheck // ends with the context
	go no.heartbeatLoop(ctx) // stands for lovagepeer and lovagemember
	return no
}

func (cl *cluster) stop() {
	for _, no := range cl.nodes {
		no.stop()
	}
}

func (cl *cluster) setCut(id string, cut bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cut[id] = cut
}

// heartbeatLoop reports this instance's revision to every peer once a second.
func (no *node) heartbeatLoop(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, peer := range no.Peers() {
			if target := no.cl.reach(no.id, peer.Address); target != nil {
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
	relay := no.cl.relay
	no.cl.mu.Unlock()
	if relay != nil {
		return relay(no, from)
	}
	if from != "" {
		return nil
	}
	return no.Peers()
}

func (cl *cluster) reach(from, to string) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.cut[from] || cl.cut[to] {
		return nil
	}
	return cl.nodes[to]
}

// Call implements the interface Peers. A call to an instance that is cut off gets no reply.
func (no *node) Call(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	target := no.cl.reach(no.id, address)
	if target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !sleep(ctx, time.Millisecond) {
		return nil, ctx.Err()
	}
	return target.Handle(ctx, no.id, req)
}

func team(name string, revision int64, weight int) lovageresource.Resource {
	return lovageresource.Resource{
		Kind: lovageresource.KindTeam, Name: name, Revision: revision, Spec: lovageresource.Team{Weight: float64(weight)},
	}
}

// put creates or replaces the team and requires that it is accepted.
func (no *node) put(name string, weight int) int64 {
	no.cl.t.Helper()
	current, _ := no.Store.Get(lovageresource.KindTeam, name)
	res := no.Put(context.Background(), team(name, current.Revision, weight))
	if res.Outcome != lovageresource.WriteAccepted {
		no.cl.t.Fatalf("put of %s on %s: %+v", name, no.id, res)
	}
	return res.Revision
}

// weight returns the weight of a team as the instance has it, 0 if it has none.
func (no *node) weight(name string) int {
	re, ok := no.Store.Get(lovageresource.KindTeam, name)
	if !ok {
		return 0
	}
	return int(re.Spec.(lovageresource.Team).Weight)
}

func nodeID(i int) string { return fmt.Sprintf("kandla-%d", i) }
