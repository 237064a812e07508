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
	// UpstreamsSettling and EvacuationsSettling say that these parts differ from the store's
	// by what a host knew before the store was restored.
	UpstreamsSettling   bool `cbor:"7,keyasint,omitempty" json:"upstreams-settling,omitempty"`
	EvacuationsSettling bool `cbor:"8,keyasint,omitempty" json:"evacuations-settling,omitempty"`
}

// IsBehind reports whether at least one part of the other copy is newer.
func (r Revisions) IsBehind(other Revisions) bool {
	if r.Policy < other.Policy || r.Era < other.Era {
		return true
	}
	return r.HasOlderUpstreams(other) || r.HasOlderEvacuations(other) || r.Era == other.Era && r.Hosts < other.Hosts
}

// HasOlderUpstreams reports whether the upstreams of the other copy are newer than those
// of this one: they are of a later era, or have a higher revision in the same era, or the
// same revision and differ less from what the store lists.
func (r Revisions) HasOlderUpstreams(other Revisions) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	if r.Upstreams != other.Upstreams {
		return r.Upstreams < other.Upstreams
	}
	return r.upstreamsStage() > other.upstreamsStage()
}

// upstreamsStage returns how many of the differences between the upstreams and the store's
// are still to end. Upstreams that may have expired are removed first.
func (r Revisions) upstreamsStage() int {
	switch {
	case r.MayIncludeExpired && r.UpstreamsSettling:
		return 3
	case r.MayIncludeExpired:
		return 2
	case r.UpstreamsSettling:
		return 1
	default:
		return 0
	}
}

// HasOlderEvacuations reports whether the evacuated zones of the other copy are newer than
// those of this one, as HasOlderUpstreams does for upstreams.
func (r Revisions) HasOlderEvacuations(other Revisions) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	if r.Evacuations != other.Evacuations {
		return r.Evacuations < other.Evacuations
	}
	return r.EvacuationsSettling && !other.EvacuationsSettling
}
