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
)

// receive reads the answer to the attempt. Answers to other requests are passed
// over. Of a long answer the first part is read, and the stream is the whole body.
func (e *Exchanger) receive(conn *connection, attempt Attempt) (*fasthttp.Response, *Stream, error) {
	response := fasthttp.AcquireResponse()
	response.Header.SetNoDefaultContentType(true)
	for range maxStrayAnswers + 1 {
		stream, err := e.read(conn, response, attempt)
		if err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, nil, err
		}
		if e.isOwn(response, attempt) {
			return response, stream, nil
		}
		if response.ConnectionClose() {
			break
		}
	}
	fasthttp.ReleaseResponse(response)
	return nil, nil, errStray
}

// errStray reports answers that belong to other requests.
var errStray = errors.New("the answer belongs to another request")

// isOwn reports whether an answer belongs to the attempt.
func (e *Exchanger) isOwn(response *fasthttp.Response, attempt Attempt) bool {
	return attempt.RequestID == "" || string(response.Header.Peek(e.Fields.RequestID)) == attempt.RequestID
}

// read reads one answer, whole unless it is long and belongs to the attempt.
func (e *Exchanger) read(conn *connection, response *fasthttp.Response, attempt Attempt) (*Stream, error) {
	if err := readHead(response, conn.reader); err != nil {
		return nil, err
	}
	isHead := attempt.Head.IsHead()
	if isLong(response, isHead) && e.isOwn(response, attempt) {
		return e.newStream(conn, attempt, response.Header.ContentLength())
	}
	return nil, readBody(response, conn.reader, isHead, int(e.MaxAnswer))
}

func readWhole(response *fasthttp.Response, r *bufio.Reader, limit int) error {
	if err := readHead(response, r); err != nil {
		return err
	}
	return readBody(response, r, false, limit)
}

// readHead reads the header of the next answer that is not informational.
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

func readBody(response *fasthttp.Response, r *bufio.Reader, isHead bool, limit int) error {
	if isHead {
		response.SkipBody = true
		return nil
	}
	if !hasBody(response) {
		return nil
	}
	return response.ReadBody(r, limit)
}

// judge decides what an answer proves.
func (e *Exchanger) judge(response *fasthttp.Response) Result {
	header := &response.Header
	report := placer.Report{
		Load: parseLoad(string(header.Peek(e.Fields.Load))),
		Cold: parseCold(string(header.Peek(e.Fields.Cold))),
	}
	status := response.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest || len(header.Peek(e.Fields.NotRun)) > 0 {
		report.Outcome = placer.Shed
		if status == fasthttp.StatusMisdirectedRequest {
			report.Outcome = placer.Misdirected
		}
		fault := "rejected with status " + strconv.Itoa(status)
		return Result{State: core.NotRun, Report: report, Fault: fault, HasArrived: true}
	}
	result := Result{State: core.Answered, Report: report, Response: response}
	result.Report.Outcome = placer.Done
	if status >= fasthttp.StatusInternalServerError {
		result.Report.Outcome = placer.Failed
		result.Fault = "failed with status " + strconv.Itoa(status)
	}
	return result
}

// parseLoad returns nil where the text is no load.
func parseLoad(text string) *placer.Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var values [3]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return nil
		}
		values[i] = n
	}
	return &placer.Load{Running: values[0], Waiting: values[1], Slots: values[2]}
}

// parseCold returns 0 where the text is no number of milliseconds.
func parseCold(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
