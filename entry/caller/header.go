package caller

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// notForwarded are the header fields that are not forwarded, in lower case. Each host and
// upstream removes them or sets its own values.
var notForwarded = map[string]bool{
	"connection":          true,
	"content-length":      true,
	"date":                true,
	"host":                true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"server":              true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"expect":              true,
	"content-digest":      true,
	"idempotency-key":     true,
	"traceparent":         true,
}

// internalPrefix starts the names of the header fields that only hosts and upstreams
// use among themselves.
const internalPrefix = "endiverun-"

// IsHopByHopHeader reports whether a header field is not forwarded, since each hop
// removes it or sets its own value.
func IsHopByHopHeader(name string) bool {
	lower := strings.ToLower(name)
	return notForwarded[lower] || strings.HasPrefix(lower, internalPrefix)
}

// ContentDigest returns the SHA-256 digest of a body in the syntax of RFC 9530.
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
