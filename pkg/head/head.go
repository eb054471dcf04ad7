// Package head decides which heads of HTTP answers are valid: net/http accepts status codes,
// names of fields, versions and framings that a gateway must not pass on.
package head

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindStatus means that the status line is malformed or its code is none of an answer:
	// RFC 9110, 15, and RFC 9112, 4.
	KindStatus Kind = "malformed status"
	// KindField means that a header field is malformed: RFC 9110, 5.1 and 5.5, and RFC 9112,
	// 5.1.
	KindField Kind = "malformed header field"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// minStatus and maxStatus bound the status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// Check reports why a response that http.ReadResponse has returned is not valid. The response
// may be informational.
func Check(response *http.Response) error {
	// No request asks for another protocol.
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &Error{Op: "check response", Kind: KindStatus, Err: fmt.Errorf("unexpected status %d", response.StatusCode)}
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus || !validText(response.Status) {
		return &Error{Op: "check response", Kind: KindStatus, Err: fmt.Errorf("status %q", response.Status)}
	}
	for name, values := range response.Header {
		for _, value := range values {
			if err := CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckField reports why a header field is not valid.
func CheckField(name, value string) error {
	if !validName(name) || !validText(value) {
		return &Error{Op: "check response", Kind: KindField, Err: fmt.Errorf("field %q", name)}
	}
	return nil
}

// validName reports whether the name of a field is a token: RFC 9110, 5.6.2.
func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		alphanumeric := '0' <= c && c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return name != ""
}

// validText reports whether a reason phrase or the value of a field has no control characters
// but tabs.
func validText(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
