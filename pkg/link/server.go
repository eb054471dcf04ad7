package link

import (
	"context"
	"net"
	"sync"
)

// Serve accepts connections until ctx ends or the listener fails, and runs a
// session with the given handlers on each. Before it returns, it closes all
// sessions that are still open.
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
