package caller

// maxNesting is the deepest nesting of arrays and objects that is decoded. encoding/json
// rejects a whole text for one value that is nested much deeper.
const maxNesting = 100

// pruneNesting returns a JSON text in which each array or object that is nested deeper than
// maxNesting is replaced by null, so that one such value costs only the object that
// contains it. A text that is not valid JSON stays invalid, or is cut in a place that is.
func pruneNesting(text []byte) []byte {
	pruned := make([]byte, 0, len(text))
	depth := 0
	isText := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		isOpening := !isText && (c == '[' || c == '{')
		isClosing := !isText && (c == ']' || c == '}')
		if isOpening {
			depth++
		}
		switch {
		case depth <= maxNesting:
			pruned = append(pruned, c)
		case isOpening && depth == maxNesting+1:
			pruned = append(pruned, "null"...)
		}
		if isClosing {
			depth--
		}
		switch {
		case c == '"':
			isText = !isText
		case isText && c == '\\' && i+1 < len(text):
			i++
			if depth <= maxNesting {
				pruned = append(pruned, text[i])
			}
		}
	}
	return pruned
}
