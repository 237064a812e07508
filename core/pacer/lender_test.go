package pacer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
)

var start = time.Unix(1000, 0)

// lendingHost is a host that lends and borrows shares.
type lendingHost struct {
	name   core.HostName
	pacer  *pacer.Pacer
	lender pacer.Lender
	// heard holds the loans of the last heartbeats of other hosts.
	heard map[core.HostName]heardLoan
}

type heardLoan struct {
	fraction float64
	at       time.Time
}

// update decides on the loan of the host and applies those that it heard of.
func (h *lendingHost) update(use pacer.Use, now time.Time) {
	h.lender.Update(use, now)
	loans := map[core.HostName]float64{}
	for name, loan := range h.heard {
		if loan.fraction > 0 && now.Sub(loan.at) <= pacer.BorrowTime {
			loans[name] = loan.fraction
		}
	}
	if committed := h.lender.Committed(); committed > 0 {
		loans[h.name] = committed
	}
	h.pacer.SetLoans(loans)
}

// datagram is a heartbeat that arrives at a host.
type datagram struct {
	at       time.Time
	from, to int
	fraction float64
}

// TestLoansKeepTheLimit guards against a share that one host uses again while another one
// still borrows it. Hosts lend and take back at random; heartbeats are lost and arrive up
// to half a second late. The rates of all hosts must never exceed the limit together.
func TestLoansKeepTheLimit(t *testing.T) {
	const limit, tick, steps = 50.0, 50 * time.Millisecond, 400
	rapid.Check(t, func(t *rapid.T) {
		hosts := lendingHosts(rapid.IntRange(2, 12).Draw(t, "hosts"))
		random := rapid.Custom(func(t *rapid.T) int { return rapid.IntRange(0, 1<<20).Draw(t, "value") })
		var sent []datagram
		now := start
		for step := range steps {
			now = now.Add(tick)
			for i, h := range hosts {
				if (step+i)%5 == 0 { // every 250 ms
					use := pacer.Use{Sent: random.Draw(t, "sent") % 4, OwnRate: limit / 6, IsShort: random.Draw(t, "short")%8 == 0, IsNeeded: true}
					h.update(use, now)
				}
				if (step+3*i)%10 == 0 { // every 500 ms
					sent = append(sent, heartbeats(t, random, hosts, i, now)...)
				}
			}
			sent = deliver(hosts, sent, now)
			if sum := sumOfRates(hosts, limit); sum > limit*1.0001 {
				t.Fatalf("%d hosts may send %v a second, limit %v", len(hosts), sum, limit)
			}
		}
	})
}

// lendingHosts returns hosts that know each other.
func lendingHosts(n int) []*lendingHost {
	pacers := newHosts(n)
	hosts := make([]*lendingHost, n)
	for i, p := range pacers {
		hosts[i] = &lendingHost{name: p.Self, pacer: p, heard: map[core.HostName]heardLoan{}}
	}
	return hosts
}

// heartbeats returns those of one host to the others, of which some are lost.
func heartbeats(t *rapid.T, random *rapid.Generator[int], hosts []*lendingHost, from int, now time.Time) []datagram {
	const maxDelay, lossOneIn = 500, 5
	var list []datagram
	for to := range hosts {
		value := random.Draw(t, "delay")
		if to == from || value%lossOneIn == 0 {
			continue
		}
		delay := time.Duration(value/lossOneIn%maxDelay) * time.Millisecond
		list = append(list, datagram{now.Add(delay), from, to, hosts[from].lender.Announced()})
	}
	return list
}

// deliver delivers the datagrams that are due and returns the others.
func deliver(hosts []*lendingHost, sent []datagram, now time.Time) []datagram {
	var pending []datagram
	for _, d := range sent {
		if d.at.After(now) {
			pending = append(pending, d)
			continue
		}
		hosts[d.to].heard[hosts[d.from].name] = heardLoan{d.fraction, now}
	}
	return pending
}

