package exchanger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestLoad checks the load that a response states, and that a field that cannot be read is
// reported.
func TestLoad(t *testing.T) {
	const missing = "-"
	tests := []struct {
		name, field  string
		want         *placer.Load
		isUnreadable bool
	}{
		{"not stated", missing, nil, false},
		{"three figures", "3,1,8", &placer.Load{Running: 3, Waiting: 1, Slots: 8}, false},
		{"spaces", " 3 , 1 , 8 ", &placer.Load{Running: 3, Waiting: 1, Slots: 8}, false},
		{"usual speed", "3,0,4,100", &placer.Load{Running: 3, Slots: 4, Slowness: 1}, false},
		{"slow machine", "3,0,4,250", &placer.Load{Running: 3, Slots: 4, Slowness: 2.5}, false},
		{"a fraction", "3,0,4,87.5", &placer.Load{Running: 3, Slots: 4, Slowness: 0.875}, false},
		{"more figures", "3,0,4,250,7,x", &placer.Load{Running: 3, Slots: 4, Slowness: 2.5}, false},
		{"slowness of another type", "3,0,4,slow", &placer.Load{Running: 3, Slots: 4}, true},
		{"slowness of zero", "3,0,4,0", &placer.Load{Running: 3, Slots: 4}, true},
		{"slowness that is no number", "3,0,4,NaN", &placer.Load{Running: 3, Slots: 4}, true},
		{"endless slowness", "3,0,4,1e300", &placer.Load{Running: 3, Slots: 4}, true},
		{"empty", "", nil, true},
		{"two figures", "3,1", nil, true},
		{"negative", "-3,1,8", nil, true},
		{"too large", "3,1,9223372036854775807", nil, true},
		{"stated twice", "3,1,8\r\nLoad: 3,1,8", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			field := "Load: " + tt.field + "\r\n"
			if tt.field == missing {
				field = ""
			}
			upstream := serve(t, reply("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"+field+"Content-Length: 0\r\n\r\n"))
			unreadable := 0
			e := newExchanger()
			e.OnLoadUnreadable = func(core.Upstream, string) { unreadable++ }
			result := e.Do(t.Context(), attempt(upstream, "body"))
			defer result.Close()
			is.Equal(result.Report.Outcome, placer.Done)
			is.Equal(result.Report.Load, tt.want)
			is.Equal(unreadable == 1, tt.isUnreadable)
		})
	}
}
