package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	twoChunks   = "4\r\ndone\r\n1;x=y\r\n!\r\n0\r\n"
)

// readChunkedResponse reads a response from a server that sends the given text, in pieces of one byte.
func readChunkedResponse(text string) (resp *http.Response, body string, err error) {
	conn := &serverConn{reader: bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), readBufferSize)}
	resp, err = conn.readHead(http.MethodGet, message.NewQuota(0))
	if err != nil {
		return nil, "", err
	}
	read, err := io.ReadAll(resp.Body)
	return resp, string(read), err
}

// A response keeps none of the fields of its trailer, which may be many, and its body ends only with the trailer.
func TestResponseTrailerIsDropped(t *testing.T) {
	manyFields := strings.Repeat("a:\r\n", message.MaxTrailer/len("a:\r\n"))
	for trailer, want := range map[string]error{
		"\r\n":                              nil,
		"a: 1\r\nLong-Name:\r\n\r\n":        nil,
		manyFields + "\r\n":                 nil,
		manyFields + manyFields + "\r\n":    message.ErrLongTrailer,
		"":                                  io.ErrUnexpectedEOF,
		"a: 1\r\n":                          io.ErrUnexpectedEOF,
		"a: " + strings.Repeat("x", 2*4096): bufio.ErrBufferFull,
	} {
		//nolint:bodyclose // the body has no resources of its own
		resp, body, err := readChunkedResponse(chunkedHead + twoChunks + trailer)
		if !errors.Is(err, want) || body != "done!" {
			t.Errorf("trailer of %d bytes: body %q, error %v, want %v", len(trailer), body, err, want)
		}
		if resp == nil || len(resp.Trailer) > 0 {
			t.Errorf("trailer of %d bytes is kept", len(trailer))
		}
	}
}

// The budget counts a long head for as long as its response is held, also after its connection is idle again.
func TestLongResponseHeadCountsUntilTheResponseIsReleased(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("h", 2*readBufferSize) + "\r\n"
	for name, text := range map[string]string{
		"length": head + "Content-Length: 4\r\n\r\ndone",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := agenttest.NewServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = fmt.Fprint(conn, text) // a failure shows in the attempt
				return true
			})
			pool := newTestPool(agenttest.Timeout, 1)
			result := attemptNow(t.Context(), pool, readyTarget(server.Addr), orderRequest(server.Addr, nil))
			wantStatus(t, "attempt", result, balancer.StatusOK)
			if pool.budget.TryAcquire(pool.budget.Size - int64(2*readBufferSize)) {
				t.Error("the budget does not count the head of a response that is still held")
			}
			result.Body.Release()
			if !pool.budget.TryAcquire(pool.budget.Size) {
				t.Errorf("%v of the budget in use after the release", pool.budget)
			}
		})
	}
}
