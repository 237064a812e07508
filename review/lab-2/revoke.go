package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

func init() { cases["revoke"] = revoke }

// revoke withdraws a key, restores the store from a copy that still has it, and adds a machine to the
// three that run. The operator writes again 2 s after the return.
func revoke() {
	const (
		revokeTime = 5 * time.Second
		awayAt     = 3700 * time.Millisecond // all from the acknowledgement
		backAt     = 4700 * time.Millisecond
		startAt    = 5000 * time.Millisecond
		rewriteAt  = 6700 * time.Millisecond
	)
	bounds := finderBounds
	zones = finderZones
	dir, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	rec := newRecord()
	defer rec.close()
	s := newStore()
	var backends []*backend
	for _, zone := range []string{"perth-a", "kalgoorlie-a", "karratha-a"} {
		b := newBackend(fmt.Sprint("i-", len(backends)), "svc", zone, func(b *backend, a arrival, w net.Conn) bool { return ok(b, a, w, "") })
		backends = append(backends, b)
		s.put("servers", b.id, b.entry("ready", 12))
	}
	config := func(version int, keys ...string) map[string]any {
		c := simpleConfig(version)
		c["resources"] = append(c["resources"].([]any), resource("tenants", "t-1", map[string]any{"api_keys": keys, "priority": 1}))
		return c
	}
	s.put("config", "main", config(3, "key-1", "key-2"))
	ports := freePorts("127.0.0.1")
	var hosts []*host
	for i, zone := range []string{"perth-a", "kalgoorlie-a", "karratha-a", "karratha-a"} {
		hosts = append(hosts, newHost(dir, i, zone, s.listen(fmt.Sprint("h", i)), ports, nil, true, bounds, 284))
	}
	for _, h := range hosts {
		// "These may be stale or down": two machines that are gone.
		rewrite(h, "seeds", []string{h.control, "127.1.0.1:9", "127.1.0.2:9"})
	}
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	added := hosts[3]
	rewrite(added, "first-start", false)
	for _, h := range hosts[:3] {
		h.start()
	}
	for _, h := range hosts[:3] {
		h.awaitReady()
	}
	time.Sleep(6 * time.Second)
	copied := time.Now()
	time.Sleep(time.Second)
	s.put("config", "main", config(5, "key-1"))
	acked := time.Now()
	since := func() float64 { return time.Since(acked).Seconds() }
	rec.line("the store acknowledges version 5, which takes key-2 away")
	machines := []string{"h0", "h1", "h2", "h3"}
	var wg sync.WaitGroup
	sent := map[string]time.Duration{}
	var mu sync.Mutex
	for i, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			last := ""
			for n := 0; time.Since(acked) < 9*time.Second; n++ {
				c := &hotClient{key: "key-2"}
				id := fmt.Sprintf("r%d-%d", i, n)
				mu.Lock()
				sent[id] = time.Since(acked)
				mu.Unlock()
				status := c.send(h.client, id)
				if c.conn != nil {
					_ = c.conn.Close()
				}
				if text := fmt.Sprint(status); text != last {
					rec.line("%.2f s: a request with key-2 to %s gets %s", since(), h.name, text)
					last = text
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	if trouble() {
		time.Sleep(time.Until(acked.Add(awayAt)))
		s.setGate(busy, machines...)
		rec.line("%.2f s: the store is away", since())
		time.Sleep(time.Until(acked.Add(backAt)))
		s.restore(copied)
		s.setGate(open, machines...)
		rec.line("%.2f s: the store is back from a copy of 1 s before the acknowledgement", since())
	}
	time.Sleep(time.Until(acked.Add(startAt)))
	added.start()
	rec.line("%.2f s: %s is added", since(), added.name)
	if trouble() {
		time.Sleep(time.Until(acked.Add(rewriteAt)))
		s.put("config", "main", config(5, "key-1"))
		rec.line("%.2f s: the operator has written version 5 again", since())
	}
	wg.Wait()
	late := 0
	var ids []string
	for _, b := range backends {
		for _, a := range b.got() {
			if at, ok := sent[a.id]; ok && at > revokeTime {
				late++
				ids = append(ids, fmt.Sprintf("%s sent at %.2f s ran at %s", a.id, at.Seconds(), b.id))
			}
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), 10)] {
		rec.line("%s", id)
	}
	rec.line("requests with key-2, sent later than 5 s after the acknowledgement, that ran: %d (allowed: 0)", late)
	rec.verdict(late > 0)
}
