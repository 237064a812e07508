package caller

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

const (
	// storeDialTimeout limits the opening of a connection to the store.
	storeDialTimeout = time.Second
	// maxStoreBody limits the body of an answer. A page of a list has about a megabyte.
	maxStoreBody = 4 * core.Mebibyte
)

// StoreClient makes calls to the platform's store. Watches, which the store may hold open,
// have connections of their own.
type StoreClient struct {
	// Address is the store's IP address and port.
	Address string
	// OnCall is called with the operation of each call before it is made; it may be nil.
	OnCall func(operation string)

	client      fasthttp.Client
	watchClient fasthttp.Client
}

// NewStoreClient returns a client of the store at an IP address and port.
func NewStoreClient(address string, dial DialFunc) *StoreClient {
	dialStore := func(addr string) (net.Conn, error) { return dial("tcp", addr, storeDialTimeout) }
	return &StoreClient{Address: address, client: newHTTPClient(dialStore), watchClient: newHTTPClient(dialStore)}
}

func newHTTPClient(dial fasthttp.DialFunc) fasthttp.Client {
	return fasthttp.Client{
		Dial:                dial,
		MaxResponseBodySize: int(maxStoreBody),
		// The library must not retry: a call without an answer may have been executed.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Do makes a call, whose address is that of the client, and decodes its response into
// target, unless target is nil. For the errors see StoreCall.Do.
func (c *StoreClient) Do(call StoreCall, target any) error {
	if c.OnCall != nil {
		c.OnCall(call.Operation)
	}
	client := &c.client
	if call.Wait > 0 {
		client = &c.watchClient
	}
	call.Address = c.Address
	return call.Do(client, call.Wait+StoreTimeout, target)
}
