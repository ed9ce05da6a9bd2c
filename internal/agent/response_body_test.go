package agent

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// The first bytes of a long response are forwarded before the rest has arrived.
func TestLongResponseIsStreamed(t *testing.T) {
	proceed := make(chan struct{})
	long := variedBytes(3 * message.MaxBufferedBody)
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "length":
			sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
			send(conn, string(long[:100]))
			<-proceed
			send(conn, string(long[100:]))
		case "chunks":
			sendf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n64;a=b\r\n%s\r\n", long[:100])
			<-proceed
			sendf(conn, "%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(long)-100, long[100:])
		case "close":
			send(conn, "HTTP/1.1 200 OK\r\n\r\n")
			send(conn, string(long[:100]))
			<-proceed
			send(conn, string(long[100:]))
			return false
		}
		return true
	})
	for _, form := range []string{"length", "chunks", "close"} {
		req := agenttest.NewRequest(agent.addr, "order", "x")
		req.URL.RawQuery = form
		resp, err := agenttest.HTTPClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 100)
		if _, err := io.ReadFull(resp.Body, first); err != nil {
			t.Fatalf("%s: %v", form, err)
		}
		proceed <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(append(first, rest...), long) {
			t.Errorf("%s: response status %d, %d bytes, error %v", form, resp.StatusCode, 100+len(rest), err)
		}
		time.Sleep(reuseDelay)
	}
	if server.Count() != 3 || server.MaxConns() > 1 {
		t.Errorf("%d requests, %d concurrent connections; want 3, 1", server.Count(), server.MaxConns())
	}
}

// If a streamed response breaks the client can tell that it is incomplete, and the request is not sent again.
func TestLongResponseAborted(t *testing.T) {
	long := variedBytes(3 * message.MaxBufferedBody)
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "length":
			sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)+1)
		case "chunks":
			sendf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(long)+1)
		}
		send(conn, string(long))
		return false
	})
	for i, form := range []string{"length", "chunks"} {
		lines := agent.logLines()
		req := agenttest.NewRequest(agent.addr, "read", "")
		req.URL.RawQuery = form
		resp, err := agenttest.HTTPClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !errors.Is(err, io.ErrUnexpectedEOF) || len(got) > len(long) {
			t.Errorf("%s: read %d bytes, error %v; want io.ErrUnexpectedEOF", form, len(got), err)
		}
		agenttest.WaitLine(t, lines, "response aborted")
		if server.Count() != i+1 {
			t.Errorf("%s: server received %d requests, want %d", form, server.Count(), i+1)
		}
	}
}

// If a client closes in the middle of a streamed response, the server connection is closed too.
func TestClientClosesDuringALongResponse(t *testing.T) {
	writeFailed := make(chan error, 1)
	agent, _ := startWithServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		var err error
		for piece := variedBytes(message.MaxBufferedBody); err == nil; {
			_, err = conn.Write(piece)
		}
		writeFailed <- err
		return false
	})
	client := agent.dial()
	send(client, agenttest.RequestText(1, 4000))
	if _, err := client.Reader.Peek(4096); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	select {
	case <-writeFailed:
	case <-time.After(agenttest.Timeout):
		t.Error("server connection is still open")
	}
}
