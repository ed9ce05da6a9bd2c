package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxStatusBytes bounds the size of a response: it has room for the maximum number of members and all kept changes.
const maxStatusBytes = 16 << 20

// ErrNotConfigured is returned when an agent's configuration has no section "fleet".
var ErrNotConfigured = errors.New("has no section fleet")

// FetchStatus sends GET /ops/fleet to an agent's admin endpoint, adminAddr (host:port), and returns the decoded
// response. The query is empty or of the form "members=none&since=4"; see docs/ON-CALL.md.
func FetchStatus(ctx context.Context, adminAddr, query string) (*Status, error) {
	url := "http://" + adminAddr + "/ops/fleet?" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req) // the admin endpoint closes each connection after its response
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was only read
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrNotConfigured
	default:
		return nil, fmt.Errorf("unexpected status %s", resp.Status)
	}
	status := &Status{Snapshot: new(Snapshot)}
	body := io.LimitReader(resp.Body, maxStatusBytes)
	if err := json.NewDecoder(body).Decode(status); err != nil {
		return nil, fmt.Errorf("unreadable answer: %w", err)
	}
	return status, nil
}
