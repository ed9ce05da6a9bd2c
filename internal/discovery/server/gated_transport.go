package server

import (
	"io"

	"github.com/hashicorp/raft"
)

// gatedTransport is a Raft transport that lets an instance take part in the cluster only while its
// store is available. Heartbeats do not use the store, and they continue while Raft's main loop waits
// for the store. Without the gate, followers would therefore keep a leader that can't write, and an
// instance that writes nothing would count as fresh. While the store is unavailable, the transport
// sends no request to a peer and responds to each request from a peer with an error. So nothing is
// acknowledged, no vote is requested or granted, and the other instances elect a leader after their
// election timeout.
type gatedTransport struct {
	*raft.NetworkTransport
	store    *retryingStore
	requests chan raft.RPC // from peers, for Raft's main loop
	closed   <-chan struct{}
}

// newGatedTransport wraps a transport and starts a goroutine that ends when closed is closed.
func newGatedTransport(inner *raft.NetworkTransport, store *retryingStore, closed <-chan struct{}) *gatedTransport {
	t := &gatedTransport{NetworkTransport: inner, store: store, requests: make(chan raft.RPC), closed: closed}
	go t.forward()
	return t
}

// forward delivers requests from peers until the instance is closed.
func (t *gatedTransport) forward() {
	for {
		select {
		case request := <-t.NetworkTransport.Consumer():
			t.deliver(request)
		case <-t.closed:
			return
		}
	}
}

// deliver passes a peer's request to Raft's main loop, or responds with an error.
func (t *gatedTransport) deliver(request raft.RPC) {
	if err := t.store.available(); err != nil {
		request.Respond(nil, err)
		return
	}
	select {
	case t.requests <- request:
	case <-t.closed:
		request.Respond(nil, raft.ErrRaftShutdown)
	}
}

// Consumer returns the channel from which Raft's main loop receives requests from peers.
func (t *gatedTransport) Consumer() <-chan raft.RPC { return t.requests }

// SetHeartbeatHandler sets the function that handles heartbeats outside Raft's main loop. Heartbeats
// whose term differs from the saved term are delivered to the main loop, so that terms are saved in
// order.
func (t *gatedTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(request raft.RPC) {
		heartbeat, ok := request.Command.(*raft.AppendEntriesRequest)
		if !ok || heartbeat.Term != t.store.savedTerm.Load() {
			t.deliver(request)
			return
		}
		if err := t.store.available(); err != nil {
			request.Respond(nil, err)
			return
		}
		handle(request)
	})
}

// AppendEntries sends log entries or a heartbeat to a peer.
func (t *gatedTransport) AppendEntries(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse,
) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.AppendEntries(id, address, request, response)
}

// AppendEntriesPipeline opens a pipeline of appends. Opening it fails during an outage, and so does
// each append to it.
func (t *gatedTransport) AppendEntriesPipeline(
	id raft.ServerID, address raft.ServerAddress,
) (raft.AppendPipeline, error) {
	if err := t.store.available(); err != nil {
		return nil, err
	}
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, address)
	if err != nil {
		return nil, err
	}
	return gatedPipeline{AppendPipeline: pipeline, store: t.store}, nil
}

// RequestVote requests a peer's vote.
func (t *gatedTransport) RequestVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestVoteRequest, response *raft.RequestVoteResponse,
) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote asks a peer whether it would vote for this instance.
func (t *gatedTransport) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.RequestPreVote(id, address, request, response)
}

// InstallSnapshot sends a snapshot to a peer.
func (t *gatedTransport) InstallSnapshot(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.InstallSnapshotRequest, response *raft.InstallSnapshotResponse, data io.Reader,
) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.InstallSnapshot(id, address, request, response, data)
}

// gatedPipeline is a pipeline of appends that sends nothing while the store is unavailable.
type gatedPipeline struct {
	raft.AppendPipeline
	store *retryingStore
}

// AppendEntries sends entries without waiting for the response.
func (p gatedPipeline) AppendEntries(
	request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse,
) (raft.AppendFuture, error) {
	if err := p.store.available(); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(request, response)
}

var (
	_ raft.Transport   = (*gatedTransport)(nil)
	_ raft.WithPreVote = (*gatedTransport)(nil)
	_ raft.WithClose   = (*gatedTransport)(nil)
)
