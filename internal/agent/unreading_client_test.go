package agent

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// smallSocketBuffer is the size of socket buffers that a few responses fill, in bytes.
const smallSocketBuffer = 4096

// smallBufferListener accepts connections with a small send buffer.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(smallSocketBuffer)
}

// A client that sends requests and reads no response is disconnected once it has accepted nothing for
// message.StallTimeout. Guards against responses without a write deadline.
func TestClientThatNeverReadsIsDisconnected(t *testing.T) {
	t.Parallel()
	const tolerance = 5 * time.Second // for a busy machine
	respondError := func(conn net.Conn, _ *http.Request, _ int) bool {
		return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
	}
	for name, test := range map[string]struct {
		respond agenttest.Responder
		request string
	}{
		"served":    {agenttest.RespondOK, orderRequest(timeoutMs, string(variedBytes(smallSocketBuffer)))},
		"failed":    {respondError, orderRequest(timeoutMs, "x")},
		"rejected":  {respondOverloaded, orderRequest(timeoutMs, "x")},
		"readiness": {agenttest.RespondOK, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := agenttest.NewServer(t, test.respond)
			listener := smallBufferListener{agenttest.Listen(t)}
			agent := startAgentOn(t, discoveryWith(t, server.Addr), listener, nil)
			client := agent.dial()
			if err := client.Conn.(*net.TCPConn).SetReadBuffer(smallSocketBuffer); err != nil {
				t.Fatal(err)
			}
			stalled := sendUntilDisconnected(t, client, test.request)
			if limit := message.StallTimeout + tolerance; stalled > limit {
				t.Errorf("disconnected %v after the last request was accepted, want at most %v", stalled, limit)
			}
		})
	}
}

// sendUntilDisconnected sends requests until the agent closes the connection, and returns for how long the agent had
// accepted none by then.
func sendUntilDisconnected(t *testing.T, client *agenttest.ClientConn, request string) (stalled time.Duration) {
	t.Helper()
	accepted := time.Now()
	for {
		if err := client.SetDeadline(time.Now().Add(agenttest.Timeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(client, request); err != nil {
			return time.Since(accepted)
		}
		accepted = time.Now()
	}
}
