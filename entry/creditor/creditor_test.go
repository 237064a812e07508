package creditor_test

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/allotter"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/creditor"
)

const organisation = core.Organisation("guild")

// node is a host with a creditor on a loopback address of its own.
type node struct {
	*creditor.Creditor
	host core.Host
	// invalid counts the messages that were rejected.
	invalid atomic.Int32
}

// freePort returns a UDP port that is free on the first loopback address.
func freePort(t *testing.T) int {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	address, err := netip.ParseAddrPort(socket.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	return int(address.Port())
}

// newNodes returns one host in each of a number of zones, the first two zones in one region.
// Hosts whose index is given as silent do not run.
func newNodes(t *testing.T, zones int, quota core.Quota, silent ...int) []*node {
	t.Helper()
	port := strconv.Itoa(freePort(t))
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	t.Cleanup(func() {
		stop()
		group.Wait()
	})
	var nodes []*node
	var peers []roster.Member
	for i := range zones {
		zone := core.Zone{Name: core.ZoneName(rune('a' + i)), Region: core.RegionName(strconv.Itoa(i / 2))}
		ip := "127.0.0." + strconv.Itoa(i+1)
		host := core.Host{Name: core.HostName("host-" + strconv.Itoa(i)), Zone: zone, PeerAddress: ip + ":7000"}
		n := &node{host: host}
		n.Creditor = &creditor.Creditor{
			Address: net.JoinHostPort(ip, port), Self: host.Name,
			Allotter: &allotter.Allotter{Self: host, Zones: zones},
			OnError:  func(string, error) { n.invalid.Add(1) },
		}
		nodes = append(nodes, n)
		peers = append(peers, roster.Member{Host: host, IsRegistered: true, IsReady: true})
	}
	isSilent := map[int]bool{}
	for _, i := range silent {
		isSilent[i] = true
	}
	now := time.Now()
	for i, n := range nodes {
		// The buckets begin to fill a while before the test.
		n.Allotter.Update(peers, map[core.Organisation]core.Quota{organisation: quota}, now.Add(-900*time.Millisecond))
		n.Allotter.Update(peers, map[core.Organisation]core.Quota{organisation: quota}, now)
		if !isSilent[i] {
			group.Go(func() { _ = n.Run(ctx) })
		}
	}
	time.Sleep(20 * time.Millisecond) // until they listen
	return nodes
}

func take(t *testing.T, n *node) (creditor.Credit, creditor.Outcome) {
	t.Helper()
	return n.Take(t.Context(), organisation, core.Quota{Rate: 1}, time.Now().Add(2*time.Second))
}

// TestCreditsOfOtherZones checks that a host asks the zones one after the other, its own region
// first, and then refuses without asking until one of them has a credit again.
func TestCreditsOfOtherZones(t *testing.T) {
	is := is.New(t)
	// Each zone has one credit, and the next only after a minute.
	nodes := newNodes(t, 3, core.Quota{Rate: 3.5})
	for _, n := range nodes {
		n.Allotter.Update(peersOf(nodes), map[core.Organisation]core.Quota{organisation: {Rate: 0.05}}, time.Now())
	}
	for i, asked := range []int{0, 1, 2} {
		_, outcome := take(t, nodes[0])
		is.Equal(outcome.Result, creditor.Granted)
		is.Equal(outcome.Zone, nodes[i].host.Zone)
		is.Equal(outcome.Asked, asked)
		if i < 2 {
			_, isExhausted := nodes[0].Exhausted(organisation, core.Quota{Rate: 1}, time.Now())
			is.True(!isExhausted)
		}
	}
	_, outcome := take(t, nodes[0])
	is.Equal(outcome.Result, creditor.Exhausted)
	is.True(outcome.RetryAfter > 0)
	_, isExhausted := nodes[0].Exhausted(organisation, core.Quota{Rate: 1}, time.Now())
	is.True(isExhausted)
	_, outcome = take(t, nodes[0])
	is.Equal(outcome.Asked, 0)
}

func peersOf(nodes []*node) []roster.Member {
	var peers []roster.Member
	for _, n := range nodes {
		peers = append(peers, roster.Member{Host: n.host, IsRegistered: true, IsReady: true})
	}
	return peers
}

// TestReturnedCredit checks that a credit that was not used is granted again, by this host and by
// another one.
func TestReturnedCredit(t *testing.T) {
	is := is.New(t)
	nodes := newNodes(t, 2, core.Quota{Rate: 2.4})
	for _, n := range nodes {
		n.Allotter.Update(peersOf(nodes), map[core.Organisation]core.Quota{organisation: {Rate: 0.05}}, time.Now())
	}
	own, _ := take(t, nodes[0])
	nodes[0].Return(own)
	again, outcome := take(t, nodes[0])
	is.Equal(outcome.Zone, nodes[0].host.Zone)
	is.True(again.IsFresh(time.Now()))
	other, outcome := take(t, nodes[0])
	is.Equal(outcome.Zone, nodes[1].host.Zone)
	nodes[0].Return(other)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		nodes[1].Allotter.Update(peersOf(nodes), map[core.Organisation]core.Quota{organisation: {Rate: 0.05}}, time.Now())
		if _, outcome := take(t, nodes[1]); outcome.Result == creditor.Granted {
			return
		}
	}
	t.Fatal("the credit did not come back")
}

// TestSilentGrantor checks that a grantor that does not answer is passed over, at once the next
// time, and that a request is refused as unavailable if none answers.
func TestSilentGrantor(t *testing.T) {
	is := is.New(t)
	nodes := newNodes(t, 3, core.Quota{Rate: 3.5}, 1)
	_, _ = take(t, nodes[0]) // the credit of its own zone
	_, outcome := take(t, nodes[0])
	is.Equal(outcome.Zone, nodes[2].host.Zone)
	is.Equal(outcome.Asked, 2)
	_, outcome = take(t, nodes[0])
	is.Equal(outcome.Result, creditor.Exhausted)

	nodes = newNodes(t, 2, core.Quota{Rate: 2.4}, 1)
	nodes[0].Allotter.Update(peersOf(nodes[1:]), nil, time.Now())
	_, outcome = take(t, nodes[0])
	is.Equal(outcome.Result, creditor.Unavailable)
	is.True(outcome.RetryAfter > 0)
}

// TestInvalidMessages checks that a host goes on after messages that it cannot read.
func TestInvalidMessages(t *testing.T) {
	is := is.New(t)
	nodes := newNodes(t, 2, core.Quota{Rate: 2.4})
	socket, err := (&net.Dialer{}).DialContext(t.Context(), "udp4", nodes[1].Address)
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	for _, data := range [][]byte{{}, []byte("hello"), {0xa0}, {0xa1, 1, 9}, make([]byte, 1400)} {
		_, err = socket.Write(data)
		is.NoErr(err)
	}
	_, _ = take(t, nodes[0])
	_, outcome := take(t, nodes[0])
	is.Equal(outcome.Zone, nodes[1].host.Zone)
	is.True(nodes[1].invalid.Load() >= 4)
}

// TestNoQuota checks that an organisation without a quota needs no other host.
func TestNoQuota(t *testing.T) {
	is := is.New(t)
	var c creditor.Creditor
	credit, outcome := c.Take(t.Context(), organisation, core.Quota{}, time.Now())
	is.Equal(outcome.Result, creditor.Granted)
	c.Return(credit)
}
