package agent

import (
	"errors"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// A client that stops in the middle of a request's head is disconnected within 3 s, on a new connection and on one that
// has carried a request. Guards against a head whose first bytes leave the connection its time as an idle one.
func TestConnectionWithAPartialHeadIsClosedInTime(t *testing.T) {
	t.Parallel()
	const tolerance = time.Second // for a busy machine
	head := agenttest.RequestText(2, timeoutMs)
	for name, sent := range map[string]string{
		"one byte":       head[:1],
		"three bytes":    head[:3],
		"request line":   head[:len("GET /api/a HTTP/1.1\r\n")],
		"all but a byte": head[:len(head)-1],
	} {
		for _, reused := range []bool{false, true} {
			t.Run(map[bool]string{false: "new connection, ", true: "kept connection, "}[reused]+name, func(t *testing.T) {
				t.Parallel()
				agent, _ := startWithServer(t, agenttest.RespondOK)
				client := agent.dial()
				if reused {
					agenttest.WantStatus(t, client.Request(t).Status, http.StatusOK)
				}
				send(client, sent)
				stopped := time.Now()
				if err := client.SetDeadline(stopped.Add(3*time.Second + tolerance)); err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, client.Reader); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("still connected %v after the head stopped", time.Since(stopped))
				}
			})
		}
	}
}
