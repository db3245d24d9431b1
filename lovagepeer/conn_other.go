//go:build !linux

package lovagepeer

import (
	"net"
	"time"
)

// setSocketOptions does nothing on this platform; dead connections are detected by pings only.
func setSocketOptions(net.Conn, time.Duration) error { return nil }
