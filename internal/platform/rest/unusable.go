package rest

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unusable reports whether an idle connection was closed by its server or holds
// unsolicited bytes. A write to a closed connection may still succeed, so the call would
// fail as possibly sent; unsolicited bytes would be read as the response to the next
// request. Bytes of TLS itself, such as an alert, count as well.
func unusable(connection net.Conn) bool {
	if secure, ok := connection.(*tls.Conn); ok {
		connection = secure.NetConn()
	}
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	// On an open connection without bytes, the call would block.
	return err != nil || !errors.Is(peekErr, unix.EAGAIN)
}
