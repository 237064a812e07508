package receiver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// protocol starts every status line, up to the minor version.
const protocol = "HTTP/1."

// Statuses that RFC 9110 allows.
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuotedBytes limits how much of an invalid line an error quotes.
const maxQuotedBytes = 60

// framing says how the end of a body is found (RFC 9112, section 6.3).
type framing int

const (
	withoutBody framing = iota
	framedByLength
	framedByChunks
	framedByConnection
)

// head is the head of a response: its status line and its field lines.
type head struct {
	// size is the number of bytes up to the end of the last line that was parsed.
	size         int
	status       int
	minorVersion byte
	// length is the stated length of the body, if hasLength is true.
	length    int64
	hasLength bool
	isChunked bool
	// closes and staysOpen say that the Connection field has "close" or "keep-alive".
	closes, staysOpen bool
	// isUnusual says that a field about the end of the body is written in a way that fasthttp
	// does not read.
	isUnusual bool
}

// read parses a head as its bytes arrive. It leaves them in the buffer of the source. The
// error is io.EOF if there is no byte.
func (h *head) read(source *bufio.Reader) error {
	for wanted := 1; ; {
		_, err := source.Peek(wanted)
		text, _ := source.Peek(source.Buffered())
		if err != nil {
			return h.incomplete(text, err)
		}
		isWhole, err := h.parse(text)
		if isWhole || err != nil {
			return err
		}
		wanted = len(text) + 1
	}
}

// incomplete returns the error of a head that does not arrive whole.
func (h *head) incomplete(text []byte, err error) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return core.ErrMalformed.New("head of more than %d bytes", len(text))
	case errors.Is(err, io.EOF) && len(text) > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}

// parse parses the lines that have arrived since the last call. It reports whether the head
// is whole.
func (h *head) parse(text []byte) (bool, error) {
	if h.size == 0 && !bytes.HasPrefix([]byte(protocol), text[:min(len(text), len(protocol))]) {
		return false, malformed("invalid status line", text)
	}
	for {
		line, size, ok := splitLine(text[h.size:])
		if !ok {
			return false, malformed("line feed without a carriage return", text[h.size:h.size+size])
		}
		if size == 0 {
			return false, nil
		}
		isFirst := h.size == 0
		h.size += size
		if len(line) == 0 && !isFirst {
			return true, nil
		}
		parseLine := h.parseField
		if isFirst {
			parseLine = h.parseStatusLine
		}
		if err := parseLine(line); err != nil {
			return false, err
		}
	}
}

// malformed returns an error that quotes the start of a text.
func malformed(reason string, text []byte) error {
	return core.ErrMalformed.New("%s: %s", reason, strconv.Quote(string(text[:min(len(text), maxQuotedBytes)])))
}

// parseStatusLine parses the status line (RFC 9112, section 4). The blank before a missing
// reason may be missing too.
func (h *head) parseStatusLine(line []byte) error {
	const versionEnd, statusStart, statusEnd = len(protocol) + 1, len(protocol) + 2, len(protocol) + 5
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte(protocol)) || !isDigit(line[versionEnd-1]) || line[versionEnd] != ' ' {
		return malformed("invalid status line", line)
	}
	status, ok := parseDecimal(line[statusStart:statusEnd])
	if !ok || status < minStatus || status > maxStatus {
		return malformed("invalid status", line)
	}
	reason := line[statusEnd:]
	if len(reason) > 0 && (reason[0] != ' ' || !isTextByte.containsAll(reason)) {
		return malformed("invalid reason", line)
	}
	h.status, h.minorVersion = int(status), line[versionEnd-1]
	return nil
}

// parseField parses a field line and takes from it what concerns the end of the body and of
// the connection.
func (h *head) parseField(line []byte) error {
	name, value, reason := parseField(line)
	if reason != "" {
		return malformed(reason, line)
	}
	switch len(name) {
	case len(fasthttp.HeaderContentLength):
		if bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
			return h.parseLengths(value)
		}
	case len(fasthttp.HeaderTransferEncoding):
		if bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			return h.parseCodings(value)
		}
	case len(fasthttp.HeaderConnection):
		if bytes.EqualFold(name, []byte(fasthttp.HeaderConnection)) {
			h.parseConnection(value)
		}
	case len(fasthttp.HeaderTrailer):
		h.isUnusual = h.isUnusual || bytes.EqualFold(name, []byte(fasthttp.HeaderTrailer))
	}
	return nil
}

// parseLengths parses a value of the field Content-Length. It may state the same number
// several times.
func (h *head) parseLengths(value []byte) error {
	for element := range bytes.SplitSeq(value, []byte(",")) {
		length, ok := parseDecimal(trimBlanks(element))
		if !ok || h.hasLength && length != h.length {
			return malformed("invalid length", value)
		}
		h.isUnusual = h.isUnusual || h.hasLength
		h.length, h.hasLength = length, true
	}
	return nil
}

