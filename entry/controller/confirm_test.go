package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/timekeeper"
	"github.com/endiverun/endiverun/entry/watcher"
)

// serveConfirmations serves what a host knows of the newest policy and returns the address.
func serveConfirmations(t *testing.T, c *Controller) string {
	t.Helper()
	return serve(t, func(ctx *fasthttp.RequestCtx) {
		data, err := c.Confirmation(timekeeper.Uptime()).Encode()
		if err != nil {
			t.Error(err)
		}
		ctx.SetBody(data)
	})
}

// readPolicy lets a host read a version of the policy from the store, in the given era.
func readPolicy(c *Controller, version uint64, era core.Era) {
	const name = "main"
	list := watcher.List[*replicator.Policy]{Era: era, Objects: map[string]*replicator.Policy{name: {Version: version}}}
	asOf := timekeeper.Uptime()
	c.ApplyPolicies(name, list, time.Now())
	c.ConfirmPolicies(name, list, asOf)
}

// TestStarterAsksForWithdrawals guards against a host that starts after a restore of the store, with
// seeds that are down, and takes the older policy there for the newest. A host that knows a later
// one tells; one that says that the restore was long ago makes the store's word count at once.
func TestStarterAsksForWithdrawals(t *testing.T) {
	tests := []struct {
		name        string
		known       uint64
		restoredAgo time.Duration
		want        uint64
	}{
		{"another host knows a later policy", 5, 0, 5},
		{"the store was restored long ago", 0, time.Minute, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const era = 2
			knowing, starter := newBareController("knowing"), newBareController("starter")
			for _, c := range []*Controller{knowing, starter} {
				c.IsFirstStart, c.Bounds.KeyWithdrawalTime = false, 5*time.Second
				c.Init()
			}
			if tt.known > 0 {
				knowing.authenticator.Confirm(tt.known, timekeeper.Uptime())
			}
			readPolicy(knowing, 3, era)
			knowing.authenticator.RecordEra(era, timekeeper.Uptime().Add(-tt.restoredAgo))
			address := serveConfirmations(t, knowing)
			starter.SnapshotAddress = func(core.Host) string { return address }
			starter.SetSeeds([]string{"127.0.0.1:1"})
			readPolicy(starter, 3, era)
			_, _, isConfirmed := starter.authenticator.Confirmed()
			is.True(!isConfirmed) // The store may have lost a later policy.

			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				starter.confirmWithPeers(ctx)
			}()
			var version uint64
			for start := time.Now(); !isConfirmed; time.Sleep(10 * time.Millisecond) {
				if time.Since(start) > 10*time.Second {
					t.Fatal("no host has told the newest policy")
				}
				heartbeat := knowing.newHeartbeat()
				heartbeat.Ready = true
				starter.roster.RecordHeartbeat(heartbeat, time.Now())
				if tt.known == 0 {
					readPolicy(starter, 3, era)
				}
				version, _, isConfirmed = starter.authenticator.Confirmed()
			}
			stop()
			<-done
			is.Equal(version, tt.want)
		})
	}
}
