package core_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestIsBehind guards against a host that never fetches, or fetches again and again, what
// another host has after a restore of the store, which gives out its revisions again.
func TestIsBehind(t *testing.T) {
	held := core.Revisions{Policy: 3, Upstreams: 50, Evacuations: 50, Hosts: 50, Era: 2}
	tests := []struct {
		name   string
		change func(held, other *core.Revisions)
		want   bool
	}{
		{"the same", func(_, _ *core.Revisions) {}, false},
		{"later upstreams", func(_, other *core.Revisions) { other.Upstreams = 51 }, true},
		{"later evacuations", func(_, other *core.Revisions) { other.Evacuations = 51 }, true},
		{"later hosts", func(_, other *core.Revisions) { other.Hosts = 51 }, true},
		{"later policy", func(_, other *core.Revisions) { other.Policy = 4 }, true},
		{"later era, lower revisions", func(_, other *core.Revisions) { *other = core.Revisions{Policy: 3, Upstreams: 9, Era: 3} }, true},
		{"later era, nothing read", func(_, other *core.Revisions) { *other = core.Revisions{Era: 3} }, true},
		{"earlier era, higher revisions", func(_, other *core.Revisions) {
			*other = core.Revisions{Policy: 3, Upstreams: 90, Evacuations: 90, Hosts: 90, Era: 1}
		}, false},
		{"earlier era, later policy", func(_, other *core.Revisions) { *other = core.Revisions{Policy: 4, Era: 1} }, true},
		{"expired upstreams removed", func(held, _ *core.Revisions) { held.MayIncludeExpired = true }, true},
		{"expired upstreams retained", func(_, other *core.Revisions) { other.MayIncludeExpired = true }, false},
		{"upstreams settled", func(held, _ *core.Revisions) { held.UpstreamsSettling = true }, true},
		{"upstreams settling", func(_, other *core.Revisions) { other.UpstreamsSettling = true }, false},
		{"expired removed, settling", func(held, other *core.Revisions) {
			held.MayIncludeExpired, held.UpstreamsSettling, other.UpstreamsSettling = true, true, true
		}, true},
		{"evacuations settled", func(held, _ *core.Revisions) { held.EvacuationsSettling = true }, true},
		{"evacuations settling", func(_, other *core.Revisions) { other.EvacuationsSettling = true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, other := held, held
			tt.change(&own, &other)
			is.New(t).Equal(own.IsBehind(other), tt.want)
		})
	}
}
