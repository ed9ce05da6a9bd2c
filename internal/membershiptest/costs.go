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
func (h *Harness) usage(name string) (u Usage, err error) {
	if u.Usage, err = processtest.ProcessUsage(h.processes.Pid(name)); err != nil {
		return u, err
	}
	if s, serr := h.Status(name, 1<<62); serr == nil {
		u.Packets, u.Bytes = s.Traffic["packets_out"], s.Traffic["bytes_out"]+s.Traffic["stream_bytes_out"]
	}
	return u, nil
}

// Costs measures, over a time in which nothing is done to the fleet, what a member's view
// takes: means over the members, and of those without a view where there are any.
func (h *Harness) Costs(during time.Duration) (Metrics, error) {
	before := map[string]Usage{}
	for _, n := range h.Running() {
		u, err := h.usage(n)
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
	for i, n := range h.Names {
		u, err := h.usage(n)
		if err != nil {
			return nil, err
		}
		alone := h.cfg.WithoutMembership != nil && h.cfg.WithoutMembership(i)
		sum := sums[alone]
		count[alone]++
		sum.CPU += u.CPU - before[n].CPU
		sum.RSS += u.RSS
		sum.Descriptors += u.Descriptors
		sum.Packets += u.Packets - before[n].Packets
		sum.Bytes += u.Bytes - before[n].Bytes
	}
	metrics := Metrics{}
	for alone, sum := range sums {
		k, with := float64(count[alone]), "with"
		if count[alone] == 0 {
			continue
		}
		if alone {
			with = "without"
		} else {
			metrics["packets a member and second"] = float64(sum.Packets) / k / seconds
			metrics["bytes a member and second"] = float64(sum.Bytes) / k / seconds
		}
		metrics["CPU share "+with] = sum.CPU.Seconds() / k / seconds
		metrics["memory MB "+with] = float64(sum.RSS) / k / (1 << 20)
		metrics["descriptors "+with] = float64(sum.Descriptors) / k
	}
	return metrics, nil
}

// Latency sends requests at a steady rate to two agents in turn, one with a view and one
// without, and gives the quantiles of the times from sending to the whole answer.
func (h *Harness) Latency(with, without string, rate int, during time.Duration) (Metrics, error) {
	names := map[string]string{"with": with, "without": without}
	histograms := map[string]*hdrhistogram.Histogram{}
	var group errgroup.Group
	var mu sync.Mutex
	for label, name := range names {
		group.Go(func() error {
			histogram, err := h.measureLatency(name, rate, during)
			mu.Lock()
			histograms[label] = histogram
			mu.Unlock()
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	metrics := Metrics{}
	for label, histogram := range histograms {
		for _, q := range []float64{50, 99, 99.9} {
			metrics[fmt.Sprintf("latency p%g us %s", q, label)] = float64(histogram.ValueAtQuantile(q))
		}
	}
	return metrics, nil
}

// send sends requests to one agent, each on the same connection and at its time; what is
// late of it counts (the time runs from when it was due).
func (h *Harness) measureLatency(name string, rate int, during time.Duration) (*hdrhistogram.Histogram, error) {
	histogram := hdrhistogram.New(1, 10_000_000, 3)
	c, err := net.Dial("tcp", h.address(name, 8000))
	if err != nil {
		return histogram, err
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
			return histogram, err
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return histogram, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			return histogram, errors.Join(err, fmt.Errorf("%s answered %s", name, resp.Status))
		}
		if err := histogram.RecordValue(time.Since(due).Microseconds()); err != nil {
			return histogram, err
		}
	}
	return histogram, nil
}
