package main

import (
	"context"
	"net"
	"time"
)

const (
	// paceInterval is the time between two reads or writes of a slow peer.
	paceInterval = 50 * time.Millisecond
	// longResponsePath is the path of requests that get a response of longBodySize bytes.
	longResponsePath = "/api/long"
	longBodySize     = 8 << 20
	// trailerResponsePath is the path of requests whose response is chunked and ends with very many short trailer fields,
	// and headResponsePath that of requests whose response has a long head.
	trailerResponsePath = "/api/trailer"
	headResponsePath    = "/api/head"
	shortBodySize       = 60_000
	// slowReceiveBuffer is the size of a slow reader's receive buffer, in bytes: what it has not read stays with its peer.
	slowReceiveBuffer = 16 << 10
	// redialPause is how long a member of a crowd waits before it connects again.
	redialPause = 250 * time.Millisecond
)

// Rates of slow peers, in bytes per second.
const (
	slowWriteRate  = 70_000
	slowReadRate   = 80_000
	serverReadRate = 64 << 10
)

// crowdMember is what one client of a crowd does on one new connection. It returns when the connection has ended.
type crowdMember func(ctx context.Context, conn net.Conn, index int)

// crowdForm is a kind of crowd.
type crowdForm struct {
	name   string
	member crowdMember
	// slowServers makes the servers read request bodies at serverReadRate.
	slowServers bool
	// clients is the number of clients at 1,024 descriptors.
	clients int
}

// crowdForms are the crowds with which the operators saw processes pass their memory limit.
func crowdForms() []crowdForm {
	const usualClients = 320
	forms := []crowdForm{
		{name: "short bodies sent slowly", member: sendSlowly(shortBodySize), clients: usualClients},
		{name: "long bodies sent slowly", member: sendSlowly(longBodySize), clients: usualClients},
		{name: "chunked bodies sent slowly", member: sendChunksSlowly, clients: usualClients},
		{name: "long responses read slowly", member: readSlowly, clients: usualClients},
		{name: "bodies that servers read slowly", member: sendFast, clients: usualClients, slowServers: true},
		{name: "stops half-way", member: stopHalfWay, clients: 430},
		{name: "many short fields", member: sendShortFields, clients: usualClients},
		{name: "many short fields, unfinished", member: sendUnfinishedFields, clients: usualClients},
		{name: "many short trailer fields", member: sendShortTrailerFields, clients: usualClients},
		{name: "responses with many short trailer fields", member: readTrailersLate, clients: usualClients},
		{name: "responses with long heads, not read", member: readNoHeads, clients: usualClients},
		{name: "silent", member: awaitClose, clients: 430},
	}
	members := make([]crowdMember, len(forms))
	for i, form := range forms {
		members[i] = form.member
	}
	return append(forms, crowdForm{
		name: "mixed",
		member: func(ctx context.Context, conn net.Conn, index int) {
			members[index%len(members)](ctx, conn, index)
		},
		clients:     usualClients,
		slowServers: true,
	})
}

// crowd is a number of clients that connect again and again until they are stopped.
type crowd struct {
	stop func() // ends the clients and waits for them
}

// startCrowd starts the clients of a form against the agent at addr.
func startCrowd(ctx context.Context, addr string, form crowdForm, clients int) crowd {
	ctx, cancel := context.WithCancel(ctx)
	running := startParallel(clients, func(index int) {
		for ctx.Err() == nil {
			runMember(ctx, addr, form.member, index)
			pause(ctx, redialPause)
		}
	})
	return crowd{stop: func() {
		cancel()
		running.Wait()
	}}
}

// runMember runs one member on a new connection, which is closed when ctx is done.
func runMember(ctx context.Context, addr string, member crowdMember, index int) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	member(ctx, conn, index)
}

// pause waits for a time or until ctx is done.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
