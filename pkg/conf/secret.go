package conf

import (
	"regexp"
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// redacted replaces a name that may be a secret.
const redacted = "(hidden)"

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	// secretPattern matches words long enough to be a key.
	secretPattern = regexp.MustCompile(`[A-Za-z0-9_\-+/=]{20,}`)
	letterPattern = regexp.MustCompile(`[A-Za-z]`)
	digitPattern  = regexp.MustCompile(`[0-9]`)
)

// holdsSecret reports whether a text holds a word that looks like a key in
// the clear: long, with letters and digits.
func holdsSecret(text string) bool {
	return slices.ContainsFunc(secretPattern.FindAllString(text, -1), func(word string) bool {
		return letterPattern.MatchString(word) && digitPattern.MatchString(word)
	})
}

// redactSecrets takes names that may be keys out of the fields of faults: all
// but the names of records, which people choose and need to see.
func redactSecrets(faults strict.Diagnostics) strict.Diagnostics {
	for i := range faults {
		path := slices.Clone(faults[i].Path)
		for at := range path {
			if isSecretName(path, at) {
				path[at] = redacted
			}
		}
		faults[i].Path, faults[i].Field = path, strings.Join(path, ".")
	}
	return faults
}

func isSecretName(path []string, at int) bool {
	if at != 1 {
		return holdsSecret(path[at])
	}
	return path[0] == "keys" && !digestPattern.MatchString(path[at])
}
