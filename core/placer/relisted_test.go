package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestColdnessWhileUnlisted guards against the usual requests to cold upstreams that were
// not listed when the host learned that they may be cold: those of a zone that was cut off
// lose their registrations, and are listed again after the evacuation of the zone has ended.
func TestColdnessWhileUnlisted(t *testing.T) {
	for name, learn := range map[string]func(p *placer.Placer, zone core.ZoneName, now time.Time){
		"end of an evacuation": func(p *placer.Placer, _ core.ZoneName, now time.Time) { p.SetEvacuatedZones(nil, now) },
		"suspicion": func(p *placer.Placer, zone core.ZoneName, now time.Time) {
			p.SetEvacuatedZones(nil, now.Add(-2*warmUp))
			p.SuspectZoneCold(zone, now)
		},
		"another host": func(p *placer.Placer, zone core.ZoneName, now time.Time) {
			p.SetEvacuatedZones(nil, now.Add(-2*warmUp))
			for i := range 3 {
				p.MarkCold(core.UpstreamName(fmt.Sprintf("%s-%d", zone, i)), warmUp, now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := upstreamsIn(3, "slz-a", "slz-b")
			others := all[3:]
			p := newPlacer("slz-a", all, "other-1", "other-2", "other-3")
			p.SetEvacuatedZones([]core.ZoneName{"slz-a"}, start)
			p.SetUpstreams(others, start.Add(time.Second))
			now := start.Add(8 * time.Second)
			learn(p, "slz-a", now)
			p.SetUpstreams(all, now)
			sent := 0
			for i := range 300 {
				choice, ok := p.Choose(query(fmt.Sprint("key-", i)), now.Add(time.Duration(i)*time.Millisecond))
				if ok && choice.Upstream.Zone == "slz-a" {
					sent++
				}
			}
			// A quarter of what the three may get in a second: the other hosts have the rest.
			const shared = 3 * (17*1.5 + 5)
			is.True(float64(sent) <= shared/4)
		})
	}
}
