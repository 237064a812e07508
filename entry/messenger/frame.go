package messenger

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/endiverun/endiverun/core"
)

// frameKind begins every frame from the called host to the caller.
type frameKind byte

// The frames that answer a call: accepted once, running at times, then reply.
const (
	frameAccepted frameKind = iota + 1
	frameRunning
	frameReply
)

// maxOverhead is how much larger a message may be than the body in it.
const maxOverhead = 256 * core.Kibibyte

// pacer waits until n more bytes may be written; false ends the writing.
type pacer func(n core.Bytes) bool

// writeMessage writes a message with its length before it, a chunk at a time.
// After an error it reports whether the whole message may have left: the
// receiver acts on nothing less.
func writeMessage(w io.Writer, prefix []byte, message any, chunk core.Bytes, pace pacer) (bool, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return false, core.ErrPeer.Wrap(err, "encode")
	}
	frame := make([]byte, 0, len(prefix)+binary.MaxVarintLen64+len(data))
	frame = append(frame, prefix...)
	frame = binary.AppendUvarint(frame, uint64(len(data)))
	frame = append(frame, data...)
	for len(frame) > 0 {
		part := frame[:min(core.Bytes(len(frame)), chunk)]
		if !pace(core.Bytes(len(part))) {
			return false, core.ErrPeer.New("the link's share does not permit sending")
		}
		frame = frame[len(part):]
		if _, err := w.Write(part); err != nil {
			return len(frame) == 0, err
		}
	}
	return true, nil
}

// readMessage reads a message of at most limit bytes.
func readMessage(r *bufio.Reader, limit core.Bytes) ([]byte, error) {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if length > uint64(limit) {
		return nil, core.ErrPeer.New("message of %d bytes is above the limit of %d", length, limit)
	}
	return readGrowing(r, int(length))
}

// readGrowing reads n bytes and allocates only as they arrive.
func readGrowing(r io.Reader, n int) ([]byte, error) {
	const step = 64 << 10
	data := make([]byte, 0, min(n, step))
	for len(data) < n {
		more := min(n-len(data), max(step, len(data)))
		start := len(data)
		data = append(data, make([]byte, more)...)
		if _, err := io.ReadFull(r, data[start:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}
