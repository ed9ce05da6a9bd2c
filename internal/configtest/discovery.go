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
	// retryTimeout bounds the retries of what needs a leader or all agents.
	retryTimeout = 20 * time.Second
	// changeTimeout bounds the retries of a change.
	changeTimeout = 30 * time.Second
	// changePause and leaderPause are the pauses between retries.
	changePause = 20 * time.Millisecond
	leaderPause = 50 * time.Millisecond
)

var errNoLeader = errors.New("configtest: no leader")

// callAdmin makes one call of an instance's admin endpoint, and reads its answer into out if it is 200.
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
	defer func() { _ = resp.Body.Close() }() // it was only read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("configtest: %s answered %d to %s %s", instance, resp.StatusCode, method, path)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// get is callAdmin without a body.
func (h *Harness) get(instance, path string, out any) error {
	return h.callAdmin(instance, http.MethodGet, path, nil, out)
}

// leader returns the instance that leads by its own status, of those that are not paused; "": none does.
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

// atLeader does something at the leader, or, until there is one and for retryTimeout, retries.
func (h *Harness) atLeader(do func(instance string) error) error {
	var err error
	isDone := func() bool {
		err = errNoLeader
		if leader := h.leader(); leader != "" {
			err = do(leader)
		}
		return err == nil
	}
	if awaitErr := processtest.AwaitEvery(leaderPause, retryTimeout, "a call of the leader", isDone); awaitErr != nil {
		return fmt.Errorf("%w: %w", awaitErr, err)
	}
	return nil
}

// drawFollower draws an instance that does not lead.
func (h *Harness) drawFollower() (string, error) {
	err := h.awaitLeader(retryTimeout)
	followers := h.discovery.Others(h.leader())
	return followers[h.random.IntN(len(followers))], err
}

// Change writes settings with a marker of their own until they are acknowledged, at the given instances in turn, and
// records that; the error is that this took longer than changeTimeout. It is safe for concurrent use.
func (h *Harness) Change(settingsOf func(marker int) processtest.AgentSettings, instances ...string) (Write, error) {
	write := Write{Marker: h.nextMarker()}
	text, err := json.Marshal(settingsOf(write.Marker))
	if err != nil {
		return write, err
	}
	var answer server.WriteResult
	attempts := 0
	isAcknowledged := func() bool {
		instance := instances[attempts%len(instances)]
		attempts++
		err = h.callAdmin(instance, http.MethodPut, endpoint.SettingsPath(service), text, &answer)
		return err == nil
	}
	what := fmt.Sprintf("an acknowledgement of change %d", write.Marker)
	if awaitErr := processtest.AwaitEvery(changePause, changeTimeout, what, isAcknowledged); awaitErr != nil {
		return write, fmt.Errorf("%w: %w", awaitErr, err)
	}
	write.Version = answer.Version
	write.AckedAt = time.Now()
	h.writes.Add(write)
	return write, nil
}

// nextMarker draws the marker of the next change.
func (h *Harness) nextMarker() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastMarker++
	return h.lastMarker
}

// change changes settings to such as all agents take.
func (h *Harness) change(instances ...string) error {
	_, err := h.Change(settings, instances...)
	return err
}
