package server

import (
	"net/http"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// MemberState is the state of an instance's Raft member, as raft.RaftState names it.
type MemberState string

// The values of MemberState.
const (
	StateLeader    MemberState = "Leader"
	StateFollower  MemberState = "Follower"
	StateCandidate MemberState = "Candidate"
	StateShutdown  MemberState = "Shutdown"
)

// Status is the body of GET /v1/status: the state of one instance.
type Status struct {
	ID      string      `json:"id"`
	State   MemberState `json:"state"`
	Leader  string      `json:"leader"`  // the leader's id; empty while none is known
	Version uint64      `json:"version"` // of the last change of the list applied here
	Applied uint64      `json:"applied"` // Raft index applied here
	Usage   Usage       `json:"usage"`
}

// serveStatus answers this instance's Status. With ?consistent=true it answers the leader's Status
// after a barrier, by which the leader has applied all that was committed before, and 503 at any
// other instance.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(endpoint.QueryConsistent) == "true" {
		if err := n.raft.Barrier(readIndexTimeout).Error(); err != nil {
			http.Error(w, "not consistent: "+err.Error(), http.StatusServiceUnavailable)
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
