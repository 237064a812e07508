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

// receive reads the answer to the attempt. Answers to other requests are
// passed over.
func (e *Exchanger) receive(conn *connection, attempt Attempt) (*fasthttp.Response, error) {
	for range maxStrayAnswers + 1 {
		response, err := e.read(conn.reader, attempt)
		if err != nil {
			return nil, err
		}
		id := response.Header.Peek(e.Fields.RequestID)
		if attempt.RequestID == "" || string(id) == attempt.RequestID {
			return response, nil
		}
		isLast := response.ConnectionClose()
		fasthttp.ReleaseResponse(response)
		if isLast {
			break
		}
	}
	return nil, errStray
}

// errStray reports answers that belong to other requests.
var errStray = errors.New("the answer belongs to another request")

// read reads one whole answer.
func (e *Exchanger) read(r *bufio.Reader, attempt Attempt) (*fasthttp.Response, error) {
	response := fasthttp.AcquireResponse()
	response.Header.SetNoDefaultContentType(true)
	err := readWhole(response, r, attempt.Head.IsHead(), int(e.MaxAnswer))
	if err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
}

func readWhole(response *fasthttp.Response, r *bufio.Reader, isHead bool, limit int) error {
	for {
		if err := response.Header.Read(r); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	switch response.StatusCode() {
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return nil
	}
	if isHead {
		response.SkipBody = true
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
