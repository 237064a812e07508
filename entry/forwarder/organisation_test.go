package forwarder_test

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// guild is an organisation with the key k-guild.
func guild() core.OrganisationPolicy {
	return core.OrganisationPolicy{Name: "guild", Keys: []core.KeyDigest{core.DigestKey([]byte("k-guild"))}}
}

// setOrganisations gives the host a policy with one route, for one service, and organisations.
func (h *testHost) setOrganisations(version uint64, route core.Route, organisations ...core.OrganisationPolicy) {
	route.Hostname, route.WeightedServices = "desk.example", []core.WeightedService{{Service: "desk", Weight: 1}}
	policy := core.NewRoutingPolicy(version, []core.Route{route}, nil, core.ClientLimits{BodyBytes: core.Mebibyte})
	h.SetPolicy(policy.WithOrganisations(organisations, false))
}

// post sends a request with further header fields and returns the response.
func (h *testHost) post(t *testing.T, fields ...string) *fasthttp.Response {
	t.Helper()
	c := h.dial(t)
	_, _ = io.WriteString(c, "POST /o/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nDeadline-Ms: 3000\r\n"+
		strings.Join(append(fields, ""), "\r\n")+"Content-Length: 4\r\n\r\nbody")
	response, err := c.receive()
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestOrganisationOfRequest checks the status of requests with and without a key, and that the
// upstream gets the organisation in place of the key and of what the client sent under its name.
func TestOrganisationOfRequest(t *testing.T) {
	anonymous := orderRoute
	anonymous.IsAnonymous = true
	tests := []struct {
		name   string
		route  core.Route
		fields []string
		status int
		// want is what the upstream gets as the organisation, empty for none.
		want string
	}{
		{"known key", orderRoute, []string{"Authorization: Bearer k-guild"}, 200, "guild"},
		{"forged organisation", orderRoute, []string{"Authorization: Bearer k-guild", "organisation: other", "ORGANISATION: x"}, 200, "guild"},
		{"unknown key", orderRoute, []string{"Authorization: Bearer k-other"}, 401, ""},
		{"no key", orderRoute, nil, 401, ""},
		{"repeated key", orderRoute, []string{"Authorization: Bearer k-guild", "authorization: Bearer k-guild"}, 401, ""},
		{"no key is needed", anonymous, nil, 200, ""},
		{"a key that is not needed", anonymous, []string{"Authorization: Bearer k-guild", "Organisation: guild"}, 200, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{response: completeResponse}
			h := newHost(t, tt.route, u)
			h.setOrganisations(4, tt.route, guild())
			response := h.post(t, tt.fields...)
			is.Equal(response.StatusCode(), tt.status)
			is.Equal(u.requests.Load() == 1, tt.status == 200)
			if tt.status != 200 {
				is.Equal(string(response.Header.Peek("WWW-Authenticate")), "Bearer")
				return
			}
			head := strings.ToLower(*u.head.Load())
			is.True(!strings.Contains(head, "authorization") && !strings.Contains(head, "k-guild"))
			is.Equal(strings.Count(head, "\norganisation:"), min(len(tt.want), 1))
			is.Equal(strings.Contains(head, "organisation: "+tt.want+"\r\n"), tt.want != "")
		})
	}
}

// TestCredentialsWithoutOrganisations checks that a policy without organisations changes no
// field of a request.
func TestCredentialsWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, u)
	is.Equal(h.post(t, "Authorization: Basic abc", "Organisation: guild").StatusCode(), 200)
	is.True(strings.Contains(*u.head.Load(), "Authorization: Basic abc"))
	is.True(strings.Contains(*u.head.Load(), "Organisation: guild"))
}

// TestUnconfirmedKey checks that a host that may not know of a withdrawn key refuses requests
// with keys, and serves those that need none.
func TestUnconfirmedKey(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, u)
	h.Authenticator.MaxAge = time.Second // before the first request
	h.setOrganisations(4, orderRoute, guild())
	response := h.post(t, "Authorization: Bearer k-guild")
	is.Equal(response.StatusCode(), 503)
	is.True(len(response.Header.Peek("Retry-After")) > 0)
	is.Equal(u.requests.Load(), int32(0))
	anonymous := orderRoute
	anonymous.IsAnonymous = true
	h.setOrganisations(5, anonymous, guild())
	is.Equal(h.post(t).StatusCode(), 200)
}

