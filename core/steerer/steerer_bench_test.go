package steerer_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/dispatcher"
	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/core/steerer"
	"github.com/endiverun/endiverun/core/tracker"
)

var now = time.Unix(1_800_000_000, 0)

// hostOf returns host i of a deployment with the given number of availability zones.
func hostOf(i, zones int) core.Host {
	z := i % zones
	return core.Host{
		Name: core.HostName(fmt.Sprintf("host-%d", i)), Incarnation: 1,
		Zone:          core.Zone{Name: core.ZoneName(fmt.Sprintf("zone-%d", z)), Region: core.RegionName(fmt.Sprintf("region-%d", z/3))},
		ClientAddress: "10.0.0.1:8080", PeerAddress: "10.0.0.1:8443",
	}
}

// newSteerer returns the state of one host of a deployment with the given numbers of
// hosts, availability zones and blocks of client addresses.
func newSteerer(hosts, zones, blocks int) *steerer.Steerer {
	s := &steerer.Steerer{
		Self:      hostOf(0, zones),
		RoundTrip: func(core.Host) time.Duration { return time.Millisecond },
		Policy:    balancer.LeastServiceTime,
	}
	s.Init(now)
	ticket := core.Ticket{Number: 1, Author: "bench"}
	ticket.Services = []core.Service{{Name: "lookup", Repeatable: true, Deadline: 1000, ProgressTimeout: 1000}}
	for z := range zones {
		ticket.Zones = append(ticket.Zones, hostOf(z, zones).Zone)
		for i := range 8 {
			ticket.Upstreams = append(ticket.Upstreams, core.Upstream{
				Name: core.UpstreamName(fmt.Sprintf("up-%d-%d", z, i)), Service: "lookup",
				Zone: hostOf(z, zones).Zone.Name, Address: "10.0.0.2:80", Slots: 6,
			})
		}
	}
	for i := range blocks {
		address := netip.AddrFrom4([4]byte{byte(10 + i>>20), byte(i >> 12), byte(i >> 4), byte(i << 4)})
		ticket.Blocks = append(ticket.Blocks, core.AddressBlock{
			Prefix: netip.PrefixFrom(address, 28), Zone: hostOf(i%zones, zones).Zone.Name,
		})
	}
	s.AddTicket(ticket, now)
	var records []tracker.Record
	for i := 1; i < hosts; i++ {
		records = append(records, recordOf(i, zones, 1))
	}
	s.ReceiveRecords(records, now)
	for _, u := range s.Balancer.UpstreamStates() {
		s.Balancer.RecordHealthCheck(u.Name, 0, false, now)
	}
	return s
}

// recordOf returns the record of host i.
func recordOf(i, zones int, sequence uint64) tracker.Record {
	return tracker.Record{
		Host: hostOf(i, zones), Phase: core.PhaseLive, Sequence: sequence, TicketNumber: 1,
		Capacities: []tracker.ServiceCapacity{{Service: "lookup", FreeSlots: 3, TotalSlots: 6, BestServiceTime: time.Millisecond}},
	}
}

// sizes are pairs of the number of hosts and of availability zones, from the size of
// today's deployment to that of the planned one.
var sizes = [][2]int{{12, 6}, {130, 10}, {1300, 96}}

// BenchmarkRoute measures the route for a client from a list that is reused.
func BenchmarkRoute(b *testing.B) {
	for _, size := range sizes {
		s := newSteerer(size[0], size[1], 1000)
		query := router.Query{Service: "lookup", Zone: s.Self.Zone}
		b.Run(fmt.Sprintf("hosts=%d", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				query.ClientHash = uint64(i)
				s.Router.Route(query, 1, now)
			}
		})
	}
}

