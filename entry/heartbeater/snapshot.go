package heartbeater

import (
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

// SnapshotPath is where a host serves its copy of the store to other hosts. The
// query names what the asking host holds; without one the copy is whole.
const SnapshotPath = "/v1/snapshot"

// Names of the query of SnapshotPath.
const (
	queryPolicy      = "policy"
	queryUpstreams   = "upstreams"
	queryEvacuations = "evacuations"
	queryHosts       = "hosts"
	queryLapsed      = "has-lapsed"
)

// EncodeHeld returns the query that names what a host holds.
func EncodeHeld(held core.Revisions) string {
	query := url.Values{}
	query.Set(queryPolicy, strconv.FormatUint(held.Policy, 10))
	query.Set(queryUpstreams, strconv.FormatUint(held.Upstreams, 10))
	query.Set(queryEvacuations, strconv.FormatUint(held.Evacuations, 10))
	query.Set(queryHosts, strconv.FormatUint(held.Hosts, 10))
	query.Set(queryLapsed, strconv.FormatBool(held.HasLapsed))
	return query.Encode()
}

// DecodeHeld returns what a query names. What it does not name, or not as a
// number, counts as never read, so that the answer holds it.
func DecodeHeld(query func(name string) string) core.Revisions {
	number := func(name string) uint64 {
		value, err := strconv.ParseUint(query(name), 10, 64)
		if err != nil {
			return 0
		}
		return value
	}
	return core.Revisions{
		Policy:      number(queryPolicy),
		Upstreams:   number(queryUpstreams),
		Evacuations: number(queryEvacuations),
		Hosts:       number(queryHosts),
		HasLapsed:   query(queryLapsed) == "true",
	}
}

// maxSnapshot bounds a copy.
const maxSnapshot = 16 * core.Mebibyte

// Fetcher gets copies of the store from other hosts.
type Fetcher struct {
	client fasthttp.Client
}

// Fetch returns what the copy of the host at an address has beyond the given
// revisions. The error is of type core.ErrPeer.
func (f *Fetcher) Fetch(address string, held core.Revisions, timeout time.Duration) (replicator.Snapshot, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + SnapshotPath + "?" + EncodeHeld(held))
	f.client.MaxResponseBodySize = int(maxSnapshot)
	if err := f.client.DoTimeout(request, response, timeout); err != nil {
		return replicator.Snapshot{}, core.ErrPeer.Wrap(err, "snapshot from %s", address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return replicator.Snapshot{}, core.ErrPeer.New("snapshot from %s: status %d", address, response.StatusCode())
	}
	var snapshot replicator.Snapshot
	if err := cbor.Unmarshal(response.Body(), &snapshot); err != nil {
		return replicator.Snapshot{}, core.ErrPeer.Wrap(err, "snapshot from %s", address)
	}
	return snapshot, nil
}

// EncodeSnapshot returns a copy as Fetch reads it.
func EncodeSnapshot(snapshot replicator.Snapshot) ([]byte, error) {
	return cbor.Marshal(snapshot)
}
