package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the file that RECORD names.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// exit is the exit code: 0 if the rule held, 1 if it was broken.
	exit int
}

var exitCode = 2

func newRecord() *record {
	path := os.Getenv("RECORD")
	if path == "" {
		path = os.DevNull
	}
	f, err := os.Create(path)
	check(err)
	r := &record{file: f, start: time.Now()}
	r.line("trouble: %v", trouble())
	return r
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, text)
}

// verdict records whether the rule was broken.
func (r *record) verdict(isBroken bool) {
	exitCode = 0
	if isBroken {
		exitCode = 1
	}
	text := map[bool]string{true: "the rule is broken", false: "the rule held"}[isBroken]
	r.line("%s", text)
	fmt.Println(text)
}

func (r *record) close() { _ = r.file.Close() }

// trouble reports whether the disruption is to be made.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func resource(kind, name string, spec any) map[string]any {
	return map[string]any{"entry_kind": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

// simpleConfig is a configuration with one route and one service.
func simpleConfig(version int) map[string]any {
	return map[string]any{"version": version, "resources": []any{
		resource("routes", "r1", map[string]any{
			"host": "a.example", "path_prefix": "/x/", "type": "non_idempotent", "timeout_s": 2, "target_latency_s": 0.3,
			"priority": 1, "service": "svc", "max_attempts": 2,
		}),
		resource("services", "svc", map[string]any{"health_path": "/health", "max_connections": 390, "warmup_s": 3, "warmup_per_s": 17}),
		resource("limits", "limits", map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
		}),
	}}
}
