package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"fernbeam.example/fernbeam/internal/agent/message"
)

// chunkedBody is a response body in the chunked encoding. It drops the fields of the trailer, which are not passed on;
// net/http would keep them parsed, at many times their size.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader // of the connection; at the trailer once chunks has ended
	ended  error         // the error of all further reads
}

// dropTrailer replaces the body of a response by one that drops the fields of its trailer.
func (c *serverConn) dropTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &chunkedBody{chunks: httputil.NewChunkedReader(c.reader), reader: c.reader}
	}
}

// Read reads the data of the chunks. The error is io.EOF only once the trailer has been read too.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.skipTrailer()
	}
	b.ended = err
	return n, err
}

// Close does nothing: the pool closes or reuses the connection.
func (*chunkedBody) Close() error { return nil }

// skipTrailer reads to the end of the trailer, and then returns io.EOF.
func (b *chunkedBody) skipTrailer() error {
	for size := 0; size <= message.MaxTrailer; {
		line, err := b.reader.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case string(line) == "\r\n", string(line) == "\n":
			return io.EOF
		}
		size += len(line)
	}
	return message.ErrLongTrailer
}
