package agent

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	longTimeoutMs = 30_000 // longer than any of these tests waits for a response
	// closeArrivalDelay is when a client's FIN or reset has long arrived.
	closeArrivalDelay = 50 * time.Millisecond
	// connectRetryDelay is when a connect that found the accept queue full has tried again: it does after 1 s.
	connectRetryDelay = 2500 * time.Millisecond
	// longConnectTimeoutMs is longer than any connect of these tests waits.
	longConnectTimeoutMs = 10_000
	// initialConcurrency is a lone agent's concurrency limit at a server without measurements.
	initialConcurrency = 8
)

// readRequest is a request of the class read with a long timeout.
var readRequest = agenttest.RequestText(1, longTimeoutMs)

// halfClose ends only the client's side: it may still read.
const halfClose = "half-close"

// clientCloses are the ways in which a client ends its connection.
var clientCloses = map[string]func(*net.TCPConn) error{
	"close":   (*net.TCPConn).Close,
	halfClose: (*net.TCPConn).CloseWrite,
	"reset": func(conn *net.TCPConn) error {
		if err := conn.SetLinger(0); err != nil {
			return err
		}
		return conn.Close()
	},
}

// closeScenario is an agent in the state in which a client ends its connection.
type closeScenario struct {
	agent     *testAgent
	requests  string      // what the client has sent by then
	reached   func() bool // reports whether the agent is in that state
	proceed   func()      // unblocks what waited for the close
	started   func() int  // requests that have begun to arrive at servers
	allowed   int         // how many of those began before the close
	responses int         // final responses that a client which still reads has to get
}

// closeAtServer closes while a server works on the request.
func closeAtServer(t *testing.T) closeScenario {
	t.Helper()
	server, release := blockedServer(t, agenttest.RespondOK)
	agent := startAgent(t, discoveryWith(t, server.Addr), nil)
	return closeScenario{
		agent:     agent,
		requests:  readRequest,
		reached:   func() bool { return server.Count() == 1 },
		proceed:   release,
		started:   server.StartedCount,
		allowed:   1,
		responses: 1,
	}
}

// closeBeforeRetry closes while the attempt is in flight whose end leads to a retry.
func closeBeforeRetry(t *testing.T) closeScenario {
	t.Helper()
	first, release := blockedServer(t, respondOverloaded)
	second, releaseSecond := blockedServer(t, respondOverloaded)
	agent := startAgent(t, discoveryWith(t, first.Addr, second.Addr), nil)
	begun := func() int { return first.StartedCount() + second.StartedCount() }
	return closeScenario{
		agent:    agent,
		requests: readRequest,
		reached:  func() bool { return begun() == 1 },
		proceed: func() {
			release()
			releaseSecond()
		},
		started:   begun,
		allowed:   1,
		responses: 1,
	}
}

// closeWhileQueued closes while the request is queued in the agent for its only server.
func closeWhileQueued(t *testing.T) closeScenario {
	t.Helper()
	return startAtConcurrencyLimit(t, agenttest.RespondOK)
}

// startAtConcurrencyLimit has the concurrency limit of the only server used up, which responds once it is released.
func startAtConcurrencyLimit(t *testing.T, respond agenttest.Responder) closeScenario {
	t.Helper()
	server, release := blockedServer(t, respond)
	agent := startAgent(t, discoveryWith(t, server.Addr), nil)
	for range initialConcurrency {
		send(agent.dial(), readRequest)
	}
	agenttest.WaitUntil(t, "the server's concurrency limit is reached", func() bool {
		return server.Count() == initialConcurrency
	})
	return closeScenario{
		agent:     agent,
		requests:  readRequest,
		reached:   func() bool { return agent.statsNow().Policy.Queued == 1 },
		proceed:   release,
		started:   server.StartedCount,
		allowed:   initialConcurrency,
		responses: 1,
	}
}

