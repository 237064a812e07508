package messenger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
)

// CallKind is what a host asks of another.
type CallKind uint8

// The kinds of calls.
const (
	// CallForward asks to run a request at once at an owned upstream.
	CallForward CallKind = iota + 1
	// CallHome asks the home of a key to run a request.
	CallHome
	// CallAsk asks what became of an attempt that was handed over.
	CallAsk
	// CallTickets asks for tickets from a number on.
	CallTickets
	// CallPing asks for nothing; it measures the round trip.
	CallPing
)

// Call is a message that begins a stream.
type Call struct {
	Kind CallKind  `cbor:"1,keyasint"`
	From core.Host `cbor:"2,keyasint"`
	// To is the life that the call is meant for; 0 means any.
	To      core.Incarnation `cbor:"3,keyasint,omitempty"`
	Attempt core.AttemptID   `cbor:"4,keyasint,omitempty"`
	Request *Request         `cbor:"5,keyasint,omitempty"`
	Tickets core.Number      `cbor:"6,keyasint,omitempty"`
	// Left is how long the caller waits.
	Left time.Duration `cbor:"7,keyasint,omitempty"`
}

// Request is a request on its way between hosts.
type Request struct {
	ID           core.RequestID    `cbor:"1,keyasint"`
	Service      core.ServiceName  `cbor:"2,keyasint"`
	Organisation core.Organisation `cbor:"3,keyasint,omitempty"`
	Client       core.ZoneName     `cbor:"4,keyasint,omitempty"`
	Method       string            `cbor:"5,keyasint"`
	Path         string            `cbor:"6,keyasint"`
	Headers      []core.Header     `cbor:"7,keyasint,omitempty"`
	Body         []byte            `cbor:"8,keyasint,omitempty"`
	Key          string            `cbor:"9,keyasint,omitempty"`
	Ordinal      int               `cbor:"10,keyasint,omitempty"`
	Trace        string            `cbor:"11,keyasint,omitempty"`
}

// NewRequest returns the wire form of a request.
func NewRequest(request core.Request, trace string) *Request {
	return &Request{
		ID:           request.ID,
		Service:      request.Service,
		Organisation: request.Organisation,
		Client:       request.Client,
		Method:       request.Method,
		Path:         request.Path,
		Headers:      request.Headers,
		Body:         request.Body,
		Key:          request.Key.Text,
		Ordinal:      request.Ordinal,
		Trace:        trace,
	}
}

// Core returns the request with its deadline on this host's clock.
func (r *Request) Core(deadline time.Time) (core.Request, error) {
	request := core.Request{
		ID:           r.ID,
		Service:      r.Service,
		Organisation: r.Organisation,
		Client:       r.Client,
		Method:       r.Method,
		Path:         r.Path,
		Headers:      r.Headers,
		Body:         r.Body,
		Ordinal:      r.Ordinal,
		Trace:        r.Trace,
		Deadline:     deadline,
	}
	if r.Key == "" {
		return request, nil
	}
	key, err := core.ParseKey(r.Key)
	request.Key = key
	return request, err
}

// Reply ends a stream.
type Reply struct {
	State   core.RunState   `cbor:"1,keyasint"`
	Answer  *core.Answer    `cbor:"2,keyasint,omitempty"`
	Refusal *core.Refusal   `cbor:"3,keyasint,omitempty"`
	Spares  []tracker.Spare `cbor:"4,keyasint,omitempty"`
	// Attempted says that an upstream was sent the request.
	Attempted bool          `cbor:"5,keyasint,omitempty"`
	Tickets   []core.Ticket `cbor:"6,keyasint,omitempty"`
	// Snapshot is set where the tickets asked for are no longer kept.
	Snapshot *core.Ticket `cbor:"7,keyasint,omitempty"`
}

// Outcome returns the reply as an outcome.
func (r *Reply) Outcome() core.Outcome {
	return core.Outcome{State: r.State, Answer: r.Answer, Refusal: r.Refusal}
}

// Bounds of decoded messages.
const (
	maxElements = 1 << 20
	maxNesting  = 16
)

// decodeMode bounds what a peer can make this host allocate.
var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// DecodeCall decodes a call and checks that it is complete.
func DecodeCall(data []byte) (Call, error) {
	var call Call
	if err := decodeMode.Unmarshal(data, &call); err != nil {
		return Call{}, core.ErrPeer.Wrap(err, "call")
	}
	needsRequest := call.Kind == CallForward || call.Kind == CallHome
	switch {
	case call.Kind < CallForward || call.Kind > CallPing:
		return Call{}, core.ErrPeer.New("call kind %d", call.Kind)
	case needsRequest && call.Request == nil:
		return Call{}, core.ErrPeer.New("call without its request")
	case (needsRequest || call.Kind == CallAsk) && call.Attempt == "":
		return Call{}, core.ErrPeer.New("call without its attempt")
	default:
		return call, nil
	}
}

// DecodeRecords decodes a datagram of records.
func DecodeRecords(data []byte) ([]tracker.Record, error) {
	var records []tracker.Record
	if err := decodeMode.Unmarshal(data, &records); err != nil {
		return nil, core.ErrPeer.Wrap(err, "records")
	}
	for _, r := range records {
		if !core.IsName(string(r.Host.Name)) || !core.IsName(string(r.Host.Zone.Name)) ||
			!core.IsAddress(r.Host.PeerAddress) || !core.IsAddress(r.Host.ClientAddress) {
			return nil, core.ErrPeer.New("record of %q is not valid", r.Host.Name)
		}
	}
	return records, nil
}

// maxDatagram is the payload that a QUIC datagram carries on any path.
const maxDatagram = 1100

// EncodeRecords packs records into as few datagrams as hold them.
func EncodeRecords(records []tracker.Record) ([][]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(records)
	if err != nil {
		return nil, core.ErrPeer.Wrap(err, "records")
	}
	if len(data) <= maxDatagram || len(records) == 1 {
		return [][]byte{data}, nil
	}
	half := len(records) / 2
	first, err := EncodeRecords(records[:half])
	if err != nil {
		return nil, err
	}
	second, err := EncodeRecords(records[half:])
	return append(first, second...), err
}
