package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// client sends requests on one connection after another until ctx is done.
func (s *soak) client(ctx context.Context, index int) {
	request := soakRequest{}
	for number := 0; ctx.Err() == nil; {
		dialer := net.Dialer{Timeout: soakConnectTime}
		conn, err := dialer.DialContext(ctx, "tcp", s.addr)
		if err != nil {
			pause(ctx, paceInterval)
			continue
		}
		reader := bufio.NewReader(conn)
		for open, kept := true, false; open && ctx.Err() == nil; kept = true {
			if !request.again {
				number++
				request = soakRequest{id: fmt.Sprintf("c%d-%d", index, number), leaves: number%leavingStep == 0}
			}
			open = s.exchange(conn, reader, &request, kept)
			pause(ctx, time.Duration(number%5)*paceInterval/2)
		}
		_ = conn.Close()
	}
}

// soakRequest is a request of a client of a soak.
type soakRequest struct {
	id       string
	leaves   bool  // the client leaves without waiting for the response
	again    bool  // it is to be sent again, on a new connection
	restarts int64 // value of soak.restarts when it was first sent
}

// exchange sends a request and reads the answer, and reports whether another request may follow. A request is lost if
// it has no answer half a second after its time, or when its process is killed although its time has passed. kept tells
// that the connection has carried an earlier request: a close without an answer has then crossed this one.
func (s *soak) exchange(conn net.Conn, reader *bufio.Reader, request *soakRequest, kept bool) bool {
	wasDown, restarts, term := s.isDown.Load(), s.restarts.Load(), s.term.Load()
	first := !request.again
	request.again = false
	if first {
		request.restarts = restarts
	}
	defer s.checkSure(request)
	sentAt := time.Now()
	head := crowdRequestHead(orderPath, request.id, shortTimeout, "Content-Length: 1\r\n")
	if _, err := io.WriteString(conn, head+"x"); err != nil {
		request.again = kept
		return false
	}
	if request.leaves && first {
		time.Sleep(serviceTime / 2) // the request may be at a server
		_ = conn.Close()
		request.again = time.Since(sentAt) < serviceTime // otherwise it may have been answered
		return false
	}
	received, err := readResponseUntil(conn, reader, sentAt.Add(shortTimeout+answerGrace))
	if err == nil {
		got, err := readAll(received)
		return err == nil && !got.close
	}
	took := time.Since(sentAt)
	isKilled := wasDown || s.restarts.Load() != restarts
	switch {
	case isTimeout(err) && !isKilled:
		s.record("%s: no answer after %v", request.id, took)
	case isKilled && term > 0 && took > shortTimeout+paceInterval:
		s.record("%s: sent %v after SIGTERM, no answer %v later at the kill", request.id,
			sentAt.Sub(time.Unix(0, term)), took)
	case !isTimeout(err):
		request.again = kept
	}
	return false
}

// checkSure records a request for which a process was killed since it was first sent. If it is sent again, no process
// may know that it has executed.
func (s *soak) checkSure(request *soakRequest) {
	if s.restarts.Load() == request.restarts {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsure[request.id] = true
}

func (s *soak) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}
