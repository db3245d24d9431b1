package lovagetrial

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"lovagestack/lovagefake"
)

// PlatformNode is the name of the platform as an end of links. Instances and workers have their IDs.
const PlatformNode = "platform"

// dialTimeout is how long a dial over a cut link takes to fail, as with lost packets.
const dialTimeout = time.Second

// linkState is what a trial has set for the links between two nodes.
type linkState struct {
	cut   bool
	held  bool
	delay time.Duration
}

// nodePair names two nodes in sorted order; faults of a link hold in both directions.
type nodePair struct{ a, b string }

func newNodePair(a, b string) nodePair {
	if a > b {
		a, b = b, a
	}
	return nodePair{a, b}
}

// link is a relay from one node to an address of another.
type link struct {
	nodes   nodePair
	address string
	relay   *lovagefake.Relay
}

// links holds the relays of a deployment. They are created when they are first dialled.
type links struct {
	mu     sync.Mutex
	nodes  map[string]string // address to node; an address without node refuses connections
	states map[nodePair]linkState
	relays map[string]*link // by dialling node and address
	closed bool
}

func newLinks() *links {
	return &links{nodes: map[string]string{}, states: map[nodePair]linkState{}, relays: map[string]*link{}}
}

func (ls *links) addAddress(address, node string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.nodes[address] = node
}

// removeAddress makes an address refuse connections and closes those that it has.
func (ls *links) removeAddress(address string) {
	ls.mu.Lock()
	var removed []*link
	delete(ls.nodes, address)
	for key, li := range ls.relays {
		if li.address == address {
			removed = append(removed, li)
			delete(ls.relays, key)
		}
	}
	ls.mu.Unlock()
	closeLinks(removed)
}

// closeDialledBy closes what a node has dialled.
func (ls *links) closeDialledBy(node string) {
	ls.mu.Lock()
	var removed []*link
	for key, li := range ls.relays {
		if key == node+">"+li.address {
			removed = append(removed, li)
			delete(ls.relays, key)
		}
	}
	ls.mu.Unlock()
	closeLinks(removed)
}

func closeLinks(list []*link) {
	for _, li := range list {
		li.relay.SetHold(false)
		li.relay.Close()
	}
}

func (ls *links) close() {
	ls.mu.Lock()
	ls.closed = true
	var all []*link
	for _, li := range ls.relays {
		all = append(all, li)
	}
	ls.mu.Unlock()
	closeLinks(all)
}

// relay returns the relay from a node to an address, nil if the address refuses connections.
func (ls *links) relay(from, address string) (*link, bool, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	to, ok := ls.nodes[address]
	if !ok || ls.closed {
		return nil, false, nil
	}
	pa := newNodePair(from, to)
	key := from + ">" + address
	li := ls.relays[key]
	if li == nil {
		re, err := lovagefake.NewRelay(address)
		if err != nil {
			return nil, false, err
		}
		li = &link{nodes: pa, address: address, relay: re}
		ls.relays[key] = li
		ls.applyStateLocked(li)
	}
	return li, ls.states[pa].cut, nil
}

func (ls *links) applyStateLocked(li *link) {
	st := ls.states[li.nodes]
	li.relay.SetDelay(st.delay)
	li.relay.SetHold(st.held)
	li.relay.SetRefuse(st.cut)
	if st.cut {
		li.relay.CloseConnections()
	}
}

// changeState alters the state of the links between two nodes.
func (ls *links) changeState(a, b string, alter func(st *linkState)) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pa := newNodePair(a, b)
	st := ls.states[pa]
	alter(&st)
	ls.states[pa] = st
	for _, li := range ls.relays {
		if li.nodes == pa {
			ls.applyStateLocked(li)
		}
	}
}

// silence drops all further bytes of the existing connections between two nodes.
func (ls *links) silence(a, b string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, li := range ls.relays {
		if li.nodes == newNodePair(a, b) {
			li.relay.Silence()
		}
	}
}

// dialer returns the dial function of a node.
func (ls *links) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		li, cut, err := ls.relay(from, address)
		if err != nil {
			return nil, err
		}
		if li == nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		if cut {
			ti := time.NewTimer(dialTimeout)
			defer ti.Stop()
			select {
			case <-ti.C:
			case <-ctx.Done():
			}
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
		}
		di := net.Dialer{Timeout: dialTimeout}
		return di.DialContext(ctx, network, li.relay.Address())
	}
}
