package core

// Era numbers the times between which the platform's store came back from an older copy. What
// was written after that copy is lost, and its revisions are given out again, so only
// revisions of one era can be compared. A later era has a higher number; 0 means that the
// store names no era.
type Era uint64

// Revisions are the revisions of the parts of a host's copy of the platform's store; 0
// where a part was never read. They tell how new the copy is.
type Revisions struct {
	// Policy is the version that the routing policy itself states. The other numbers are
	// revisions of the store.
	Policy      uint64 `cbor:"1,keyasint" json:"policy"`
	Upstreams   uint64 `cbor:"2,keyasint" json:"upstreams"`
	Evacuations uint64 `cbor:"3,keyasint" json:"evacuations"`
	Hosts       uint64 `cbor:"4,keyasint" json:"hosts"`
	// MayIncludeExpired says that the copy holds upstreams whose registrations may have expired.
	MayIncludeExpired bool `cbor:"5,keyasint,omitempty" json:"has-lapsed,omitempty"`
	// Era is the era of the store to which Upstreams, Evacuations and Hosts belong.
	Era Era `cbor:"6,keyasint,omitempty" json:"era,omitempty"`
}

// IsBehind reports whether at least one part of the other copy is newer.
func (r Revisions) IsBehind(other Revisions) bool {
	return r.Policy < other.Policy || r.HasOlderUpstreams(other) ||
		r.Evacuations < other.Evacuations || r.Hosts < other.Hosts
}

// HasOlderUpstreams reports whether the upstreams of the other copy are newer than those
// of this one: they have a higher revision, or the same revision and only this copy
// holds upstreams that may have expired.
func (r Revisions) HasOlderUpstreams(other Revisions) bool {
	return r.Upstreams < other.Upstreams ||
		r.Upstreams == other.Upstreams && r.MayIncludeExpired && !other.MayIncludeExpired
}
