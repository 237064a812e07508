package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDeepValueCostsItself guards against a list of the store that cannot be decoded, again
// and again, because one object in it is nested very deeply.
func TestDeepValueCostsItself(t *testing.T) {
	const depth = 200_000
	nested := func(opening, closing string) string {
		return strings.Repeat(opening, depth) + strings.Repeat(closing, depth)
	}
	for name, value := range map[string]string{
		"arrays":       nested("[", "]"),
		"objects":      strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth),
		"mixed":        strings.Repeat(`[{"a":`, depth) + `"]}\""` + strings.Repeat("}]", depth),
		"never closed": strings.Repeat(`[`, depth),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var page struct {
				Items []json.RawMessage `json:"items"`
				Last  int               `json:"last"`
			}
			err := decodeJSON([]byte(`{"items":[{"n":"]\\"},{"odd":`+value+`},{"n":2}],"last":7}`), &page)
			is.Equal(err != nil, name == "never closed")
			if err != nil {
				return
			}
			is.Equal(len(page.Items), 3)
			is.Equal(string(page.Items[0]), `{"n":"]\\"}`)
			is.Equal(string(page.Items[2]), `{"n":2}`)
			is.Equal(page.Last, 7)
			is.True(json.Valid(page.Items[1]))
		})
	}
}

// FuzzPruneNesting checks that valid texts of ordinary depth are not changed, and that
// pruning keeps valid texts valid.
func FuzzPruneNesting(f *testing.F) {
	f.Add([]byte(`{"a":[1,"\"]",{"b":null}]}`))
	f.Add([]byte(strings.Repeat("[", 102) + strings.Repeat("]", 102)))
	f.Add([]byte(`"\`))
	f.Fuzz(func(t *testing.T, text []byte) {
		pruned := pruneNesting(text)
		if json.Valid(text) && !json.Valid(pruned) {
			t.Errorf("%q became %q", text, pruned)
		}
		if strings.Count(string(text), "[")+strings.Count(string(text), "{") <= maxNesting && string(pruned) != string(text) {
			t.Errorf("%q changed to %q", text, pruned)
		}
	})
}
