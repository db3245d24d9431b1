//go:build !linux

package lovagepeer

import (
	"net"
	"time"
)

// setSocketOptions does nothing here; pings alone find dead connections.
func setSocketOptions(net.Conn, time.Duration) error { return nil }
