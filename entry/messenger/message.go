package messenger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
)

// CallKind is the kind of a call.
type CallKind uint8

// The kinds of calls.
const (
	// CallForward runs a request immediately at an upstream of the called host.
	CallForward CallKind = iota + 1
	// CallForwardHome runs a request at the home host of its idempotency key.
	CallForwardHome
	// CallQueryAttempt returns the outcome of a forwarded attempt.
	CallQueryAttempt
	// CallFetchTickets returns tickets, starting with a number.
	CallFetchTickets
	// CallPing does nothing. It is used to measure the round trip.
	CallPing
)

// Call is the message that starts a stream.
type Call struct {
	Kind CallKind  `cbor:"1,keyasint"`
	From core.Host `cbor:"2,keyasint"`
	// ToIncarnation is the incarnation of the called host that must process the call; 0 means any.
	ToIncarnation core.Incarnation  `cbor:"3,keyasint,omitempty"`
	Attempt       core.AttemptID    `cbor:"4,keyasint,omitempty"`
	Request       *Request          `cbor:"5,keyasint,omitempty"`
	FromTicket    core.TicketNumber `cbor:"6,keyasint,omitempty"`
	// RemainingTime is the time until the caller stops waiting.
	RemainingTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// Request is the encoded form of a request that is forwarded between hosts.
type Request struct {
	ID           core.RequestID    `cbor:"1,keyasint"`
	Service      core.ServiceName  `cbor:"2,keyasint"`
	Organisation core.Organisation `cbor:"3,keyasint,omitempty"`
	ClientZone   core.ZoneName     `cbor:"4,keyasint,omitempty"`
	Method       string            `cbor:"5,keyasint"`
	Path         string            `cbor:"6,keyasint"`
	Headers      []core.Header     `cbor:"7,keyasint,omitempty"`
	Body         []byte            `cbor:"8,keyasint,omitempty"`
	Key          string            `cbor:"9,keyasint,omitempty"`
	Ordinal      int               `cbor:"10,keyasint,omitempty"`
	Traceparent  string            `cbor:"11,keyasint,omitempty"`
}

// NewRequest returns the encoded form of a request.
func NewRequest(request core.Request, trace string) *Request {
	return &Request{
		ID:           request.ID,
		Service:      request.Service,
		Organisation: request.Organisation,
		ClientZone:   request.ClientZone,
		Method:       request.Method,
		Path:         request.Path,
		Headers:      request.Headers,
		Body:         request.Body,
		Key:          request.Key.Text,
		Ordinal:      request.Ordinal,
		Traceparent:  trace,
	}
}

// ToCore returns the request with a deadline on this host's clock.
func (r *Request) ToCore(deadline time.Time) (core.Request, error) {
	request := core.Request{
		ID:           r.ID,
		Service:      r.Service,
		Organisation: r.Organisation,
		ClientZone:   r.ClientZone,
		Method:       r.Method,
		Path:         r.Path,
		Headers:      r.Headers,
		Body:         r.Body,
		Ordinal:      r.Ordinal,
		Traceparent:  r.Traceparent,
		Deadline:     deadline,
	}
	if r.Key == "" {
		return request, nil
	}
	key, err := core.ParseIdempotencyKey(r.Key)
	request.Key = key
	return request, err
}

// Reply is the message that ends a stream.
type Reply struct {
	RunState   core.RunState             `cbor:"1,keyasint"`
	Response   *core.Response            `cbor:"2,keyasint,omitempty"`
	Refusal    *core.Refusal             `cbor:"3,keyasint,omitempty"`
	Capacities []tracker.ServiceCapacity `cbor:"4,keyasint,omitempty"`
	// Attempted says that the request was sent to an upstream.
	Attempted bool          `cbor:"5,keyasint,omitempty"`
	Tickets   []core.Ticket `cbor:"6,keyasint,omitempty"`
	// Snapshot is set if the requested tickets are no longer in memory.
	Snapshot *core.Ticket `cbor:"7,keyasint,omitempty"`
}

// Outcome returns the outcome in the reply.
func (r *Reply) Outcome() core.Outcome {
	return core.Outcome{State: r.RunState, Response: r.Response, Refusal: r.Refusal}
}

// Limits of decoded messages.
const (
	maxElements = 1 << 20
	maxNesting  = 16
)

// decodeMode limits the memory that a message from a peer can allocate.
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

// DecodeCall decodes a call and checks that the fields that its kind needs are set.
func DecodeCall(data []byte) (Call, error) {
	var call Call
	if err := decodeMode.Unmarshal(data, &call); err != nil {
		return Call{}, core.ErrPeer.Wrap(err, "call")
	}
	needsRequest := call.Kind == CallForward || call.Kind == CallForwardHome
	switch {
	case call.Kind < CallForward || call.Kind > CallPing:
		return Call{}, core.ErrPeer.New("unknown call kind %d", call.Kind)
	case needsRequest && call.Request == nil:
		return Call{}, core.ErrPeer.New("call has no request")
	case (needsRequest || call.Kind == CallQueryAttempt) && call.Attempt == "":
		return Call{}, core.ErrPeer.New("call has no attempt id")
	default:
		return call, nil
	}
}

// DecodeRecords decodes the records in a datagram and checks their names and addresses.
func DecodeRecords(data []byte) ([]tracker.Record, error) {
	var records []tracker.Record
	if err := decodeMode.Unmarshal(data, &records); err != nil {
		return nil, core.ErrPeer.Wrap(err, "records")
	}
	for _, r := range records {
		if !core.IsValidName(string(r.Host.Name)) || !core.IsValidName(string(r.Host.Zone.Name)) ||
			!core.IsValidAddress(r.Host.PeerAddress) || !core.IsValidAddress(r.Host.ClientAddress) {
			return nil, core.ErrPeer.New("record of host %q has an invalid name or address", r.Host.Name)
		}
	}
	return records, nil
}

// maxDatagram is the largest payload in bytes that fits into a QUIC datagram on every
// path.
const maxDatagram = 1100

// EncodeRecords encodes records into datagrams, each of at most maxDatagram bytes
// unless a single record is larger.
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
