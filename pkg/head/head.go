// Package head decides which heads of HTTP answers are valid: net/http accepts status codes,
// names of fields, versions and framings that a gateway must not pass on.
package head

import (
	"bytes"
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
	// KindVersion means that the response is not of HTTP/1: RFC 9112, 2.3.
	KindVersion Kind = "unsupported version"
	// KindFraming means that the header does not clearly say where the body ends: RFC 9112,
	// 6.1 to 6.3.
	KindFraming Kind = "ambiguous framing"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// minStatus and maxStatus bound the status codes; those below minFinal are informational.
const (
	minStatus = 100
	minFinal  = 200
	maxStatus = 599
)

// Check reports why a response that http.ReadResponse has returned is not valid. The response
// may be informational. text is its head as it was received, since http.ReadResponse removes
// the fields that frame the body.
func Check(response *http.Response, text []byte) error {
	if response.ProtoMajor != 1 {
		return &Error{Op: "check response", Kind: KindVersion, Err: fmt.Errorf("version %q", response.Proto)}
	}
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
	return checkFraming(response, text)
}

// checkFraming reports why the end of a response's body is ambiguous. Other recipients may
// ignore one of two fields that contradict each other, or a field that is not allowed.
func checkFraming(response *http.Response, text []byte) error {
	chunked, length := hasField(text, "Transfer-Encoding"), hasField(text, "Content-Length")
	withoutBody := response.StatusCode < http.StatusOK || response.StatusCode == http.StatusNoContent
	var cause string
	switch {
	case chunked && !response.ProtoAtLeast(1, 1):
		cause = "Transfer-Encoding in HTTP/1.0"
	case chunked && length:
		cause = "Transfer-Encoding and Content-Length"
	case withoutBody && (chunked || length && response.Header.Get("Content-Length") != "0"):
		cause = "a body is announced that the status does not allow"
	default:
		return nil
	}
	return &Error{Op: "check response", Kind: KindFraming, Err: fmt.Errorf("%s", cause)}
}

// hasField reports whether a head has a field with the given name.
func hasField(text []byte, name string) bool {
	for line := range bytes.Lines(text) {
		if found, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(found), name) {
			return true
		}
	}
	return false
}

// CheckFinal reports why a status code is not that of a final response.
func CheckFinal(status int) error {
	if status < minFinal || status > maxStatus {
		return &Error{Op: "check response", Kind: KindStatus, Err: fmt.Errorf("status %d", status)}
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
