package messenger

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/endiverun/endiverun/core"
)

// frameKind is the first byte of every frame that the called host sends.
type frameKind byte

// The kinds of frames.
const (
	// frameAccepted says that the call was read. It is sent once, before all other
	// frames.
	frameAccepted frameKind = iota + 1
	// frameRunning says that the call is still being processed. It is repeated.
	frameRunning
	// frameReply precedes the reply, which ends the stream.
	frameReply
)

// maxMessageOverhead is the largest size of a message beyond the body in it.
const maxMessageOverhead = 256 * core.Kibibyte

// reserveFunc waits until n more bytes may be sent. It returns false if they must not
// be sent.
type reserveFunc func(n core.Bytes) bool

// writeMessage writes a prefix, the length of a message and the message in chunks. If
// it fails, it reports whether all bytes may have been sent, since the receiver ignores
// an incomplete message.
func writeMessage(w io.Writer, prefix []byte, message any, chunk core.Bytes, reserve reserveFunc) (bool, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return false, core.ErrPeer.Wrap(err, "encode")
	}
	frame := make([]byte, 0, len(prefix)+binary.MaxVarintLen64+len(data))
	frame = append(frame, prefix...)
	frame = binary.AppendUvarint(frame, uint64(len(data)))
	frame = append(frame, data...)
	for len(frame) > 0 {
		piece := frame[:min(core.Bytes(len(frame)), chunk)]
		if !reserve(core.Bytes(len(piece))) {
			return false, core.ErrPeer.New("sending to the other region is not permitted")
		}
		frame = frame[len(piece):]
		if _, err := w.Write(piece); err != nil {
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
	return readIncrementally(r, int(length))
}

// readIncrementally reads n bytes. It allocates memory only as they arrive, so that a
// wrong length cannot exhaust memory.
func readIncrementally(r io.Reader, n int) ([]byte, error) {
	const minChunk = 64 << 10
	data := make([]byte, 0, min(n, minChunk))
	for len(data) < n {
		chunk := min(n-len(data), max(minChunk, len(data)))
		offset := len(data)
		data = append(data, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, data[offset:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}
