package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	twoChunks   = "4\r\ndone\r\n1;x=y\r\n!\r\n0\r\n"
)

// readChunkedResponse reads a response from a server that sends the given text, in pieces of one byte.
func readChunkedResponse(text string) (resp *http.Response, body string, err error) {
	conn := &serverConn{reader: bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), readBufferSize)}
	resp, err = conn.readHead(http.MethodGet, message.NewQuota(0)) //nolint:bodyclose // the body has nothing to close
	if err != nil {
		return nil, "", err
	}
	read, err := io.ReadAll(resp.Body)
	return resp, string(read), err
}

// A response keeps none of the fields of its trailer, which may be many, and its body ends only with the trailer.
func TestResponseTrailerIsDropped(t *testing.T) {
	manyFields := strings.Repeat("a:\r\n", maxTrailer/len("a:\r\n"))
	for trailer, want := range map[string]error{
		"\r\n":                              nil,
		"a: 1\r\nLong-Name:\r\n\r\n":        nil,
		manyFields + "\r\n":                 nil,
		manyFields + manyFields + "\r\n":    errLongTrailer,
		"":                                  io.ErrUnexpectedEOF,
		"a: 1\r\n":                          io.ErrUnexpectedEOF,
		"a: " + strings.Repeat("x", 2*4096): bufio.ErrBufferFull,
	} {
		resp, body, err := readChunkedResponse(chunkedHead + twoChunks + trailer)
		if !errors.Is(err, want) || body != "done!" {
			t.Errorf("trailer of %d bytes: body %q, error %v, want %v", len(trailer), body, err, want)
		}
		if resp == nil || len(resp.Trailer) > 0 {
			t.Errorf("trailer of %d bytes is kept", len(trailer))
		}
	}
}
