package processtest

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// awaitInterval is the time between two checks of Await's condition.
	awaitInterval = 10 * time.Millisecond
	// maxParallel is the maximum number of concurrent calls of Each.
	maxParallel = 64
)

// Await checks a condition every awaitInterval until it is met, and returns an error if it is not met in time. what
// describes the condition in the error.
func Await(within time.Duration, what string, met func() bool) error {
	return AwaitEvery(awaitInterval, within, what, met)
}

// AwaitEvery is like Await with a given interval between two checks. met may also be an operation that is retried until
// it succeeds.
func AwaitEvery(interval, within time.Duration, what string, met func() bool) error {
	end := time.Now().Add(within)
	for !met() {
		if time.Now().After(end) {
			return fmt.Errorf("processtest: %s: timed out after %v", what, within)
		}
		time.Sleep(interval)
	}
	return nil
}

// Each calls do for each of the names, with up to maxParallel concurrent calls, and returns their joined errors.
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
