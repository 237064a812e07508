package core

import (
	"errors"
	"fmt"
	"strings"
)

// Finding is one problem of an input and the place where it stands.
type Finding struct {
	// Pointer is a JSON pointer (RFC 6901) into the input.
	Pointer string `json:"pointer"`
	Message string `json:"message"`
}

// Findings collects every problem of one input. It is an error when not empty.
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

// Error lists all findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("%d problem(s):", len(f)))
	for _, one := range f {
		place := one.Pointer
		if place == "" {
			place = "/"
		}
		lines = append(lines, "  "+place+": "+one.Message)
	}
	return strings.Join(lines, "\n")
}

// FindingsOf returns the findings in err's chain, if it carries any.
func FindingsOf(err error) (Findings, bool) {
	var findings Findings
	ok := errors.As(err, &findings)
	return findings, ok
}

// Pointer joins the parts of a JSON pointer, escaping each.
func Pointer(parts ...any) string {
	replacer := strings.NewReplacer("~", "~0", "/", "~1")
	var builder strings.Builder
	for _, p := range parts {
		builder.WriteByte('/')
		builder.WriteString(replacer.Replace(fmt.Sprint(p)))
	}
	return builder.String()
}
