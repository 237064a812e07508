package retrier_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/retrier"
)

const service core.ServiceName = "consulta"

// TestBudgetOverAllHosts drives hosts that never communicate with random requests
// and retries. The retries of all hosts together must stay within the operator's
// budget in every window. The budget follows from the requests of that window or
// of the previous one, whichever had more.
func TestBudgetOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			window    = 10 * time.Second
			fraction  = 0.2
			allowance = 62.0
		)
		hosts := make([]*retrier.Budget, rapid.IntRange(1, 20).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = &retrier.Budget{Window: window, Ratio: fraction, Allowance: allowance}
			hosts[i].SetHosts(len(hosts))
		}
		var requests, retries []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause-ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "is-request") {
				host.RecordRequest(service, now)
				requests = append(requests, now)
				continue
			}
			for range rapid.IntRange(1, 20).Draw(t, "retries") {
				if host.TryRetry(service, now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			spent := countIn(retries, end.Add(-window), end)
			earned := max(countIn(requests, end.Add(-window), end), countIn(requests, end.Add(-2*window), end.Add(-window)))
			if float64(spent) > fraction*float64(earned)+allowance {
				t.Fatalf("%d retries in a window with %d requests", spent, earned)
			}
		}
	})
}

func countIn(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestRetryStormIsLimited guards against unlimited retries when every attempt
// fails. Retries must end when the budget is spent and resume in a later window.
func TestRetryStormIsLimited(t *testing.T) {
	is := is.New(t)
	r := &retrier.Budget{Window: 10 * time.Second, Ratio: 0.2, Allowance: 10}
	r.SetHosts(1)
	now := time.Unix(1000, 0)
	spent := 0
	for range 100 {
		r.RecordRequest(service, now)
		if r.TryRetry(service, now) {
			spent++
		}
	}
	is.True(spent <= 30)                                   // a fifth of the requests plus the allowance
	is.True(!r.CanRetry(service, now))                     // the budget is spent
	is.True(!r.CanRetry(service, now.Add(time.Second)))    // time within the window earns no retries
	is.True(r.CanRetry(core.ServiceName("despacho"), now)) // each service has its own budget
	is.True(r.CanRetry(service, now.Add(12*time.Second)))  // the window has passed
}

// TestShedsWhileClientsMove guards against exceeding the budget while requests
// move from one region to another. When a service begins to shed half of its
// requests, hosts whose request rate falls must not spend in one window what they
// earned in the previous one.
func TestShedsWhileClientsMove(t *testing.T) {
	const (
		hosts     = 12
		fraction  = 0.2
		allowance = 64.0
		window    = 10 * time.Second
		step      = 100 * time.Millisecond
		// shedStart is when the service begins to shed requests.
		shedStart = 13 * time.Second
		end       = 40 * time.Second
	)
	var fleet []*retrier.Budget
	for range hosts {
		r := &retrier.Budget{Window: window, Ratio: fraction, Allowance: allowance}
		r.SetHosts(hosts)
		fleet = append(fleet, r)
	}
	var requests, retries []time.Time
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < end; at += step {
		now := start.Add(at)
		for i, r := range fleet {
			// Each host gets 1 to 9 requests a step. The number oscillates with a period
			// of 36 s and a different phase in each region.
			phase := at.Seconds()/36 + float64(i%3)/3
			n := int(5 + 4*math.Sin(2*math.Pi*phase))
			for range n {
				r.RecordRequest(service, now)
				requests = append(requests, now)
				for at >= shedStart && r.TryRetry(service, now) {
					retries = append(retries, now)
				}
			}
		}
	}
	is := is.New(t)
	for at := window; at < end; at += step {
		now := start.Add(at)
		limit := fraction*float64(countIn(requests, now.Add(-window), now)) + allowance
		is.True(float64(countIn(retries, now.Add(-window), now)) <= limit)
	}
	budget := fraction*float64(countIn(requests, start.Add(shedStart), start.Add(end))) + allowance
	is.True(float64(len(retries)) >= 0.8*budget) // most of the budget is usable
}
