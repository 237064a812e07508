package receiver

import (
	"bufio"
	"errors"
	"io"

	"github.com/endiverun/endiverun/core"
)

// Limits of what a body in chunks has beside its bytes.
const (
	// maxExtensions is the largest size in bytes of all chunk extensions of a body.
	maxExtensions = 16 << 10
	// maxTrailer is the largest size in bytes of a trailer.
	maxTrailer = 16 << 10
)

// body reads the body of a response.
type body struct {
	source  *bufio.Reader
	framing framing
	// remaining is the number of bytes up to the end of the body or of the current chunk.
	remaining int64
	// hasChunk says that a chunk was begun.
	hasChunk bool
	// extensions is the size in bytes of the chunk extensions so far.
	extensions int
	// err is set once the body has ended.
	err error
}

// Read reads a part of the body. It returns io.EOF at its end.
func (b *body) Read(p []byte) (int, error) {
	if b.err == nil && b.remaining == 0 {
		b.err = b.advance()
	}
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	if b.framing != framedByConnection {
		p = p[:min(int64(len(p)), b.remaining)]
	}
	n, err := b.source.Read(p)
	if b.framing != framedByConnection {
		b.remaining -= int64(n)
		err = withinBody(err)
	}
	b.err = err
	return n, err
}

// advance goes on to the next chunk. It returns io.EOF at the end of the body.
func (b *body) advance() error {
	switch b.framing {
	case framedByChunks:
		return withinBody(b.nextChunk())
	case framedByConnection:
		return nil
	default:
		return io.EOF
	}
}

// errLastChunk reports the end of a body in chunks.
var errLastChunk = errors.New("last chunk")

// withinBody returns the error of a read within a body, where the end of the connection is
// not the end of the body.
func withinBody(err error) error {
	switch {
	case errors.Is(err, errLastChunk):
		return io.EOF
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextChunk reads the end of a chunk and the line before the next one. After the last chunk
// it reads the trailer and returns errLastChunk.
func (b *body) nextChunk() error {
	if b.hasChunk {
		if err := b.readChunkEnd(); err != nil {
			return err
		}
	}
	b.hasChunk = true
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, extensions, ok := parseHexadecimal(line)
	if !ok || !isExtensions(extensions) {
		return malformed("invalid chunk size", line)
	}
	b.extensions += len(extensions)
	if b.extensions > maxExtensions {
		return core.ErrMalformed.New("more than %d bytes of chunk extensions", maxExtensions)
	}
	b.remaining = size
	if size > 0 {
		return nil
	}
	if err := b.readTrailer(); err != nil {
		return err
	}
	return errLastChunk
}

// readChunkEnd reads the end of the line after the bytes of a chunk.
func (b *body) readChunkEnd() error {
	const lineEnd = "\r\n"
	end, err := b.source.Peek(len(lineEnd))
	if err != nil {
		return err
	}
	if string(end) != lineEnd {
		return malformed("a chunk is longer than its size", end)
	}
	_, err = b.source.Discard(len(lineEnd))
	return err
}

// readTrailer validates the fields of the trailer and discards them.
func (b *body) readTrailer() error {
	for size := 0; size <= maxTrailer; {
		line, err := b.readLine()
		if err != nil || len(line) == 0 {
			return err
		}
		if _, _, reason := parseField(line); reason != "" {
			return malformed(reason, line)
		}
		size += len(line)
	}
	return core.ErrMalformed.New("trailer of more than %d bytes", maxTrailer)
}

// readLine reads a line, which is valid until the next read.
func (b *body) readLine() ([]byte, error) {
	text, err := b.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, core.ErrMalformed.New("line of more than %d bytes in a body in chunks", len(text))
	}
	if err != nil {
		return nil, err
	}
	line, _, ok := splitLine(text)
	if !ok {
		return nil, malformed("line feed without a carriage return", text)
	}
	return line, nil
}

// appendTo reads the rest of the body, of at most limit bytes, into a buffer.
func (b *body) appendTo(buffer []byte, limit int) ([]byte, error) {
	for b.framing != framedByLength || b.remaining > 0 {
		if len(buffer) == cap(buffer) {
			buffer = grow(buffer, max(len(buffer), firstBufferSize))
		}
		n, err := b.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if len(buffer) > limit {
			return buffer, ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}

// grow returns a buffer with room for n more bytes.
func grow(buffer []byte, n int) []byte {
	if cap(buffer)-len(buffer) >= n {
		return buffer
	}
	return append(make([]byte, 0, len(buffer)+n), buffer...)
}
