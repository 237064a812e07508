package caller

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// StoreCall is one call to a store of objects.
type StoreCall struct {
	Method string
	// Address is the store's IP address and port, Path what is called there.
	Address string
	Path    string
	Query   string
	// Body is JSON; nil sends none.
	Body []byte
}

// Do makes the call within the timeout and decodes the answer into target, unless
// that is nil. The error is of type core.ErrNotFound, ErrConflict, ErrHistoryGone
// or ErrPlatform; after the last one a write may have taken effect.
func (c StoreCall) Do(client *fasthttp.Client, timeout time.Duration, target any) error {
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
		return core.ErrPlatform.Wrap(err, "%s %s", c.Method, c.Path)
	}
	return c.read(response, target)
}

func (c StoreCall) read(response *fasthttp.Response, target any) error {
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
	if err := json.Unmarshal(response.Body(), target); err != nil {
		return core.ErrPlatform.Wrap(err, "%s %s", c.Method, c.Path)
	}
	return nil
}
