package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

// acceptRetryDelay is the time after which a connection is accepted again when the process has
// no descriptor or memory for one.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections until ctx ends or the listener fails, and runs a
// session with the given handlers on each. While the process has no resources for
// a connection, it waits. Before it returns, it closes all sessions that are still open.
func Serve(ctx context.Context, listener net.Listener, handlers map[string]Handler) error {
	var mutex sync.Mutex
	sessions := map[*Session]struct{}{}
	release := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer release()
	defer func() {
		mutex.Lock()
		defer mutex.Unlock()
		for session := range sessions {
			_ = session.Close()
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if isShortage(err) {
				pause.For(ctx, acceptRetryDelay)
				continue
			}
			return &Error{Op: "accept", Kind: KindSession, Err: err}
		}
		session, err := Server(conn, handlers)
		if err != nil {
			_ = conn.Close()
			continue
		}
		mutex.Lock()
		sessions[session] = struct{}{}
		mutex.Unlock()
		go func() {
			<-session.Done()
			mutex.Lock()
			delete(sessions, session)
			mutex.Unlock()
		}()
	}
}

// isShortage reports whether a connection could not be accepted for want of resources, or
// because its peer had closed it.
func isShortage(err error) bool {
	for _, kind := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