// TestHomeRegionsOfOrganisation checks that a request runs only where its route and its
// organisation both allow it, and is refused at once if that is nowhere.
func TestHomeRegionsOfOrganisation(t *testing.T) {
	tests := []struct {
		name                string
		route, organisation []core.RegionName
		status              int
		cause               string
	}{
		{"the upstream's region", nil, []core.RegionName{"for"}, 200, ""},
		{"both", []core.RegionName{"for", "nat"}, []core.RegionName{"slz", "for"}, 200, ""},
		{"only that of the route", []core.RegionName{"for"}, []core.RegionName{"nat", "for"}, 200, ""},
		{"elsewhere", nil, []core.RegionName{"nat"}, 503, "no-room"},
		{"elsewhere in common", []core.RegionName{"for", "nat"}, []core.RegionName{"nat"}, 503, "no-room"},
		{"none in common", []core.RegionName{"for"}, []core.RegionName{"nat"}, 503, "no-home-region"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{response: completeResponse}
			route, organisation := orderRoute, guild()
			route.HomeRegions, organisation.HomeRegions = tt.route, tt.organisation
			h := newHost(t, route, u)
			h.setOrganisations(4, route, organisation)
			is.Equal(h.post(t, "Authorization: Bearer k-guild").StatusCode(), tt.status)
			is.Equal(u.requests.Load() == 1, tt.status == 200)
			if tt.status != 200 {
				is.Equal(h.lastFailure.Load().Cause, tt.cause)
			}
		})
	}
}

// TestPolicyChangesWhileRequestWaits guards against a request that is sent by a policy that is no
// longer in force: its key is withdrawn, its route dropped or its home moved while it is held for
// a cold upstream.
func TestPolicyChangesWhileRequestWaits(t *testing.T) {
	moved, dropped := orderRoute, orderRoute
	moved.HomeRegions, dropped.Prefix = []core.RegionName{"nat"}, "/other/"
	tests := []struct {
		name   string
		route  core.Route
		keys   []core.KeyDigest
		status int
	}{
		{"key withdrawn", orderRoute, nil, 401},
		{"route dropped", dropped, guild().Keys, 404},
		{"home moved", moved, guild().Keys, 503},
		{"nothing that matters", orderRoute, guild().Keys, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{response: completeResponse}
			h := newHost(t, orderRoute, u)
			h.setOrganisations(4, orderRoute, guild())
			h.placer.MarkCold("desk-0", time.Minute, time.Now())
			// Each of these takes the whole share of the cold upstream for a moment.
			sent := u.requests.Load()
			for i := 0; i < 100 && u.requests.Load() == sent+int32(i); i++ {
				is.Equal(h.post(t, "Authorization: Bearer k-guild").StatusCode(), 200)
				organisation := guild()
				organisation.Keys = tt.keys
				answered := make(chan int)
				go func() { answered <- h.post(t, "Authorization: Bearer k-guild", "Case: "+strconv.Itoa(i)).StatusCode() }()
				time.Sleep(5 * time.Millisecond)
				before := u.requests.Load()
				h.setOrganisations(uint64(5+2*i), tt.route, organisation)
				status := <-answered
				if before == sent+int32(i)+1 { // The request was held when the policy changed.
					is.Equal(status, tt.status)
					is.Equal(u.requests.Load() > before, tt.status == 200)
					return
				}
				h.setOrganisations(uint64(6+2*i), orderRoute, guild())
				sent = u.requests.Load() - int32(i) - 1
			}
			t.Fatal("no request was held")
		})
	}
}

// TestRefusedBeforeBody checks that a client that sends a long body gets the whole refusal that was
// decided by its header, and that what it sends on is not taken for another request.
func TestRefusedBeforeBody(t *testing.T) {
	is := is.New(t)
	const length = 4 << 20
	u := &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, u)
	h.setOrganisations(4, orderRoute, guild())
	for i := range 10 {
		c := h.dial(t)
		_, _ = io.WriteString(c, "POST /o/"+strconv.Itoa(i)+" HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n"+
			"Authorization: Bearer k-other\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n")
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			line := []byte(strings.Repeat("GET /o/smuggled HTTP/1.1\r\nHost: desk.example\r\n\r\n", 64))
			var err error
			for n := 0; n < length && err == nil; n += len(line) {
				_, err = c.Write(line[:min(len(line), length-n)])
			}
		}()
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), 401)
		<-sent
	}
	is.Equal(u.requests.Load(), int32(0))
}
