package agent

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

const (
	// slowInterval is the time between two reads or writes of a slow server.
	slowInterval = 50 * time.Millisecond
	// answerGrace is how long after its time a request may still get its final answer.
	answerGrace = 500 * time.Millisecond
)

// slowBodyReader starts a server that reads request bodies at the given rate, in bytes per second, and then responds.
func slowBodyReader(t *testing.T, rate int) (addr string) {
	t.Helper()
	listener := agenttest.Listen(t)
	go agenttest.AcceptAll(listener, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(smallSocketBuffer)
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		piece := make([]byte, rate*int(slowInterval)/int(time.Second))
		for err == nil {
			_, err = io.ReadFull(req.Body, piece)
			time.Sleep(slowInterval) // the rate of the server
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			agenttest.SendResponse(conn, http.StatusOK, "", "done")
		}
	})
	return listener.Addr().String()
}

// A client whose large request is read slowly by its server gets the final answer in the request's time, which counts
// from its last byte. Guards against answers that come as late as the server reads.
func TestLargeRequestReadSlowlyIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	const requestTimeoutMs = 1500
	agent := startAgent(t, discoveryWith(t, slowBodyReader(t, 64<<10)), nil)
	client := agent.dial()
	send(client, orderRequest(requestTimeoutMs, strings.Repeat("x", 1<<20)))
	sentAt := time.Now()
	status := client.Status()
	if status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
		t.Errorf("response status %d, want 503 or 504", status)
	}
	if took, limit := time.Since(sentAt), requestTimeoutMs*time.Millisecond+answerGrace; took > limit {
		t.Errorf("final answer %v after the last byte, want at most %v", took, limit)
	}
}

// A request is not given up while its client still sends it and its server still reads it, however long that takes.
// Guards against a time that counts from before the last byte.
func TestUploadInProgressIsNotGivenUp(t *testing.T) {
	t.Parallel()
	const (
		size             = 16 << 20
		requestTimeoutMs = 1000
		inProgress       = 5 * time.Second
	)
	agent := startAgent(t, discoveryWith(t, slowBodyReader(t, 256<<10)), nil)
	client := agent.dial()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		send(client, orderRequest(requestTimeoutMs, strings.Repeat("x", size)))
	}()
	if err := client.SetReadDeadline(time.Now().Add(inProgress)); err != nil {
		t.Fatal(err)
	}
	_, err := client.Reader.Peek(1)
	select {
	case <-sent:
		t.Fatal("the client has sent everything, so that this test shows nothing")
	default:
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		line, _ := client.Reader.ReadString('\n')
		t.Errorf("%q (%v) while the client was sending", line, err)
	}
}

// A long response that its server writes slowly is passed on whole, also after the request's time. Guards against
// cutting off a response that has been begun.
func TestLongResponseWrittenSlowlyIsNotCutOff(t *testing.T) {
	t.Parallel()
	const (
		pieces           = 60
		requestTimeoutMs = 700
	)
	piece := strings.Repeat("y", 4<<10)
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 245760\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, _ := startWithServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				send(conn, head)
				for range pieces {
					send(conn, piece)
					time.Sleep(slowInterval) // the rate of the server
				}
				return false
			})
			client := agent.dial()
			send(client, orderRequest(requestTimeoutMs, "x"))
			response, err := agenttest.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if len(response.Body) != pieces*len(piece) {
				t.Errorf("%d bytes, want %d", len(response.Body), pieces*len(piece))
			}
		})
	}
}
