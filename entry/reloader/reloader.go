// Package reloader reloads a settings file when a signal arrives, and when its
// content has changed.
//
// It polls the file, so that a change takes effect without a signal too.
//
// # Usage
//
//	hangups := make(chan os.Signal, 1)
//	signal.Notify(hangups, syscall.SIGHUP)
//	r := &reloader.Reloader{Path: path, Signals: hangups, OnChange: apply}
//	r.Run(ctx)
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is the time between two polls of the file.
const pollInterval = 5 * time.Second

// Reloader watches one settings file.
type Reloader struct {
	Path string
	// Signals receives a signal when the file is to be reloaded.
	Signals <-chan os.Signal
	// OnChange gets the content after each change, and after each signal even if
	// it did not change. It gets the error instead if the file cannot be read when
	// Run starts or after a signal. An error of a poll without a signal is ignored,
	// since the file may just be in the course of being replaced.
	OnChange func(content []byte, err error)

	// content is the content that was read last.
	content []byte
}

// Run watches the file until ctx ends. It reads the file when it starts, but passes
// only an error of this read to OnChange, not the content.
func (r *Reloader) Run(ctx context.Context) {
	content, err := os.ReadFile(r.Path)
	if err != nil {
		r.OnChange(nil, err)
	}
	r.content = content
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
			r.poll(true)
		case <-ticker.C:
			r.poll(false)
		}
	}
}

// poll reads the file. It reports a read error only after a signal, since without
// one the file may just be in the course of being replaced.
func (r *Reloader) poll(isSignaled bool) {
	content, err := os.ReadFile(r.Path)
	if err != nil {
		if isSignaled {
			r.OnChange(nil, err)
		}
		return
	}
	if !isSignaled && bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	r.OnChange(content, nil)
}
