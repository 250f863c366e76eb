package platformgateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// withConn adds a caller's connection to the contexts of its requests. It is the ConnContext of the callers' server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState is what the kernel knows of a caller's connection, whether or not the process has read it.
type connState struct {
	// silence is the time since the last bytes arrived. It does not include time in suspension.
	silence time.Duration
	// ended says that the caller has closed or reset the connection.
	ended bool
}

// hasLeft reports whether the caller of a request has left. The HTTP server notices it only after a read of its own; the kernel
// knows it as soon as the end of the connection has arrived.
func hasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, _ := stateOf(ctx)
	return conn.ended
}

// stateOf returns the state of the connection of a request. It returns false if the kernel does not tell it.
func stateOf(ctx context.Context) (connState, bool) {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return connState{}, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return connState{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil || info.State == 0 {
		return connState{}, false
	}
	return connState{
		silence: time.Duration(info.Last_data_recv) * time.Millisecond, ended: info.State != unix.BPF_TCP_ESTABLISHED,
	}, true
}
