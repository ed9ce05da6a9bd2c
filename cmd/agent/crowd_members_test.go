package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastRequestID is the number of the last request of a crowd.
var lastRequestID atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, lastRequestID.Add(1)) }

// crowdRequestHead returns the head of a request with further header fields, each of which ends with CRLF.
func crowdRequestHead(path, id string, timeout time.Duration, fields string) string {
	const format = "POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n%s\r\n"
	return fmt.Sprintf(format, path, id, orderClass, timeout.Milliseconds(), fields)
}

// writePaced writes size bytes at slowWriteRate, each piece with write, and reports whether that succeeded.
func writePaced(ctx context.Context, size int, write func(piece string) error) bool {
	piece := strings.Repeat("x", slowWriteRate*int(paceInterval)/int(time.Second))
	for sent := 0; sent < size && ctx.Err() == nil; sent += len(piece) {
		if write(piece[:min(len(piece), size-sent)]) != nil {
			return false
		}
		pause(ctx, paceInterval)
	}
	return ctx.Err() == nil
}

// sendSlowly returns a member that sends requests with bodies of the given size at slowWriteRate.
func sendSlowly(size int) crowdMember {
	return func(ctx context.Context, conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			fields := fmt.Sprintf("Content-Length: %d\r\n", size)
			head := crowdRequestHead(orderPath, newRequestID("s"), trafficTimeout, fields)
			write := func(text string) error {
				_, err := io.WriteString(conn, text)
				return err
			}
			if write(head) != nil || !writePaced(ctx, size, write) || !skipResponse(reader) {
				return
			}
		}
	}
}

// sendChunksSlowly sends a chunked body of shortBodySize bytes at slowWriteRate.
func sendChunksSlowly(ctx context.Context, conn net.Conn, _ int) {
	head := crowdRequestHead(orderPath, newRequestID("c"), trafficTimeout,
		"Transfer-Encoding: chunked\r\n")
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	sent := writePaced(ctx, shortBodySize, func(piece string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		return err
	})
	if !sent {
		return
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err == nil {
		skipResponse(bufio.NewReader(conn))
	}
}

// skipResponse reads a response and reports whether another request may follow.
func skipResponse(reader *bufio.Reader) bool {
	received, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	got, err := readAll(received)
	return err == nil && !got.close
}

// readSlowly reads a long response at slowReadRate.
func readSlowly(ctx context.Context, conn net.Conn, index int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	head := crowdRequestHead(longResponsePath, newRequestID("l"), trafficTimeout,
		"Content-Length: 0\r\n")
	if _, err := io.WriteString(conn, head); err == nil {
		readPiecesSlowly(ctx, conn, index)
	}
}

// readPiecesSlowly reads from a connection at slowReadRate until it ends.
func readPiecesSlowly(ctx context.Context, conn net.Conn, _ int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	buffer := make([]byte, slowReadRate*int(paceInterval)/int(time.Second))
	for ctx.Err() == nil {
		if _, err := io.ReadFull(conn, buffer); err != nil {
			return
		}
		pause(ctx, paceInterval)
	}
}

// sendFast sends bodies of 1 MB without a pause.
func sendFast(ctx context.Context, conn net.Conn, _ int) {
	const size = 1 << 20
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		head := crowdRequestHead(orderPath, newRequestID("f"), trafficTimeout,
			fmt.Sprintf("Content-Length: %d\r\n", size))
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(conn, head+strings.Repeat("x", size))
			sent <- err
		}()
		if !skipResponse(reader) || <-sent != nil {
			return
		}
	}
}

// stopHalfWay sends half of a long body and waits for the end of the connection.
func stopHalfWay(ctx context.Context, conn net.Conn, index int) {
	head := crowdRequestHead(orderPath, newRequestID("h"), trafficTimeout,
		fmt.Sprintf("Content-Length: %d\r\n", longBodySize))
	if _, err := io.WriteString(conn, head+strings.Repeat("x", shortBodySize/2)); err == nil {
		awaitClose(ctx, conn, index)
	}
}