// sumOfRates returns the requests a second that all hosts may send to one upstream.
func sumOfRates(hosts []*lendingHost, limit core.RequestRate) float64 {
	sum := 0.0
	for _, h := range hosts {
		if interval, ok := h.pacer.Interval("upstream", "near", limit); ok {
			sum += 1 / interval.Seconds()
		}
	}
	return sum
}

// TestLender checks what a host lends after ten seconds of a use of its shares, and that it
// neither uses nor lends in full what it has taken back a moment ago.
func TestLender(t *testing.T) {
	tests := []struct {
		name string
		// sent is the number of requests in each 250 ms, of 10 that the own shares allow.
		sent     int
		isShort  bool
		isNeeded bool
		want     float64
	}{
		{"idle", 0, false, true, 0.7},
		{"idle, none needs shares", 0, false, false, 0},
		{"a fifth in use", 2, false, true, 0.7},
		{"two fifths in use", 4, false, true, 0.4},
		{"all in use", 10, false, true, 0},
		{"more than its own", 15, false, true, 0},
		{"idle but short itself", 0, true, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l pacer.Lender
			now := start
			for range 40 {
				now = now.Add(250 * time.Millisecond)
				l.Update(pacer.Use{Sent: tt.sent, OwnRate: 40, IsShort: tt.isShort, IsNeeded: tt.isNeeded}, now)
			}
			is.Equal(l.Announced(), tt.want)
			is.Equal(l.Committed(), tt.want)
			is.Equal(l.NeedsShares(now), tt.isShort)
			is.True(!l.NeedsShares(now.Add(2 * time.Second)))
		})
	}
}

// TestLoanIsTakenBackLate guards against a host that uses what it lent before the others
// have stopped using it. It must take back each level of a loan that falls in steps only
// after that level was announced for the last time 2.25 s before.
func TestLoanIsTakenBackLate(t *testing.T) {
	is := is.New(t)
	var l pacer.Lender
	const interval = 250 * time.Millisecond
	type level struct{ announced, committed float64 }
	var levels []level
	const idle = 40 // calls
	for i := range idle + 14 {
		l.Update(pacer.Use{OwnRate: 40, IsShort: i > idle, IsNeeded: true}, start.Add(time.Duration(i)*interval))
		levels = append(levels, level{l.Announced(), l.Committed()})
	}
	levels = levels[idle:]
	is.Equal(levels[:4], []level{{0.7, 0.7}, {0.6, 0.7}, {0.5, 0.7}, {0.4, 0.7}})
	is.Equal(levels[7:12], []level{{0, 0.7}, {0, 0.7}, {0, 0.6}, {0, 0.5}, {0, 0.4}})
}

// TestHostWithoutSharesLendsNothing checks that a host lends nothing while no upstream has a
// limit.
func TestHostWithoutSharesLendsNothing(t *testing.T) {
	is := is.New(t)
	var l pacer.Lender
	for i := range 8 {
		l.Update(pacer.Use{IsNeeded: true}, start.Add(time.Duration(i)*250*time.Millisecond))
	}
	is.Equal(l.Announced(), 0.0)
}

// TestLenderMeasuresBeforeItLends guards against a host that takes its shares for unused
// because it has had them for a moment only.
func TestLenderMeasuresBeforeItLends(t *testing.T) {
	is := is.New(t)
	var l pacer.Lender
	now := start
	update := func(sent int, ownRate core.RequestRate) float64 {
		now = now.Add(250 * time.Millisecond)
		l.Update(pacer.Use{Sent: sent, OwnRate: ownRate, IsNeeded: true}, now)
		return l.Announced()
	}
	for range 8 {
		is.Equal(update(0, 0), 0.0)
	}
	for range 8 {
		is.Equal(update(8, 40), 0.0) // four fifths in use
	}
	for range 8 {
		is.Equal(update(16, 80), 0.0) // of twice as much
	}
}
