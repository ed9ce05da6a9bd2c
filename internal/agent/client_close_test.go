package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
)

const (
	longTimeoutMs = 30_000 // longer than any of these tests waits for an answer
	readRequest   = "GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 30000\r\n\r\n"
)

// clientCloses are the ways in which a client ends its connection.
var clientCloses = map[string]func(*net.TCPConn) error{
	"close":      (*net.TCPConn).Close,
	"half-close": (*net.TCPConn).CloseWrite,
	"reset": func(conn *net.TCPConn) error {
		if err := conn.SetLinger(0); err != nil {
			return err
		}
		return conn.Close()
	},
}

// closeMoment is an agent in the state in which a client ends its connection.
type closeMoment struct {
	agent    *testAgent
	requests string      // what the client has sent by then
	reached  func() bool // tells whether the moment is there
	proceed  func()      // lets go on whatever waited for the close
	begun    func() int  // requests that have begun to arrive at backends
	allowed  int         // how many of those began before the close
	answers  int         // final answers that a client which still reads is owed
}

// blockedServer blocks each request until release is called.
func blockedServer(t *testing.T, answer func(net.Conn, *http.Request, int) bool) (server *agenttest.Server, release func()) {
	held := make(chan struct{})
	server = agenttest.NewServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		<-held
		return answer(conn, req, n)
	})
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return server, release
}

func respondOverloaded(conn net.Conn, _ *http.Request, _ int) bool {
	return agenttest.SendResponse(conn, 503, "Not-Started: 1\r\n", "")
}

// closeAtServer closes while a server works on the request.
func closeAtServer(t *testing.T) closeMoment {
	server, release := blockedServer(t, agenttest.RespondOK)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), nil)
	return closeMoment{agent: agent, requests: readRequest, reached: func() bool { return server.Count() == 1 },
		proceed: release, begun: server.StartedCount, allowed: 1, answers: 1}
}

// closeBeforeRetry closes while the attempt is in flight whose end leads to a retry.
func closeBeforeRetry(t *testing.T) closeMoment {
	first, release := blockedServer(t, respondOverloaded)
	second, releaseSecond := blockedServer(t, respondOverloaded)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr)), nil)
	begun := func() int { return first.StartedCount() + second.StartedCount() }
	return closeMoment{agent: agent, requests: readRequest, reached: func() bool { return begun() == 1 },
		proceed: func() { release(); releaseSecond() }, begun: begun, allowed: 1, answers: 1}
}

// closeWhileQueued closes while the request is queued in the agent for its only server.
func closeWhileQueued(t *testing.T) closeMoment { return queuedBehind(t, agenttest.RespondOK) }

// queuedBehind has the concurrency limit of the only server used up, which responds once it is released.
func queuedBehind(t *testing.T, answer func(net.Conn, *http.Request, int) bool) closeMoment {
	server, release := blockedServer(t, answer)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), nil)
	const room = 8 // the concurrency limit of a server without measurements
	for range room {
		fmt.Fprint(agent.dialKept(), readRequest)
	}
	agenttest.WaitUntil(t, "all room is taken", func() bool { return server.Count() == room })
	queued := func() bool { return agent.statsNow().Policy.Queued == 1 }
	return closeMoment{agent: agent, requests: readRequest, reached: queued, proceed: release,
		begun: server.StartedCount, allowed: room, answers: 1}
}

// closeWhileConnecting closes while the connection to the server is not established.
func closeWhileConnecting(t *testing.T) closeMoment {
	ln := fullListener(t)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), func(cfg *config.Config) {
		cfg.Settings.Limits.ConnectTimeoutMs = 10_000
	})
	var mu sync.Mutex
	arrived := 0
	accept := func() {
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					if n, _ := conn.Read(make([]byte, 1)); n > 0 {
						mu.Lock()
						arrived++
						mu.Unlock()
					}
				}()
			}
		}()
		time.Sleep(2500 * time.Millisecond) // a connect that goes on is tried again after 1 s
	}
	return closeMoment{agent: agent, requests: readRequest, proceed: accept, answers: 1,
		reached: func() bool { return agent.pool.ConnectCount() == 1 },
		begun: func() int {
			mu.Lock()
			defer mu.Unlock()
			return arrived
		}}
}

// blockedConn is a kept connection that looks open and is found broken at its first write, which blocks until
// blockedConn is a connection to a server. Once it is armed a write waits until the test lets it fail.
type blockedConn struct {
	net.Conn
	armed            atomic.Bool
	writing, proceed chan struct{}
}

