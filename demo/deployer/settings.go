package deployer

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/certifier"
	"github.com/endiverun/endiverun/entry/loader"
)

// seedCount is the number of seed peers in each host's settings.
const seedCount = 4

// platformTimeout bounds a call to the platform, above the longest round trip.
const platformTimeout = core.Milliseconds(800)

// Settings returns the settings of a host with fresh keys.
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
		SeedPeers:     d.seeds(host),
		Platform:      loader.Platform{Address: d.PlatformAddress(), Timeout: platformTimeout},
		TLS:           loader.TLS{Certificate: certificate, Key: key, Authority: authority.Certificate},
		LogLevel:      "info",
	}
	return settings, nil
}

// seeds returns peers in other zones first, which know their own zones.
func (d Deployment) seeds(host core.Host) []string {
	var seeds []string
	taken := map[core.ZoneName]bool{}
	for _, h := range d.HostList() {
		if h.Name == host.Name || taken[h.Zone.Name] && h.Zone.Name != host.Zone.Name {
			continue
		}
		taken[h.Zone.Name] = true
		seeds = append(seeds, h.PeerAddress)
	}
	return seeds[:min(len(seeds), seedCount+2)]
}
