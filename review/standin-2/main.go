// Command standin-2 runs the cases of the second independent review. Each case starts the project's programs as
// processes, with stand-ins for clients, servers and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	root    string // of the project
	trouble bool
	record  *os.File
	began   = time.Now()
	noteMu  sync.Mutex
)

// note writes a line with its time to the record.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	_, _ = fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time in the form of the record.
func at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(began).Seconds()) }

// verdict is the end of a case: what breaks the rule, if anything does.
type verdict []string

func (v *verdict) broken(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

var cases = map[string]func(dir string) verdict{}

const (
	exitHeld, exitBroken, exitUnable = 0, 1, 2
	usageArgs                        = 3
	// longest is the greatest time that a case may take.
	longest = 115 * time.Second
)

// endEarly ends all processes, removes the folder and exits when a signal arrives or the case takes too long.
func endEarly(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case got := <-signals:
		note("the case was ended: %v", got)
	case <-time.After(longest):
		note("the case takes longer than %v", longest)
	}
	endAll()
	_ = os.RemoveAll(dir)
	os.Exit(exitUnable)
}

func main() {
	if len(os.Args) != usageArgs {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitUnable)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (exit int) {
	var err error
	if root, err = os.Getwd(); err != nil {
		return exitUnable
	}
	trouble = os.Getenv("TROUBLE") != "0"
	if record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	runCase := cases[name]
	if runCase == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitUnable
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return exitUnable
	}
	defer func() {
		if failure := recover(); failure != nil {
			reason, ok := failure.(cannotRun)
			if !ok {
				endAll()
				panic(failure)
			}
			note("the case can't run: %v", reason.err)
			fmt.Println("can't run:", reason.err)
			exit = exitUnable
		}
		endAll()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("kept:", dir)
		}
		_ = record.Close()
	}()
	go endEarly(dir)
	note("case %s, trouble %v", name, trouble)
	breaks := runCase(dir)
	endAll()
	for _, text := range breaks {
		note("BROKEN: %s", text)
	}
	if len(breaks) > 0 {
		fmt.Printf("broken, %d times; first: %s\n", len(breaks), breaks[0])
		return exitBroken
	}
	note("the rule held")
	fmt.Println("held")
	return exitHeld
}
