package core

// Revisions are the revisions of the parts of a host's copy of the store; 0 where a
// part was never read.
type Revisions struct {
	// Policy is the version of the routing policy. The other numbers are revisions of
	// the store.
	Policy      uint64 `cbor:"1,keyasint" json:"policy"`
	Upstreams   uint64 `cbor:"2,keyasint" json:"upstreams"`
	Evacuations uint64 `cbor:"3,keyasint" json:"evacuations"`
	Hosts       uint64 `cbor:"4,keyasint" json:"hosts"`
	// MayIncludeExpired says that the copy holds upstreams whose registrations may have expired.
	MayIncludeExpired bool `cbor:"5,keyasint,omitempty" json:"has-lapsed,omitempty"`
}

// IsBehind reports whether at least one part of the other copy is newer.
func (r Revisions) IsBehind(other Revisions) bool {
	return r.Policy < other.Policy || r.HasOlderUpstreams(other) ||
		r.Evacuations < other.Evacuations || r.Hosts < other.Hosts
}

// HasOlderUpstreams reports whether the other copy's upstreams are newer: those of a
// later revision, or those of the same revision without upstreams that may have
// expired.
func (r Revisions) HasOlderUpstreams(other Revisions) bool {
	return r.Upstreams < other.Upstreams ||
		r.Upstreams == other.Upstreams && r.MayIncludeExpired && !other.MayIncludeExpired
}
