package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"runtime"
	"strings"

	"fernbeam.example/fernbeam/internal/membershiptest"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// agentMemoryMB is the memory that an agent needs in an experiment.
	agentMemoryMB = 20
	// agentsWithoutMembership is the number of agents without a membership in the cost measurement.
	agentsWithoutMembership = 2
	// latencyRate is the request rate of the latency measurement, per second.
	latencyRate = 100
	// costsCase is the case name of the cost measurement in the record.
	costsCase = "costs"
)

var errInterrupted = errors.New("interrupted")

// runner runs a plan.
type runner struct {
	plan       plan
	logDir     string // directory for the agents' logs; if empty, they are removed
	recordPath string // file to which each run is appended; empty for none
	journal    *membershiptest.Journal
}

// run runs the plan and prints the table of its runs, even if the plan could not be completed.
func (r *runner) run(ctx context.Context, out io.Writer) (err error) {
	if err := checkMemory(r.plan.Agents); err != nil {
		return err
	}
	r.journal = &membershiptest.Journal{
		Commit:     currentCommit(ctx),
		Agents:     r.plan.Agents,
		Processors: runtime.NumCPU(),
	}
	if r.recordPath != "" {
		file, openErr := openRecord(r.recordPath)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		r.journal.Out = file
	}
	err = r.runAll(ctx)
	if tableErr := r.journal.Table(out); err == nil {
		err = tableErr
	}
	if err == nil && ctx.Err() != nil {
		err = errInterrupted
	}
	return err
}

// runAll runs the rounds of the plan and then the cost measurement. It stops early if the context is canceled.
func (r *runner) runAll(ctx context.Context) error {
	for round := range r.plan.Runs {
		if err := r.runRound(ctx, r.plan.Seed+uint64(round)); err != nil {
			return err
		}
	}
	if r.plan.Costs > 0 && ctx.Err() == nil {
		return r.measureCosts(context.WithoutCancel(ctx)) // an interrupt takes effect only between runs
	}
	return nil
}

// checkMemory checks that the machine has enough free memory for the given number of agents.
func checkMemory(agents int) error {
	need, free := agents*agentMemoryMB, processtest.AvailableMemoryMB()
	if need > free {
		return fmt.Errorf("%d agents need about %d MB of memory, but only %d MB are free", agents, need, free)
	}
	return nil
}

// currentCommit returns the short hash of the working directory's commit, or "" if there is none.
func currentCommit(ctx context.Context) string {
	hash, _ := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output() // optional in a record
	return strings.TrimSuffix(string(hash), "\n")
}

// runRound runs the plan's cases in turn on a cluster with the given seed. After a failed run or a case that ends its
// cluster, the round continues on a new cluster.
func (r *runner) runRound(ctx context.Context, seed uint64) error {
	var c *cluster
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for _, faultCase := range membershiptest.Cases {
		if ctx.Err() != nil || !r.plan.hasCase(faultCase.Name) {
			continue
		}
		if c == nil {
			var err error
			if c, err = newCluster(r.plan, seed, r.logDir, nil); err != nil {
				return err
			}
		}
		// An interrupt takes effect only between runs: a started run is completed.
		metrics, runErr := c.RunCase(context.WithoutCancel(ctx), faultCase, r.plan.Scale)
		if err := r.journal.Add(faultCase.Name, seed, metrics, runErr); err != nil {
			return err
		}
		if runErr != nil || faultCase.EndsCluster {
			c.close()
			c = nil
		}
	}
	return nil
}

// measureCosts measures the costs of the membership by comparing agents with and without one in the same cluster.
func (r *runner) measureCosts(ctx context.Context) error {
	p := r.plan
	firstWithout := p.Agents - agentsWithoutMembership
	c, err := newCluster(p, p.Seed, r.logDir, func(i int) bool { return i >= firstWithout })
	if err != nil {
		return err
	}
	defer c.close()
	var metrics processtest.Metrics
	runErr := c.StartConverged(ctx, p.ConvergeWithin)
	if runErr == nil {
		metrics, runErr = c.Costs(ctx, p.Costs)
	}
	if err := r.journal.Add(costsCase, p.Seed, metrics, runErr); err != nil || runErr != nil {
		return err
	}
	with, without := c.Names[firstWithout-1], c.Names[p.Agents-1]
	metrics, runErr = c.Latency(ctx, with, without, latencyRate, p.Costs)
	return r.journal.Add(costsCase, p.Seed, metrics, runErr)
}
