package membershiptest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Usage is what one process has taken, and what its fleet view sent.
type Usage struct {
	processtest.Usage
	Packets uint64
	Bytes   uint64 // in packets and on streams
}

// usage reads what a running process has taken from /proc and its door.
func (l *Lab) usage(name string) (u Usage, err error) {
	if u.Usage, err = processtest.ProcessUsage(l.procs.Pid(name)); err != nil {
		return u, err
	}
	if s, serr := l.Status(name, 1<<62); serr == nil {
		u.Packets, u.Bytes = s.Traffic["packets_out"], s.Traffic["bytes_out"]+s.Traffic["stream_bytes_out"]
	}
	return u, nil
}

// Costs measures, over a time in which nothing is done to the fleet, what a member's view
// takes: means over the members, and of those without a view where there are any.
func (l *Lab) Costs(during time.Duration) (Measures, error) {
	before := map[string]Usage{}
	for _, n := range l.Live() {
		u, err := l.usage(n)
		if err != nil {
			return nil, err
		}
		before[n] = u
	}
	began := time.Now()
	time.Sleep(during)
	sums := map[bool]*Usage{true: {}, false: {}}
	count := map[bool]int{}
	seconds := time.Since(began).Seconds()
	for i, n := range l.Names {
		u, err := l.usage(n)
		if err != nil {
			return nil, err
		}
		alone := l.cfg.Alone != nil && l.cfg.Alone(i)
		sum := sums[alone]
		count[alone]++
		sum.CPU += u.CPU - before[n].CPU
		sum.RSS += u.RSS
		sum.Descriptors += u.Descriptors
		sum.Packets += u.Packets - before[n].Packets
		sum.Bytes += u.Bytes - before[n].Bytes
	}
	m := Measures{}
	for alone, sum := range sums {
		k, with := float64(count[alone]), "with"
		if count[alone] == 0 {
			continue
		}
		if alone {
			with = "without"
		} else {
			m["packets a member and second"] = float64(sum.Packets) / k / seconds
			m["bytes a member and second"] = float64(sum.Bytes) / k / seconds
		}
		m["CPU share "+with] = sum.CPU.Seconds() / k / seconds
		m["memory MB "+with] = float64(sum.RSS) / k / (1 << 20)
		m["descriptors "+with] = float64(sum.Descriptors) / k
	}
	return m, nil
}

// Latency sends requests at a steady rate to two agents in turn, one with a view and one
// without, and gives the quantiles of the times from sending to the whole answer.
func (l *Lab) Latency(with, without string, rate int, during time.Duration) (Measures, error) {
	names := map[string]string{"with": with, "without": without}
	hist := map[string]*hdrhistogram.Histogram{}
	var group errgroup.Group
	var mu sync.Mutex
	for label, name := range names {
		group.Go(func() error {
			h, err := l.send(name, rate, during)
			mu.Lock()
			hist[label] = h
			mu.Unlock()
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	m := Measures{}
	for label, h := range hist {
		for _, q := range []float64{50, 99, 99.9} {
			m[fmt.Sprintf("latency p%g us %s", q, label)] = float64(h.ValueAtQuantile(q))
		}
	}
	return m, nil
}

// send sends requests to one agent, each on the same connection and at its time; what is
// late of it counts (the time runs from when it was due).
func (l *Lab) send(name string, rate int, during time.Duration) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	c, err := net.Dial("tcp", l.door(name, 8000))
	if err != nil {
		return h, err
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	began := time.Now()
	for i := range int(during.Seconds() * float64(rate)) {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		c.SetDeadline(due.Add(5 * time.Second))
		if _, err := fmt.Fprintf(c, "POST /api/%x HTTP/1.1\r\nHost: x\r\nRequest-Id: %s%d\r\nRequest-Class: order\r\n"+
			"Request-Timeout-Ms: 3000\r\nContent-Length: 1\r\n\r\nx", i%64, name, i); err != nil {
			return h, err
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return h, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			return h, errors.Join(err, fmt.Errorf("%s answered %s", name, resp.Status))
		}
		if err := h.RecordValue(time.Since(due).Microseconds()); err != nil {
			return h, err
		}
	}
	return h, nil
}
