// Package span holds the duration type used in files that people write.
package span

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that JSON writes as text such as "250ms" or
// "24h" and that protobuf carries as nanoseconds.
type Duration int64

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the value as time.Duration does.
func (d Duration) String() string { return d.Std().String() }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a duration from text; a bare number is refused because
// its unit would be a guess.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &Error{Op: "read duration", Kind: KindText, Err: err}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &Error{Op: "read duration", Kind: KindText, Err: err}
	}
	*d = Duration(parsed)
	return nil
}
