package lovagebackend

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets how long written bytes may stay unacknowledged before the kernel closes the connection.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// usable reports whether an idle connection is open and has no bytes to read. It uses Control because syscall.RawConn's
// Read would block behind the goroutine with which http.Transport reads from each connection.
func usable(co net.Conn) bool {
	sc, ok := co.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EINTR
	})
	return err == nil && open
}
