package heartbeater

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endiverun/endiverun/core"
)

// ConfirmationPath is the path under which a host tells other hosts as of when it knows which
// routing policy is the newest.
const ConfirmationPath = "/v1/policy-confirmation"

// Confirmation says which version of the routing policy was the newest, and how long ago.
type Confirmation struct {
	Version uint64        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	// IsKnown is false if the host never knew; the other fields are then unset.
	IsKnown bool `cbor:"3,keyasint"`
	// Era is the latest era of the store of which the host has heard, 0 if the store names none,
	// and EraAge how long ago hosts first did.
	Era    core.Era      `cbor:"4,keyasint,omitempty"`
	EraAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// Encode returns the confirmation in the encoding that FetchConfirmation reads.
func (c Confirmation) Encode() ([]byte, error) {
	return cbor.Marshal(c)
}

// FetchConfirmation asks the host at the address. The error is of type core.ErrPeer.
func (f *Fetcher) FetchConfirmation(address string, timeout time.Duration) (Confirmation, error) {
	return get[Confirmation](f, address, ConfirmationPath, timeout)
}
