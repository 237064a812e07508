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

// TestChangesAreNoticed changes a file with and without a signal.
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
		time.Sleep(3*lookEvery + lookEvery/2)
		is.Equal(len(seen), 0) // nothing changed
		write("two")
		time.Sleep(2 * lookEvery)
		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(seen, []string{"two", "two"}) // a signal is answered in any case
		stop()
		<-done
	})
}
