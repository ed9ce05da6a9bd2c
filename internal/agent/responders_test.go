package agent

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// respondWith is a responder with one response to every request.
func respondWith(status int, header, body string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		return agenttest.SendResponse(conn, status, header, body)
	}
}

// sendText sends a text to every request, which need not be a response, and keeps the connection open.
func sendText(text string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text)
		return true
	}
}

// sendTextAndClose sends a text to every request, which need not be a response, and closes the connection.
func sendTextAndClose(text string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text)
		return false
	}
}

// sendTextAndReset sends a text to every request and sendTextAndReset the connection.
func sendTextAndReset(text string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text)
		return agenttest.ResetConn(conn)
	}
}

// respondOverloaded rejects a request as one that did not execute.
func respondOverloaded(conn net.Conn, _ *http.Request, _ int) bool {
	return agenttest.SendResponse(conn, http.StatusServiceUnavailable, "Not-Started: 1\r\n", "")
}

// variedBytes is that many bytes that differ.
func variedBytes(count int) []byte {
	body := make([]byte, count)
	for i := range body {
		body[i] = byte(i * 31 >> (i % 5))
	}
	return body
}

// digest identifies a body by its length and its hash.
func digest(body []byte) string { return fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)) }

// hashResponder responds with the digest of the request's body.
func hashResponder(conn net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return agenttest.SendResponse(conn, http.StatusOK, "", digest(body))
}
