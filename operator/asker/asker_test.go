package asker_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/operator/asker"
)

// TestNoHosts guards against commands that succeed without asking any host.
func TestNoHosts(t *testing.T) {
	a := &asker.APIClient{}
	calls := map[string]func() error{
		"apply":   func() error { _, err := a.ApplyTicket([]byte("{}"), false); return err },
		"check":   func() error { _, err := a.ApplyTicket([]byte("{}"), true); return err },
		"show":    func() error { _, err := a.GetTicket(0); return err },
		"explain": func() error { _, err := a.Explain("desk", ""); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(call(), asker.ErrNoHosts))
		})
	}
}

// TestAddressOfKnownHost guards against a host that counts as cut off because the operator
// cannot reach it, although another host reports at that address a host that is live.
func TestAddressOfKnownHost(t *testing.T) {
	tests := []struct {
		name                         string
		live                         string
		inForce, pending, cutOffHost string
	}{
		{name: "live", live: "true", inForce: "host-1,host-2"},
		{name: "expired", live: "false", inForce: "host-1", cutOffHost: "host-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener := listen(t)
			defer func() { _ = listener.Close() }()
			unreachable := listen(t)
			address := unreachable.Addr().String()
			is.NoErr(unreachable.Close())
			status := `{"host":"host-1","ticket":7,"members":[{"host":"host-2","client-address":"` + address +
				`","ticket":7,"live":` + tt.live + `}]}`
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(status) }}
			go func() { _ = server.Serve(listener) }()
			// The address is asked before the host that tells which host it belongs to.
			a := &asker.APIClient{Hosts: []string{address, listener.Addr().String()}, Timeout: time.Second}
			progress := a.AwaitTicket(7, 0)
			is.Equal(strings.Join(progress.InForce, ","), tt.inForce)
			is.Equal(strings.Join(progress.Pending, ","), tt.pending)
			is.Equal(strings.Join(progress.Unreachable, ","), tt.cutOffHost)
		})
	}
}
