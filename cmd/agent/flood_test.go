package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// floodTime is how long a flood lasts.
	floodTime = 3 * time.Second
	// floodBatch is the number of requests that a flooding client writes at once.
	floodBatch = 100
	// floodMemoryMB is the memory limit of the agent: the least that the platform gives.
	floodMemoryMB = 32
)

// floodRequests are the requests of a client that sends as fast as it can. Each function returns the n-th request.
var floodRequests = map[string]func(n int) string{
	"small": func(n int) string {
		return crowdRequestHead(orderPath, fmt.Sprint("f", n), trafficTimeout, "Content-Length: 0\r\n")
	},
	"small under new names": func(n int) string {
		fields := fmt.Sprintf("Content-Length: 0\r\nIdempotency-Key: k%d\r\nX-Name-%d: %d\r\n", n, n, n)
		path := fmt.Sprintf("/api/key-%d?q=%d", n, n)
		return crowdRequestHead(path, fmt.Sprint("n", n), trafficTimeout, fields)
	},
	"with a short timeout": func(n int) string {
		return crowdRequestHead(orderPath, fmt.Sprint("t", n), time.Millisecond, "Content-Length: 0\r\n")
	},
	"readiness checks": func(int) string { return "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" },
	"unknown class": func(n int) string {
		const format = "POST /api/x HTTP/1.1\r\nHost: x\r\nRequest-Id: u%d\r\nRequest-Class: c%d\r\nContent-Length: 0\r\n\r\n"
		return fmt.Sprintf(format, n, n)
	},
	"no HTTP":       func(n int) string { return strings.Repeat(fmt.Sprint("junk ", n), 10) + "\r\n\r\n" },
	"empty lines":   func(int) string { return "\r\n\r\n\r\n\r\n" },
	"short bodies":  func(n int) string { return floodWithBody(n, "x") },
	"wrong lengths": func(n int) string { return strings.Replace(floodWithBody(n, "xy"), "Length: 2", "Length: -2", 1) },
}

// floodWithBody returns a request with a body.
func floodWithBody(n int, body string) string {
	fields := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	return crowdRequestHead(orderPath, fmt.Sprint("b", n), trafficTimeout, fields) + body
}

// One client that sends small or unsound requests at full speed keeps no answer from other clients, and makes no memory
// grow beyond the limit. It connects again when the agent closes its connection.
func TestFloodOnOneConnectionHarmsNobodyElse(t *testing.T) {
	binary := buildAgent(t)
	for name, request := range floodRequests {
		t.Run(name, func(t *testing.T) {
			p, addr := startFlooded(t, binary)
			flooding := startParallel(1, func(int) { flood(t, addr, request) })
			proper := startProperClients(t.Context(), addr, properClientCount)
			flooding.Wait()
			proper.stop()
			peak := p.peakMemory(t, 0)
			p.signal(t, 9)
			p.awaitEnd(t)
			t.Logf("peak %.1f MB; proper requests: %d sent, %d served, %d refused, %d lost; slowest answer %v",
				float64(peak)/bytesPerMB, proper.sent.Load(), proper.served.Load(), proper.refused.Load(), len(proper.lost),
				time.Duration(proper.slowest.Load()))
			if peak > floodMemoryMB*bytesPerMB {
				t.Errorf("memory above the limit of %d MB", floodMemoryMB)
			}
			proper.check(t)
		})
	}
}

// startFlooded starts the agent for a flood and returns its address.
func startFlooded(t *testing.T, binary string) (p *program, addr string) {
	t.Helper()
	var servers []endpoint.Endpoint
	for i := range crowdServers {
		servers = append(servers, listedServer(fmt.Sprintf("s-%d", i), startServer(t, crowdServer(false))))
	}
	config := newConfig(silentDiscovery(t), servers...)
	config.Limits.MemoryMB = floodMemoryMB
	config.Settings.Clients.MarksRetry = true // requests with a short timeout are no retries
	p = newMeasuredProgram(t, binary, config)
	addr, _ = p.startListening(t)
	p.collectLog()
	return p, addr
}

// flood sends requests on one connection after another for floodTime, and reads what comes back.
func flood(t *testing.T, addr string, request func(n int) string) {
	t.Helper()
	until := time.Now().Add(floodTime)
	for n := 0; time.Now().Before(until); {
		dialer := net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(t.Context(), "tcp", addr)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(until)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for err == nil {
			var batch strings.Builder
			for range floodBatch {
				batch.WriteString(request(n))
				n++
			}
			_, err = io.WriteString(conn, batch.String())
		}
		_ = conn.Close()
	}
}
