// Package reloader notices that a settings file changed, by a signal or by
// looking at it.
//
// # Usage
//
//	r := &reloader.Reloader{Path: path, Signals: hangups, OnChange: apply}
//	r.Run(ctx)
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"
)

// lookEvery is the time between two looks at a file for which no signal came.
const lookEvery = 5 * time.Second

// Reloader watches one file.
type Reloader struct {
	Path string
	// Signals tells that the file may have changed.
	Signals <-chan os.Signal
	// OnChange gets the content after each change, and after each signal, or why
	// the file cannot be read.
	OnChange func(content []byte, err error)

	content []byte
}

// Run watches the file until ctx ends. What it holds at the start is no change.
func (r *Reloader) Run(ctx context.Context) {
	content, err := os.ReadFile(r.Path)
	if err != nil {
		r.OnChange(nil, err)
	}
	r.content = content
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
			r.look(true)
		case <-ticker.C:
			r.look(false)
		}
	}
}

// look reads the file. An unreadable one is reported once a signal only, since
// it may be replaced at the moment.
func (r *Reloader) look(isAsked bool) {
	content, err := os.ReadFile(r.Path)
	if err != nil {
		if isAsked {
			r.OnChange(nil, err)
		}
		return
	}
	if !isAsked && bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	r.OnChange(content, nil)
}