// closeWhileConnecting closes while the connection to the server is not established.
func closeWhileConnecting(t *testing.T) closeScenario {
	t.Helper()
	listener := fullListener(t)
	agent := startAgent(t, discoveryWith(t, listener.Addr().String()), withLongConnectTimeout)
	var arrived atomic.Int64
	return closeScenario{
		agent:    agent,
		requests: readRequest,
		reached:  func() bool { return agent.pool.ConnectCount() == 1 },
		proceed: func() {
			go agenttest.AcceptAll(listener, func(conn net.Conn) {
				if n, _ := conn.Read(make([]byte, 1)); n > 0 {
					arrived.Add(1)
				}
			})
			time.Sleep(connectRetryDelay)
		},
		started:   func() int { return int(arrived.Load()) },
		responses: 1,
	}
}

// closeOnBrokenReusedConn closes while the request is written to a kept connection that breaks, after
// which the agent would open another. The byte behind the request hides the close from net/http, which reads
// one byte in the background.
func closeOnBrokenReusedConn(t *testing.T) closeScenario {
	t.Helper()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent, broken := startWithBlockedConn(t, server)
	reached := func() bool {
		select {
		case <-broken.writing:
			return true
		default:
			return false
		}
	}
	return closeScenario{
		agent:     agent,
		requests:  readRequest + "X",
		reached:   reached,
		proceed:   func() { close(broken.proceed) },
		started:   server.StartedCount,
		responses: 1,
	}
}

// closeWithPipelinedRequest closes while the earlier of two requests of the connection is still at a server.
func closeWithPipelinedRequest(t *testing.T) closeScenario {
	t.Helper()
	moment := closeAtServer(t)
	moment.requests = readRequest + readRequest
	moment.responses = 2
	return moment
}

// closeInLongBody closes before the last byte of a body that is streamed.
func closeInLongBody(t *testing.T) closeScenario {
	t.Helper()
	server := agenttest.NewServer(t, hashResponder)
	agent := startAgent(t, discoveryWith(t, server.Addr), nil)
	head := orderHead(longTimeoutMs, 4*message.MaxBufferedBody)
	return closeScenario{
		agent:     agent,
		requests:  head + strings.Repeat("x", 2*message.MaxBufferedBody),
		reached:   func() bool { return server.StartedCount() == 1 },
		proceed:   func() {},
		started:   server.Count, // of complete requests: the head may have arrived
		responses: 1,
	}
}

// A client that ends its connection gets no further attempt, whatever the moment. One that ends only its own
// side may still read: it must get a final response, a server's or an error.
func TestNoAttemptBeginsAfterTheClientCloses(t *testing.T) {
	moments := map[string]func(*testing.T) closeScenario{
		"at a server":                       closeAtServer,
		"before a retry":                    closeBeforeRetry,
		"queued":                            closeWhileQueued,
		"connecting":                        closeWhileConnecting,
		"broken kept connection":            closeOnBrokenReusedConn,
		"behind the response of an earlier": closeWithPipelinedRequest,
		"in a long body":                    closeInLongBody,
	}
	for name, arrange := range moments {
		for closeName, endConnection := range clientCloses {
			t.Run(name+"/"+closeName, func(t *testing.T) {
				t.Parallel()
				moment := arrange(t)
				client := moment.agent.dial()
				send(client, moment.requests)
				agenttest.WaitUntil(t, "the moment is reached", moment.reached)
				if err := endConnection(client.Conn.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(closeArrivalDelay)
				moment.proceed()
				if closeName == halfClose {
					wantFinalResponses(t, client.Reader, moment.responses)
				}
				agenttest.WaitUntil(t, "the connection has ended", func() bool {
					return moment.agent.statsNow().Open == 0
				})
				if begun := moment.started(); begun != moment.allowed {
					t.Errorf("%d attempts begun, want %d", begun, moment.allowed)
				}
				moment.agent.wantNoViolationsOrBackstops()
			})
		}
	}
}

// wantFinalResponses reads one final response for each request: a server's, or an error.
func wantFinalResponses(t *testing.T, reader *bufio.Reader, want int) {
	t.Helper()
	for i := range want {
		response, err := agenttest.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d of %d: %v", i+1, want, err)
		}
		if response.Status == http.StatusOK && response.Body == "" {
			t.Errorf("response %d of %d: 200 that no server sent", i+1, want)
		}
	}
}