// BenchmarkRouteRebuild measures the route for a client when the list must be rebuilt.
func BenchmarkRouteRebuild(b *testing.B) {
	for _, size := range sizes {
		s := newSteerer(size[0], size[1], 1000)
		query := router.Query{Service: "lookup", Zone: s.Self.Zone}
		b.Run(fmt.Sprintf("hosts=%d", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Router.Route(query, 1, now.Add(time.Duration(i)*time.Second))
			}
		})
	}
}

// BenchmarkDecision measures all decisions about a request, from its arrival to the
// response of an upstream.
func BenchmarkDecision(b *testing.B) {
	for _, size := range sizes {
		s := newSteerer(size[0], size[1], 1000)
		request := core.Request{Service: "lookup", Deadline: now.Add(time.Hour)}
		b.Run(fmt.Sprintf("hosts=%d", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				d := s.Dispatcher.Start(request, dispatcher.Origin{}, func() {})
				if step := d.Next(now); step.Kind != dispatcher.StepSendAttempt && step.Kind != dispatcher.StepForward {
					b.Fatal(step.Kind)
				}
				d.Observe(dispatcher.Result{Outcome: core.AnsweredOutcome(&core.Response{}), ServiceTime: time.Millisecond}, now)
			}
		})
	}
}

// BenchmarkPick measures only the selection of an upstream: a slot is acquired and
// released.
func BenchmarkPick(b *testing.B) {
	for _, policy := range balancer.Policies {
		s := newSteerer(12, 6, 0)
		s.Balancer.Policy = policy
		b.Run(policy.Name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				u, ok := s.Balancer.Acquire("lookup", balancer.AcquireOptions{}, now)
				if !ok {
					b.Fatal("no slot")
				}
				s.Balancer.Release(u.Name, balancer.Result{RunState: core.Answered, ServiceTime: time.Millisecond}, now)
			}
		})
	}
}

// BenchmarkReceive measures the processing of one record of another host.
func BenchmarkReceive(b *testing.B) {
	for _, size := range sizes {
		s := newSteerer(size[0], size[1], 0)
		b.Run(fmt.Sprintf("hosts=%d", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.ReceiveRecords([]tracker.Record{recordOf(1+i%(size[0]-1), size[1], uint64(i+2))}, now)
			}
		})
	}
}

// BenchmarkApplyTicket measures applying a ticket with one block to configurations with
// many blocks.
func BenchmarkApplyTicket(b *testing.B) {
	for _, blocks := range []int{1000, 30_000, 300_000} {
		s := newSteerer(12, 6, blocks)
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			b.ReportAllocs()
			configuration := s.Sequencer.Configuration()
			ticket := core.Ticket{
				Number: 2, Author: "bench",
				Blocks: []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.0.0.16/28"), Zone: "zone-1"}},
			}
			for range b.N {
				configuration.Apply(ticket)
			}
		})
	}
}

// BenchmarkBlocksMemory reports the heap bytes per block of client addresses.
func BenchmarkBlocksMemory(b *testing.B) {
	for _, blocks := range []int{30_000, 300_000, 3_000_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				s := newSteerer(12, 6, blocks)
				b.ReportMetric(float64(heapBytes()-before)/float64(blocks), "bytes/block")
				runtime.KeepAlive(s)
			}
		})
	}
}

// heapBytes returns the size of the allocated heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkLetters reports the number of records that a host sends per second, and 1 in
// the metric relay where the host is a relay.
func BenchmarkLetters(b *testing.B) {
	for _, size := range sizes {
		s := newSteerer(size[0], size[1], 0)
		b.Run(fmt.Sprintf("hosts=%d", size[0]), func(b *testing.B) {
			records := 0
			for range b.N {
				for _, l := range s.NextRecordBatches(now) {
					records += len(l.Records)
				}
			}
			b.ReportMetric(float64(records)/float64(b.N)*float64(time.Second/steerer.HeartbeatInterval), "records/s")
			b.ReportMetric(map[bool]float64{true: 1}[s.IsRelay(now)], "relay")
		})
	}
}
