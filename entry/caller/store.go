package caller

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// StoreTimeout limits a call to the platform's store, beside the time for which a watch may
// wait.
const StoreTimeout = 1500 * time.Millisecond

// StoreCall is one HTTP request to the platform's store, which holds JSON objects.
type StoreCall struct {
	// Operation is the name of the kind of call for StoreClient.OnCall.
	Operation string
	Method    string
	// Address is the store's IP address and port.
	Address string
	Path    string
	// Query is the encoded query; empty sends none.
	Query string
	// Body is JSON; nil sends none.
	Body []byte
	// Wait is how long the store may hold a watch open. StoreClient adds it to the timeout.
	Wait time.Duration
	// header is the name of a header field of the response whose value send returns.
	header string
}

// Do sends the request and waits for the response until the timeout. It decodes the JSON
// body into target, unless target is nil. The error is of type core.ErrNotFound,
// ErrConflict or ErrHistoryGone if the store says so, and of type core.ErrPlatform after
// any other failure of the store or of the call. After ErrPlatform a write may have taken
// effect. Values in the body that are nested too deeply are taken for null.
func (c StoreCall) Do(client *fasthttp.Client, timeout time.Duration, target any) error {
	_, err := c.send(client, timeout, target)
	return err
}

// send does what Do does. It also returns the value of the header field, which is empty if
// the response lacks it or there is no response.
func (c StoreCall) send(client *fasthttp.Client, timeout time.Duration, target any) (string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(c.Method)
	uri := "http://" + c.Address + c.Path
	if c.Query != "" {
		uri += "?" + c.Query
	}
	request.SetRequestURI(uri)
	if c.Body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(c.Body)
	}
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return "", core.ErrPlatform.Wrap(err, "%s %s", c.Method, c.Path)
	}
	return string(response.Header.Peek(c.header)), c.decode(response, target)
}

// decode checks the status of a response and decodes its body into target.
func (c StoreCall) decode(response *fasthttp.Response, target any) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent:
	case fasthttp.StatusNotFound:
		return core.ErrNotFound.New("%s %s", c.Method, c.Path)
	case fasthttp.StatusConflict:
		return core.ErrConflict.New("%s %s", c.Method, c.Path)
	case fasthttp.StatusGone:
		return core.ErrHistoryGone.New("%s %s", c.Method, c.Path)
	default:
		return core.ErrPlatform.New("%s %s: status %d", c.Method, c.Path, status)
	}
	if target == nil {
		return nil
	}
	if err := decodeJSON(response.Body(), target); err != nil {
		return core.ErrPlatform.Wrap(err, "%s %s", c.Method, c.Path)
	}
	return nil
}

// decodeJSON decodes a body into target. Values that are nested too deeply to be decoded
// are taken for null.
func decodeJSON(body []byte, target any) error {
	err := json.Unmarshal(body, target)
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return err
	}
	return json.Unmarshal(pruneNesting(body), target)
}
