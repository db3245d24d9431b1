//go:build !linux

package lovagebackend

import (
	"net"
	"syscall"
	"time"
)

// setUserTimeout does nothing: only Linux has TCP_USER_TIMEOUT.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }

// usable cannot inspect connections on this platform. A write to a stale connection makes the task's outcome unknown.
func usable(net.Conn) bool { return true }
