package core_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestAddressAt checks that the host's IP address gets the port of the other address.
func TestAddressAt(t *testing.T) {
	is := is.New(t)
	host := core.Host{PeerAddress: "10.1.0.34:7540"}
	is.Equal(host.AddressWithPortOf("10.9.9.9:8544"), "10.1.0.34:8544")
	is.Equal(host.AddressWithPortOf("nowhere"), "")
	is.Equal(core.Host{}.AddressWithPortOf("10.9.9.9:8544"), "")
}
