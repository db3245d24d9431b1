package lovageconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"lovagestack/lovageadmission"
)

// Listener accepts the connections that an account has room for. Others wait: first those that are accepted without having a place, then
// those that the kernel holds, then those whose opening packet it drops. Their clients send it again, each time later, which keeps clients that
// come again and again from being ahead of the others.
type Listener struct {
	net.Listener
	account      *lovageadmission.Account
	writeTimeout time.Duration
	ready        chan *Conn    // connections that have a place
	closed       chan struct{} // closed by Close
	ended        chan struct{} // closed when no more connections will become ready
	err          error         // of the listener; set before ended is closed
	closeOnce    sync.Once

	mu      sync.Mutex
	waiting map[*Conn]bool // those without a place
}

// Listen listens on a TCP address. The connections have small buffers in the kernel, because what these hold counts as the process's memory.
// A client must take each part of an answer within writeTimeout; 0: the server sets deadlines.
func Listen(address string, account *lovageadmission.Account, writeTimeout time.Duration) (*Listener, error) {
	se := account.Settings()
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return controlSocket(rc, func(fd int) error {
			return errors.CombineErrors(
				unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, lovageadmission.SocketBuffer),
				unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, se.SendBuffer))
		})
	}}
	nl, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if sc, ok := nl.(syscall.Conn); ok {
		if rc, err := sc.SyscallConn(); err == nil {
			// Without it, the kernel holds as many connections as the system allows.
			_ = controlSocket(rc, func(fd int) error { return unix.Listen(fd, max(se.Queue, 1)) })
		}
	}
	li := &Listener{
		Listener: nl, account: account, writeTimeout: writeTimeout, closed: make(chan struct{}), ended: make(chan struct{}),
		ready: make(chan *Conn, 2*se.Connections), waiting: map[*Conn]bool{},
	}
	go li.loop()
	return li, nil
}

func controlSocket(rc syscall.RawConn, control func(fd int) error) error {
	var err error
	controlErr := rc.Control(func(fd uintptr) { err = control(int(fd)) })
	return errors.CombineErrors(controlErr, err)
}

// loop opens connections while one could wait for a place.
func (li *Listener) loop() {
	defer close(li.ended)
	for {
		li.account.AwaitQueue(li.closed)
		nc, err := li.Listener.Accept()
		if err != nil {
			li.err = err
			return
		}
		li.open(&Conn{Conn: nc, li: li, writeTimeout: li.writeTimeout})
	}
}

func (li *Listener) open(co *Conn) {
	co.client = li.account.NewConnection(co)
	li.mu.Lock()
	li.waiting[co] = true
	li.mu.Unlock()
	switch co.client.Open(time.Now()) {
	case lovageadmission.PlaceGiven:
		co.Admit()
	case lovageadmission.PlaceRefused:
		co.Refuse()
	case lovageadmission.PlaceAwaited:
	}
}

// Accept implements net.Listener.
func (li *Listener) Accept() (net.Conn, error) {
	co, err := li.AcceptConn()
	if err != nil {
		return nil, err
	}
	return co, nil
}

// AcceptConn is Accept with the type of the connections.
func (li *Listener) AcceptConn() (*Conn, error) {
	select {
	case co := <-li.ready:
		return co, nil
	default:
	}
	select {
	case co := <-li.ready:
		return co, nil
	case <-li.ended:
		select {
		case co := <-li.ready:
			return co, nil
		default:
			return nil, li.err
		}
	}
}

// Close implements net.Listener. Connections without a place are refused.
func (li *Listener) Close() error {
	err := li.Listener.Close()
	li.closeOnce.Do(func() {
		close(li.closed)
		<-li.ended
		li.mu.Lock()
		waiting := li.waiting
		li.waiting = map[*Conn]bool{}
		li.mu.Unlock()
		for co := range waiting {
			go co.refuse()
		}
	})
	return err
}

// Admit implements lovageadmission.Client.
func (co *Conn) Admit() {
	if co.stopWaiting() {
		co.li.ready <- co
	}
}

// Refuse implements lovageadmission.Client.
func (co *Conn) Refuse() {
	if co.stopWaiting() {
		go co.refuse()
	}
}

// stopWaiting reports whether the connection has waited until now.
func (co *Conn) stopWaiting() bool {
	co.li.mu.Lock()
	defer co.li.mu.Unlock()
	was := co.li.waiting[co]
	delete(co.li.waiting, co)
	return was
}

// refuse answers a connection without a place, and closes it.
func (co *Conn) refuse() {
	co.writeRefusal(refusal)
	co.closeSlowly()
}
