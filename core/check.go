package core

import (
	"net/netip"
	"strings"
)

// The limits of the values in a ticket.
const (
	maxNameLength = 63
	maxSlots      = 100_000
	maxDeadline   = Milliseconds(24 * 60 * 60 * 1000)
)

// Validate returns every problem of the ticket that can be found without the
// configuration that it is applied to.
func (t Ticket) Validate() Findings {
	var findings Findings
	if t.Number == 0 {
		findings.Addf("/number", "must be 1 or more")
	}
	if t.Author == "" {
		findings.Addf("/author", "must name the author of the change")
	}
	t.validateServices(&findings)
	t.validateZones(&findings)
	t.validateUpstreams(&findings)
	t.validateLinks(&findings)
	t.validateBlocks(&findings)
	t.validateObjectives(&findings)
	return findings
}

// validateServices adds the problems of the services.
func (t Ticket) validateServices(findings *Findings) {
	seen := map[ServiceName]bool{}
	for i, s := range t.Services {
		validateName(findings, JSONPointer("services", i, "name"), string(s.Name))
		if seen[s.Name] {
			findings.Addf(JSONPointer("services", i, "name"), "duplicate service %q", s.Name)
		}
		seen[s.Name] = true
		validateRange(findings, JSONPointer("services", i, "deadline-ms"), int64(s.Deadline), 1, int64(maxDeadline))
		validateRange(findings, JSONPointer("services", i, "progress-timeout-ms"), int64(s.ProgressTimeout), 1, int64(maxDeadline))
		if s.MaxBody < 0 {
			findings.Addf(JSONPointer("services", i, "max-body-bytes"), "must not be negative")
		}
		for organisation, w := range s.OrganisationWeights {
			if w <= 0 {
				findings.Addf(JSONPointer("services", i, "organisations", organisation), "weight %v must be positive", w)
			}
		}
	}
}

// validateZones adds the problems of the availability zones.
func (t Ticket) validateZones(findings *Findings) {
	seen := map[ZoneName]bool{}
	for i, z := range t.Zones {
		validateName(findings, JSONPointer("zones", i, "name"), string(z.Name))
		validateName(findings, JSONPointer("zones", i, "region"), string(z.Region))
		if seen[z.Name] {
			findings.Addf(JSONPointer("zones", i, "name"), "duplicate availability zone %q", z.Name)
		}
		seen[z.Name] = true
	}
}

// validateUpstreams adds the problems of the upstreams.
func (t Ticket) validateUpstreams(findings *Findings) {
	seen := map[UpstreamName]bool{}
	for i, u := range t.Upstreams {
		validateName(findings, JSONPointer("upstreams", i, "name"), string(u.Name))
		if seen[u.Name] {
			findings.Addf(JSONPointer("upstreams", i, "name"), "duplicate upstream %q", u.Name)
		}
		seen[u.Name] = true
		validateRange(findings, JSONPointer("upstreams", i, "slots"), int64(u.Slots), 1, maxSlots)
		if !IsValidAddress(u.Address) {
			findings.Addf(JSONPointer("upstreams", i, "address"), "%q is not an IP address with a port", u.Address)
		}
	}
}

// validateLinks adds the problems of the links.
func (t Ticket) validateLinks(findings *Findings) {
	seen := map[Link]bool{}
	for i, l := range t.Links {
		if l.From == l.To {
			findings.Addf(JSONPointer("links", i), "connects region %q to itself", l.From)
		}
		if l.Cap <= 0 {
			findings.Addf(JSONPointer("links", i, "cap-bits"), "must be positive")
		}
		validateRange(findings, JSONPointer("links", i, "slots"), int64(l.Slots), 0, maxSlots)
		if seen[l.Link] {
			findings.Addf(JSONPointer("links", i), "duplicate link")
		}
		seen[l.Link] = true
	}
}

// validateBlocks adds the problems of the blocks of client addresses.
func (t Ticket) validateBlocks(findings *Findings) {
	seen := map[netip.Prefix]bool{}
	for i, b := range t.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			findings.Addf(JSONPointer("blocks", i, "prefix"), "%q is not a network prefix with all host bits zero", b.Prefix)
		}
		if seen[b.Prefix] {
			findings.Addf(JSONPointer("blocks", i, "prefix"), "duplicate prefix %q", b.Prefix)
		}
		seen[b.Prefix] = true
	}
}

// validateObjectives adds the problems of the weights of the objectives.
func (t Ticket) validateObjectives(findings *Findings) {
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
			findings.Addf(JSONPointer("objectives", w.name), "must not be negative")
		}
	}
}

// validateName adds a finding where name is not a valid name.
func validateName(findings *Findings, pointer, name string) {
	if name == "" || len(name) > maxNameLength {
		findings.Addf(pointer, "length %d is not between 1 and %d", len(name), maxNameLength)
		return
	}
	if !IsValidName(name) {
		findings.Addf(pointer, "%q may contain only a-z, 0-9 and -", name)
	}
}

// validateRange adds a finding where value is not between low and high, inclusive.
func validateRange(findings *Findings, pointer string, value, low, high int64) {
	if value < low || value > high {
		findings.Addf(pointer, "%d is not between %d and %d", value, low, high)
	}
}

// IsValidName reports whether s is a valid name of a host, region, availability zone,
// service or upstream: 1 to 63 characters of a-z, 0-9 and -.
func IsValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// IsValidAddress reports whether s is an IP address with a port other than 0.
func IsValidAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}
