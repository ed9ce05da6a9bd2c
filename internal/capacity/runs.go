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

// Days are the days that a run may be of.
var Days = []string{"quiet", "ordinary", "rollout", "zone", "region", "control"}

// RoleHost is the machine that a run was played on, all of its processes together.
const RoleHost = "host"

var knownRoles = []string{RoleHollow, RoleReal, RoleLeader, RoleFollower, RoleHost}

// required are the keys without which a line is no run.
var requiredKeys = []string{"plan", "commit", "day", "repeat", "seed", "size", "hollow", "real", "lists", "listed", "hurry", "seconds", "changes", "settled", "roles", "in_force"}

// WriteRun adds a run to a record, as one line in one write; a run that ReadRuns would refuse is
// not written.
func WriteRun(to io.Writer, r *Run) error {
	if err := r.check(); err != nil {
		return fmt.Errorf("the run can't be recorded: %w", err)
	}
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("the run can't be recorded: %w", err)
	}
	_, err = to.Write(append(line, '\n'))
	return err
}

// ReadRuns reads the runs of a record file, those that are invalid too. A line that is wrong is an
// error of one line that names the file, the line and the key, and then there are no runs.
func ReadRuns(path string) ([]*Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var runs []*Run
	for in, n := bufio.NewReader(f), 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			r, perr := parseRun(line)
			if perr != nil {
				return nil, fmt.Errorf("%s:%d: %w", path, n, perr)
			}
			runs = append(runs, r)
		}
		if err != nil {
			return runs, nil
		}
	}
}

func parseRun(line []byte) (*Run, error) {
	r := new(Run)
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(r); err != nil {
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a JSON %s can't be its value", wrong.Field, wrong.Value)
		}
		return nil, errors.New(strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("something follows the run's object")
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(line, &keys); err != nil {
		return nil, err
	}
	for _, key := range requiredKeys {
		if _, there := keys[key]; !there {
			return nil, fmt.Errorf("key %q is missing", key)
		}
	}
	return r, r.check()
}

// check names the first key whose value makes no sense. A run that says why it does not count may
// have been broken off before anything was measured.
func (r *Run) check() error {
	switch {
	case r.Plan == "":
		return errors.New("plan: is empty")
	case r.Commit == "":
		return errors.New("commit: is empty")
	case !slices.Contains(Days, r.Day):
		return fmt.Errorf("day: %q is none of %s", r.Day, strings.Join(Days, ", "))
	case r.Repeat < 1:
		return fmt.Errorf("repeat: must be above 0, is %d", r.Repeat)
	case r.Size < 1:
		return fmt.Errorf("size: must be above 0, is %d", r.Size)
	case r.Hollow < 0 || r.Real < 0 || r.Hollow+r.Real != r.Size:
		return fmt.Errorf("size: %d is not the sum of %d hollow and %d real", r.Size, r.Hollow, r.Real)
	case r.DiscoveryInstances < 0:
		return fmt.Errorf("lists: can't be %d", r.DiscoveryInstances)
	case r.ListedServers < 0:
		return fmt.Errorf("listed: can't be %d", r.ListedServers)
	case invalidValue(r.RateFactor) || r.RateFactor == 0 && len(r.Invalid) == 0:
		return fmt.Errorf("hurry: must be above 0, is %v", r.RateFactor)
	case invalidValue(r.Seconds) || r.Seconds == 0 && len(r.Invalid) == 0:
		return fmt.Errorf("seconds: must be above 0, is %v", r.Seconds)
	case r.Changes < 0:
		return fmt.Errorf("changes: can't be %d", r.Changes)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Roles)) {
		if !slices.Contains(knownRoles, name) {
			return fmt.Errorf("roles: %q is none of %s", name, strings.Join(knownRoles, ", "))
		}
		if role := r.Roles[name]; role.Count < 0 {
			return fmt.Errorf("roles.%s.count: can't be %d", name, role.Count)
		}
		for part, figures := range map[string]map[string]float64{"mean": r.Roles[name].Mean, "most": r.Roles[name].Max} {
			for _, f := range slices.Sorted(maps.Keys(figures)) {
				if invalidValue(figures[f]) {
					return fmt.Errorf("roles.%s.%s.%s: can't be %v", name, part, f, figures[f])
				}
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(r.InForce)) {
		if t := r.InForce[kind]; t.Count < 0 || t.NeverInForce < 0 || invalidValue(t.P50) || invalidValue(t.P99) || invalidValue(t.Max) {
			return fmt.Errorf("in_force.%s: counts and times can't be below 0", kind)
		}
	}
	return nil
}

// bad tells of a figure that nothing can have: all are counts, rates, sizes or times.
func invalidValue(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || v < 0 }
