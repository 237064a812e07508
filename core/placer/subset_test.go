package placer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestSubset checks that requests, connections opened in advance and plans use only the
// upstreams that are assigned to this host, and that an upstream that is new to the list is
// left to other hosts until it is assigned.
func TestSubset(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(3, "slz-a", "for-a")
	p := newPlacer("slz-a", list[1:])
	subset := map[core.UpstreamName]bool{"slz-a-1": true, "for-a-2": true}
	p.SetSubsets(map[core.ServiceName]map[core.UpstreamName]bool{service: subset})
	p.SetUpstreams(list, start)
	for i := range 200 {
		query := placer.Query{Service: service, Key: fmt.Sprint(i), HasAffinity: true}
		for range 2 {
			choice, ok := p.Choose(query, start)
			is.True(ok)
			is.True(subset[choice.Upstream.Name])
			p.Report(choice, placer.Report{Outcome: placer.Failed}, start)
			query.Exclude = append(query.Exclude, choice.Upstream.Name)
		}
		choice, ok := p.Choose(query, start)
		is.True(!ok)
		is.True(!choice.IsLeftToOthers) // Both upstreams of this host were tried.
	}
	for _, u := range p.PreconnectTargets(start) {
		is.True(subset[u.Name])
	}
	is.Equal(len(p.LocalUpstreams(start)), 3) // Health checks include those of other hosts.
}

// TestSubsetWithoutUpstreams checks that a host to which no upstream is assigned, or none of
// the regions that a request may go to, says so.
func TestSubsetWithoutUpstreams(t *testing.T) {
	tests := []struct {
		name   string
		subset map[core.UpstreamName]bool
		homes  []core.RegionName
		want   bool
	}{
		{"none", nil, nil, true},
		{"none of the region", map[core.UpstreamName]bool{"slz-a-0": true}, []core.RegionName{"for"}, true},
		{"a region without upstreams", nil, []core.RegionName{"nat"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("slz-a", upstreamsIn(2, "slz-a", "for-a"))
			p.SetSubsets(map[core.ServiceName]map[core.UpstreamName]bool{service: tt.subset})
			query := placer.Query{Service: service, Key: "k", HomeRegions: tt.homes}
			choice, ok := p.Choose(query, start)
			is.True(!ok)
			is.Equal(choice.IsLeftToOthers, tt.want)
			p.SetSubsets(nil)
			_, ok = p.Choose(query, start)
			is.Equal(ok, tt.want)
		})
	}
}
