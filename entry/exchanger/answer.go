package exchanger

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/caller"
)

// receive reads the response to the attempt and skips up to
// maxMismatchedResponses responses to other requests. Of a long response it
// reads only the first part of the body; the returned stream then holds the
// whole body.
func (e *Exchanger) receive(conn *connection, attempt Attempt) (*fasthttp.Response, *BodyStream, error) {
	response := fasthttp.AcquireResponse()
	response.Header.SetNoDefaultContentType(true)
	for range maxMismatchedResponses + 1 {
		stream, err := e.readResponse(conn, response, attempt)
		if err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, nil, err
		}
		if e.matches(response, attempt) {
			return response, stream, nil
		}
		if response.ConnectionClose() {
			break
		}
	}
	fasthttp.ReleaseResponse(response)
	return nil, nil, errMismatchedResponse
}

// errMismatchedResponse reports that only responses with the request id of
// another request arrived.
var errMismatchedResponse = errors.New("the response belongs to another request")

// matches reports whether a response echoes the request id of the attempt. An
// attempt without a request id matches every response.
func (e *Exchanger) matches(response *fasthttp.Response, attempt Attempt) bool {
	return attempt.RequestID == "" || string(response.Header.Peek(e.HeaderNames.RequestID)) == attempt.RequestID
}

// readResponse reads one response with its whole body, or returns a stream where
// the response is long and belongs to the attempt.
func (e *Exchanger) readResponse(conn *connection, response *fasthttp.Response, attempt Attempt) (*BodyStream, error) {
	if err := readHead(response, conn.reader); err != nil {
		return nil, err
	}
	e.notifyLeaving(response, attempt)
	isHeadRequest := attempt.Header.IsHead()
	if shouldStream(response, isHeadRequest) && e.matches(response, attempt) {
		return e.newStream(conn, attempt, response.Header.ContentLength())
	}
	return nil, readBody(response, conn.reader, isHeadRequest, int(e.MaxResponseBody))
}

// readBuffered reads one response with its whole body, of at most limit bytes.
func readBuffered(response *fasthttp.Response, r *bufio.Reader, limit int) error {
	if err := readHead(response, r); err != nil {
		return err
	}
	return readBody(response, r, false, limit)
}

// readHead reads response heads until one that is not informational (1xx).
func readHead(response *fasthttp.Response, r *bufio.Reader) error {
	for {
		if err := response.Header.Read(r); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

// readBody reads a body of at most limit bytes, unless the response has none.
func readBody(response *fasthttp.Response, r *bufio.Reader, isHeadRequest bool, limit int) error {
	if isHeadRequest {
		response.SkipBody = true
		return nil
	}
	if !hasBody(response) {
		return nil
	}
	return caller.ReadBody(response, r, core.Bytes(limit))
}

// classify derives the result of an attempt from its response. Status 421 and
// the NotRun field show that the request was not run.
func (e *Exchanger) classify(response *fasthttp.Response) Result {
	header := &response.Header
	report := placer.Report{
		Load:            parseLoad(string(header.Peek(e.HeaderNames.Load))),
		RemainingWarmUp: parseWarmUp(string(header.Peek(e.HeaderNames.RemainingWarmUp))),
		RateLimit:       parseRateLimit(header.PeekAll(e.HeaderNames.RateLimit)),
		Availability:    e.availabilityOf(response),
	}
	status := response.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest || len(header.Peek(e.HeaderNames.NotRun)) > 0 {
		report.Outcome = placer.Shed
		if status == fasthttp.StatusMisdirectedRequest {
			report.Outcome = placer.Misdirected
			// The statements are those of another upstream.
			report.RateLimit, report.Availability = placer.RateLimit{}, placer.Availability{}
		}
		reason := "rejected with status " + strconv.Itoa(status)
		return Result{State: core.NotRun, Report: report, FailureReason: reason, MayHaveArrived: true}
	}
	result := Result{State: core.Answered, Report: report, Response: response}
	result.Report.Outcome = placer.Done
	if status >= fasthttp.StatusInternalServerError {
		result.Report.Outcome = placer.Failed
		result.FailureReason = "failed with status " + strconv.Itoa(status)
	}
	return result
}

// parseLoad parses the value of the Load field: running requests, waiting
// requests and slots, separated by commas. It returns nil if the text is invalid or a
// number is larger than the number of slots that an upstream can have.
func parseLoad(text string) *placer.Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var values [3]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 || n > core.MaxSlots {
			return nil
		}
		values[i] = n
	}
	return &placer.Load{Running: values[0], Waiting: values[1], Slots: values[2]}
}

// maxWarmUp is the longest remaining warm-up time that is believed.
const maxWarmUp = time.Hour

// parseWarmUp parses the remaining warm-up time in milliseconds. It returns 0 if
// the text is not a positive number.
func parseWarmUp(text string) time.Duration {
	remaining, _ := core.ParseMilliseconds(text, maxWarmUp)
	return remaining
}
