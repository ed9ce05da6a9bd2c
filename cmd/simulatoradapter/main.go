// Command simulatoradapter runs many independent balancers in the operators' simulator: it reads batches
// of events from standard input and writes one reply with actions for each to standard output.
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

// bufferSize is the size of the buffers of input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulatoradapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
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

// simulation has the balancers by their instance numbers. They share nothing but the process.
type simulation struct {
	balancers map[uint32]*policy.Balancer
	reply     wire.Encoder
	actions   []balancer.Action // reused between events
}

// handle handles one record and appends the balancer's actions to the reply. A balancer that can't be
// created is reported as crashed. Events for an instance that does not run are ignored.
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

// newBalancer returns the balancer that a boot record describes.
func newBalancer(rec *wire.Record) (*policy.Balancer, error) {
	settings, err := balancer.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, rec.Seed)
}
