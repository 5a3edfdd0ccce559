package jpsocket

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Layout of the kernel's control message with the receive timestamp, in bytes: a
// header with length, level and type, then seconds and nanoseconds since 1970.
const (
	timestampType   = syscall.SO_TIMESTAMPNS // SCM_TIMESTAMPNS has the same value
	timestampHeader = 16
	timestampSize   = timestampHeader + 16
)

// enableTimestamps makes the kernel record when each datagram arrives. A process that
// was paused or is overloaded can thereby distinguish datagrams that have waited in
// its receive buffer from new ones.
func enableTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return oops.Wrapf(err, "socket: enable receive timestamps")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err == nil {
		err = optErr
	}
	return oops.Wrapf(err, "socket: enable receive timestamps")
}

// arrivalTime returns the receive timestamp in a control message, the zero time if
// there is none.
func arrivalTime(oob []byte) time.Time {
	if len(oob) < timestampSize {
		return time.Time{}
	}
	order := binary.NativeEndian
	if order.Uint32(oob[8:]) != syscall.SOL_SOCKET || order.Uint32(oob[12:]) != timestampType {
		return time.Time{}
	}
	seconds := int64(order.Uint64(oob[timestampHeader:]))
	nanoseconds := int64(order.Uint64(oob[timestampHeader+8:]))
	return time.Unix(seconds, nanoseconds)
}
