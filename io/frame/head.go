package frame

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"lovagestream/core/call"
)

// Parts of a response, as they are named in errors.
const (
	partStatusLine = "status line"
	partField      = "field"
	partFraming    = "framing"
)

func malformed(part, problem string) error {
	return &call.MalformedError{Part: part, Problem: problem}
}

// HeadSize returns the size of the head that got begins with, in bytes, or 0 if it goes on beyond
// got. Lines end as they do for net/http.
func HeadSize(got []byte) int {
	for at := 0; ; {
		line, ok := nextLine(got[at:])
		if !ok {
			return 0
		}
		at += line.size
		if len(line.text) == 0 {
			return at
		}
	}
}

// headLine is a line of a head, of size bytes with its end.
type headLine struct {
	text []byte
	size int
}

// nextLine returns the first line of got. A line may end without a carriage return (RFC 9112, 2.2).
func nextLine(got []byte) (headLine, bool) {
	end := bytes.IndexByte(got, '\n')
	if end < 0 {
		return headLine{}, false
	}
	return headLine{bytes.TrimSuffix(got[:end], []byte{'\r'}), end + 1}, true
}

// CheckHead checks the head of a response, final or not, with the empty line at its end. net/http
// takes heads that proxies must not pass on, or whose body another reader would end elsewhere. The
// error is a *call.MalformedError.
func CheckHead(head []byte) error {
	line, _ := nextLine(head)
	status, minor, err := checkStatusLine(line.text)
	if err != nil {
		return err
	}
	var fra framing
	for at := line.size; ; at += line.size {
		var ok bool
		if line, ok = nextLine(head[at:]); !ok || len(line.text) == 0 {
			return fra.check(status, minor)
		}
		colon := bytes.IndexByte(line.text, ':')
		if colon < 0 {
			return malformed(partField, "no colon")
		}
		name, value := line.text[:colon], line.text[colon+1:]
		switch {
		case !isToken(name):
			// This includes a line that begins with a blank, which continues the one before.
			return malformed(partField, "the name is no token")
		case !isText(value):
			return malformed(partField, "control byte in a value")
		}
		fra.add(name, value)
	}
}

// checkStatusLine returns the status and the minor version of a status line.
func checkStatusLine(line []byte) (status int, minor byte, err error) {
	const version, size = "HTTP/1.", len("HTTP/1.1 200")
	switch {
	case len(line) < size || string(line[:len(version)]) != version || !isDigit(line[len(version)]) || line[len(version)+1] != ' ':
		return 0, 0, malformed(partStatusLine, "no version 1 of HTTP")
	case len(line) > size && line[size] != ' ' || !isText(line[size:]):
		return 0, 0, malformed(partStatusLine, "no reason after the status")
	}
	for _, dig := range line[size-3 : size] {
		if !isDigit(dig) {
			return 0, 0, malformed(partStatusLine, "the status is no number")
		}
		status = 10*status + int(dig-'0')
	}
	return status, line[len(version)], checkStatus(status)
}

// checkStatus checks a status. No request asks to switch protocols.
func checkStatus(status int) error {
	switch {
	case status < 100 || status > 599:
		return malformed(partStatusLine, "the status is not within 100 to 599")
	case status == http.StatusSwitchingProtocols:
		return malformed(partStatusLine, "another protocol, which was not asked for")
	}
	return nil
}

// framing is what the fields of a head say of the end of the body.
type framing struct {
	length, coding bool
	// empty is set if the length is 0.
	empty bool
}

// add notes a field.
func (fra *framing) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		fra.length, fra.empty = true, string(bytes.TrimSpace(value)) == "0"
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		fra.coding = true
	}
}

// check checks the framing of a response (RFC 9112, 6.1 and 6.3). The values are net/http's to check.
func (fra *framing) check(status int, minor byte) error {
	bodiless := status < http.StatusOK || status == http.StatusNoContent
	switch {
	case fra.length && fra.coding:
		return malformed(partFraming, "both a length and a transfer coding")
	case fra.coding && minor == '0':
		return malformed(partFraming, "a transfer coding in HTTP/1.0")
	case bodiless && (fra.coding || fra.length && !fra.empty):
		return malformed(partFraming, "a body where the status has none")
	}
	return nil
}

// Transport is a transport that takes no response that CheckResponse refuses.
type Transport struct{ *http.Transport }

// RoundTrip makes a request. It returns the response, or the error of the transport or of
// CheckResponse.
func (tra Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := tra.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CheckResponse checks what is left of a response's head once net/http has read it: for readers that
// use its transport. The error is a *call.MalformedError.
func CheckResponse(res *http.Response) error {
	if res.ProtoMajor != 1 {
		return malformed(partStatusLine, "no version 1 of HTTP")
	}
	if err := checkStatus(res.StatusCode); err != nil {
		return err
	}
	return CheckFields(partField, res.Header)
}

// CheckFields checks the names and values of fields that net/http has read. part names them in the
// error, a *call.MalformedError.
func CheckFields(part string, hdr http.Header) error {
	for name, values := range hdr {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed(part, "the name is no token")
		}
		for _, val := range values {
			if !httpguts.ValidHeaderFieldValue(strings.TrimSpace(val)) {
				return malformed(part, "control byte in a value")
			}
		}
	}
	return nil
}

func isDigit(one byte) bool { return '0' <= one && one <= '9' }

// isToken reports whether text is a token (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, one := range text {
		if !httpguts.IsTokenRune(rune(one)) {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text has no control bytes but tabs (RFC 9110, 5.5).
func isText(text []byte) bool {
	for _, one := range text {
		if one < ' ' && one != '\t' || one == 0x7f {
			return false
		}
	}
	return true
}
