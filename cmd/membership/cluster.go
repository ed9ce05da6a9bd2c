package main

import (
	"os"
	"path/filepath"

	"fernbeam.example/fernbeam/internal/membershiptest"
)

// cluster is a test cluster with its working directory.
type cluster struct {
	*membershiptest.Harness
	dir     string
	keepDir bool
}

// newCluster creates the cluster of a plan with a seed, without starting any agent. If logDir is not empty, the agents'
// logs are kept in a directory inside it.
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

// close stops the cluster and removes its directory.
func (c *cluster) close() {
	c.Close()
	c.removeDir()
}

// removeDir removes the directory, unless the logs are to be kept.
func (c *cluster) removeDir() {
	if !c.keepDir {
		_ = os.RemoveAll(c.dir) // a directory left behind in the temporary one is harmless
	}
}