// parseCodings parses a value of the field Transfer-Encoding. Hosts ask for no other coding than
// chunks.
func (h *head) parseCodings(value []byte) error {
	for element := range bytes.SplitSeq(value, []byte(",")) {
		coding := trimBlanks(element)
		if len(coding) == 0 {
			h.isUnusual = true
			continue
		}
		if h.isChunked || !bytes.EqualFold(coding, []byte("chunked")) {
			return malformed("invalid transfer coding", value)
		}
		h.isChunked = true
	}
	return nil
}

// parseConnection parses a value of the field Connection.
func (h *head) parseConnection(value []byte) {
	for element := range bytes.SplitSeq(value, []byte(",")) {
		option := trimBlanks(element)
		h.closes = h.closes || bytes.EqualFold(option, []byte("close"))
		h.staysOpen = h.staysOpen || bytes.EqualFold(option, []byte("keep-alive"))
	}
}

func (h *head) isInformational() bool { return h.status < fasthttp.StatusOK }

// checkInformational returns an error if the head of an informational response changes the
// protocol, which no request asks for, or announces a body.
func (h *head) checkInformational() error {
	if h.status == fasthttp.StatusSwitchingProtocols {
		return core.ErrMalformed.New("switch of protocols that was not requested")
	}
	return h.checkNoBody()
}

// checkNoBody returns an error if a head that no body follows announces one.
func (h *head) checkNoBody() error {
	if h.isChunked || h.length > 0 {
		return core.ErrMalformed.New("status %d with a body", h.status)
	}
	return nil
}

// framing returns how the body ends in the response to a request with the method.
func (h *head) framing(method string) (framing, error) {
	switch {
	case h.isChunked && h.hasLength:
		return withoutBody, core.ErrMalformed.New("both a length and a transfer coding")
	case h.isChunked && h.minorVersion == '0':
		return withoutBody, core.ErrMalformed.New("transfer coding in HTTP/1.0")
	case method == fasthttp.MethodConnect && h.status < fasthttp.StatusMultipleChoices:
		return withoutBody, core.ErrMalformed.New("a tunnel in place of a response")
	case h.status == fasthttp.StatusNoContent:
		return withoutBody, h.checkNoBody()
	case method == fasthttp.MethodHead || h.status == fasthttp.StatusNotModified:
		return withoutBody, nil
	case h.isChunked:
		return framedByChunks, nil
	case h.hasLength:
		return framedByLength, nil
	}
	return framedByConnection, nil
}

// fill fills a header with the head in the buffer of the source, and discards the head there.
// The header has the version of the hosts, whatever that of the peer.
func (h *head) fill(header *fasthttp.ResponseHeader, source *bufio.Reader) error {
	reader := source
	if h.isUnusual {
		text, err := source.Peek(h.size)
		if err != nil {
			return err
		}
		reader = bufio.NewReaderSize(bytes.NewReader(h.rewrite(text)), source.Size()+maxRewriteGrowth)
		if _, err := source.Discard(h.size); err != nil {
			return err
		}
	}
	if err := header.Read(reader); err != nil {
		return err
	}
	if h.minorVersion != '1' {
		header.SetProtocol([]byte(protocol + "1"))
	}
	if h.closes || h.minorVersion == '0' && !h.staysOpen {
		header.SetConnectionClose()
	}
	return nil
}

// maxRewriteGrowth is by how many bytes rewrite can lengthen a head: a line with a length.
const maxRewriteGrowth = 64

// rewrite returns a head with at most one line about the end of the body, in its usual form.
func (h *head) rewrite(text []byte) []byte {
	rewritten := make([]byte, 0, len(text)+maxRewriteGrowth)
	for line := range bytes.Lines(text[:h.size-len("\r\n")]) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !isFramingField(name) {
			rewritten = append(rewritten, line...)
		}
	}
	switch {
	case h.isChunked:
		rewritten = append(rewritten, "Transfer-Encoding: chunked\r\n"...)
	case h.hasLength:
		rewritten = append(rewritten, "Content-Length: "...)
		rewritten = strconv.AppendInt(rewritten, h.length, 10)
		rewritten = append(rewritten, "\r\n"...)
	}
	return append(rewritten, "\r\n"...)
}

// isFramingField reports whether a field is about the end of the body or the trailer.
func isFramingField(name []byte) bool {
	for _, framingField := range []string{fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer} {
		if bytes.EqualFold(name, []byte(framingField)) {
			return true
		}
	}
	return false
}
