package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// clients are the applications, one beside each agent: they ask at times of their own, whatever
// becomes of earlier requests (open loop), and come again a few times.
type clients struct {
	emulator  *Emulator
	mu        sync.Mutex
	byAgent   map[string]*client
	finished  []*liveRequest
	seconds   []SecondTotals
	latencies *hdrhistogram.Histogram // of served requests, in microseconds
	// sojourn and asked are the sums of served requests' times and of their work, in seconds.
	sojournSeconds, workSeconds float64
	background                  sync.WaitGroup
}

// Second is what became of the requests that were due in one second, in worth (by work).
type SecondTotals struct {
	Requested float64 `json:"Asked"`
	InTime    float64 `json:"InTime"`
	Late      float64 `json:"Late"`
	Rejected  float64 `json:"Refused"`
	Failed    float64 `json:"Failed"`
}

type client struct {
	clients *clients
	agent   Agent
	address string
	index   int
	mu      sync.Mutex
	idle    []*clientConn
	open    map[*liveRequest]bool
}

// line is one connection to an agent.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// request is one try with what the nodes need to know of it.
type liveRequest struct {
	mu             sync.Mutex
	record         *Request
	class          *Class
	agent          string
	key            uint64
	work           time.Duration // on a standard core
	dependencyWait time.Duration // on others
	idempotencyKey string
}

func (r *liveRequest) keyText() string { return fmt.Sprintf("%016x", r.key) }

func (r *liveRequest) method() string {
	if r.class.Idempotency == "free" {
		return http.MethodGet
	}
	return http.MethodPost
}

func (r *liveRequest) addAttempt(a Attempt) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Attempts = append(r.record.Attempts, a)
	return len(r.record.Attempts) - 1
}

func (r *liveRequest) endAttempt(i int, how string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Attempts[i].Outcome, r.record.Attempts[i].Ended = how, at
}

func newClients(w *Emulator) *clients {
	c := &clients{emulator: w, byAgent: map[string]*client{}, latencies: hdrhistogram.New(1, 60_000_000, 3)}
	for i, a := range w.config.Agents {
		c.byAgent[a.Name] = &client{clients: c, agent: a, address: w.Address(i, ListenPort), index: i, open: map[*liveRequest]bool{}}
	}
	return c
}

func (w *Emulator) findRequest(id string) *liveRequest {
	r, ok := w.requests.Load(id)
	if !ok {
		return nil
	}
	return r.(*liveRequest)
}

// ask is one request as it was drawn: what is asked for, not what becomes of it.
type call struct {
	due            time.Duration
	class          int
	key            uint64
	work           time.Duration
	dependencyWait time.Duration
}

// run asks for a time; it returns when the last request has ended.
func (c *clients) run(length time.Duration) {
	c.seconds = make([]SecondTotals, int(length/time.Second)+1)
	began := c.emulator.Now()
	for _, a := range c.byAgent {
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			a.run(began, length)
		}()
	}
	c.background.Wait()
}

// run draws an application's requests and sends each at its time.
func (a *client) run(began, length time.Duration) {
	cfg := &a.clients.emulator.config
	src := rand.NewPCG(cfg.Seed, 3000+uint64(a.index))
	draw := rand.New(src)
	weights := make([]float64, cfg.Keys)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -cfg.Zipf)
	}
	keys := distuv.NewCategorical(weights, src)
	shares := make([]float64, len(cfg.Classes))
	for i, k := range cfg.Classes {
		shares[i] = k.Share
	}
	var due time.Duration
	for n := 0; ; n++ {
		factor, hot := a.clients.emulator.trafficAt(due)
		due += time.Duration(draw.ExpFloat64() / (cfg.Rate * a.agent.Share * factor) * 1e9)
		if due >= length {
			return
		}
		class := pickShare(draw.Float64(), shares)
		k := &cfg.Classes[class]
		q := call{due: began + due, class: class, key: 1 + uint64(keys.Rand()), work: sampleWork(k, src), dependencyWait: k.DependencyWait}
		if draw.Float64() < hot {
			q.key = 1
		}
		select {
		case <-time.After(time.Until(a.clients.emulator.startTime.Add(q.due))):
		case <-a.clients.emulator.stopped:
			return
		}
		a.clients.emulator.recordTimerDelay(a.clients.emulator.Now() - q.due)
		a.clients.background.Add(1)
		go func() {
			defer a.clients.background.Done()
			a.makeCall(q, n, began)
		}()
	}
}

