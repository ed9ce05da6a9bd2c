package configtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// retryTimeout bounds the retries of operations that need a leader or reports of all agents.
	retryTimeout = 20 * time.Second
	// changeTimeout bounds the retries of a change.
	changeTimeout = 30 * time.Second
	// changeInterval and leaderInterval are the intervals between retries of a change and of a call to the leader.
	changeInterval = 20 * time.Millisecond
	leaderInterval = 50 * time.Millisecond
)

var errNoLeader = errors.New("configtest: no leader")

// callAdmin sends a request to an instance's admin endpoint and decodes the response into out. A status other than 200
// is an error.
func (h *Harness) callAdmin(instance, method, path string, body []byte, out any) error {
	url := "http://" + h.discovery.Addr(instance, processtest.AdminPort) + path
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the body is only read, so an error has no effect
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("configtest: %s responded with status %d to %s %s", instance, resp.StatusCode, method, path)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// get calls callAdmin for a GET request.
func (h *Harness) get(instance, path string, out any) error {
	return h.callAdmin(instance, http.MethodGet, path, nil, out)
}

// leader returns the instance that reports itself as the leader, or "" if there is none. A paused instance is not
// asked.
func (h *Harness) leader() string {
	h.mu.Lock()
	paused := h.pausedInstance
	h.mu.Unlock()
	return h.discovery.FirstRunning(func(name string) bool {
		var status server.Status
		return name != paused && h.get(name, endpoint.StatusPath, &status) == nil && status.State == server.StateLeader
	})
}

// awaitLeader waits until there is a leader.
func (h *Harness) awaitLeader(within time.Duration) error {
	return processtest.Await(within, "a leader", func() bool { return h.leader() != "" })
}

// atLeader calls do with the leader. It retries for up to retryTimeout while there is no leader or do fails.
func (h *Harness) atLeader(do func(instance string) error) error {
	var err error
	isDone := func() bool {
		err = errNoLeader
		if leader := h.leader(); leader != "" {
			err = do(leader)
		}
		return err == nil
	}
	if awaitErr := processtest.AwaitEvery(leaderInterval, retryTimeout, "a call to the leader", isDone); awaitErr != nil {
		return fmt.Errorf("%w: %w", awaitErr, err)
	}
	return nil
}

// randomFollower returns a random instance that is not the leader.
func (h *Harness) randomFollower() (string, error) {
	err := h.awaitLeader(retryTimeout)
	followers := h.discovery.Others(h.leader())
	return followers[h.random.IntN(len(followers))], err
}

// Change writes settings with a new marker and records the write once it is acknowledged. It tries the given instances
// in turn and fails after changeTimeout. It is safe for concurrent use.
func (h *Harness) Change(settingsOf func(marker int) processtest.AgentSettings, instances ...string) (Write, error) {
	write := Write{Marker: h.nextMarker()}
	text, err := json.Marshal(settingsOf(write.Marker))
	if err != nil {
		return write, err
	}
	var result server.WriteResult
	attempts := 0
	isAcknowledged := func() bool {
		instance := instances[attempts%len(instances)]
		attempts++
		err = h.callAdmin(instance, http.MethodPut, endpoint.SettingsPath(service), text, &result)
		return err == nil
	}
	what := fmt.Sprintf("an acknowledgement of change %d", write.Marker)
	if awaitErr := processtest.AwaitEvery(changeInterval, changeTimeout, what, isAcknowledged); awaitErr != nil {
		return write, fmt.Errorf("%w: %w", awaitErr, err)
	}
	write.Version = result.Version
	write.AckedAt = time.Now()
	h.writes.Add(write)
	return write, nil
}

// nextMarker returns the marker of the next change.
func (h *Harness) nextMarker() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastMarker++
	return h.lastMarker
}

// change writes settings that all agents accept.
func (h *Harness) change(instances ...string) error {
	_, err := h.Change(settings, instances...)
	return err
}
