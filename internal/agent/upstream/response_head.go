package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"

	"fernbeam.example/fernbeam/internal/agent/memory"
	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	// maxResponseHead is the largest response head accepted, in bytes, and maxResponseFields the greatest number of its
	// header fields. Once parsed, a short field takes many times its size.
	maxResponseHead   = 16 << 10
	maxResponseFields = 100
	// maxInterimResponses is the largest number of interim (1xx) responses before a final one.
	maxInterimResponses = 8
	// protocolPrefix is the beginning of each response head.
	protocolPrefix = "HTTP/1."
)

var (
	endOfHead             = regexp.MustCompile(`\n\r?\n`)
	contentLengthField    = regexp.MustCompile(`(?i)\ncontent-length[ \t]*:`)
	transferEncodingField = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
)

// errNoMemory is the error of a response for which the memory budget has no space.
var errNoMemory = errors.New("no memory left for the response")

// readHead reads the head of the final response and skips interim ones. What a long head needs is reserved of the
// budget until the connection is released, or until the response is if moveReserved was called.
func (c *serverConn) readHead(method string, budget message.Quota) (*http.Response, error) {
	for range maxInterimResponses {
		if err := c.checkHead(budget); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.dropTrailer(resp)
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// checkHead waits for a complete head without consuming it. It rejects heads on which net/http is too lenient: net/http
// buffers a line of any length and any number of fields, and if a response has both Content-Length and
// Transfer-Encoding, it follows the chunks, though the server may have meant the other framing. The rest of the body
// would then be taken for the next response.
func (c *serverConn) checkHead(budget message.Quota) error {
	for needed := 1; ; needed = c.reader.Buffered() + 1 {
		if needed > c.reader.Size() {
			if err := c.growReader(budget); err != nil {
				return err
			}
		}
		if _, err := c.reader.Peek(needed); err != nil {
			return err
		}
		head, _ := c.reader.Peek(c.reader.Buffered()) // peeking at buffered bytes can't fail
		compared := min(len(protocolPrefix), len(head))
		if string(head[:compared]) != protocolPrefix[:compared] {
			return errors.New("response is not HTTP")
		}
		if end := endOfHead.FindIndex(head); end != nil {
			return c.checkFields(head[:end[0]], budget)
		}
	}
}

// checkFields checks the fields of a complete head and reserves what they need.
func (c *serverConn) checkFields(head []byte, budget message.Quota) error {
	fields := bytes.Count(head, []byte("\n"))
	switch {
	case fields > maxResponseFields:
		return errors.New("response has too many header fields")
	case contentLengthField.Match(head) && transferEncodingField.Match(head):
		return errors.New("response has two framings")
	}
	return c.reserve(memory.HeadCost(len(head), fields), budget)
}

// growReader replaces the read buffer by one for the longest head.
func (c *serverConn) growReader(budget message.Quota) error {
	if c.reader.Size() >= maxResponseHead {
		return bufio.ErrBufferFull
	}
	if err := c.reserve(maxResponseHead, budget); err != nil {
		return err
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // peeking at buffered bytes can't fail
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.Conn)
	c.reader = bufio.NewReaderSize(rest, maxResponseHead)
	return nil
}

// reserve reserves bytes of the budget until the connection is released.
func (c *serverConn) reserve(size int64, budget message.Quota) error {
	if !budget.TryAcquire(size) {
		return errNoMemory
	}
	c.reserved += size
	c.budget = budget
	return nil
}

// moveReserved makes the owner of a response body release what its long head has reserved. The head is held as long as
// the body, and the connection may carry other messages by then.
func (c *serverConn) moveReserved(body *message.ResponseBody) {
	body.Reserved += c.reserved
	c.reserved = 0
}

// releaseReserved gives up what a long head has reserved, and the read buffer that it needed. It is called when the
// response has been read.
func (c *serverConn) releaseReserved() {
	if c.reserved > 0 {
		c.budget.Release(c.reserved)
		c.reserved = 0
	}
	if c.reader.Size() > readBufferSize {
		c.reader = bufio.NewReaderSize(c.Conn, readBufferSize)
	}
}