// drawWork is a request's work: fixed, or of a log-normal distribution with the class's mean.
func sampleWork(k *Class, src rand.Source) time.Duration {
	if k.WorkCV == 0 {
		return k.Work
	}
	s2 := math.Log(1 + k.WorkCV*k.WorkCV)
	d := distuv.LogNormal{Mu: math.Log(k.Work.Seconds()) - s2/2, Sigma: math.Sqrt(s2), Src: src}
	return time.Duration(d.Rand() * 1e9)
}

// serve sends a request until it is served, nothing is to be tried again, or its time is over.
func (a *client) makeCall(q call, n int, began time.Duration) {
	cfg, k := &a.clients.emulator.config, &a.clients.emulator.config.Classes[q.class]
	how, end := "", q.due+k.TotalTimeout
	for nth := 0; nth <= cfg.Retries && !a.clients.emulator.isStopped(); nth++ {
		within := min(time.Duration(cfg.RequestTimeoutShare*float64(k.TotalTimeout)), end-a.clients.emulator.Now())
		if within < 5*time.Millisecond {
			break
		}
		t := &Request{ID: fmt.Sprintf("%04x%010x%02x", a.index, n, nth), Agent: a.agent.Name, Class: q.class, Key: q.key, Retry: nth, Timeout: within}
		r := &liveRequest{record: t, class: k, agent: a.agent.Name, key: q.key, work: q.work, dependencyWait: q.dependencyWait}
		if k.Idempotency == "guarded" {
			r.idempotencyKey = fmt.Sprintf("%04x%028x", a.index, n)
		}
		how = a.attemptRequest(r)
		if how == Served || how == RequestLost || how == ResponseForged || !mayRetry(k, how) {
			break
		}
		time.Sleep(cfg.RetryDelay)
	}
	a.clients.recordCall(q, k, how, began)
}

func (w *Emulator) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// mayRetry tells whether a client comes again (WIRE, "Client behaviour").
func mayRetry(k *Class, how string) bool {
	if k.Idempotency == "free" || k.Idempotency == "guarded" && k.DedupScope == "all" {
		return true
	}
	return how == RequestRejected || how == AgentUnreachable
}

func (c *clients) recordCall(q call, k *Class, how string, began time.Duration) {
	took := c.emulator.Now() - q.due
	worth := k.PriorityWeight * q.work.Seconds() / c.emulator.meanWorkSeconds
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.seconds[int((q.due-began)/time.Second)]
	s.Requested += worth
	switch {
	case how == Served && took <= k.LatencyObjective:
		s.InTime += worth
	case how == Served:
		s.Late += worth
	case how == RequestRejected:
		s.Rejected += worth
	default:
		s.Failed += worth
	}
	if how == Served {
		c.latencies.RecordValue(max(1, took.Microseconds()))
		c.sojournSeconds += took.Seconds()
		c.workSeconds += q.work.Seconds()
	}
}

// ended marks what an agent holds: the lab has ended its process.
func (c *clients) markAgentStopped(agent string) {
	a := c.byAgent[agent]
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := range a.open {
		r.mu.Lock()
		r.record.AgentStopped = true
		r.mu.Unlock()
	}
}

// try sends one try and notes how it ended.
func (a *client) attemptRequest(r *liveRequest) string {
	w := a.clients.emulator
	r.record.Sent = w.Now()
	w.requests.Store(r.record.ID, r)
	a.mu.Lock()
	a.open[r] = true
	a.mu.Unlock()
	how := a.send(r)
	a.mu.Lock()
	delete(a.open, r)
	a.mu.Unlock()
	r.mu.Lock()
	r.record.Ended, r.record.Outcome = w.Now(), how
	if w.isAgentStopped(a.agent.Name) {
		r.record.AgentStopped = true
	}
	r.mu.Unlock()
	a.clients.mu.Lock()
	a.clients.finished = append(a.clients.finished, r)
	a.clients.mu.Unlock()
	return how
}

