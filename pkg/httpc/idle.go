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

// take returns an idle connection that seems alive, or a new one.
func (c *Client) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		kept := c.pop(address)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.until) && kept.quiet() {
			return kept, nil
		}
		_ = kept.Close()
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
	return &conn{Conn: made, address: address, reader: bufio.NewReaderSize(made, readBuffer)}, nil
}

// pop returns the connection that was used last, which is the likeliest to be
// alive.
func (c *Client) pop(address string) *conn {
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

// quiet reports whether nothing has come on an idle connection: neither its
// end nor bytes that belong to no request.
func (k *conn) quiet() bool {
	raw, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keep makes a connection available to other requests for as long as both ends
// keep it.
func (c *Client) keep(kept *conn, header string) {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = defaultIdle
	}
	if told, ok := keepAlive(header); ok {
		idle = min(idle, told-idleMargin)
	}
	if idle <= 0 {
		_ = kept.Close()
		return
	}
	kept.until = time.Now().Add(idle)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	list := append(c.idle[kept.address], kept)
	if len(list) > mostIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[kept.address] = list
}

// keepAlive reads the time-out of a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
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

// CloseExpired closes the idle connections whose time is over.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, one := range list {
			if now.Before(one.until) {
				kept = append(kept, one)
				continue
			}
			_ = one.Close()
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.idle[address] {
		_ = one.Close()
	}
	delete(c.idle, address)
}

// ReadAll reads a body of at most the given size.
func (a *Answer) ReadAll(most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.Body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > most {
		a.drop()
		return nil, &Error{Op: "read answer", Kind: KindAnswer}
	}
	return data, nil
}
