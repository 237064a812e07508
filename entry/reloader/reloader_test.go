package reloader

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestChangesAreNoticed guards against a change that is missed without a signal, a
// signal that is ignored because the content is the same, and a reload without
// either.
func TestChangesAreNoticed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
		write("one")
		var seen []string
		signals := make(chan os.Signal)
		r := &Reloader{Path: path, Signals: signals, OnChange: func(content []byte, err error) {
			is.NoErr(err)
			seen = append(seen, string(content))
		}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		synctest.Wait()
		time.Sleep(3*pollInterval + pollInterval/2)
		is.Equal(len(seen), 0) // nothing changed
		write("two")
		time.Sleep(2 * pollInterval)
		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(seen, []string{"two", "two"}) // a signal reloads the same content again
		stop()
		<-done
	})
}
