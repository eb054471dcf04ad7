package conf

import (
	"regexp"
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// redacted replaces a name that may be a secret in error messages.
const redacted = "(hidden)"

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	// secretPattern matches words that are long enough to be a key.
	secretPattern = regexp.MustCompile(`[A-Za-z0-9_\-+/=]{20,}`)
	letterPattern = regexp.MustCompile(`[A-Za-z]`)
	digitPattern  = regexp.MustCompile(`[0-9]`)
)

// holdsSecret reports whether a text contains a word that looks like a key in plain
// text: a long word with both letters and digits.
func holdsSecret(text string) bool {
	return slices.ContainsFunc(secretPattern.FindAllString(text, -1), func(word string) bool {
		return letterPattern.MatchString(word) && digitPattern.MatchString(word)
	})
}

// redactSecrets replaces names that may be keys in the field paths of diagnostics.
// Record names are kept, because operators choose them and need them to find the
// error; only the names in the keys section must be digests.
func redactSecrets(diagnostics strict.Diagnostics) strict.Diagnostics {
	for i := range diagnostics {
		path := slices.Clone(diagnostics[i].Path)
		for at := range path {
			if isSecretName(path, at) {
				path[at] = redacted
			}
		}
		diagnostics[i].Path, diagnostics[i].Field = path, strings.Join(path, ".")
	}
	return diagnostics
}

// isSecretName reports whether the element of path at the given index may be a key.
func isSecretName(path []string, at int) bool {
	if at != 1 {
		return holdsSecret(path[at])
	}
	return path[0] == "keys" && !digestPattern.MatchString(path[at])
}
