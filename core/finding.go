package core

import (
	"errors"
	"fmt"
	"strings"
)

// Finding is one problem of an input and its place in the input.
type Finding struct {
	// Pointer is a JSON pointer (RFC 6901) into the input.
	Pointer string `json:"pointer"`
	Message string `json:"message"`
}

// Findings are all problems of one input. Findings that are not empty are an error.
type Findings []Finding

// Addf appends a finding.
func (f *Findings) Addf(pointer, format string, args ...any) {
	*f = append(*f, Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

// Err returns f as an error, or nil where there are no findings.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("%d problem(s):", len(f)))
	for _, finding := range f {
		pointer := finding.Pointer
		if pointer == "" {
			pointer = "/"
		}
		lines = append(lines, "  "+pointer+": "+finding.Message)
	}
	return strings.Join(lines, "\n")
}

// FindingsOf returns the findings in err's chain, and whether there are any.
func FindingsOf(err error) (Findings, bool) {
	var findings Findings
	ok := errors.As(err, &findings)
	return findings, ok
}

// JSONPointer returns the JSON pointer (RFC 6901) of the parts, each of them escaped.
func JSONPointer(parts ...any) string {
	replacer := strings.NewReplacer("~", "~0", "/", "~1")
	var builder strings.Builder
	for _, p := range parts {
		builder.WriteByte('/')
		builder.WriteString(replacer.Replace(fmt.Sprint(p)))
	}
	return builder.String()
}
