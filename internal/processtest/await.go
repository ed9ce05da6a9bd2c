package processtest

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// awaitInterval is how often Await checks its condition.
	awaitInterval = 10 * time.Millisecond
	// maxParallel is for how many processes Each does something at a time.
	maxParallel = 64
)

// Await checks a condition every awaitInterval until it is met or the time has passed; the error says what was awaited.
func Await(within time.Duration, what string, met func() bool) error {
	return AwaitEvery(awaitInterval, within, what, met)
}

// AwaitEvery is Await with another interval. Each check may be a call that is repeated until it succeeds.
func AwaitEvery(interval, within time.Duration, what string, met func() bool) error {
	end := time.Now().Add(within)
	for !met() {
		if time.Now().After(end) {
			return fmt.Errorf("processtest: %s: not within %v", what, within)
		}
		time.Sleep(interval)
	}
	return nil
}

// Each does something for many processes at once, up to maxParallel at a time, and returns all errors.
func Each(names []string, do func(string) error) error {
	var group sync.WaitGroup
	errs := make([]error, len(names))
	slots := make(chan struct{}, maxParallel)
	for i, name := range names {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			errs[i] = do(name)
			<-slots
		}()
	}
	group.Wait()
	return errors.Join(errs...)
}
