package core

import (
	"net/netip"
	"strings"
)

// Limits of what a ticket may name.
const (
	maxNameLength = 63
	maxSlots      = 100_000
	maxDeadline   = Milliseconds(24 * 60 * 60 * 1000)
)

// Check returns every problem of the ticket that shows without the
// configuration it is applied to.
func (t Ticket) Check() Findings {
	var findings Findings
	if t.Number == 0 {
		findings.Addf("/number", "must be 1 or more")
	}
	if t.Author == "" {
		findings.Addf("/author", "must name who makes the change")
	}
	t.checkServices(&findings)
	t.checkZones(&findings)
	t.checkUpstreams(&findings)
	t.checkLinks(&findings)
	t.checkBlocks(&findings)
	t.checkObjectives(&findings)
	return findings
}

func (t Ticket) checkServices(findings *Findings) {
	seen := map[ServiceName]bool{}
	for i, s := range t.Services {
		checkName(findings, Pointer("services", i, "name"), string(s.Name))
		if seen[s.Name] {
			findings.Addf(Pointer("services", i, "name"), "%q stands twice", s.Name)
		}
		seen[s.Name] = true
		checkRange(findings, Pointer("services", i, "deadline-ms"), int64(s.Deadline), 1, int64(maxDeadline))
		checkRange(findings, Pointer("services", i, "progress-timeout-ms"), int64(s.Progress), 1, int64(maxDeadline))
		if s.MaxBody < 0 {
			findings.Addf(Pointer("services", i, "max-body-bytes"), "must not be negative")
		}
		for o, w := range s.Organisations {
			if w <= 0 {
				findings.Addf(Pointer("services", i, "organisations", o), "weight %v must be positive", w)
			}
		}
	}
}

func (t Ticket) checkZones(findings *Findings) {
	seen := map[ZoneName]bool{}
	for i, z := range t.Zones {
		checkName(findings, Pointer("zones", i, "name"), string(z.Name))
		checkName(findings, Pointer("zones", i, "region"), string(z.Region))
		if seen[z.Name] {
			findings.Addf(Pointer("zones", i, "name"), "%q stands twice", z.Name)
		}
		seen[z.Name] = true
	}
}

func (t Ticket) checkUpstreams(findings *Findings) {
	seen := map[UpstreamName]bool{}
	for i, u := range t.Upstreams {
		checkName(findings, Pointer("upstreams", i, "name"), string(u.Name))
		if seen[u.Name] {
			findings.Addf(Pointer("upstreams", i, "name"), "%q stands twice", u.Name)
		}
		seen[u.Name] = true
		checkRange(findings, Pointer("upstreams", i, "slots"), int64(u.Slots), 1, maxSlots)
		if !IsAddress(u.Address) {
			findings.Addf(Pointer("upstreams", i, "address"), "%q is not an IP address with a port", u.Address)
		}
	}
}

func (t Ticket) checkLinks(findings *Findings) {
	seen := map[Link]bool{}
	for i, l := range t.Links {
		if l.From == l.To {
			findings.Addf(Pointer("links", i), "joins region %q to itself", l.From)
		}
		if l.Cap <= 0 {
			findings.Addf(Pointer("links", i, "cap-bits"), "must be positive")
		}
		checkRange(findings, Pointer("links", i, "slots"), int64(l.Slots), 0, maxSlots)
		if seen[l.Link] {
			findings.Addf(Pointer("links", i), "stands twice")
		}
		seen[l.Link] = true
	}
}

func (t Ticket) checkBlocks(findings *Findings) {
	seen := map[netip.Prefix]bool{}
	for i, b := range t.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			findings.Addf(Pointer("blocks", i, "prefix"), "%q is not a network prefix without host bits", b.Prefix)
		}
		if seen[b.Prefix] {
			findings.Addf(Pointer("blocks", i, "prefix"), "%q stands twice", b.Prefix)
		}
		seen[b.Prefix] = true
	}
}

func (t Ticket) checkObjectives(findings *Findings) {
	if t.Objectives == nil {
		return
	}
	weights := []struct {
		name  string
		value Weight
	}{
		{"latency", t.Objectives.Latency},
		{"headroom", t.Objectives.Headroom},
		{"drain", t.Objectives.Drain},
	}
	for _, w := range weights {
		if w.value < 0 {
			findings.Addf(Pointer("objectives", w.name), "must not be negative")
		}
	}
}

func checkName(findings *Findings, pointer, name string) {
	if name == "" || len(name) > maxNameLength {
		findings.Addf(pointer, "length %d is not between 1 and %d", len(name), maxNameLength)
		return
	}
	if !IsName(name) {
		findings.Addf(pointer, "%q may hold only a-z, 0-9 and -", name)
	}
}

func checkRange(findings *Findings, pointer string, value, least, most int64) {
	if value < least || value > most {
		findings.Addf(pointer, "%d is not between %d and %d", value, least, most)
	}
}

// IsName reports whether s is a valid name of a host, place, service or
// upstream.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// IsAddress reports whether s is an IP address with a port.
func IsAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}
