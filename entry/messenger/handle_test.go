package messenger

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestEndingHostAnswersQueries guards against a request that was answered, or did not run, but whose
// client is told that its outcome is unknown, since the host that knows it was about to end.
func TestEndingHostAnswersQueries(t *testing.T) {
	const self, earlier = core.Incarnation(2), core.Incarnation(1)
	tests := []struct {
		name      string
		kind      CallKind
		to        core.Incarnation
		isEnding  bool
		wantState core.RunState
	}{
		{"query", CallQueryAttempt, self, false, core.Answered},
		{"query at the end", CallQueryAttempt, self, true, core.Answered},
		{"query of an earlier incarnation", CallQueryAttempt, earlier, false, core.RunUnknown},
		{"query of an earlier incarnation at the end", CallQueryAttempt, earlier, true, core.RunUnknown},
		{"request", CallForwardHome, self, false, core.Answered},
		{"request at the end", CallForwardHome, self, true, core.NotRun},
		{"request to an earlier incarnation", CallForwardHome, earlier, false, core.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := &Messenger{
				Self:   core.Host{Name: "host-1", Incarnation: self},
				Handle: func(context.Context, Call) Reply { return Reply{RunState: core.Answered} },
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.isEnding {
				cancel()
			}
			reply := m.handleCall(ctx, Call{Kind: tt.kind, ToIncarnation: tt.to}, nil)
			is.Equal(reply.RunState, tt.wantState)
		})
	}
}
