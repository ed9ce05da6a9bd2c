package downstream

import (
	"bytes"
	"strconv"
)

const (
	// maxRequestHead is the maximum size of the head of a request, in bytes.
	maxRequestHead = 16 << 10
	// maxRequestFields is the maximum number of header fields of a request. Once parsed, a short field takes many times
	// its size.
	maxRequestFields = 100
)

// requestHead is what the framing of a connection needs to know of the head of a request.
type requestHead struct {
	size   int // bytes, with the empty line
	fields int
	// bodySize is the length of the body. It is not known if hasUnknownBody is set.
	bodySize       int64
	hasUnknownBody bool
	isChunked      bool // the body is in the chunked encoding, if the HTTP server accepts the head
}

// findHeadEnd returns the number of bytes up to the end of the empty line that ends a head, or 0 if text has none.
// Empty lines before the request line belong to the head. The search begins at from, which is where an earlier one
// may have ended.
func findHeadEnd(text []byte, from int) int {
	start := len(text) - len(bytes.TrimLeft(text, "\r\n"))
	position := max(from, start)
	for {
		lineEnd := bytes.IndexByte(text[position:], '\n')
		if lineEnd < 0 {
			return 0
		}
		position += lineEnd + 1
		rest := text[position:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return position + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return position + len("\r\n")
		}
	}
}

// parseHead returns the size of a complete head and the framing of the body that follows. A head that the HTTP server
// will reject, or whose framing it may read in another way, has an unknown body.
func parseHead(text []byte) requestHead {
	head := requestHead{size: len(text)}
	lengthSeen := false
	lines := bytes.TrimLeft(text, "\r\n")
	_, lines, _ = bytes.Cut(lines, []byte("\n")) // the request line
	for line := range bytes.SplitSeq(lines, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		head.fields++
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found, line[0] == ' ', line[0] == '\t': // malformed, or continues the line before
			head.hasUnknownBody = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			head.hasUnknownBody = true
			head.isChunked = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			size, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if err != nil || lengthSeen {
				head.hasUnknownBody = true
			}
			lengthSeen = true
			head.bodySize = int64(size)
		}
	}
	return head
}
