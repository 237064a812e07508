// Package detector detects clients that close their connection while the server
// handles one of their requests, and the moment at which a response has been written.
//
// An HTTP server does not read from a connection while it handles a request, so it
// notices a closed connection only when it writes the response. The detector reads
// in the background during that time, and buffers what it reads for the next
// request.
//
// # Usage
//
//	server.Serve(detector.Listener{Listener: listener})
//	// in a handler
//	if conn, ok := ctx.Conn().(*detector.Conn); ok {
//		conn.Watch(cancel)
//		defer conn.Unwatch()
//		conn.AfterResponse(release)
//	}
//
// Lock order: no other lock is taken while the lock of a Conn is held.
package detector

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Listener wraps each accepted connection in a Conn, so that the handler of a
// request can detect a client that disconnects.
type Listener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// maxReadAheadBytes is how much of the next request is read while one is handled.
const maxReadAheadBytes = 512

// Conn is a client's connection. The server does not read from it while it handles
// a request, so Watch does, and buffers what it reads for the next request.
type Conn struct {
	net.Conn
	// buffered holds the bytes that were read ahead and not yet returned by Read.
	buffered []byte
	// afterResponse is the callback of AfterResponse; nil if none is to be called.
	afterResponse atomic.Pointer[func()]
	// linger is the time limit of LingerOnClose, a time.Duration; 0 if it was not called.
	linger atomic.Int64

	mu        sync.Mutex
	isWatched bool
	// done is closed when the background read has returned.
	done chan struct{}
}

// AfterResponse calls the function once the server has written the response to the request
// that it handles: before it reads the next request, or when it closes the connection.
func (c *Conn) AfterResponse(callback func()) {
	c.replaceAfterResponse(&callback)
}

// replaceAfterResponse sets the callback of AfterResponse and calls the one before, since its
// response has been written. A request that was read with its predecessor needs no Read.
func (c *Conn) replaceAfterResponse(next *func()) {
	if callback := c.afterResponse.Swap(next); callback != nil {
		(*callback)()
	}
}

// LingerOnClose makes Close wait until the client has closed its end, at most for the given
// time, and discard what it still sends. Without it, a client that sends a request body that
// is not read may lose the response, since closing a socket with unread bytes resets the
// connection.
func (c *Conn) LingerOnClose(timeout time.Duration) {
	c.linger.Store(int64(timeout))
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.replaceAfterResponse(nil)
	if timeout := time.Duration(c.linger.Swap(0)); timeout > 0 {
		c.discardUntilClosed(timeout)
	}
	return c.Conn.Close()
}

// discardUntilClosed tells the client that no more follows, and reads until it closes its end.
func (c *Conn) discardUntilClosed(timeout time.Duration) {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // It ends with the client's end or the deadline.
}

// Read returns the buffered bytes if there are any, and else reads from the
// connection.
func (c *Conn) Read(p []byte) (int, error) {
	c.replaceAfterResponse(nil)
	if len(c.buffered) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buffered)
	c.buffered = c.buffered[n:]
	return n, nil
}

// Watch calls onClose if the client closes the connection before Unwatch is
// called. To notice that, it reads in the background. It does nothing if a part of the
// next request has already been read and is still buffered.
func (c *Conn) Watch(onClose func()) {
	if len(c.buffered) > 0 || c.SetReadDeadline(time.Time{}) != nil {
		return
	}
	c.isWatched = true
	c.done = make(chan struct{})
	go c.backgroundRead(onClose)
}

// backgroundRead reads once. An error other than the deadline set by Unwatch means
// that the client closed the connection.
func (c *Conn) backgroundRead(onClose func()) {
	defer close(c.done)
	buffer := make([]byte, maxReadAheadBytes)
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	c.buffered = buffer[:n]
	isUnwatched := !c.isWatched && errors.Is(err, os.ErrDeadlineExceeded)
	c.mu.Unlock()
	if err != nil && !isUnwatched {
		onClose()
	}
}

// HasReadAhead reports whether a part of the next request has been read and is buffered. It
// must not be called between Watch and Unwatch.
func (c *Conn) HasReadAhead() bool {
	return len(c.buffered) > 0
}

// Unwatch stops the background read and waits until it has returned.
func (c *Conn) Unwatch() {
	c.mu.Lock()
	wasWatched := c.isWatched
	c.isWatched = false
	c.mu.Unlock()
	if !wasWatched {
		return
	}
	// A deadline in the past aborts the pending read.
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return
	}
	<-c.done
	_ = c.SetReadDeadline(time.Time{}) // The next read returns the error, if any.
}
