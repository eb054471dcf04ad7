package strict

// findTooDeep returns the offset of the first bracket that is nested deeper than
// maxDepth, or -1. It ignores brackets in strings and comments.
func findTooDeep(text []byte) int {
	depth := 0
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '{', '[':
			depth++
			if depth > maxDepth {
				return at
			}
		case '}', ']':
			depth--
		case '"':
			at = skipString(text, at)
		case '/':
			at = skipComment(text, at)
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string at start.
func skipString(text []byte, start int) int {
	for at := start + 1; at < len(text); at++ {
		switch text[at] {
		case '\\':
			at++
		case '"':
			return at
		}
	}
	return len(text)
}

// skipComment returns the offset of the last byte of the comment at start, or start
// if no comment starts there.
func skipComment(text []byte, start int) int {
	if start+1 >= len(text) {
		return start
	}
	switch text[start+1] {
	case '/':
		for at := start + 2; at < len(text); at++ {
			if text[at] == '\n' {
				return at
			}
		}
		return len(text)
	case '*':
		for at := start + 3; at < len(text); at++ {
			if text[at] == '/' && text[at-1] == '*' && at-1 > start+1 {
				return at
			}
		}
		return len(text)
	}
	return start
}
