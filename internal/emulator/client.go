package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// minRequestTimeout is the shortest remaining time with which a client still sends a request.
const minRequestTimeout = 5 * time.Millisecond

// clients are the client applications, one for each agent. They form an open loop: the time of a call does not depend
// on the outcome of earlier calls. A client retries a call up to Config.Retries times.
type clients struct {
	emulator   *Emulator
	byAgent    map[string]*client
	background sync.WaitGroup // running clients and open calls

	mu             sync.Mutex
	finished       []*liveRequest
	seconds        []SecondTotals
	latencies      *hdrhistogram.Histogram // latencies of served calls, in microseconds
	sojournSeconds float64                 // sum of the latencies of served calls
	workSeconds    float64                 // sum of the work of served calls
}

// SecondTotals sums the values of the calls due in one second by outcome. The value of a call is its priority weight
// times its work in units of the mean work.
type SecondTotals struct {
	Requested float64 `json:"Asked"`
	InTime    float64 `json:"InTime"`
	Late      float64 `json:"Late"`
	Rejected  float64 `json:"Refused"`
	Failed    float64 `json:"Failed"`
}

// add adds the totals of another second.
func (s *SecondTotals) add(other SecondTotals) {
	s.Requested += other.Requested
	s.InTime += other.InTime
	s.Late += other.Late
	s.Rejected += other.Rejected
	s.Failed += other.Failed
}

// client is the client application of one agent.
type client struct {
	clients  *clients
	emulator *Emulator
	agent    Agent
	address  string // of the agent
	index    int

	mu   sync.Mutex
	idle []*clientConn
	open map[*liveRequest]bool
}

// newClients returns a client for each agent.
func newClients(e *Emulator) *clients {
	c := &clients{
		emulator:  e,
		byAgent:   map[string]*client{},
		latencies: newDelayHistogram(),
	}
	for i, agent := range e.config.Agents {
		c.byAgent[agent.Name] = &client{
			clients:  c,
			emulator: e,
			agent:    agent,
			address:  e.Address(i, ListenPort),
			index:    i,
			open:     map[*liveRequest]bool{},
		}
	}
	return c
}

// run makes calls from all clients for the given time and returns when the last call has ended.
func (c *clients) run(ctx context.Context, length time.Duration) {
	c.seconds = make([]SecondTotals, int(length/time.Second)+1)
	trafficStart := c.emulator.Now()
	for _, client := range c.byAgent {
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			client.run(ctx, trafficStart, length)
		}()
	}
	c.background.Wait()
}

// run draws the client's calls from its workload and makes each when it is due.
func (c *client) run(ctx context.Context, trafficStart, length time.Duration) {
	workload := newWorkload(c.emulator, c.index, c.agent.Share)
	for number := 0; ; number++ {
		next, ok := workload.next(length)
		if !ok {
			return
		}
		next.due += trafficStart
		select {
		case <-time.After(time.Until(c.emulator.startTime.Add(next.due))):
		case <-c.emulator.stopped:
			return
		}
		c.emulator.recordTimerDelay(c.emulator.Now() - next.due)
		c.clients.background.Add(1)
		go func() {
			defer c.clients.background.Done()
			outcome := c.makeCall(ctx, next, number)
			c.clients.recordCall(next, outcome, trafficStart)
		}()
	}
}

// makeCall sends a request and its retries until one is served, no further retry is allowed, or the total timeout is
// reached. It returns the outcome of the last request, or an empty outcome if there was no time for any.
func (c *client) makeCall(ctx context.Context, call call, number int) (outcome Outcome) {
	config := &c.emulator.config
	class := &config.Classes[call.class]
	deadline := call.due + class.TotalTimeout
	for retry := 0; retry <= config.Retries && !c.emulator.isStopped(); retry++ {
		requestTimeout := time.Duration(config.RequestTimeoutShare * float64(class.TotalTimeout))
		timeout := min(requestTimeout, deadline-c.emulator.Now())
		if timeout < minRequestTimeout {
			break
		}
		outcome = c.sendRequest(ctx, c.newRequest(call, number, retry, timeout))
		if !mayRetry(class, outcome) {
			break
		}
		simulateDelay(config.RetryDelay)
	}
	return outcome
}

// newRequest returns a request of the numbered call; retry 0 is the first request, higher values are its retries.
func (c *client) newRequest(call call, number, retry int, timeout time.Duration) *liveRequest {
	request := &liveRequest{
		class:          &c.emulator.config.Classes[call.class],
		agent:          c.agent.Name,
		key:            call.key,
		work:           call.work,
		dependencyWait: call.dependencyWait,
		record: &Request{
			ID:      fmt.Sprintf("%04x%010x%02x", c.index, number, retry),
			Agent:   c.agent.Name,
			Class:   call.class,
			Key:     call.key,
			Retry:   retry,
			Timeout: timeout,
		},
	}
	if request.class.Idempotency == balancer.IdempotentByKey {
		request.idempotencyKey = fmt.Sprintf("%04x%028x", c.index, number)
	}
	return request
}

// mayRetry reports whether a client retries after the given outcome (WIRE, "Client behaviour").
func mayRetry(class *Class, outcome Outcome) bool {
	switch outcome {
	case Served, RequestLost, ResponseForged:
		return false
	case RequestRejected, AgentUnreachable:
		return true
	default: // the request may have executed
		return class.idempotentEverywhere()
	}
}

// sendRequest sends one request, records its outcome and returns it.
func (c *client) sendRequest(ctx context.Context, request *liveRequest) Outcome {
	request.record.Sent = c.emulator.Now()
	c.emulator.requests.Store(request.record.ID, request)
	c.mu.Lock()
	c.open[request] = true
	c.mu.Unlock()
	outcome := c.roundTrip(ctx, request)
	c.mu.Lock()
	delete(c.open, request)
	c.mu.Unlock()
	request.end(outcome, c.emulator.Now(), c.emulator.isAgentStopped(c.agent.Name))
	c.clients.mu.Lock()
	c.clients.finished = append(c.clients.finished, request)
	c.clients.mu.Unlock()
	return outcome
}

// recordCall adds a call and its outcome to the totals of the second in which it was due.
func (c *clients) recordCall(call call, outcome Outcome, trafficStart time.Duration) {
	class := &c.emulator.config.Classes[call.class]
	latency := c.emulator.Now() - call.due
	value := class.PriorityWeight * call.work.Seconds() / c.emulator.meanWorkSeconds
	c.mu.Lock()
	defer c.mu.Unlock()
	second := &c.seconds[int((call.due-trafficStart)/time.Second)]
	second.Requested += value
	switch {
	case outcome == Served && latency <= class.LatencyObjective:
		second.InTime += value
	case outcome == Served:
		second.Late += value
	case outcome == RequestRejected:
		second.Rejected += value
	default:
		second.Failed += value
	}
	if outcome == Served {
		recordDelay(c.latencies, max(time.Microsecond, latency))
		c.sojournSeconds += latency.Seconds()
		c.workSeconds += call.work.Seconds()
	}
}

// markAgentStopped marks the open requests of an agent whose process the experiment has stopped.
func (c *clients) markAgentStopped(agent string) {
	client := c.byAgent[agent]
	client.mu.Lock()
	defer client.mu.Unlock()
	for request := range client.open {
		request.markAgentStopped()
	}
}

// close waits for the open calls and closes the idle connections.
func (c *clients) close() {
	c.background.Wait()
	for _, client := range c.byAgent {
		client.mu.Lock()
		for _, conn := range client.idle {
			conn.discard()
		}
		client.idle = nil
		client.mu.Unlock()
	}
}
