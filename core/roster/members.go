package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Member is what this host knows of one host of the fleet.
type Member struct {
	Host core.Host
	// IsRegistered says that the store lists the host.
	IsRegistered bool
	// IsReady says that the host's heartbeats arrive and say that it takes requests of clients.
	IsReady bool
}

// Members returns this host and every other one that is registered or whose heartbeats arrive, in
// no order.
func (r *Roster) Members(now time.Time) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A host that serves has registered itself.
	list := []Member{{Host: r.Self, IsRegistered: true, IsReady: r.isReady}}
	s := r.schedule()
	for name, m := range r.members {
		_, isRegistered := r.registrations[name]
		isReady := s.isLive(m, now) && m.heartbeat.Ready
		if isRegistered || isReady {
			list = append(list, Member{Host: m.host, IsRegistered: isRegistered, IsReady: isReady})
		}
	}
	for name, known := range r.registrations {
		if r.members[name] == nil {
			list = append(list, Member{Host: known.host, IsRegistered: true})
		}
	}
	return list
}
