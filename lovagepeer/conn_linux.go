package lovagepeer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// notSentLowWaterBytes limits the unsent bytes in the kernel's send buffer, because control frames queue behind them.
const notSentLowWaterBytes = 128 << 10

// setSocketOptions makes the kernel close a connection whose sent bytes are not acknowledged within the timeout, and
// limits its unsent bytes.
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
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, notSentLowWaterBytes))
	})
	return errors.Wrap(errors.CombineErrors(err, optErr), "set socket options")
}