func (conn *blockedConn) Write(p []byte) (int, error) {
	if !conn.armed.Load() {
		return conn.Conn.Write(p)
	}
	close(conn.writing)
	<-conn.proceed
	return 0, syscall.EPIPE
}

// startWithBlockedConn starts an agent that keeps one connection to a server, which a request has used and which
// blocks the next one. That request is not counted by the server's arrivals and heads.
func startWithBlockedConn(t *testing.T, server *agenttest.Server) (*testAgent, *blockedConn) {
	t.Helper()
	blocked := &blockedConn{writing: make(chan struct{}), proceed: make(chan struct{})}
	var dials atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		conn, err := upstream.DialTCP(ctx, addr, until)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		blocked.Conn = conn
		return blocked, nil
	}
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), func(cfg *config.Config) { cfg.Dial = dial })
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, http.StatusOK)
	time.Sleep(restTime)
	blocked.armed.Store(true)
	server.Forget()
	return agent, blocked
}

// restTime is well over the time that a connection rests before it carries another message.
const restTime = 100 * time.Millisecond

// closeOnBrokenKeptConnection closes while the request is written to a kept connection that breaks, after
// which the agent would open another. The byte behind the request hides the close from the server's own
// check.
func closeOnBrokenKeptConnection(t *testing.T) closeMoment {
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
	return closeMoment{agent: agent, requests: readRequest + "X", reached: reached,
		proceed: func() { close(broken.proceed) }, begun: server.StartedCount, answers: 1}
}

// closeBehindEarlierResponse closes while the earlier of two requests of the connection is still at a server.
func closeBehindEarlierResponse(t *testing.T) closeMoment {
	server, release := blockedServer(t, agenttest.RespondOK)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), nil)
	return closeMoment{agent: agent, requests: readRequest + readRequest, reached: func() bool { return server.Count() == 1 },
		proceed: release, begun: server.StartedCount, allowed: 1, answers: 2}
}

// closeInLongBody closes before the last byte of a body that is streamed.
func closeInLongBody(t *testing.T) closeMoment {
	server := agenttest.NewServer(t, hashResponder)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), nil)
	head := fmt.Sprintf("POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", longTimeoutMs, 4*message.MaxBufferedBody)
	// Its head may have begun to arrive, its end can't: none counts as a request.
	return closeMoment{agent: agent, requests: head + strings.Repeat("x", 2*message.MaxBufferedBody),
		reached: func() bool { return server.StartedCount() == 1 }, proceed: func() {}, begun: server.Count, answers: 1}
}

// A client that ends its connection gets no further attempt, whatever the moment. One that ends only its own
// side may still read: it must get a final response, a server's or an error.
func TestNoAttemptBeginsAfterTheClientCloses(t *testing.T) {
	moments := map[string]func(*testing.T) closeMoment{
		"at a backend":                      closeAtServer,
		"before a retry":                    closeBeforeRetry,
		"queued":                            closeWhileQueued,
		"connecting":                        closeWhileConnecting,
		"broken kept connection":            closeOnBrokenKeptConnection,
		"behind the response of an earlier": closeBehindEarlierResponse,
		"in a long body":                    closeInLongBody,
	}
	for name, arrange := range moments {
		for way, end := range clientCloses {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				moment := arrange(t)
				client := moment.agent.dialKept()
				fmt.Fprint(client, moment.requests)
				agenttest.WaitUntil(t, "the moment has come", moment.reached)
				if err := end(client.Conn.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond) // its FIN or reset has long arrived
				moment.proceed()
				if way == "half-close" {
					wantFinalResponses(t, client.Br, moment.answers)
				}
				agenttest.WaitUntil(t, "the connection has ended", func() bool {
					return moment.agent.statsNow().Open == 0
				})
				if begun := moment.begun(); begun != moment.allowed {
					t.Errorf("%d attempts begun, want %d", begun, moment.allowed)
				}
				if metrics := moment.agent.metricsNow(); metrics.Violations+metrics.Backstops > 0 {
					t.Errorf("figures %+v", metrics)
				}
			})
		}
	}
}

// wantFinalAnswers reads one final response for each request: a server's, or an error.
func wantFinalResponses(t *testing.T, br *bufio.Reader, want int) {
	t.Helper()
	for i := range want {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d of %d: %v", i+1, want, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("answer %d of %d: %v", i+1, want, err)
		}
		if resp.StatusCode == http.StatusOK && len(body) == 0 {
			t.Errorf("answer %d of %d: 200 that no backend gave", i+1, want)
		}
	}
}
