package lovagepeer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// notSentLowBytes bounds what the kernel holds back of a bulk transfer, because control frames queue behind it.
const notSentLowBytes = 128 << 10

// setSocketOptions makes the kernel give up a connection whose bytes are not acknowledged within the timeout.
func setSocketOptions(co net.Conn, timeout time.Duration) error {
	tcp, ok := co.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set socket options")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = errors.CombineErrors(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, notSentLowBytes))
	})
	return errors.Wrap(errors.CombineErrors(err, optErr), "set socket options")
}
