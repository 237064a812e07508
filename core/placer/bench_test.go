package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// BenchmarkChoose measures Choose and Report for services with different numbers
// of upstreams.
func BenchmarkChoose(b *testing.B) {
	zones := []core.ZoneName{"slz-a", "slz-b", "for-a", "for-b", "nat-a", "nat-b"}
	for _, n := range []int{4, 40, 400} {
		b.Run(fmt.Sprint(n*len(zones)), func(b *testing.B) {
			p := newPlacer("for-a", upstreamsIn(n, zones...))
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				choice, ok := p.Choose(query(fmt.Sprint(i%500)), now)
				if !ok {
					b.Fatal("no upstream was chosen")
				}
				p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}, now)
			}
		})
	}
}

// BenchmarkChooseLimited measures Choose and Report if every upstream names a rate limit, in
// a deployment with many hosts.
func BenchmarkChooseLimited(b *testing.B) {
	var others []core.HostName
	for i := range 294 {
		others = append(others, core.HostName(fmt.Sprint("host-", i)))
	}
	zones := []core.ZoneName{"slz-a", "slz-b", "for-a", "for-b", "nat-a", "nat-b"}
	p := newPlacer("for-a", upstreamsIn(130, zones...), others...)
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		choice, ok := p.Choose(query(fmt.Sprint(i%500)), now)
		if ok {
			p.Report(choice, limited(1.5), now)
		}
	}
}
