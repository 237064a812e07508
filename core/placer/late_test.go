package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestColdnessIsLearnedLate guards against exceeding the warm-up limit right
// after hosts learn that an upstream is cold. While the store is unavailable,
// they learn it half a second late, so requests sent before must count towards
// the limit as well.
func TestColdnessIsLearnedLate(t *testing.T) {
	const (
		hosts = 4
		// requestRate is the number of requests a second of each host. All hosts
		// together exceed the limit.
		requestRate    = 10
		detectionDelay = 500 * time.Millisecond
		limit          = 17*1.5 + 5.0
	)
	is := is.New(t)
	others := []core.HostName{"host-1", "host-2", "host-3"}
	list := upstreamsIn(1, "for-a")
	var fleet []*placer.Placer
	for range hosts {
		fleet = append(fleet, newPlacer("for-a", list, others...))
	}
	var sent []time.Time
	for at := time.Duration(0); at < 2*time.Second; at += time.Second / requestRate / hosts {
		now := start.Add(at)
		p := fleet[int(at/(time.Second/requestRate/hosts))%hosts]
		if at >= detectionDelay {
			p.MarkCold(list[0].Name, time.Minute, now)
		}
		if choice, ok := p.Choose(query("k"), now); ok {
			p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}, now)
			sent = append(sent, now)
		}
	}
	most := 0
	for _, from := range sent {
		n := 0
		for _, at := range sent {
			if !at.Before(from) && at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("at most %d in a second, %.1f allowed", most, limit)
	is.True(float64(most) <= limit)
}
