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
	w    *World
	mu   sync.Mutex
	apps map[string]*app
	seen []*request
	secs []Second
	lat  *hdrhistogram.Histogram // of served requests, in microseconds
	// sojourn and asked are the sums of served requests' times and of their work, in seconds.
	sojourn, asked float64
	work           sync.WaitGroup
}

// Second is what became of the requests that were due in one second, in worth (by work).
type Second struct {
	Asked   float64 `json:"Asked"`
	InTime  float64 `json:"InTime"`
	Late    float64 `json:"Late"`
	Refused float64 `json:"Refused"`
	Failed  float64 `json:"Failed"`
}

type app struct {
	c     *clients
	agent Agent
	addr  string
	at    int
	mu    sync.Mutex
	idle  []*line
	open  map[*request]bool
}

// line is one connection to an agent.
type line struct {
	net.Conn
	r *bufio.Reader
}

// request is one try with what the nodes need to know of it.
type request struct {
	mu    sync.Mutex
	try   *Try
	class *Class
	agent string
	key   uint64
	work  time.Duration // on a standard core
	wait  time.Duration // on others
	idem  string
}

func (r *request) keyText() string { return fmt.Sprintf("%016x", r.key) }

func (r *request) method() string {
	if r.class.Effect == "free" {
		return http.MethodGet
	}
	return http.MethodPost
}

func (r *request) arrive(a Attempt) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.try.Attempts = append(r.try.Attempts, a)
	return len(r.try.Attempts) - 1
}

func (r *request) depart(i int, how string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.try.Attempts[i].How, r.try.Attempts[i].Ended = how, at
}

func newClients(w *World) *clients {
	c := &clients{w: w, apps: map[string]*app{}, lat: hdrhistogram.New(1, 60_000_000, 3)}
	for i, a := range w.cfg.Agents {
		c.apps[a.Name] = &app{c: c, agent: a, addr: w.Address(i, ListenPort), at: i, open: map[*request]bool{}}
	}
	return c
}

func (w *World) request(id string) *request {
	r, ok := w.requests.Load(id)
	if !ok {
		return nil
	}
	return r.(*request)
}

// ask is one request as it was drawn: what is asked for, not what becomes of it.
type ask struct {
	due   time.Duration
	class int
	key   uint64
	work  time.Duration
	wait  time.Duration
}

// run asks for a time; it returns when the last request has ended.
func (c *clients) run(length time.Duration) {
	c.secs = make([]Second, int(length/time.Second)+1)
	began := c.w.Now()
	for _, a := range c.apps {
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			a.run(began, length)
		}()
	}
	c.work.Wait()
}

// run draws an application's requests and sends each at its time.
func (a *app) run(began, length time.Duration) {
	cfg := &a.c.w.cfg
	src := rand.NewPCG(cfg.Seed, 3000+uint64(a.at))
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
		factor, hot := a.c.w.traffic(due)
		due += time.Duration(draw.ExpFloat64() / (cfg.Rate * a.agent.Share * factor) * 1e9)
		if due >= length {
			return
		}
		class := pickShare(draw.Float64(), shares)
		k := &cfg.Classes[class]
		q := ask{due: began + due, class: class, key: 1 + uint64(keys.Rand()), work: drawWork(k, src), wait: k.Wait}
		if draw.Float64() < hot {
			q.key = 1
		}
		select {
		case <-time.After(time.Until(a.c.w.start.Add(q.due))):
		case <-a.c.w.stopped:
			return
		}
		a.c.w.wasLate(a.c.w.Now() - q.due)
		a.c.work.Add(1)
		go func() {
			defer a.c.work.Done()
			a.serve(q, n, began)
		}()
	}
}

// drawWork is a request's work: fixed, or of a log-normal distribution with the class's mean.
func drawWork(k *Class, src rand.Source) time.Duration {
	if k.WorkCV == 0 {
		return k.Work
	}
	s2 := math.Log(1 + k.WorkCV*k.WorkCV)
	d := distuv.LogNormal{Mu: math.Log(k.Work.Seconds()) - s2/2, Sigma: math.Sqrt(s2), Src: src}
	return time.Duration(d.Rand() * 1e9)
}

// serve sends a request until it is served, nothing is to be tried again, or its time is over.
func (a *app) serve(q ask, n int, began time.Duration) {
	cfg, k := &a.c.w.cfg, &a.c.w.cfg.Classes[q.class]
	how, end := "", q.due+k.GiveUp
	for nth := 0; nth <= cfg.Retries && !a.c.w.isStopped(); nth++ {
		within := min(time.Duration(cfg.TryShare*float64(k.GiveUp)), end-a.c.w.Now())
		if within < 5*time.Millisecond {
			break
		}
		t := &Try{ID: fmt.Sprintf("%04x%010x%02x", a.at, n, nth), Agent: a.agent.Name, Class: q.class, Key: q.key, Nth: nth, Within: within}
		r := &request{try: t, class: k, agent: a.agent.Name, key: q.key, work: q.work, wait: q.wait}
		if k.Effect == "guarded" {
			r.idem = fmt.Sprintf("%04x%028x", a.at, n)
		}
		how = a.try(r)
		if how == Served || how == Lost || how == Forged || !mayRetry(k, how) {
			break
		}
		time.Sleep(cfg.RetryWait)
	}
	a.c.account(q, k, how, began)
}

