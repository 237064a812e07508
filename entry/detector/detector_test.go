package detector_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/entry/detector"
)

// connect opens a connection and returns the client's end and the accepted end.
func connect(t *testing.T) (net.Conn, *detector.Conn) {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := detector.Listener{Listener: inner}
	t.Cleanup(func() { _ = listener.Close() })
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn, ok := accepted.(*detector.Conn)
	if !ok {
		t.Fatal("not a watched connection")
	}
	return client, conn
}

// TestCloseIsNoticed guards against requests of clients that have disconnected and
// are still handled: the client closes its end while its request is handled.
func TestCloseIsNoticed(t *testing.T) {
	is := is.New(t)
	client, conn := connect(t)
	closed := make(chan struct{})
	conn.Watch(func() { close(closed) })
	is.NoErr(client.Close())
	<-closed
	conn.Unwatch()
}

// TestNextRequestIsKept guards against losing bytes that the background read takes
// from the connection: the client sends its next request while one is handled.
func TestNextRequestIsKept(t *testing.T) {
	is := is.New(t)
	client, conn := connect(t)
	conn.Watch(func() { t.Error("the client has not left") })
	_, err := client.Write([]byte("next"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	conn.Unwatch()
	buffer := make([]byte, 8)
	n, err := conn.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "next")
}

// TestLingeringCloseEnds guards against connections that stay open because clients do not
// close their end, and against a client that is not told that no more follows.
func TestLingeringCloseEnds(t *testing.T) {
	is := is.New(t)
	client, conn := connect(t)
	conn.LingerOnClose(50 * time.Millisecond)
	_, err := client.Write([]byte("unread"))
	is.NoErr(err)
	is.NoErr(conn.Close())
	_, err = client.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestUnwatchReportsNothing guards against the deadline that ends the background
// read being taken for a client that disconnected.
func TestUnwatchReportsNothing(t *testing.T) {
	is := is.New(t)
	client, conn := connect(t)
	conn.Watch(func() { t.Error("the client has not left") })
	conn.Unwatch()
	_, err := client.Write([]byte("x"))
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
}
