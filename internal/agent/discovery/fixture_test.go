package discovery

import (
	"context"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// newTestClient returns a discovery client without an agent, which calls addr and starts from a version of the list.
func newTestClient(addr string, version uint64, onResponse func(Response)) *Client {
	cfg := &config.Config{Discovery: addr, InitialList: endpoint.List{Version: version}}
	return New(cfg, Options{Clock: clock.System(), OnResponse: onResponse})
}

// newControlClient returns a discovery client with the section "control", which starts from version 7 of the list.
func newControlClient(addrs []string) *Client {
	cfg := &config.Config{
		Name:        "pay-1",
		Discovery:   addrs[0],
		Control:     &config.Control{Addresses: addrs},
		InitialList: endpoint.List{Version: 7},
	}
	return New(cfg, Options{Clock: clock.System(), OnResponse: func(Response) {}})
}

// keepWatch runs the client's KeepWatch until the test ends.
func keepWatch(t *testing.T, client *Client) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go client.KeepWatch(ctx)
}
