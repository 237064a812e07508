package caller

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/receiver"
)

const (
	// storeDialTimeout limits the opening of a connection to the store.
	storeDialTimeout = time.Second
	// confirmationTimeout limits the call that confirms an era, since the call that named it
	// waits for it.
	confirmationTimeout = 500 * time.Millisecond
	// maxStoreBody limits the body of an answer. A page of a list has about a megabyte.
	maxStoreBody = 4 * core.Mebibyte
)

// StoreClient makes calls to the platform's store. Watches, which the store may hold open,
// have connections of their own.
//
// The store may come back from an older copy, in a later era (see core.Era). The client reads
// the era of each answer and discards answers of an era before the latest. An answer of a later
// era is used once a second answer, to a call on another connection, names the same era.
type StoreClient struct {
	// Address is the store's IP address and port.
	Address string
	// EraHeader is the name of the header field in which the store's answers name its era.
	// If it is empty, no answer names one.
	EraHeader string
	// ConfirmationPath is the path of a cheap read with which a later era is confirmed at once. If
	// it is empty, the next answer of any call confirms it.
	ConfirmationPath string
	Eras             EraTracker
	// OnCall is called with the operation of each call before it is made; it may be nil.
	OnCall func(operation string)
	// OnMalformed is called with the store's address for each answer that is no valid response;
	// it may be nil.
	OnMalformed func(address string, err error)

	client      fasthttp.Client
	watchClient fasthttp.Client
	// confirmClient has connections of its own: a fault of the one that named an era must not
	// confirm it.
	confirmClient fasthttp.Client
}

// NewStoreClient returns a client of the store at an IP address and port.
func NewStoreClient(address string, dial DialFunc) *StoreClient {
	dialStore := func(addr string) (net.Conn, error) { return dial("tcp", addr, storeDialTimeout) }
	c := &StoreClient{Address: address}
	transport := &receiver.Transport{OnMalformed: c.notifyMalformed}
	c.client = newHTTPClient(dialStore, transport)
	c.watchClient = newHTTPClient(dialStore, transport)
	c.confirmClient = newHTTPClient(dialStore, transport)
	return c
}

func (c *StoreClient) notifyMalformed(address string, err error) {
	if c.OnMalformed != nil {
		c.OnMalformed(address, err)
	}
}

func newHTTPClient(dial fasthttp.DialFunc, transport fasthttp.RoundTripper) fasthttp.Client {
	return fasthttp.Client{
		Transport:           transport,
		Dial:                dial,
		MaxResponseBodySize: int(maxStoreBody),
		// The library must not retry: a call without an answer may have been executed.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Do makes a call, whose address is that of the client, and decodes its response into
// target, unless target is nil. It returns the era of the response. For the errors see
// StoreCall.Do; a usable response of an era before the latest, or of one that is not
// confirmed, yields core.ErrEarlierEra.
func (c *StoreClient) Do(call StoreCall, target any) (core.Era, error) {
	if c.OnCall != nil {
		c.OnCall(call.Operation)
	}
	client := &c.client
	if call.Wait > 0 {
		client = &c.watchClient
	}
	call.Address, call.header = c.Address, c.EraHeader
	sent := c.Eras.Latest()
	value, err := call.send(client, call.Wait+StoreTimeout, target)
	era, isConfirmed := c.Eras.recordHeader(value, sent)
	if !isConfirmed {
		isConfirmed = c.confirm(era, value)
	}
	if !isConfirmed && !core.IsPlatform(err) {
		return era, core.ErrEarlierEra.New("%s %s: no other response confirms era %d", call.Method, call.Path, era)
	}
	if latest := c.Eras.Latest(); era < latest && !core.IsPlatform(err) {
		return era, core.ErrEarlierEra.New("%s %s: response of era %d after one of era %d", call.Method, call.Path, era, latest)
	}
	return era, err
}

// confirm makes a second call that may confirm the era that a header value names, and reports
// whether the era is confirmed.
func (c *StoreClient) confirm(era core.Era, value string) bool {
	if c.ConfirmationPath != "" {
		call := StoreCall{Operation: "get", Method: fasthttp.MethodGet, Address: c.Address, Path: c.ConfirmationPath, header: c.EraHeader}
		if c.OnCall != nil {
			c.OnCall(call.Operation)
		}
		second, _ := call.send(&c.confirmClient, confirmationTimeout, nil)
		if c.Eras.recordConfirmation(era, second) {
			return true
		}
	}
	c.Eras.reportInvalid(value)
	return false
}

// DoInEra makes a call that states a revision read in the given era. If the era has ended
// before the call, no call is made; if it ended since, the response is not used. The error
// is then of type core.ErrConflict, since the object must be read again.
func (c *StoreClient) DoInEra(era core.Era, call StoreCall, target any) error {
	if latest := c.Eras.Latest(); latest != era {
		return c.conflictOfEras(call, era, latest)
	}
	_, err := c.Do(call, target)
	if latest := c.Eras.Latest(); latest != era && !core.IsPlatform(err) {
		return c.conflictOfEras(call, era, latest)
	}
	return err
}

func (c *StoreClient) conflictOfEras(call StoreCall, era, latest core.Era) error {
	return core.ErrConflict.New("%s %s: revision of era %d in era %d", call.Method, call.Path, era, latest)
}
