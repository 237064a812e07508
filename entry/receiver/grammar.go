package receiver

import "bytes"

// isTokenByte has the bytes that the name of a field may have (RFC 9110, section 5.6.2).
var isTokenByte = newByteSet(func(c byte) bool {
	isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return isLetter || isDigit(c) || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
})

// isTextByte has the bytes that values and reasons may have (RFC 9110, section 5.5): all but
// control bytes, and tabs.
var isTextByte = newByteSet(func(c byte) bool {
	const space, del = 0x20, 0x7f
	return c == '\t' || c >= space && c != del
})

// byteSet is a set of bytes.
type byteSet [256]bool

func newByteSet(contains func(c byte) bool) *byteSet {
	var set byteSet
	for i := range set {
		set[i] = contains(byte(i))
	}
	return &set
}

// containsAll reports whether the set has all bytes of a text.
func (s *byteSet) containsAll(text []byte) bool {
	for _, c := range text {
		if !s[c] {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isToken reports whether a text is a token, such as the name of a field.
func isToken(text []byte) bool {
	return len(text) > 0 && isTokenByte.containsAll(text)
}

// trimBlanks removes the optional white space around a value.
func trimBlanks(text []byte) []byte {
	return bytes.Trim(text, " \t")
}

// parseDecimal parses a decimal number of digits alone that fits in 63 bits.
func parseDecimal(text []byte) (int64, bool) {
	const maxDigits = 18
	digits := bytes.TrimLeft(text, "0")
	if len(text) == 0 || len(digits) > maxDigits {
		return 0, false
	}
	var value int64
	for _, c := range digits {
		if !isDigit(c) {
			return 0, false
		}
		value = value*10 + int64(c-'0') //nolint:mnd // the decimal base
	}
	return value, true
}

// parseHexadecimal parses a hexadecimal number of digits alone that fits in 63 bits, at the
// start of a text, and returns the rest.
func parseHexadecimal(text []byte) (value int64, rest []byte, ok bool) {
	const maxDigits, bitsPerDigit = 15, 4
	n := 0
	significant := 0
	for ; n < len(text); n++ {
		digit := hexadecimalDigit(text[n])
		if digit < 0 {
			break
		}
		if value > 0 || digit > 0 {
			significant++
		}
		if significant > maxDigits {
			return 0, nil, false
		}
		value = value<<bitsPerDigit | int64(digit)
	}
	return value, text[n:], n > 0
}

// hexadecimalDigit returns the value of a digit, or -1.
func hexadecimalDigit(c byte) int {
	const ten = 10
	switch {
	case isDigit(c):
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + ten
	case c >= 'A' && c <= 'F':
		return int(c-'A') + ten
	}
	return -1
}

// splitLine returns the first line of a text without its end, and the number of bytes that
// both have. The number is 0 if the text has no whole line. A line ends with CR and LF; ok is
// false if it has an LF alone.
func splitLine(text []byte) (line []byte, size int, ok bool) {
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		return nil, 0, true
	}
	if end == 0 || text[end-1] != '\r' {
		return nil, end + 1, false
	}
	return text[:end-1], end + 1, true
}

// parseField splits a field line into its name and value (RFC 9112, section 5). It returns a
// reason if the line is invalid.
func parseField(line []byte) (name, value []byte, reason string) {
	if isBlank(line[0]) {
		return nil, nil, "a field line starts with a blank"
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return nil, nil, "a field line has no colon"
	case !isToken(name):
		return nil, nil, "invalid name of a field"
	case !isTextByte.containsAll(value):
		return nil, nil, "control byte in the value of a field"
	}
	return name, trimBlanks(value), ""
}

// isExtensions reports whether a text is a list of chunk extensions (RFC 9112, section 7.1.1).
func isExtensions(text []byte) bool {
	for len(text) > 0 {
		rest := bytes.TrimLeft(text, " \t")
		if len(rest) == 0 || rest[0] != ';' {
			return false
		}
		rest = bytes.TrimLeft(rest[1:], " \t")
		size := tokenSize(rest)
		if size == 0 {
			return false
		}
		text = rest[size:]
		value, hasValue := bytes.CutPrefix(bytes.TrimLeft(text, " \t"), []byte("="))
		if !hasValue {
			continue
		}
		value = bytes.TrimLeft(value, " \t")
		size = max(tokenSize(value), quotedSize(value))
		if size == 0 {
			return false
		}
		text = value[size:]
	}
	return true
}

// tokenSize returns the size of the token at the start of a text, or 0.
func tokenSize(text []byte) int {
	n := 0
	for n < len(text) && isTokenByte[text[n]] {
		n++
	}
	return n
}

// quotedSize returns the size of the quoted string at the start of a text, or 0.
func quotedSize(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for n := 1; n < len(text); n++ {
		switch text[n] {
		case '"':
			return n + 1
		case '\\':
			n++
		}
		if n < len(text) && !isTextByte[text[n]] {
			return 0
		}
	}
	return 0
}
