package server

import (
	"net/http"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// MemberState is the state of an instance's Raft member; its values are those of raft.RaftState.String.
type MemberState string

// The values of MemberState.
const (
	StateLeader    MemberState = "Leader"
	StateFollower  MemberState = "Follower"
	StateCandidate MemberState = "Candidate"
	StateShutdown  MemberState = "Shutdown"
)

// Status is the state of an instance. It is the response body of GET /v1/status.
type Status struct {
	ID      string      `json:"id"`
	State   MemberState `json:"state"`
	Leader  string      `json:"leader"`  // the leader's id; empty while none is known
	Version uint64      `json:"version"` // of the last change of the list applied by this instance
	Applied uint64      `json:"applied"` // last Raft index applied by this instance
	Usage   Usage       `json:"usage"`
}

// serveStatus responds with this instance's Status. With ?consistent=true it first waits for a barrier,
// which ensures that the leader has applied everything committed before. With ?verified=true it first
// waits for a round of heartbeats, which ensures that it still is the leader; see verifyLeader. With either
// parameter, an instance that is not the leader responds with 503.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(endpoint.QueryConsistent) == "true" {
		if err := n.raft.Barrier(readIndexTimeout).Error(); err != nil {
			http.Error(w, "not consistent: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	if r.URL.Query().Get(endpoint.QueryVerified) == "true" {
		if err := n.verifyLeader(); err != nil {
			http.Error(w, "not the leader: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, leader := n.raft.LeaderWithID()
	writeJSON(w, Status{
		ID:      n.cfg.ID,
		State:   MemberState(n.raft.State().String()),
		Leader:  string(leader),
		Version: n.state.currentVersion(),
		Applied: n.raft.AppliedIndex(),
		Usage:   n.usage(),
	})
}
