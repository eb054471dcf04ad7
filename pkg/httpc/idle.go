package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// acquire returns an idle connection that is still reusable, or a new one. With
// fresh, it always returns a new one.
func (c *Client) acquire(ctx context.Context, address string, fresh bool) (*persistConn, error) {
	for !fresh {
		pc := c.popIdle(address)
		if pc == nil {
			break
		}
		if time.Now().Before(pc.reusableUntil) && pc.isReusable() {
			return pc, nil
		}
		_ = pc.Close()
	}
	if c.DialTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, c.DialTimeout)
		defer cancel()
		ctx = limited
	}
	made, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	pc := &persistConn{Conn: made, address: address}
	pc.reader = bufio.NewReaderSize(pc, readBuffer)
	return pc, nil
}

// popIdle removes and returns the most recently used idle connection, which is
// the most likely to be still open; nil if there is none.
func (c *Client) popIdle(address string) *persistConn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return last
}

// isReusable reports whether an idle connection has neither been closed by the
// server nor received bytes, which would belong to no request.
func (pc *persistConn) isReusable() bool {
	raw, ok := pc.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// putIdle makes a connection available for reuse until the shorter of the client's
// and the server's idle timeout. header is the answer's Keep-Alive header.
func (c *Client) putIdle(pc *persistConn, header string) {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	if announced, ok := keepAliveTimeout(header); ok {
		idle = min(idle, announced-idleMargin)
	}
	if idle <= 0 {
		_ = pc.Close()
		return
	}
	pc.reusableUntil = time.Now().Add(idle)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*persistConn{}
	}
	list := append(c.idle[pc.address], pc)
	if len(list) > maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[pc.address] = list
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// CloseExpired closes the idle connections that are no longer reusable.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, pc := range list {
			if now.Before(pc.reusableUntil) {
				kept = append(kept, pc)
				continue
			}
			_ = pc.Close()
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// CloseIdle closes all idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, pc := range c.idle[address] {
		_ = pc.Close()
	}
	delete(c.idle, address)
}

// ReadAll reads the whole body. A body larger than maxSize bytes is an error.
func (a *Answer) ReadAll(maxSize int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.Body, maxSize+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxSize {
		a.discard()
		return nil, &Error{Op: "read answer", Kind: KindAnswer}
	}
	return data, nil
}
