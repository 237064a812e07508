package core_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestMatch checks that a request matches the route of its host name with the longest
// prefix.
func TestMatch(t *testing.T) {
	policy := core.NewRoutingPolicy(1, []core.Route{
		{Name: "short", Hostname: "a.example", Prefix: "/x/"},
		{Name: "long", Hostname: "a.example", Prefix: "/x/y/"},
		{Name: "other", Hostname: "b.example", Prefix: "/"},
	}, nil, core.ClientLimits{})
	tests := []struct {
		host, path string
		want       core.RouteName
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z", ""},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			route, ok := policy.Match(tt.host, tt.path)
			is.Equal(ok, tt.want != "")
			if ok {
				is.Equal(route.Name, tt.want)
			}
		})
	}
}

// TestHomesOf checks which regions may receive request bodies for a host name.
func TestHomesOf(t *testing.T) {
	homes := func(lists ...[]core.RegionName) []core.RegionName {
		var routes []core.Route
		for _, l := range lists {
			routes = append(routes, core.Route{Hostname: "a.example", Prefix: "/", HomeRegions: l})
		}
		return core.NewRoutingPolicy(1, routes, nil, core.ClientLimits{}).HomeRegionsOf("a.example")
	}
	is := is.New(t)
	is.Equal(len(homes(nil, nil)), 0)
	is.Equal(homes(nil, []core.RegionName{"for"}), []core.RegionName{"for"})
	is.Equal(homes([]core.RegionName{"for", "nat"}, []core.RegionName{"nat", "slz"}), []core.RegionName{"nat"})
	is.Equal(homes([]core.RegionName{"for"}, []core.RegionName{"slz"}), []core.RegionName{"for"})
}