func (w *World) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// mayRetry tells whether a client comes again (WIRE, "Client behaviour").
func mayRetry(k *Class, how string) bool {
	if k.Effect == "free" || k.Effect == "guarded" && k.Group == "all" {
		return true
	}
	return how == Refused || how == Unreachable
}

func (c *clients) account(q ask, k *Class, how string, began time.Duration) {
	took := c.w.Now() - q.due
	worth := k.Worth * q.work.Seconds() / c.w.meanWork
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.secs[int((q.due-began)/time.Second)]
	s.Asked += worth
	switch {
	case how == Served && took <= k.Aim:
		s.InTime += worth
	case how == Served:
		s.Late += worth
	case how == Refused:
		s.Refused += worth
	default:
		s.Failed += worth
	}
	if how == Served {
		c.lat.RecordValue(max(1, took.Microseconds()))
		c.sojourn += took.Seconds()
		c.asked += q.work.Seconds()
	}
}

// ended marks what an agent holds: the lab has ended its process.
func (c *clients) ended(agent string) {
	a := c.apps[agent]
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := range a.open {
		r.mu.Lock()
		r.try.AgentEnded = true
		r.mu.Unlock()
	}
}

// try sends one try and notes how it ended.
func (a *app) try(r *request) string {
	w := a.c.w
	r.try.Sent = w.Now()
	w.requests.Store(r.try.ID, r)
	a.mu.Lock()
	a.open[r] = true
	a.mu.Unlock()
	how := a.send(r)
	a.mu.Lock()
	delete(a.open, r)
	a.mu.Unlock()
	r.mu.Lock()
	r.try.Ended, r.try.How = w.Now(), how
	if w.isDown(a.agent.Name) {
		r.try.AgentEnded = true
	}
	r.mu.Unlock()
	a.c.mu.Lock()
	a.c.seen = append(a.c.seen, r)
	a.c.mu.Unlock()
	return how
}

// send sends a try on a kept connection, or on a new one; one that the agent had closed before
// it read the request is sent once more on a new connection.
func (a *app) send(r *request) string {
	a.mu.Lock()
	var l *line
	if n := len(a.idle); n > 0 {
		l, a.idle = a.idle[n-1], a.idle[:n-1]
	}
	a.mu.Unlock()
	if l != nil {
		if how, unread := a.exchange(l, r, false); !unread {
			return how
		}
	}
	c, err := net.DialTimeout("tcp", a.target(r), max(time.Millisecond, r.left(a.c.w)))
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			a.c.w.fault(err)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return GaveUp
		}
		return Unreachable
	}
	how, _ := a.exchange(&line{c, bufio.NewReader(c)}, r, true)
	return how
}

func (a *app) target(r *request) string {
	if a.c.w.cfg.Direct {
		return a.c.w.direct(a.at)
	}
	return a.addr
}

func (r *request) left(w *World) time.Duration { return r.try.Sent + r.try.Within - w.Now() }

// exchange sends a request and reads its answer; unread tells that a kept connection ended
// before anything came back, and that no node has seen the request.
func (a *app) exchange(l *line, r *request, fresh bool) (how string, unread bool) {
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
	l.SetDeadline(a.c.w.start.Add(r.try.Sent + r.try.Within))
	head := fmt.Sprintf("%s /api/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		r.method(), r.keyText(), r.try.ID, r.class.Name, max(1, r.try.Within.Milliseconds()))
	if r.idem != "" {
		head += "Idempotency-Key: " + r.idem + "\r\n"
	}
	if r.try.Nth > 0 {
		head += "Client-Retry: 1\r\n"
	}
	body := ""
	if r.method() == http.MethodPost {
		body = "{\"value\":" + r.try.ID + "}"
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(l, head+"\r\n"+body)
	if err == nil {
		_, err = l.r.Peek(1)
	}
	if err != nil {
		return a.silent(r, err, fresh)
	}
	resp, err := http.ReadResponse(l.r, &http.Request{Method: r.method()})
	if err != nil {
		return Failed, false // begun and not whole
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return Failed, false
	}
	keep = !resp.Close
	switch {
	case resp.StatusCode == http.StatusOK && !slices.Contains([]string{r.try.ID + " done", r.try.ID + " repeated"}, string(answer)):
		return Forged, false
	case resp.StatusCode == http.StatusOK:
		return Served, false
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return Refused, false
	}
	return Failed, false
}

// silent is how a try ended on which nothing came back (TERMS, "Failed requests").
func (a *app) silent(r *request, err error, fresh bool) (how string, unread bool) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return GaveUp, false
	}
	r.mu.Lock()
	seen := len(r.try.Attempts) > 0
	r.mu.Unlock()
	switch {
	case seen:
		return Lost, false
	case fresh:
		return Failed, false
	}
	return Lost, true
}

func (c *clients) close() {
	c.work.Wait()
	for _, a := range c.apps {
		a.mu.Lock()
		for _, l := range a.idle {
			l.Close()
		}
		a.idle = nil
		a.mu.Unlock()
	}
}
