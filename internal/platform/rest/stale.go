package rest

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stale says whether an idle connection was closed by its server or holds bytes
// that nobody asked for. Writing to a closed one seems to succeed, and a call
// would end as possibly sent; unasked bytes would be read as the answer to the
// next request.
func stale(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	// An open connection without bytes has nothing to peek at yet.
	return err != nil || !errors.Is(peeked, unix.EAGAIN)
}
