package jpsocket

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// The kernel's control message with the time of arrival: a header of length,
// level and type, then seconds and nanoseconds since 1970.
const (
	timestampType   = syscall.SO_TIMESTAMPNS // SCM_TIMESTAMPNS has the same value
	timestampHeader = 16
	timestampSize   = timestampHeader + 16
)

// stampArrivals makes the kernel note when each datagram arrives. A process that
// was paused, or that is overloaded, can so tell datagrams that waited in its
// socket from those that are new.
func enableTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return oops.Wrapf(err, "socket: arrival times")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err == nil {
		err = optErr
	}
	return oops.Wrapf(err, "socket: arrival times")
}

// arrival returns the time of arrival in a control message, the zero time if
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
