package connector

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of the kernel's tcp_states.h, which a connection has after a reset or a time-out. One that only the peer has closed is in TCP_CLOSE_WAIT.
const tcpClose = 7

// tcpInfo returns what the kernel tells of the connection, or nil for a connection that is none of the kernel's.
func (connection *connection) tcpInfo() (*unix.TCPInfo, error) {
	conn, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, optionErr
}

// isClosed returns whether the connection has ended in both directions.
func (connection *connection) isClosed() (bool, error) {
	info, err := connection.tcpInfo()
	return info != nil && info.State == tcpClose, err
}