// shortFields returns header fields of four bytes and a line end, with different names, of about size bytes.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

const shortFieldsSize = 15_000

// sendShortFields sends requests with very many short fields.
func sendShortFields(ctx context.Context, conn net.Conn, _ int) {
	fields := "Content-Length: 0\r\n" + shortFields(shortFieldsSize)
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		head := crowdRequestHead(orderPath, newRequestID("n"), trafficTimeout, fields)
		if _, err := io.WriteString(conn, head); err != nil || !skipResponse(reader) {
			return
		}
		pause(ctx, paceInterval)
	}
}

// sendUnfinishedFields sends very many short fields without the end of the head.
func sendUnfinishedFields(ctx context.Context, conn net.Conn, index int) {
	if _, err := io.WriteString(conn, "POST /api/a HTTP/1.1\r\n"+shortFields(shortFieldsSize)); err == nil {
		awaitClose(ctx, conn, index)
	}
}

// shortTrailerSize is the size of a trailer of short fields, in bytes. HTTP servers and clients read no longer ones.
const shortTrailerSize = 3_900

// sendShortTrailerFields sends chunked bodies with very many short trailer fields, and reads the long responses slowly.
func sendShortTrailerFields(ctx context.Context, conn net.Conn, index int) {
	head := crowdRequestHead(longResponsePath, newRequestID("r"), trafficTimeout, "Transfer-Encoding: chunked\r\n")
	if _, err := io.WriteString(conn, head+"1\r\nx\r\n0\r\n"+shortFields(shortTrailerSize)+"\r\n"); err != nil {
		return
	}
	readPiecesSlowly(ctx, conn, index)
}

// readTrailersLate requests responses of different sizes that end with a trailer, and reads them only in part.
func readTrailersLate(ctx context.Context, conn net.Conn, index int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	path := fmt.Sprintf("%s?size=%d", trailerResponsePath, (1+index%trailerSizes)*trailerSizeStep)
	head := crowdRequestHead(path, newRequestID("q"), trafficTimeout, "Content-Length: 0\r\n")
	if _, err := io.WriteString(conn, head); err == nil {
		pause(ctx, crowdTime)
	}
}

const (
	// trailerSizeStep is the step between the sizes of the responses with trailers, in bytes, and trailerSizes their
	// number.
	trailerSizeStep, trailerSizes = 32 << 10, 64
	// headFields and headFieldSize are the number and the size of the fields of a response with a long head.
	headFields, headFieldSize = 90, 150
	// unreadRequests is the number of requests that a client sends whose responses it does not read.
	unreadRequests = 60
)

// readNoHeads sends requests whose responses have long heads, and does not read the responses.
func readNoHeads(ctx context.Context, conn net.Conn, _ int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	for range unreadRequests {
		head := crowdRequestHead(headResponsePath, newRequestID("u"), trafficTimeout, "Content-Length: 0\r\n")
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
	}
	pause(ctx, crowdTime)
}

// callWithShortFields makes a call of the admin endpoint with very many short header fields or, every other caller,
// trailer fields.
func callWithShortFields(ctx context.Context, conn net.Conn, index int) {
	head := "PUT /ops/drain/stop HTTP/1.1\r\nHost: x\r\n"
	text := head + "Content-Length: 0\r\n" + shortFields(shortFieldsSize*2/3) + "\r\n"
	if index%2 == 0 {
		text = head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortFields(shortTrailerSize) + "\r\n"
	}
	if _, err := io.WriteString(conn, text); err == nil {
		awaitClose(ctx, conn, index)
	}
}

// awaitClose sends nothing more and reads until the agent closes the connection.
func awaitClose(_ context.Context, conn net.Conn, _ int) { _, _ = io.Copy(io.Discard, conn) }
