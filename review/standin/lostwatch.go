package main

import (
	"strings"
	"sync"
	"time"
)

// lostWatch: the store is silent towards one of three machines for 4.5 s and serves the
// others. More than stability_s later a route is moved to another service, and a backend
// leaves. The machine must act on both within their bounds.
func lostWatch(trouble bool) bool {
	f := newFleet(map[string]string{"slz-a": "slz", "for-a": "for", "nat-a": "nat"})
	const hostname = "desk.example"
	services := []string{"notices", "lookups", "notices-new"}
	order := func(service string) route {
		return route{name: "r-notice", prefix: "/notice/", class: "non_idempotent", services: []string{service}, timeout: 1}
	}
	lookup := route{name: "r-lookup", prefix: "/lookup/", class: "idempotent", services: []string{"lookups"}, timeout: 0.8}
	added := route{name: "r-added", prefix: "/added/", class: "idempotent", services: []string{"lookups"}, timeout: 0.8}
	f.store.putConfiguration(3, hostname, []route{order("notices"), lookup}, services)
	for zone := range f.zones {
		for _, service := range services {
			for _, n := range []string{"1", "2"} {
				f.addUpstream("i-"+service+"-"+zone+"-"+n, service, zone, 6, 20*time.Millisecond)
			}
		}
	}
	f.addHost("frontend-slz-a-1", "slz-a")
	f.addHost("frontend-for-a-1", "for-a")
	f.addHost("frontend-nat-a-1", "nat-a")
	f.startHosts()
	results := &results{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range f.hosts {
		c := newClient(h, hostname, results)
		c.load("n", "/notice/", 10, 1500*time.Millisecond, stop, &group)
		c.load("q", "/lookup/", 20, 1200*time.Millisecond, stop, &group)
	}
	time.Sleep(3 * time.Second)
	f.store.putConfiguration(7, hostname, []route{order("notices"), lookup, added}, services)
	f.upstreams["i-lookups-nat-a-2"].register("draining")
	time.Sleep(500 * time.Millisecond)
	affected := f.hosts[0]
	if trouble {
		affected.front.setSilent(true)
		note("store", "silent towards %s", affected.name)
	}
	time.Sleep(time.Second)
	// Planned work in the silence: a version with one route less, and an end of a backend.
	f.store.putConfiguration(12, hostname, []route{order("notices"), lookup}, services)
	f.store.remove("servers", "i-lookups-nat-a-2")
	time.Sleep(3500 * time.Millisecond)
	affected.front.setSilent(false)
	quietSince := time.Now()
	note("store", "answers all machines; responses lost: %d", affected.front.lostResponses())
	stability := seconds("stability_s")
	time.Sleep(stability + 500*time.Millisecond)
	f.store.putConfiguration(18, hostname, []route{order("notices-new"), lookup}, services)
	moved := time.Now()
	leaving := "i-lookups-slz-a-1"
	f.upstreams[leaving].register("draining")
	left := time.Now()
	note("backend", "%s reported draining; the store accepted it", leaving)
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	outcomes, arrived := results.all(), f.arrivals.all()
	noteTraffic(outcomes, arrived)
	sent := map[string]outcome{}
	for _, o := range outcomes {
		sent[o.id] = o
	}
	byOld, late := map[string]int{}, map[string]int{}
	lastOld := time.Duration(0)
	for _, a := range arrived {
		o := sent[a.id]
		switch {
		case a.ran && a.service == "notices" && strings.HasPrefix(o.path, "/notice/") && o.sentAt.After(moved.Add(seconds("config_apply_s"))):
			byOld[o.host]++
			lastOld = max(lastOld, o.sentAt.Sub(moved))
		case a.upstream == leaving && a.at.After(left.Add(seconds("drain_s"))):
			late[o.host]++
		}
	}
	say("the store answered %s again %.1f s before the change", affected.name, moved.Sub(quietSince).Seconds())
	say("CONFIG: notices sent later than config_apply_s after the acknowledgement and run by the old service, by host: %v; the last one %.1f s after it", byOld, lastOld.Seconds())
	say("DRAIN: requests that reached %s later than drain_s after the acknowledgement, by host: %v", leaving, late)
	return len(byOld) > 0 || len(late) > 0
}

// seconds returns a bound of the settings.
func seconds(name string) time.Duration {
	switch v := bounds[name].(type) {
	case int:
		return time.Duration(v) * time.Second
	case float64:
		return time.Duration(v * float64(time.Second))
	}
	fail("no bound %s", name)
	return 0
}
