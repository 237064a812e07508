package explainer_test

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/operator/explainer"
)

// TestLifeFormat compares the JSON of a request's history, which programs read, with
// a golden file. The history comes from the logs in testdata.
func TestLifeFormat(t *testing.T) {
	is := is.New(t)
	var logs []io.Reader
	for _, name := range []string{"host-1.log", "host-2.log"} {
		file, err := os.Open(filepath.Join("testdata", name))
		is.NoErr(err)
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	history, err := explainer.Explain("q-1", logs)
	is.NoErr(err)
	encoded, err := json.MarshalIndent(history, "", "  ")
	is.NoErr(err)
	data, err := os.ReadFile(filepath.Join("testdata", "q-1.json"))
	is.NoErr(err)
	is.Equal(string(encoded)+"\n", string(data))
	var decoded explainer.History
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded, history)
}
