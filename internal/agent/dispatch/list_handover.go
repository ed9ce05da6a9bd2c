package dispatch

import (
	"fernbeam.example/fernbeam/internal/agent/handover"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// HandoverList returns the endpoint list in force for another process of the agent. The list is nil if no discovery
// service has confirmed it, as then it is the one of the configuration. ok is false if the loop has ended.
func (l *Loop) HandoverList() (list *handover.List, ok bool) {
	result := make(chan *handover.List, 1)
	l.Post(func() { result <- l.handoverList() })
	select {
	case list := <-result:
		return list, true
	case <-l.ctx.Done():
		return nil, false
	}
}

func (l *Loop) handoverList() *handover.List {
	origin := l.list.inherited
	if l.list.answered {
		origin = l.answeredOrigin()
	}
	if origin == nil {
		return nil
	}
	return &handover.List{Origin: *origin, Version: l.list.version, Servers: l.endpoints.entries()}
}

// answeredOrigin returns the origin of a list of the source in use.
func (l *Loop) answeredOrigin() *handover.Origin {
	sinceAnswer := l.clock.Monotonic() - l.list.source.LastAnswer()
	return &handover.Origin{
		Sources:     l.list.source.Addresses(),
		ConfirmedMs: int64(clock.UnixMilliseconds(l.clock.Wall().Add(-sinceAnswer))),
	}
}

// AdoptList puts a list in force that a process which still runs has handed over, unless discovery has answered this
// process.
func (l *Loop) AdoptList(list *handover.List) {
	l.Post(func() {
		if !l.list.answered {
			l.adoptList(list)
		}
	})
}

func (l *Loop) adoptList(list *handover.List) {
	older := list.Version < l.list.version
	l.list.inherited = &list.Origin
	if addrs := l.cfg.DiscoveryAddresses(); !list.IsFrom(addrs) {
		l.discovery.MoveTo(addrs...) // the next answer has the full list, as changes of another one can't be applied
	}
	full := endpoint.List{Version: list.Version, Full: true, Servers: list.Servers}
	l.applyList(&full, balancer.ListCached, listOrigin{older: older})
	if l.endpoints.hasReady() {
		l.onServersReady()
	}
}
