package agent

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// respondWith returns a responder that sends the same response to every request.
func respondWith(status int, header, body string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		return agenttest.SendResponse(conn, status, header, body)
	}
}

// sendText returns a responder that sends text, which need not be a valid response, and keeps the connection open.
func sendText(text string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text)
		return true
	}
}

// sendTextAndClose returns a responder that sends text, which need not be a valid response, and closes the connection.
func sendTextAndClose(text string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text)
		return false
	}
}

// sendTextAndReset returns a responder that sends text and resets the connection.
func sendTextAndReset(text string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text)
		return agenttest.ResetConn(conn)
	}
}

// respondOverloaded rejects a request and states that it was not executed.
func respondOverloaded(conn net.Conn, _ *http.Request, _ int) bool {
	return agenttest.SendResponse(conn, http.StatusServiceUnavailable, "Not-Started: 1\r\n", "")
}

// variedBytes returns count bytes of varying values, so that lost or reordered bytes change the digest.
func variedBytes(count int) []byte {
	body := make([]byte, count)
	for i := range body {
		body[i] = byte(i * 31 >> (i % 5))
	}
	return body
}

// digest returns the length and the hash of a body.
func digest(body []byte) string { return fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)) }

// hashResponder is a responder that sends the digest of the request body.
func hashResponder(conn net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return agenttest.SendResponse(conn, http.StatusOK, "", digest(body))
}
