package heartbeater

import (
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/receiver"
)

// SnapshotPath is the path under which a host serves its snapshot of the store to
// other hosts. The query holds the revisions that the other host has; the response
// then leaves out what has not changed since. Without a query the snapshot is full.
const SnapshotPath = "/v1/snapshot"

// Query parameters of SnapshotPath.
const (
	queryPolicy      = "policy"
	queryUpstreams   = "upstreams"
	queryEvacuations = "evacuations"
	queryHosts       = "hosts"
	queryHasExpired  = "has-lapsed"
	queryEra         = "era"

	queryUpstreamsSettling   = "upstreams-settling"
	queryEvacuationsSettling = "evacuations-settling"
)

// EncodeRevisions returns the query of SnapshotPath with the revisions that a host has.
func EncodeRevisions(held core.Revisions) string {
	query := url.Values{}
	query.Set(queryPolicy, strconv.FormatUint(held.Policy, 10))
	query.Set(queryUpstreams, strconv.FormatUint(held.Upstreams, 10))
	query.Set(queryEvacuations, strconv.FormatUint(held.Evacuations, 10))
	query.Set(queryHosts, strconv.FormatUint(held.Hosts, 10))
	query.Set(queryHasExpired, strconv.FormatBool(held.MayIncludeExpired))
	if held.Era > 0 {
		query.Set(queryEra, strconv.FormatUint(uint64(held.Era), 10))
	}
	if held.UpstreamsSettling {
		query.Set(queryUpstreamsSettling, "true")
	}
	if held.EvacuationsSettling {
		query.Set(queryEvacuationsSettling, "true")
	}
	return query.Encode()
}

// DecodeRevisions returns the revisions in a query of SnapshotPath, one for each part of
// the snapshot. If the revision of a part is missing or invalid, the part counts as never
// read by the other host, so that the response includes it.
func DecodeRevisions(query func(name string) string) core.Revisions {
	revision := func(name string) uint64 {
		value, err := strconv.ParseUint(query(name), 10, 64)
		if err != nil {
			return 0
		}
		return value
	}
	return core.Revisions{
		Policy:            revision(queryPolicy),
		Upstreams:         revision(queryUpstreams),
		Evacuations:       revision(queryEvacuations),
		Hosts:             revision(queryHosts),
		MayIncludeExpired: query(queryHasExpired) == "true",
		Era:               core.Era(revision(queryEra)),

		UpstreamsSettling:   query(queryUpstreamsSettling) == "true",
		EvacuationsSettling: query(queryEvacuationsSettling) == "true",
	}
}

// maxSnapshotSize is the largest snapshot that Fetch reads, in bytes.
const maxSnapshotSize = 16 * core.Mebibyte

// Fetcher fetches snapshots of the store from other hosts.
type Fetcher struct {
	// OnMalformed is called with the address of a host that sends bytes that are no valid
	// response; it may be nil.
	OnMalformed func(address string, err error)

	init   sync.Once
	client fasthttp.Client
}

// prepare sets up the HTTP client.
func (f *Fetcher) prepare() {
	f.client.Transport = &receiver.Transport{OnMalformed: f.OnMalformed}
	f.client.MaxResponseBodySize = int(maxSnapshotSize)
}

// Fetch returns the parts of the snapshot of the host at the address that are newer
// than the held revisions. The error is of type core.ErrPeer.
func (f *Fetcher) Fetch(address string, held core.Revisions, timeout time.Duration) (replicator.Snapshot, error) {
	return get[replicator.Snapshot](f, address, SnapshotPath+"?"+EncodeRevisions(held), timeout)
}

// get returns what another host answers at a path, decoded.
func get[T any](f *Fetcher, address, path string, timeout time.Duration) (T, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	f.init.Do(f.prepare)
	var none, answer T
	if err := f.client.DoTimeout(request, response, timeout); err != nil {
		return none, core.ErrPeer.Wrap(err, "%s from %s", path, address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return none, core.ErrPeer.New("%s from %s: status %d", path, address, response.StatusCode())
	}
	if err := cbor.Unmarshal(response.Body(), &answer); err != nil {
		return none, core.ErrPeer.Wrap(err, "%s from %s", path, address)
	}
	return answer, nil
}

// EncodeSnapshot returns a snapshot in the encoding that Fetch reads.
func EncodeSnapshot(snapshot replicator.Snapshot) ([]byte, error) {
	return cbor.Marshal(snapshot)
}
