package main

import (
	"os"
	"path/filepath"

	"fernbeam.example/fernbeam/internal/membershiptest"
)

// cluster is a test cluster with its directory.
type cluster struct {
	*membershiptest.Harness
	dir     string
	keepDir bool
}

// newCluster makes a cluster of a plan and a seed; nothing runs yet. The agents' logs are kept in logDir, if it is not
// empty.
func newCluster(p plan, seed uint64, logDir string, withoutMembership func(i int) bool) (*cluster, error) {
	binary, err := filepath.Abs(p.Binary)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(logDir, "membership")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, keepDir: logDir != ""}
	c.Harness, err = membershiptest.New(membershiptest.Config{
		Binary:            binary,
		Dir:               dir,
		Agents:            p.Agents,
		Seeds:             p.Seeds,
		Seed:              seed,
		WithoutMembership: withoutMembership,
		Membership:        p.membershipConfig(),
	})
	if err != nil {
		c.removeDir()
		return nil, err
	}
	return c, nil
}

// close ends the cluster and removes its directory.
func (c *cluster) close() {
	c.Close()
	c.removeDir()
}

func (c *cluster) removeDir() {
	if !c.keepDir {
		_ = os.RemoveAll(c.dir) // a directory that stays in the temporary one does no harm
	}
}
