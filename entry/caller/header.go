package caller

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// hopHeaders are the fields that each hop makes anew, in lower case.
var hopHeaders = map[string]bool{
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

// ownPrefix begins the names of the system's own fields.
const ownPrefix = "endiverun-"

// IsHopHeader reports whether a field is not passed on.
func IsHopHeader(name string) bool {
	lower := strings.ToLower(name)
	return hopHeaders[lower] || strings.HasPrefix(lower, ownPrefix)
}

// Digest returns the value of a Content-Digest field (RFC 9530) for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
