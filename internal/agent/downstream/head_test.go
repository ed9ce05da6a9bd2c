package downstream

import (
	"strings"
	"testing"
)

// The end of a head is found wherever its bytes are cut, and empty lines before it belong to it.
func TestEndOfHead(t *testing.T) {
	const rest = "GET /next"
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\nHost: x\n\n",
		"GET / HTTP/1.1\r\nHost: x\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	} {
		for cut := range head {
			if end := findHeadEnd([]byte(head[:cut]), 0); end != 0 {
				t.Errorf("%q: end at %d", head[:cut], end)
			}
			if end := findHeadEnd([]byte(head+rest), max(cut-2, 0)); end != len(head) {
				t.Errorf("%q, searched from %d: end at %d, want %d", head, cut-2, end, len(head))
			}
		}
	}
	if end := findHeadEnd([]byte("\r\n\r\n\r\n"), 0); end != 0 {
		t.Errorf("empty lines alone are a head of %d bytes", end)
	}
}

// The framing of a body is known only if the HTTP server can't read it in another way.
func TestFramingOfBody(t *testing.T) {
	for fields, want := range map[string]requestHead{
		"":                         {},
		"Content-Length: 12\r\n":   {fields: 1, bodySize: 12},
		"content-length:12\n":      {fields: 1, bodySize: 12},
		"Content-Length: +12\r\n":  {fields: 1, hasUnknownBody: true},
		"Content-Length: -1\r\n":   {fields: 1, hasUnknownBody: true},
		"Content-Length: 1, 1\r\n": {fields: 1, hasUnknownBody: true},
		"Content-Length: 1\r\nContent-Length: 1\r\n": {fields: 2, bodySize: 1, hasUnknownBody: true},
		"Transfer-Encoding: chunked\r\n":             {fields: 1, hasUnknownBody: true, isChunked: true},
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n": {
			fields: 2, bodySize: 3, hasUnknownBody: true, isChunked: true,
		},
		"A: 1\r\n Content-Length: 3\r\n": {fields: 2, hasUnknownBody: true},
		"No colon\r\n":                   {fields: 1, hasUnknownBody: true},
		strings.Repeat("a:\r\n", 50) + "Content-Length: 1\r\n": {fields: 51, bodySize: 1},
	} {
		text := "POST / HTTP/1.1\r\n" + fields + "\r\n"
		want.size = len(text)
		if head := parseHead([]byte(text)); head != want {
			t.Errorf("%q: %+v, want %+v", fields, head, want)
		}
	}
}