// send sends a try on a kept connection, or on a new one; one that the agent had closed before
// it read the request is sent once more on a new connection.
func (a *client) send(r *liveRequest) string {
	a.mu.Lock()
	var l *clientConn
	if n := len(a.idle); n > 0 {
		l, a.idle = a.idle[n-1], a.idle[:n-1]
	}
	a.mu.Unlock()
	if l != nil {
		if how, unread := a.exchange(l, r, false); !unread {
			return how
		}
	}
	c, err := net.DialTimeout("tcp", a.dialAddress(r), max(time.Millisecond, r.remaining(a.clients.emulator)))
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			a.clients.emulator.recordError(err)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return RequestTimedOut
		}
		return AgentUnreachable
	}
	how, _ := a.exchange(&clientConn{c, bufio.NewReader(c)}, r, true)
	return how
}

func (a *client) dialAddress(r *liveRequest) string {
	if a.clients.emulator.config.Direct {
		return a.clients.emulator.directAddress(a.index)
	}
	return a.address
}

func (r *liveRequest) remaining(w *Emulator) time.Duration {
	return r.record.Sent + r.record.Timeout - w.Now()
}

// exchange sends a request and reads its answer; unread tells that a kept connection ended
// before anything came back, and that no node has seen the request.
func (a *client) exchange(l *clientConn, r *liveRequest, fresh bool) (how string, unread bool) {
	keep := false
	defer func() {
		if !keep {
			l.Close()
			return
		}
		a.mu.Lock()
		a.idle = append(a.idle, l)
		a.mu.Unlock()
	}()
	l.SetDeadline(a.clients.emulator.startTime.Add(r.record.Sent + r.record.Timeout))
	head := fmt.Sprintf("%s /api/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		r.method(), r.keyText(), r.record.ID, r.class.Name, max(1, r.record.Timeout.Milliseconds()))
	if r.idempotencyKey != "" {
		head += "Idempotency-Key: " + r.idempotencyKey + "\r\n"
	}
	if r.record.Retry > 0 {
		head += "Client-Retry: 1\r\n"
	}
	body := ""
	if r.method() == http.MethodPost {
		body = "{\"value\":" + r.record.ID + "}"
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(l, head+"\r\n"+body)
	if err == nil {
		_, err = l.reader.Peek(1)
	}
	if err != nil {
		return a.noResponseOutcome(r, err, fresh)
	}
	resp, err := http.ReadResponse(l.reader, &http.Request{Method: r.method()})
	if err != nil {
		return RequestFailed, false // begun and not whole
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return RequestFailed, false
	}
	keep = !resp.Close
	switch {
	case resp.StatusCode == http.StatusOK && !slices.Contains([]string{r.record.ID + " done", r.record.ID + " repeated"}, string(answer)):
		return ResponseForged, false
	case resp.StatusCode == http.StatusOK:
		return Served, false
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return RequestRejected, false
	}
	return RequestFailed, false
}

// silent is how a try ended on which nothing came back (TERMS, "Failed requests").
func (a *client) noResponseOutcome(r *liveRequest, err error, fresh bool) (how string, unread bool) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return RequestTimedOut, false
	}
	r.mu.Lock()
	seen := len(r.record.Attempts) > 0
	r.mu.Unlock()
	switch {
	case seen:
		return RequestLost, false
	case fresh:
		return RequestFailed, false
	}
	return RequestLost, true
}

func (c *clients) close() {
	c.background.Wait()
	for _, a := range c.byAgent {
		a.mu.Lock()
		for _, l := range a.idle {
			l.Close()
		}
		a.idle = nil
		a.mu.Unlock()
	}
}
