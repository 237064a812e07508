package messenger

import (
	"errors"
	"strconv"
	"sync"

	"github.com/quic-go/quic-go"
)

// handledStreams holds which streams of a connection had calls that were handled. The zero value
// has none.
type handledStreams struct {
	mu sync.Mutex
	// end is greater than the ids of all these streams.
	end quic.StreamID
}

// add adds a stream. It must be called before the last check whether the host ends, so that no
// call is handled whose stream was not added before the connection is closed.
func (h *handledStreams) add(id quic.StreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end = max(h.end, id+1)
}

// reason returns the reason to close the connection with, for isUnhandled.
func (h *handledStreams) reason() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strconv.FormatInt(int64(h.end), 10)
}

// isUnhandled reports whether the error of a stream says that the other host ended and did not
// handle the call on the stream.
func isUnhandled(err error, id quic.StreamID) bool {
	var closed *quic.ApplicationError
	if !errors.As(err, &closed) || !closed.Remote || closed.ErrorCode != codeStopped {
		return false
	}
	end, err := strconv.ParseInt(closed.ErrorMessage, 10, 64)
	return err == nil && id >= quic.StreamID(end)
}
