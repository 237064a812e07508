package deployer

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/certifier"
	"github.com/endiverun/endiverun/entry/loader"
)

// seedCount is two less than the maximum number of seed peers in the settings of
// a host.
const seedCount = 4

// platformTimeout is the timeout of a call to the platform's store. It is longer
// than the longest round trip.
const platformTimeout = core.Milliseconds(800)

// Settings returns the settings of a host, with a new certificate and private
// key.
func (d Deployment) Settings(host core.Host, authority *certifier.Authority, now time.Time) (loader.Settings, error) {
	certificate, key, err := authority.Issue(string(host.Name), now)
	if err != nil {
		return loader.Settings{}, err
	}
	settings := loader.Settings{
		Name:          host.Name,
		Region:        host.Zone.Region,
		Zone:          host.Zone.Name,
		ClientAddress: host.ClientAddress,
		PeerAddress:   host.PeerAddress,
		SeedPeers:     d.seedPeers(host),
		Platform:      loader.Platform{Address: d.PlatformAddress(), Timeout: platformTimeout},
		TLS:           loader.TLS{Certificate: certificate, Key: key, Authority: authority.Certificate},
		LogLevel:      "info",
	}
	return settings, nil
}

// seedPeers returns the peer addresses of other hosts: first one host of each
// zone, which knows the other hosts of that zone, then further hosts of the
// host's own zone.
func (d Deployment) seedPeers(host core.Host) []string {
	var seedPeers []string
	isCovered := map[core.ZoneName]bool{}
	for _, h := range d.EntryHosts() {
		if h.Name == host.Name || isCovered[h.Zone.Name] && h.Zone.Name != host.Zone.Name {
			continue
		}
		isCovered[h.Zone.Name] = true
		seedPeers = append(seedPeers, h.PeerAddress)
	}
	return seedPeers[:min(len(seedPeers), seedCount+2)]
}
