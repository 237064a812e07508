package core

import "net/netip"

// RegionName names a region.
type RegionName string

// ZoneName names an availability zone. It is unique over all regions.
type ZoneName string

// Zone is an availability zone and its region.
type Zone struct {
	Name   ZoneName   `json:"name" cbor:"1,keyasint"`
	Region RegionName `json:"region" cbor:"2,keyasint"`
}

// Link is the network link from one region to another.
type Link struct {
	From RegionName `json:"from"`
	To   RegionName `json:"to"`
}

// LinkCap is the rate limit of a link, which all traffic on it shares.
type LinkCap struct {
	Link
	Cap BitsPerSecond `json:"cap-bits"`
	// Slots is the number of hosts of region From that may send on the link at a time;
	// 0 means DefaultLinkSlots.
	Slots int `json:"slots,omitempty"`
}

// DefaultLinkSlots is the number of slots of a link for which the configuration states
// none. It allows hosts that replace others to start before the slots of the old hosts
// are reclaimed, that is, before their holders have failed to renew them for long enough.
const DefaultLinkSlots = 8

// SlotCount returns the number of slots that the rate limit is divided over.
func (l LinkCap) SlotCount() int {
	if l.Slots <= 0 {
		return DefaultLinkSlots
	}
	return l.Slots
}

// AddressBlock is a range of client addresses and the availability zone nearest to it.
type AddressBlock struct {
	Prefix netip.Prefix `json:"prefix"`
	Zone   ZoneName     `json:"zone"`
}
