package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["quota"] = quota }

// quota stops and starts the three machines of a zone together while a tenant sends more than its
// quota.
func quota() {
	const (
		rate, burst = 480.0, 48.0
		// The tenant sends 1,050 a second, 3.5 times its usual of 300 (a quota is 1.6 times it).
		perZone, perHotZone = 150, 300
		window              = 5 * time.Second
		allowed             = (rate*5+burst)*(1+0.1) + 20
		settle              = 12 * time.Second
		runFor              = 30 * time.Second
	)
	bounds := finderBounds
	zones = finderZones
	dir, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	rec := newRecord()
	defer rec.close()
	s := newStore()
	s.lag = time.Second // "may return data that is seconds old"
	var backends []*backend
	for zone := range zones {
		for range 3 {
			b := newBackend(fmt.Sprint("i-", len(backends)), "svc", zone, func(b *backend, a arrival, w net.Conn) bool {
				time.Sleep(20 * time.Millisecond)
				return ok(b, a, w, "")
			})
			backends = append(backends, b)
			s.put("servers", b.id, b.entry("ready", 12))
		}
	}
	config := simpleConfig(3)
	config["resources"] = append(config["resources"].([]any), resource("tenants", "t-hot", map[string]any{
		"api_keys": []string{"key-of-hot"}, "rate_per_s": rate, "burst": burst, "priority": 1,
	}))
	s.put("config", "main", config)
	ports := freePorts("127.0.0.1")
	var hosts []*host
	for i, zone := range []string{"perth-a", "perth-a", "perth-a", "kalgoorlie-a", "kalgoorlie-a", "karratha-a", "karratha-a", "perth-b", "perth-b", "kalgoorlie-b", "karratha-b"} {
		hosts = append(hosts, newHost(dir, i, zone, s.listen(fmt.Sprint("h", i)), ports, nil, true, bounds, 284))
	}
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.awaitReady()
	}
	time.Sleep(5 * time.Second)
	rec.line("11 machines are ready; tenant t-hot has %v a second and a burst of %v; at most %.0f in 5 s", rate, burst, allowed)
	var isUp [16]atomic.Bool
	for i := range hosts {
		isUp[i].Store(true)
	}
	var sent, answered429, answered200, others atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for zone := range zones {
		pause := time.Second * 15 / perZone
		if zone == "perth-a" {
			pause = time.Second * 15 / perHotZone
		}
		for range 15 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				client := &hotClient{key: "key-of-hot"}
				for time.Since(start) < runFor {
					var near, region []*host
					for i, h := range hosts {
						if !isUp[i].Load() {
							continue
						}
						if h.zone == zone {
							near = append(near, h)
						}
						if zones[h.zone] == zones[zone] {
							region = append(region, h)
						}
					}
					if len(near) == 0 {
						near = region
					}
					began := time.Now()
					id := fmt.Sprintf("q%d", sent.Add(1))
					switch client.send(near[rand.Intn(len(near))].client, id) {
					case 200:
						answered200.Add(1)
					case 429:
						answered429.Add(1)
					default:
						others.Add(1)
					}
					time.Sleep(time.Until(began.Add(pause)))
				}
			}()
		}
	}
	time.Sleep(settle)
	if trouble() {
		rec.line("%.2f s: SIGTERM to the three machines of perth-a", time.Since(start).Seconds())
		var restarts sync.WaitGroup
		for i := range 3 {
			isUp[i].Store(false)
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				_ = hosts[i].cmd.Process.Signal(syscall.SIGTERM)
				_, _ = hosts[i].cmd.Process.Wait()
				rec.line("%.2f s: %s has ended", time.Since(start).Seconds(), hosts[i].name)
			}()
		}
		restarts.Wait()
		time.Sleep(time.Second)
		for i := range 3 {
			h := hosts[i]
			rewrite(h, "first-start", false)
			rewrite(h, "seeds", []string{hosts[3].control, hosts[5].control})
			h.start()
		}
		for i := range 3 {
			hosts[i].awaitReady()
			isUp[i].Store(true)
			rec.line("%.2f s: %s is ready again", time.Since(start).Seconds(), hosts[i].name)
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	var times []time.Time
	for _, b := range backends {
		for _, a := range b.got() {
			if a.header["x-tenant"] == "t-hot" {
				times = append(times, a.at)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first, worst := 0, 0, time.Time{}
	perSecond := map[int]int{}
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		if i-first+1 > most {
			most, worst = i-first+1, times[first]
		}
		perSecond[int(t.Sub(start).Seconds())]++
	}
	for second := range int(runFor.Seconds()) {
		rec.line("second %d: %d requests of t-hot ran", second, perSecond[second])
	}
	rec.line("sent %d, answered 200 %d, 429 %d, otherwise %d", sent.Load(), answered200.Load(), answered429.Load(), others.Load())
	rec.line("the most in 5 s: %d, from %.2f s on (allowed: %.0f)", most, worst.Sub(start).Seconds(), allowed)
	rec.verdict(float64(most) > allowed)
}

// hotClient keeps one connection.
type hotClient struct {
	key     string
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends one request and returns the status, 0 if there is none.
func (c *hotClient) send(address, id string) int {
	if c.conn == nil || c.address != address {
		if c.conn != nil {
			_ = c.conn.Close()
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			c.conn = nil
			return 0
		}
		c.address, c.conn, c.reader = address, conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c.conn, "GET /x/%s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n", id, id, c.key)
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	if r.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return r.StatusCode
}
