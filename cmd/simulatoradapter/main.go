// Command simulatoradapter runs any number of independent balancers for the operators' simulator. It reads batches of
// events from standard input and writes a reply with the balancers' actions for each batch to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/wire"
	"fernbeam.example/fernbeam/policy"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulatoradapter:", err)
		os.Exit(1)
	}
}

// run answers batches from in until it ends.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, bufferSize))
	writer := bufio.NewWriterSize(out, bufferSize)
	s := simulation{balancers: map[uint32]*policy.Balancer{}}
	for {
		s.reply.Reset()
		err := decoder.Next(s.handle)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := s.reply.WriteTo(writer); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// simulation holds the balancers of all instances. The balancers share no state.
type simulation struct {
	balancers map[uint32]*policy.Balancer // by instance number
	reply     wire.Encoder
	actions   []balancer.Action // reused between events
}

// handle handles one record and appends the balancer's actions to the reply. If a balancer can't be created, its
// instance is reported as crashed. Events for an instance that isn't running are ignored.
func (s *simulation) handle(now float64, rec *wire.Record) error {
	s.actions = s.actions[:0]
	switch rec.Kind {
	case wire.Boot:
		b, err := newBalancer(rec)
		if err != nil {
			s.reply.Crash(rec.Instance, err.Error())
			delete(s.balancers, rec.Instance)
			return nil
		}
		s.balancers[rec.Instance] = b
		s.actions = b.Start(now, s.actions)
	case wire.Killed:
		delete(s.balancers, rec.Instance)
	case wire.Event:
		if b := s.balancers[rec.Instance]; b != nil {
			s.actions = b.Handle(now, &rec.Event, s.actions)
		}
	}
	for i := range s.actions {
		s.reply.Add(rec.Instance, &s.actions[i])
	}
	return nil
}

// newBalancer creates a balancer with the settings and the seed of a boot record.
func newBalancer(rec *wire.Record) (*policy.Balancer, error) {
	settings, err := balancer.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, rec.Seed)
}
