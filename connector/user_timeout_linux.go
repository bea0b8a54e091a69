package connector

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// windowInterval is the time between two looks at the window of a connection on which a long body is sent; the first must come before userTimeout is over.
	windowInterval = userTimeout / 3
	// maxPendingProbes is the number of probes of a closed window that a peer may not have answered yet.
	maxPendingProbes = 1
)

// setUserTimeout sets TCP_USER_TIMEOUT, which ends the connection when sent bytes stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeoutTo(raw, userTimeout)
}

// setUserTimeoutTo sets TCP_USER_TIMEOUT, or the kernel's own limit if the time is zero.
func setUserTimeoutTo(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// watchWindow suspends the user timeout while the peer has acknowledged all that was sent and takes no more, until the body is sent: for the kernel, a window that stays
// closed is a time without acknowledgement, but a backend server may respond before it reads a long body, or read it late.
func (connection *connection) watchWindow(write *bodyWrite) {
	conn, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return // closed
	}
	ticker := time.NewTicker(windowInterval)
	defer ticker.Stop()
	for range ticker.C {
		info, err := connection.tcpInfo()
		if err != nil {
			return // closed
		}
		timeout := userTimeout
		if windowIsClosed(info) {
			timeout = 0
		}
		if setUserTimeoutTo(raw, timeout) != nil || write.ended() && info.Notsent_bytes == 0 {
			return
		}
	}
}

// windowIsClosed returns whether a peer that is there takes no more, rather than nothing being acknowledged.
func windowIsClosed(info *unix.TCPInfo) bool {
	return info.Notsent_bytes > 0 && info.Unacked == 0 && info.Probes <= maxPendingProbes
}
