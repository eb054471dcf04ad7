// Package span defines the duration type of configuration and settings files.
package span

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "250ms" or "24h" in JSON
// and as nanoseconds in protobuf.
type Duration int64

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the value as time.Duration does.
func (d Duration) String() string { return d.Std().String() }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a duration from text. It rejects a bare number, because its
// unit would be ambiguous.
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
