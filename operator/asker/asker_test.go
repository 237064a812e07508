package asker_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/operator/asker"
)

// TestNoHosts guards against commands that succeed without asking any host.
func TestNoHosts(t *testing.T) {
	a := &asker.APIClient{}
	calls := map[string]func() error{
		"apply":   func() error { _, err := a.ApplyTicket([]byte("{}"), false); return err },
		"check":   func() error { _, err := a.ApplyTicket([]byte("{}"), true); return err },
		"show":    func() error { _, err := a.GetTicket(0); return err },
		"explain": func() error { _, err := a.Explain("desk", ""); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(call(), asker.ErrNoHosts))
		})
	}
}
