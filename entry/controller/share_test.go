package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

// TestConnectionsOverManyHosts guards against a connection limit of an upstream that all
// hosts together exceed, because there are more hosts than connections and each may open
// one.
func TestConnectionsOverManyHosts(t *testing.T) {
	const maxConnections = 390
	for _, hosts := range []int{11, 295, 1300} {
		is := is.New(t)
		c := newController("host-1")
		c.ApplyUpdate(replicator.Snapshot{Policy: &replicator.Policy{
			Version: 2, Services: []core.ServicePolicy{{Name: "desk", MaxConnections: maxConnections}},
		}}, time.Now())
		c.sharingHosts.Store(int64(hosts))
		is.True(hosts*c.maxConnections("desk") <= maxConnections)
	}
}
