package explainer_test

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/operator/explainer"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestExplain compares the tables for a request that reached two hosts, and for
// one that no log names, with golden files. The logs are read in the order opposite
// to their times and hold lines that are not events.
func TestExplain(t *testing.T) {
	for _, request := range []string{"q-1", "q-3"} {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			var logs []io.Reader
			for _, name := range []string{"host-2.log", "host-1.log"} {
				file, err := os.Open(filepath.Join("testdata", name))
				is.NoErr(err)
				defer func() { _ = file.Close() }()
				logs = append(logs, file)
			}
			history, err := explainer.Explain(request, logs)
			is.NoErr(err)
			var text strings.Builder
			is.NoErr(history.Write(&text))
			golden := filepath.Join("testdata", request+".txt")
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(text.String()), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(text.String(), string(want))
		})
	}
}

// TestLimitsOfSeveralUpstreams checks that the rate limit of one upstream does not hide
// that of another, and that the latest of each is shown.
func TestLimitsOfSeveralUpstreams(t *testing.T) {
	is := is.New(t)
	log := `{"event":512,"name":"upstream-limited","host":"host-1","upstream":"i-1","limit":9,"time":"2026-07-20T04:35:10.000Z"}
{"event":512,"name":"upstream-limited","host":"host-1","upstream":"i-1","limit":8,"time":"2026-07-20T04:35:11.000Z"}
{"event":512,"name":"upstream-limited","host":"host-1","upstream":"i-2","limit":2,"time":"2026-07-20T04:35:11.000Z"}
{"event":504,"name":"request-refused","host":"host-1","request":"q-1","cause":"rate-limit","time":"2026-07-20T04:35:12.000Z"}
`
	history, err := explainer.Explain("q-1", []io.Reader{strings.NewReader(log)})
	is.NoErr(err)
	is.Equal(len(history.Events), 1)
	state := history.StateEvents["host-1"]
	is.Equal(len(state), 2)
	is.Equal(state[0].Fields, map[string]any{"upstream": "i-1", "limit": 8.0})
	is.Equal(state[1].Fields, map[string]any{"upstream": "i-2", "limit": 2.0})
}

// TestLeavingUpstreamsAreExplained guards against a request that went elsewhere since several
// upstreams drain, of which the history does not tell.
func TestLeavingUpstreamsAreExplained(t *testing.T) {
	is := is.New(t)
	log := `{"event":515,"name":"upstream-said-leaving","host":"host-1","upstream":"i-1","source":"","time":"2026-07-20T04:35:10.000Z"}
{"event":515,"name":"upstream-said-leaving","host":"host-1","upstream":"i-2","source":"host-2","time":"2026-07-20T04:35:11.000Z"}
{"event":504,"name":"request-refused","host":"host-1","request":"q-1","cause":"no-room","time":"2026-07-20T04:35:12.000Z"}
`
	history, err := explainer.Explain("q-1", []io.Reader{strings.NewReader(log)})
	is.NoErr(err)
	state := history.StateEvents["host-1"]
	is.Equal(len(state), 2)
	is.Equal(state[0].Fields, map[string]any{"upstream": "i-1", "source": ""})
	is.Equal(state[1].Fields, map[string]any{"upstream": "i-2", "source": "host-2"})
}
