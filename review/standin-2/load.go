package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// load sends requests at a rate until it is stopped, and collects what the clients got.
type load struct {
	client  *client
	mu      sync.Mutex
	results []result
	wait    sync.WaitGroup
	stop    chan struct{}
	ended   chan struct{}
}

// classes of the requests, with the method and the timeout of a try.
var requestClasses = []outgoing{
	{Class: "cierre-valor", Method: "POST", Timeout: 1200 * time.Millisecond},
	{Class: "registro-precio", Method: "POST", Timeout: 900 * time.Millisecond},
	{Class: "consulta", Method: "GET", Timeout: 900 * time.Millisecond},
}

// newRequest returns a request of a class.
func newRequest(class outgoing) outgoing {
	o := class
	o.ID = newID()
	o.Path = "/api/" + randomKey()
	if o.Method == "POST" {
		o.Body = "value of " + o.ID
	}
	if o.Class == "registro-precio" {
		o.Key = "key-" + o.ID
	}
	return o
}

func randomKey() string {
	const digits = "0123456789abcdef"
	key := make([]byte, 16)
	for i := range key {
		key[i] = digits[rand.N(len(digits))]
	}
	return string(key)
}

// startLoad sends perSecond requests a second.
func startLoad(addr string, perSecond float64) *load {
	l := &load{client: &client{addr: addr}, stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		for {
			pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
			select {
			case <-time.After(pause):
			case <-l.stop:
				return
			}
			l.send(newRequest(requestClasses[rand.N(len(requestClasses))]))
		}
	}()
	return l
}

const patience = 1500 * time.Millisecond

// send sends a request in the background.
func (l *load) send(o outgoing) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		r := l.client.do(o, patience)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = append(l.results, r)
	}()
}

// finish ends the load and returns all results.
func (l *load) finish() []result {
	close(l.stop)
	<-l.ended
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}
