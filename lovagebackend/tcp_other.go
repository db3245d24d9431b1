//go:build !linux

package lovagebackend

import (
	"net"
	"syscall"
	"time"
)

// setUserTimeout does nothing: only Linux has TCP_USER_TIMEOUT.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }

// usable cannot inspect a connection on this platform, so that a write to a stale one makes the task's outcome unknown.
func usable(net.Conn) bool { return true }
