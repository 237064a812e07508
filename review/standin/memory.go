package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is below max_body_bytes, 67108864.
	uploadBytes = 60 << 20
	// uploadRate is the pace of one client, in bytes a second. Five of them use 755 of the
	// 1,000 Mbit/s of the link.
	uploadRate = 18 << 20
	// usualUploads and burstUploads are the clients that upload at the same time, every
	// uploadInterval.
	usualUploads   = 3
	burstUploads   = 5
	uploadInterval = 5 * time.Second
	uploadRounds   = 4
)

// pacedBody is a body that a client sends at uploadRate.
type pacedBody struct {
	left  int
	start time.Time
	sent  int
}

// Read returns the next bytes when they are due.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.start.IsZero() {
		b.start = time.Now()
	}
	const piece = 64 << 10
	n := min(len(p), b.left, piece)
	time.Sleep(time.Until(b.start.Add(time.Duration(float64(b.sent) / uploadRate * float64(time.Second)))))
	clear(p[:n])
	b.left -= n
	b.sent += n
	return n, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again after a short delay. It returns a function that stops it and returns the
// largest memory and the times of the kills.
func (f *fleet) enforceMemory(h *host) func() (int64, []time.Time) {
	done := make(chan struct{})
	var group sync.WaitGroup
	var peak int64
	var kills []time.Time
	group.Add(1)
	go func() {
		defer group.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			h.mu.Lock()
			pid, isRunning := h.command.Process.Pid, h.ended.IsZero()
			h.mu.Unlock()
			if !isRunning {
				continue
			}
			used := residentBytes(pid)
			peak = max(peak, used)
			if used <= int64(f.memoryMB)<<20 {
				continue
			}
			kills = append(kills, time.Now())
			note("platform", "%s uses %d MiB of %d: killed", h.name, used>>20, f.memoryMB)
			h.kill()
			time.Sleep(500 * time.Millisecond)
			f.start(h)
		}
	}()
	return func() (int64, []time.Time) {
		close(done)
		group.Wait()
		return peak, kills
	}
}

// memory: many users upload at once, within the limits of the configuration.
func memory(trouble bool) bool {
	f := newFleet(map[string]string{"nls-a": "nl-south"})
	const hostname = "desk.example"
	services := []string{"ordrdesk", "lotvault"}
	f.store.putConfiguration(3, hostname, []route{
		{name: "r-order", prefix: "/order/", class: "non_idempotent", services: services[:1], timeout: 3},
		{name: "r-lot", prefix: "/lot/", class: "upload", services: services[1:], timeout: 4},
	}, services)
	for n := range 12 {
		f.addUpstream(fmt.Sprintf("i-o-%d", n), "ordrdesk", "nls-a", 4, 840*time.Millisecond)
		f.addUpstream(fmt.Sprintf("i-l-%d", n), "lotvault", "nls-a", 3, 300*time.Millisecond)
	}
	h := f.addHost("frontend-nls-a-1", "nls-a")
	f.startHosts()
	stopEnforcing := f.enforceMemory(h)
	results := &results{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	newClient(h, hostname, results).load("o", "/order/", 20, 4*time.Second, stop, &group)
	upload := func(id string) {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newClient(h, hostname, results)
			c.send(http.MethodPost, "/lot/"+id, id, &pacedBody{left: uploadBytes}, uploadBytes, 4*time.Second)
		}()
	}
	time.Sleep(2 * time.Second)
	for round := range uploadRounds {
		uploads := usualUploads
		if trouble && round == 1 {
			uploads = burstUploads
			note("clients", "burst: %d uploads at once in place of %d", uploads, usualUploads)
		}
		for n := range uploads {
			upload(fmt.Sprintf("l-%d-%d", round, n))
		}
		time.Sleep(uploadInterval)
	}
	close(stop)
	group.Wait()
	peak, kills := stopEnforcing()
	outcomes, arrived := results.all(), f.arrivals.all()
	noteTraffic(outcomes, arrived)
	ran := map[string]bool{}
	for _, a := range arrived {
		ran[a.id] = ran[a.id] || a.ran
	}
	lost := 0
	for _, o := range outcomes {
		if ran[o.id] && strings.HasPrefix(o.path, "/order/") && o.err != nil {
			lost++
		}
	}
	say("largest memory %d MiB of %d; killed %d times", peak>>20, f.memoryMB, len(kills))
	say("LOST: orders that a backend ran and whose connection was closed without an answer: %d (3 are allowed)", lost)
	return lost > 3
}
