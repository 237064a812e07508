package core

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
)

// Number orders tickets; the first is 1.
type Number uint64

// MaxTicketLength is the largest encoded ticket, below the store's limit for a
// value.
const MaxTicketLength = 900 * Kibibyte

// Ticket is a numbered change. Each item in it is the whole new state of the
// service, zone, upstream, link or block that it names.
type Ticket struct {
	Number     Number      `json:"number"`
	Author     string      `json:"author"`
	Reason     string      `json:"reason,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Zones      []Zone      `json:"zones,omitempty"`
	Upstreams  []Upstream  `json:"upstreams,omitempty"`
	Links      []LinkCap   `json:"links,omitempty"`
	Blocks     []Block     `json:"blocks,omitempty"`
	Objectives *Objectives `json:"objectives,omitempty"`
	Remove     Removal     `json:"remove,omitzero"`
}

// Removal names what a ticket takes out of the configuration.
type Removal struct {
	Services  []ServiceName  `json:"services,omitempty"`
	Zones     []ZoneName     `json:"zones,omitempty"`
	Upstreams []UpstreamName `json:"upstreams,omitempty"`
	Links     []Link         `json:"links,omitempty"`
	Blocks    []netip.Prefix `json:"blocks,omitempty"`
}

// ParseTicket decodes a ticket and checks what can be checked without the
// configuration that it changes. The error is of type Findings.
func ParseTicket(data []byte) (Ticket, error) {
	var ticket Ticket
	if err := DecodeStrict(data, MaxTicketLength, &ticket); err != nil {
		return Ticket{}, err
	}
	return ticket, ticket.Check().Err()
}

// DecodeStrict decodes exactly one JSON value without unknown fields. The
// error is of type Findings.
func DecodeStrict(data []byte, limit Bytes, target any) error {
	var findings Findings
	if Bytes(len(data)) > limit {
		findings.Addf("", "%d bytes are more than the limit of %d", len(data), limit)
		return findings
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		findings.Addf(pointerOf(err), "%s", err.Error())
		return findings
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.Addf("", "more data after the value")
	}
	return findings.Err()
}

// pointerOf returns the place that a decoding error names, if it names one.
func pointerOf(err error) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) || typeError.Field == "" {
		return ""
	}
	parts := bytes.Split([]byte(typeError.Field), []byte("."))
	words := make([]any, 0, len(parts))
	for _, p := range parts {
		words = append(words, string(p))
	}
	return Pointer(words...)
}
