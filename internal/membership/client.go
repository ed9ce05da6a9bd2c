package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxStatusBytes bounds an answer: the largest number of members with all changes that are kept.
const maxStatusBytes = 16 << 20

// ErrNotConfigured tells that an agent's configuration has no section "fleet".
var ErrNotConfigured = errors.New("has no section fleet")

// FetchStatus calls an agent's admin endpoint (host:port): GET /ops/fleet with a query (see docs/ON-CALL.md),
// empty or such as "members=none&since=4".
func FetchStatus(ctx context.Context, adminAddr, query string) (*Status, error) {
	url := "http://" + adminAddr + "/ops/fleet?" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req) // the admin endpoint closes each connection after its answer
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrNotConfigured
	default:
		return nil, fmt.Errorf("answered %s", resp.Status)
	}
	status := &Status{Snapshot: new(Snapshot)}
	body := io.LimitReader(resp.Body, maxStatusBytes)
	if err := json.NewDecoder(body).Decode(status); err != nil {
		return nil, fmt.Errorf("unreadable answer: %w", err)
	}
	return status, nil
}
