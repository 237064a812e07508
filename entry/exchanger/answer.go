package exchanger

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/receiver"
)

// receive reads the response to the attempt and skips up to
// maxMismatchedResponses responses to other requests. Of a long response it
// reads only the first part of the body; the returned stream then holds the
// whole body.
func (e *Exchanger) receive(conn *connection, attempt Attempt) (*received, error) {
	response := fasthttp.AcquireResponse()
	response.Header.SetNoDefaultContentType(true)
	for range maxMismatchedResponses + 1 {
		answer, err := e.readResponse(conn, response, attempt)
		if err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, err
		}
		if e.matches(response, attempt) {
			return answer, nil
		}
		if response.ConnectionClose() {
			break
		}
	}
	fasthttp.ReleaseResponse(response)
	return nil, errMismatchedResponse
}

// received is a response that was read.
type received struct {
	response *fasthttp.Response
	// stream is the body of a long response, otherwise nil.
	stream *BodyStream
	// endsWithConnection says that the body has no other end than that of the connection.
	endsWithConnection bool
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
func (e *Exchanger) readResponse(conn *connection, response *fasthttp.Response, attempt Attempt) (*received, error) {
	r := receiver.Receiver{Response: response, Source: conn.reader, Method: string(attempt.Header.Method())}
	if err := r.ReadHead(); err != nil {
		return nil, err
	}
	e.notifyLeaving(response, attempt)
	answer := &received{response: response, endsWithConnection: r.EndsWithConnection()}
	if length, hasLength := r.Length(); hasLength && length > prefetchSize && e.matches(response, attempt) {
		stream, err := e.newStream(conn, attempt, int(length))
		answer.stream = stream
		return answer, err
	}
	return answer, r.ReadBody(e.MaxResponseBody)
}

// classify derives the result of an attempt from its response. Status 421 and
// the NotRun field show that the request was not run.
func (e *Exchanger) classify(upstream core.Upstream, response *fasthttp.Response) Result {
	header := &response.Header
	load, finding := parseLoad(header.PeekAll(e.HeaderNames.Load))
	if finding != "" && e.OnLoadUnreadable != nil {
		e.OnLoadUnreadable(upstream, finding)
	}
	report := placer.Report{
		Load:            load,
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

// maxWarmUp is the longest remaining warm-up time that is believed.
const maxWarmUp = time.Hour

// parseWarmUp parses the remaining warm-up time in milliseconds. It returns 0 if
// the text is not a positive number.
func parseWarmUp(text string) time.Duration {
	remaining, _ := core.ParseMilliseconds(text, maxWarmUp)
	return remaining
}
