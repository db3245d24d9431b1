package lovagetrial

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"lovagestack/lovagefake"
)

// PlatformNode is the node name of the platform. The node name of a worker is its ID, that of a process Instance.node.
const PlatformNode = "platform"

// dialTimeout is the time after which a dial over a cut link fails, as if packets were lost.
const dialTimeout = time.Second

// linkState holds the faults of the links between two nodes.
type linkState struct {
	cut   bool          // existing connections are closed; dials time out
	held  bool          // bytes are held back
	delay time.Duration // delay of bytes in each direction
}

// nodePair names two nodes in sorted order, because link faults apply in both directions.
type nodePair struct{ a, b string }

func newNodePair(a, b string) nodePair {
	if a > b {
		a, b = b, a
	}
	return nodePair{a, b}
}

// link is a relay from one node to an address of another.
type link struct {
	nodes  nodePair
	target string
	relay  *lovagefake.Relay
}

// links holds the relays of a deployment. A relay is created when a node first dials an address.
type links struct {
	mu            sync.Mutex
	nodeByAddress map[string]string // node by address; an address without a node refuses connections
	states        map[nodePair]linkState
	relays        map[string]*link // by dialling node + ">" + address
	closed        bool
}

func newLinks() *links {
	return &links{nodeByAddress: map[string]string{}, states: map[nodePair]linkState{}, relays: map[string]*link{}}
}

func (ls *links) addAddress(address, node string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.nodeByAddress[address] = node
}

// removeAddress makes an address refuse connections and closes the existing ones.
func (ls *links) removeAddress(address string) {
	ls.mu.Lock()
	var removedLinks []*link
	delete(ls.nodeByAddress, address)
	for key, li := range ls.relays {
		if li.target == address {
			removedLinks = append(removedLinks, li)
			delete(ls.relays, key)
		}
	}
	ls.mu.Unlock()
	closeLinks(removedLinks)
}

// closeDialledBy closes the connections that a node has dialled.
func (ls *links) closeDialledBy(node string) {
	ls.mu.Lock()
	var removedLinks []*link
	for key, li := range ls.relays {
		if key == node+">"+li.target {
			removedLinks = append(removedLinks, li)
			delete(ls.relays, key)
		}
	}
	ls.mu.Unlock()
	closeLinks(removedLinks)
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

// linkTo returns the link from a node to an address and whether it is cut. The link is nil if the address refuses
// connections.
func (ls *links) linkTo(from, address string) (*link, bool, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	to, ok := ls.nodeByAddress[address]
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
		li = &link{nodes: pa, target: address, relay: re}
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

// changeState changes the link faults between the nodes a and b.
func (ls *links) changeState(a, b string, change func(st *linkState)) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pa := newNodePair(a, b)
	st := ls.states[pa]
	change(&st)
	ls.states[pa] = st
	for _, li := range ls.relays {
		if li.nodes == pa {
			ls.applyStateLocked(li)
		}
	}
}

// silence drops all further bytes of the existing connections between the nodes a and b.
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
		li, cut, err := ls.linkTo(from, address)
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
