package core

import "net/netip"

// TicketNumber is the position of a ticket in the sequence of tickets; the first is 1.
type TicketNumber uint64

// MaxTicketSize is the size of the largest encoded ticket. It is below the store's
// limit for a value.
const MaxTicketSize = 900 * Kibibyte

// Ticket is a numbered change of the configuration, as an operator submits it. Each item is
// the complete new state of the service, zone, upstream, link or block of client
// addresses that it names. A RoutingPolicy is not changed by tickets.
type Ticket struct {
	Number     TicketNumber   `json:"number"`
	Author     string         `json:"author"`
	Reason     string         `json:"reason,omitempty"`
	Services   []Service      `json:"services,omitempty"`
	Zones      []Zone         `json:"zones,omitempty"`
	Upstreams  []Upstream     `json:"upstreams,omitempty"`
	Links      []LinkCap      `json:"links,omitempty"`
	Blocks     []AddressBlock `json:"blocks,omitempty"`
	Objectives *Objectives    `json:"objectives,omitempty"`
	Remove     Removal        `json:"remove,omitzero"`
}

// Removal names the items that a ticket removes from the configuration. Blocks are blocks
// of client addresses.
type Removal struct {
	Services  []ServiceName  `json:"services,omitempty"`
	Zones     []ZoneName     `json:"zones,omitempty"`
	Upstreams []UpstreamName `json:"upstreams,omitempty"`
	Links     []Link         `json:"links,omitempty"`
	Blocks    []netip.Prefix `json:"blocks,omitempty"`
}

// ParseTicket decodes a ticket and validates it as far as this is possible without the
// configuration that it changes. The error is of type Findings.
func ParseTicket(data []byte) (Ticket, error) {
	var ticket Ticket
	findings, isReadable := DecodeStrict(data, MaxTicketSize, &ticket)
	if !isReadable {
		return Ticket{}, findings
	}
	return ticket, append(findings, ticket.Validate()...).Err()
}
