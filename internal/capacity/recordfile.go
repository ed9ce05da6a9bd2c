package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
)

// knownRoles lists the roles that a record may contain.
var knownRoles = []Role{RoleHollow, RoleReal, RoleLeader, RoleFollower, RoleHost}

// requiredKeys lists the JSON keys that each line of a record file must have.
var requiredKeys = []string{
	"plan", "commit", "day", "repeat", "seed", "size", "hollow", "real", "lists", "listed", "hurry", "seconds",
	"changes", "settled", "roles", "in_force",
}

// ReadRuns reads the runs of a record file, including invalid ones. For a malformed line
// it returns no runs and a one-line error that names the file, the line and the key.
func ReadRuns(path string) ([]*Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	var runs []*Run
	reader := bufio.NewReader(file)
	for lineNumber := 1; ; lineNumber++ {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return nil, fmt.Errorf("%s:%d: %w", path, lineNumber, readErr)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			run, err := parseRun(line)
			if err != nil {
				return nil, fmt.Errorf("%s:%d: %w", path, lineNumber, err)
			}
			runs = append(runs, run)
		}
		if readErr != nil {
			return runs, nil
		}
	}
}

// parseRun parses one line of a record file.
func parseRun(line []byte) (*Run, error) {
	r := new(Run)
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(r); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: a JSON %s is not a valid value", typeError.Field, typeError.Value)
		}
		return nil, errors.New(strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the run's object")
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(line, &keys); err != nil {
		return nil, err
	}
	for _, key := range requiredKeys {
		if _, ok := keys[key]; !ok {
			return nil, fmt.Errorf("key %q is missing", key)
		}
	}
	return r, r.check()
}

// check returns an error that names the first key with an invalid value.
func (r *Run) check() error {
	if err := r.checkParameters(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.Roles)) {
		if err := checkRole(name, r.Roles[name]); err != nil {
			return err
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(r.InForce)) {
		if !r.InForce[kind].plausible() {
			return fmt.Errorf("in_force.%s: counts and times must be finite and not negative", kind)
		}
	}
	return nil
}

// checkParameters checks the top-level keys other than maps. A run marked invalid may lack the rate factor
// and the seconds, because it may have been interrupted before anything was measured.
func (r *Run) checkParameters() error {
	valid := len(r.Invalid) == 0
	switch {
	case r.Plan == "":
		return errors.New("plan: is empty")
	case r.Commit == "":
		return errors.New("commit: is empty")
	case !slices.Contains(Profiles, r.Profile):
		return fmt.Errorf("day: %q is none of %s", r.Profile, JoinProfiles(Profiles))
	case r.Repeat < 1:
		return fmt.Errorf("repeat: must be above 0, is %d", r.Repeat)
	case r.Size < 1:
		return fmt.Errorf("size: must be above 0, is %d", r.Size)
	case r.Hollow < 0 || r.Real < 0 || r.Hollow+r.Real != r.Size:
		return fmt.Errorf("size: %d is not the sum of %d hollow and %d real", r.Size, r.Hollow, r.Real)
	case r.DiscoveryInstances < 0:
		return fmt.Errorf("lists: must not be negative, is %d", r.DiscoveryInstances)
	case r.ListedServers < 0:
		return fmt.Errorf("listed: must not be negative, is %d", r.ListedServers)
	case invalidValue(r.RateFactor) || r.RateFactor == 0 && valid:
		return fmt.Errorf("hurry: must be above 0, is %v", r.RateFactor)
	case invalidValue(r.Seconds) || r.Seconds == 0 && valid:
		return fmt.Errorf("seconds: must be above 0, is %v", r.Seconds)
	case r.Changes < 0:
		return fmt.Errorf("changes: must not be negative, is %d", r.Changes)
	}
	return nil
}

// checkRole checks the metrics of a role.
func checkRole(name Role, role RoleMetrics) error {
	if !slices.Contains(knownRoles, name) {
		return fmt.Errorf("roles: %q is none of %s", name, joinNames(knownRoles))
	}
	if role.Count < 0 {
		return fmt.Errorf("roles.%s.count: must not be negative, is %d", name, role.Count)
	}
	if err := checkMetrics("roles."+string(name)+".mean", role.Mean); err != nil {
		return err
	}
	return checkMetrics("roles."+string(name)+".most", role.Max)
}

// checkMetrics checks the values of a map of metrics. Errors name the map by key.
func checkMetrics(key string, metrics map[MetricKey]float64) error {
	for _, metric := range slices.Sorted(maps.Keys(metrics)) {
		if invalidValue(metrics[metric]) {
			return fmt.Errorf("%s.%s: must be finite and not negative, is %v", key, metric, metrics[metric])
		}
	}
	return nil
}

// plausible reports whether all counts and durations are finite and not negative.
func (l Latencies) plausible() bool {
	return l.Count >= 0 && l.NeverInForce >= 0 && !invalidValue(l.P50) && !invalidValue(l.P99) && !invalidValue(l.Max)
}

// invalidValue reports whether a value is negative or not finite. No metric can have such a value, because
// all metrics are counts, rates, sizes or durations.
func invalidValue(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || v < 0 }
