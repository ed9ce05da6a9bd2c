package emulator

import (
	"errors"
	"fmt"
	"time"
)

const (
	// shareTolerance bounds the deviation of the sum of the class shares from 1.
	shareTolerance = 0.001

	maxAgents = 60_000
	maxZones  = 20
)

// Agent describes an agent and its client.
type Agent struct {
	Name  string
	Zone  int
	Share float64 // fraction of all calls that its client makes
}

// DelayRange holds the shortest and the longest value of a delay.
type DelayRange [2]time.Duration

// Min returns the shortest delay.
func (r DelayRange) Min() time.Duration { return r[0] }

// Max returns the longest delay.
func (r DelayRange) Max() time.Duration { return r[1] }

// Config describes an emulation.
type Config struct {
	Seed        uint64
	Zones       []string
	ZoneDelay   time.Duration // one-way network delay between two zones
	Agents      []Agent
	Models      []Model   // server models
	ModelShares []float64 // fraction of the servers that have each model
	Servers     int
	CellSize    int // servers in a cell
	Classes     []Class
	Contract    Contract
	Rate        float64 // calls per second of all clients, before any TrafficChange
	Keys        int     // distinct keys, drawn from a Zipf distribution with exponent Zipf
	Zipf        float64
	// Clients abandon a request after RequestTimeoutShare of the class's total timeout. They retry up to Retries times,
	// RetryDelay after the previous request has ended.
	Retries             int
	RequestTimeoutShare float64
	RetryDelay          time.Duration
	// ListDelay bounds the delay after which a change of the endpoint list reaches an agent. It is drawn for each agent.
	ListDelay DelayRange
	KeepAlive time.Duration // how long a server keeps an idle connection open
	// Direct makes the clients bypass the agents: each calls the server with its own index. It serves to compare the
	// emulator with queueing theory.
	Direct bool
}

// validate returns an error if the configuration is incomplete or out of range.
func (c *Config) validate() error {
	shares := 0.0
	for _, class := range c.Classes {
		shares += class.Share
	}
	switch {
	case len(c.Zones) == 0 || len(c.Agents) == 0 || c.Servers < 1 || c.CellSize < 1:
		return errors.New("emulator: zones, agents, servers and cell size must be set")
	case len(c.Models) == 0 || len(c.Models) != len(c.ModelShares):
		return errors.New("emulator: every model needs a share")
	case shares < 1-shareTolerance || shares > 1+shareTolerance:
		return fmt.Errorf("emulator: class shares add up to %g, not 1", shares)
	case c.Rate <= 0 || c.Keys < 1 || c.RequestTimeoutShare <= 0 || c.RequestTimeoutShare > 1:
		return errors.New("emulator: rate and keys must be positive, the request timeout share above 0 and at most 1")
	case len(c.Agents) > maxAgents || len(c.Zones) > maxZones:
		return errors.New("emulator: too many agents or zones for the address space")
	}
	return nil
}
