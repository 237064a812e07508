package messenger_test

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/messenger"
)

// TestEndlessReply guards against running out of memory when another host never stops sending
// the reply to a call: the call must read a limited number of bytes, and end at its deadline.
func TestEndlessReply(t *testing.T) {
	const maxSent = 16 * core.Mebibyte
	tests := []struct {
		name            string
		start, repeated []byte
	}{
		{"running frames", []byte{1}, []byte{2}},
		{"length", []byte{1, 3}, []byte{0x80}},
		{"long reply", []byte{1, 3, 0xff, 0xff, 0xff, 0xff, 0x7f}, []byte{'x'}},
		{"reply above the limit", []byte{1, 3, 0x81, 0x80, 0xc0, 0x01}, []byte{'x'}},
		{"unknown frames", nil, []byte{0xff}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server, client := tlsConfigs(t)
			transport := &quic.Transport{Conn: listenUDP(t)}
			listener, err := transport.Listen(server, &quic.Config{EnableDatagrams: true})
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			var sent atomic.Int64
			go func() {
				conn, err := listener.Accept(t.Context())
				if err != nil {
					return
				}
				stream, err := conn.AcceptStream(t.Context())
				if err != nil {
					return
				}
				_, _ = io.ReadAll(stream)
				_, err = stream.Write(tt.start)
				for piece := bytes.Repeat(tt.repeated, 4096); err == nil && sent.Load() <= int64(maxSent); sent.Add(int64(len(piece))) {
					_, err = stream.Write(piece)
				}
			}()
			from := fullHost
			from.PeerAddress = "127.0.0.1:0"
			m := &messenger.Messenger{Self: from, ClientTLS: client, MaxBody: core.Mebibyte}
			to := core.Host{Name: "host-2", PeerAddress: transport.Conn.LocalAddr().String()}
			_, err = m.Call(to, fullCall, time.Now().Add(2*time.Second))
			is.True(err != nil)
			if tt.name != "running frames" { // These say that the call is in progress and are not kept.
				is.True(sent.Load() <= int64(maxSent))
			}
		})
	}
}
