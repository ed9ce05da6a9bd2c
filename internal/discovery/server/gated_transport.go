package server

import (
	"io"

	"github.com/hashicorp/raft"
)

// gatedTransport is Raft's transport of an instance that takes part in the cluster only while
// its store is available. Raft's heartbeats, sent and received, don't touch the store and go on
// while its main loop waits for it: followers would keep a leader that can't write, and an
// instance that writes nothing would count as fresh. So while the store is unavailable no call
// to a peer is made and none of a peer's is answered: nothing is acknowledged, no vote is
// given or asked for, and the others elect a leader after their election timeout.
type gatedTransport struct {
	*raft.NetworkTransport
	store  *retryingStore
	calls  chan raft.RPC
	closed <-chan struct{}
}

func newGatedTransport(inner *raft.NetworkTransport, store *retryingStore, closed <-chan struct{}) *gatedTransport {
	t := &gatedTransport{NetworkTransport: inner, store: store, calls: make(chan raft.RPC), closed: closed}
	go t.forward()
	return t
}

// forward hands the calls of peers to Raft's main loop.
func (t *gatedTransport) forward() {
	for {
		select {
		case call := <-t.NetworkTransport.Consumer():
			t.deliver(call)
		case <-t.closed:
			return
		}
	}
}

func (t *gatedTransport) deliver(call raft.RPC) {
	if err := t.store.available(); err != nil {
		call.Respond(nil, err)
		return
	}
	select {
	case t.calls <- call:
	case <-t.closed:
		call.Respond(nil, raft.ErrRaftShutdown)
	}
}

// Consumer is where Raft's main loop takes the calls of peers.
func (t *gatedTransport) Consumer() <-chan raft.RPC { return t.calls }

// SetHeartbeatHandler sets what handles heartbeats beside Raft's main loop. One that brings
// another term goes through the main loop, so that terms are saved in order.
func (t *gatedTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(call raft.RPC) {
		request, ok := call.Command.(*raft.AppendEntriesRequest)
		if !ok || request.Term != t.store.savedTerm.Load() {
			t.deliver(call)
			return
		}
		if err := t.store.available(); err != nil {
			call.Respond(nil, err)
			return
		}
		handle(call)
	})
}

// AppendEntries sends entries or a heartbeat.
func (t *gatedTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.AppendEntries(id, target, request, response)
}

// AppendEntriesPipeline opens a pipeline that ends at its first call in an outage.
func (t *gatedTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	if err := t.store.available(); err != nil {
		return nil, err
	}
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return gatedPipeline{AppendPipeline: pipeline, store: t.store}, nil
}

// RequestVote asks a peer for its vote.
func (t *gatedTransport) RequestVote(id raft.ServerID, target raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.RequestVote(id, target, request, response)
}

// RequestPreVote asks a peer whether it would vote for this instance.
func (t *gatedTransport) RequestPreVote(id raft.ServerID, target raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.RequestPreVote(id, target, request, response)
}

// InstallSnapshot sends a snapshot.
func (t *gatedTransport) InstallSnapshot(id raft.ServerID, target raft.ServerAddress, request *raft.InstallSnapshotRequest, response *raft.InstallSnapshotResponse, data io.Reader) error {
	if err := t.store.available(); err != nil {
		return err
	}
	return t.NetworkTransport.InstallSnapshot(id, target, request, response, data)
}

// gatedPipeline is a pipeline of appends that sends nothing while the store is unavailable.
type gatedPipeline struct {
	raft.AppendPipeline
	store *retryingStore
}

// AppendEntries sends entries without waiting for the answer.
func (p gatedPipeline) AppendEntries(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
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
