package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// retained: five of 20 backends leave at once without reporting it, and the operator
// changes the configuration shortly before and twice after. All of it is planned work.
func retained(trouble bool) bool {
	f := newFleet(map[string]string{"slz-a": "slz", "slz-b": "slz"})
	const hostname = "desk.example"
	services := []string{"notices"}
	order := route{name: "r-notice", prefix: "/notice/", class: "non_idempotent", services: services, timeout: 1}
	added := func(n int) route {
		return route{name: fmt.Sprintf("r-added-%d", n), prefix: fmt.Sprintf("/added-%d/", n), class: "idempotent", services: services, timeout: 1}
	}
	f.store.putConfiguration(3, hostname, []route{order}, services)
	for n := range 20 {
		f.addUpstream(fmt.Sprintf("i-%02d", n), "notices", []string{"slz-a", "slz-b"}[n%2], 6, 300*time.Millisecond)
	}
	f.addHost("frontend-slz-a-1", "slz-a")
	f.addHost("frontend-slz-b-1", "slz-b")
	f.startHosts()
	results := &results{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range f.hosts {
		newClient(h, hostname, results).load("n", "/notice/", 40, 1500*time.Millisecond, stop, &group)
	}
	time.Sleep(6 * time.Second)
	version := 3
	change := func() {
		if trouble {
			version += 4
			f.store.putConfiguration(version, hostname, []route{order, added(version)}, services)
		}
	}
	const interval = 1900 * time.Millisecond
	change()
	time.Sleep(300 * time.Millisecond)
	leaving := []string{"i-00", "i-01", "i-02", "i-03", "i-04"}
	f.store.remove("servers", leaving...)
	left := time.Now()
	note("store", "%v removed; they serve on", leaving)
	time.Sleep(interval - 300*time.Millisecond)
	change()
	exit := left.Add(seconds("drain_s") + 500*time.Millisecond)
	time.Sleep(time.Until(exit))
	for _, id := range leaving[:2] {
		f.upstreams[id].exit()
		note("backend", "%s exits", id)
	}
	time.Sleep(time.Until(left.Add(2*interval - 300*time.Millisecond)))
	change()
	time.Sleep(2 * interval)
	close(stop)
	group.Wait()
	outcomes, arrived := results.all(), f.arrivals.all()
	noteTraffic(outcomes, arrived)
	ranAt := map[string]string{}
	for _, a := range arrived {
		if a.ran {
			ranAt[a.id] = a.upstream
		}
	}
	for _, o := range outcomes {
		if id := ranAt[o.id]; (id == leaving[0] || id == leaving[1]) && o.status != http.StatusOK {
			say("%s ran at %s, which exited; its client got status %d", o.id, id, o.status)
		}
	}
	late, last := 0, time.Duration(0)
	for _, a := range arrived {
		for _, id := range leaving {
			if a.upstream == id && a.at.After(left.Add(seconds("drain_s"))) {
				late++
				last = max(last, a.at.Sub(left))
			}
		}
	}
	say("DRAIN: requests that reached a backend later than drain_s after its entry was gone: %d; the last one %.1f s after it", late, last.Seconds())
	return late > 0
}
