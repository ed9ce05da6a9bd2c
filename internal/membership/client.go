package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxStatus bounds an answer of a door, in bytes: the largest fleet with all kept changes.
const maxStatusBytes = 16 << 20

// Ask asks an agent's operators' door (host:port) for its view: GET /ops/fleet with a query
// (see docs/ON-CALL.md), empty or such as "members=none&since=4".
func FetchStatus(ctx context.Context, door, query string) (*Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+door+"/ops/fleet?"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req) // the door closes each connection after its answer
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errors.New("keeps no fleet view")
	default:
		return nil, fmt.Errorf("answered %s", resp.Status)
	}
	s := &Status{Snapshot: new(Snapshot)}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("can't be read: %w", err)
	}
	return s, nil
}
