package membershiptest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	bytesPerMB = 1 << 20
	// Bounds and precision of the latency histogram.
	minLatencyUs      = 1
	maxLatencyUs      = 10_000_000
	latencyDigits     = 3
	responseTimeout   = 5 * time.Second
	affinityKeys      = 64
	labelWith         = "with"
	labelWithout      = "without"
	latencyRequestFmt = "POST /api/%x HTTP/1.1\r\nHost: x\r\nRequest-Id: %s%d\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 3000\r\nContent-Length: 1\r\n\r\nx"
)

// latencyPercentiles lists the percentiles that Latency returns.
var latencyPercentiles = []float64{50, 99, 99.9}

// Usage is the resource usage of a process and the traffic that its membership sent.
type Usage struct {
	processtest.Usage
	Packets uint64
	Bytes   uint64 // in packets and on streams
}

// usage reads the resource usage of a running process from /proc and the traffic that its membership sent from its
// status. A process without a membership has no traffic.
func (h *Harness) usage(ctx context.Context, name string) (Usage, error) {
	resources, err := processtest.ProcessUsage(h.processes.Pid(name))
	usage := Usage{Usage: resources}
	if err != nil || h.isWithoutMembership(name) {
		return usage, err
	}
	status, err := h.Status(ctx, name, noChanges)
	if err != nil {
		return usage, err
	}
	usage.Packets = status.Traffic[membership.PacketsOut]
	usage.Bytes = status.Traffic[membership.BytesOut] + status.Traffic[membership.StreamBytesOut]
	return usage, nil
}

// usages returns the usage of each of the named processes.
func (h *Harness) usages(ctx context.Context, names []string) (map[string]Usage, error) {
	usages := map[string]Usage{}
	for _, name := range names {
		usage, err := h.usage(ctx, name)
		if err != nil {
			return nil, err
		}
		usages[name] = usage
	}
	return usages, nil
}

// usageSum sums the usage of several agents over a period. CPU, Packets and Bytes count only that period.
type usageSum struct {
	Usage
	agents float64
}

// add adds the usage of an agent, given its usage before and after the period.
func (s *usageSum) add(before, after Usage) {
	s.agents++
	s.CPU += after.CPU - before.CPU
	s.RSS += after.RSS
	s.Descriptors += after.Descriptors
	s.Packets += after.Packets - before.Packets
	s.Bytes += after.Bytes - before.Bytes
}

// addTo adds the mean resource usage per agent to the metrics. The period lasted the given number of seconds.
func (s *usageSum) addTo(metrics processtest.Metrics, label string, seconds float64) {
	metrics["CPU share "+label] = s.CPU.Seconds() / s.agents / seconds
	metrics["memory MB "+label] = float64(s.RSS) / s.agents / bytesPerMB
	metrics["descriptors "+label] = float64(s.Descriptors) / s.agents
}

// Costs measures the resource usage and the traffic of agents for the given time, without faults. The metrics are means
// over the agents with a membership and, separately, over those without one if there are any.
func (h *Harness) Costs(ctx context.Context, during time.Duration) (processtest.Metrics, error) {
	before, err := h.usages(ctx, h.Names)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	time.Sleep(during) // the measured period
	seconds := time.Since(startedAt).Seconds()
	after, err := h.usages(ctx, h.Names)
	if err != nil {
		return nil, err
	}
	var with, without usageSum
	for _, name := range h.Names {
		if h.isWithoutMembership(name) {
			without.add(before[name], after[name])
		} else {
			with.add(before[name], after[name])
		}
	}
	metrics := processtest.Metrics{}
	if with.agents > 0 {
		with.addTo(metrics, labelWith, seconds)
		metrics["packets a member and second"] = float64(with.Packets) / with.agents / seconds
		metrics["bytes a member and second"] = float64(with.Bytes) / with.agents / seconds
	}
	if without.agents > 0 {
		without.addTo(metrics, labelWithout, seconds)
	}
	return metrics, nil
}

// Latency sends requests at a constant rate to two agents, one with a membership and one without, and returns
// percentiles of their latencies.
func (h *Harness) Latency(
	ctx context.Context, with, without string, rate int, during time.Duration,
) (processtest.Metrics, error) {
	histograms := map[string]*hdrhistogram.Histogram{}
	var group errgroup.Group
	var mu sync.Mutex
	for label, name := range map[string]string{labelWith: with, labelWithout: without} {
		group.Go(func() error {
			histogram, err := h.measureLatency(ctx, name, rate, during)
			mu.Lock()
			defer mu.Unlock()
			histograms[label] = histogram
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	metrics := processtest.Metrics{}
	for label, histogram := range histograms {
		for _, percentile := range latencyPercentiles {
			name := fmt.Sprintf("latency p%g us %s", percentile, label)
			metrics[name] = float64(histogram.ValueAtQuantile(percentile))
		}
	}
	return metrics, nil
}

// measureLatency sends requests at a constant rate on one connection to an agent. A latency runs from when the request
// was due until the end of its response, so that it includes the delay of a request that is sent late.
func (h *Harness) measureLatency(
	ctx context.Context, name string, rate int, during time.Duration,
) (*hdrhistogram.Histogram, error) {
	histogram := hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)
	conn, err := dial(ctx, "tcp", h.address(name, clientPort))
	if err != nil {
		return histogram, err
	}
	defer func() { _ = conn.Close() }() // all responses have been read, so an error has no effect
	responses := bufio.NewReader(conn)
	startedAt := time.Now()
	for i := range int(during.Seconds() * float64(rate)) {
		due := startedAt.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due)) // keeps the request rate
		if err := conn.SetDeadline(due.Add(responseTimeout)); err != nil {
			return histogram, err
		}
		if _, err := fmt.Fprintf(conn, latencyRequestFmt, i%affinityKeys, name, i); err != nil {
			return histogram, err
		}
		if err := readResponse(responses); err != nil {
			return histogram, fmt.Errorf("%s: %w", name, err)
		}
		if err := histogram.RecordValue(time.Since(due).Microseconds()); err != nil {
			return histogram, err
		}
	}
	return histogram, nil
}

// readResponse reads a response and returns an error if its status is not 200.
func readResponse(responses *bufio.Reader) error {
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	err = errors.Join(err, resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		err = errors.Join(err, fmt.Errorf("unexpected status %s", resp.Status))
	}
	return err
}
