package core

import (
	"encoding/binary"
	"hash/fnv"
)

// KnownUpstreams identifies the list of upstreams that a host knew when it entered an era of the
// store. The zero value stands for none.
type KnownUpstreams struct {
	// Era and Revision are those at which the store had the list.
	Era      Era    `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Digest is equal for lists of the same upstreams in the same states. Revisions also differ
	// between hosts that know the same.
	Digest uint32 `cbor:"3,keyasint"`
}

// NewKnownUpstreams returns the identity of a list that is sorted by name.
func NewKnownUpstreams(era Era, revision uint64, list []Upstream) KnownUpstreams {
	digest := fnv.New32a()
	for _, u := range list {
		state := []byte{0, 0}
		if u.Draining {
			state[1] = 1
		}
		entry := append([]byte(u.Name), state...)
		_, _ = digest.Write(binary.BigEndian.AppendUint64(entry, uint64(u.Incarnation)))
	}
	return KnownUpstreams{Era: era, Revision: revision, Digest: digest.Sum32()}
}

// IsBehind reports whether the other list is a later one with other contents.
func (k KnownUpstreams) IsBehind(other KnownUpstreams) bool {
	if k.Digest == other.Digest {
		return false
	}
	if k.Era != other.Era {
		return k.Era < other.Era
	}
	return k.Revision < other.Revision
}
