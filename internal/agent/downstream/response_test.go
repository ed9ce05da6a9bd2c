package downstream

import (
	"net"
	"net/http"
	"os"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// unwritableListener accepts connections on which each write fails.
type unwritableListener struct{ net.Listener }

func (l unwritableListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return unwritableConn{accepted}, nil
}

// unwritableConn fails each write as after an expired deadline.
type unwritableConn struct{ net.Conn }

func (unwritableConn) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// A final response that can't be written must not pass unnoticed: it is counted as aborted, whatever its kind.
func TestUnwrittenResponseIsCountedAsAborted(t *testing.T) {
	for name, response := range map[string]message.Response{
		"served":      {Kind: message.Served, Header: http.Header{}, Body: &message.ResponseBody{}},
		"rejected":    {Kind: message.Rejected},
		"failed":      {Kind: message.Failed},
		"timed out":   {Kind: message.Failed, TimedOut: true},
		"bad request": {Kind: message.Failed, BadRequest: true},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &testDispatcher{response: response}
			server := startServerWith(t, unwritableListener{agenttest.Listen(t)}, dispatcher)
			client := agenttest.DialClient(t, server.listener.Addr().String())
			sendRequest(t, client, agenttest.RequestText(1, 4000))
			client.WantClosed(t)
			if got := dispatcher.aborted.Load(); got != 1 {
				t.Errorf("%d responses counted as aborted, want 1", got)
			}
		})
	}
}
