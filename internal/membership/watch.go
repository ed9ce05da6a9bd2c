package membership

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
)

const (
	// watchedSuccessors is how many members each one watches by an open connection: its successors on a ring of
	// hashed names. When a process ends its connections end with it, so up to so many others detect a crash at
	// once; only members that fall silent are left to the probes, which can be slow then and cause no false
	// alarms under load.
	watchedSuccessors = 3
	// watchRoundsPerProbe is how often in a probe interval the watched members are compared with the successors.
	watchRoundsPerProbe = 4
	// msgWatch begins a stream that stays open for as long as both processes run. It is not one of memberlist's
	// messages.
	msgWatch messageType = 200
)

// watcher has the connections to the members that a process watches.
type watcher struct {
	m     *Membership
	mu    sync.Mutex
	conns map[string]net.Conn // by process
	ended sync.WaitGroup
}

// watchSuccessors keeps the connections to this member's successors.
func (m *Membership) watchSuccessors(ctx context.Context) {
	w := &watcher{m: m, conns: map[string]net.Conn{}}
	defer w.close()
	ticker := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs) / watchRoundsPerProbe)
	defer ticker.Stop()
	wanted := make([]Member, 0, watchedSuccessors)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wanted = m.successors(wanted[:0])
		for _, member := range w.replaceUnwanted(wanted) {
			w.open(ctx, member)
		}
	}
}

// close closes all connections and waits until their goroutines have ended.
func (w *watcher) close() {
	w.mu.Lock()
	for _, conn := range w.conns {
		_ = conn.Close() // nothing was written that could be lost
	}
	w.mu.Unlock()
	w.ended.Wait()
}

// replaceUnwanted closes the connections to members that are not wanted, and returns the wanted ones without a
// connection.
func (w *watcher) replaceUnwanted(wanted []Member) []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	for process, conn := range w.conns {
		isWanted := slices.ContainsFunc(wanted, func(member Member) bool { return member.Process == process })
		if !isWanted {
			delete(w.conns, process)
			_ = conn.Close() // nothing was written that could be lost
		}
	}
	var unwatched []Member
	for _, member := range wanted {
		if w.conns[member.Process] == nil {
			unwatched = append(unwatched, member)
		}
	}
	return unwatched
}

// open connects to a member and watches the connection. A failure is left to the next round, and to
// confirmSuspects.
func (w *watcher) open(ctx context.Context, member Member) {
	conn, err := w.m.dialWatch(&member)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.conns[member.Process] = conn
	w.mu.Unlock()
	w.ended.Add(1)
	go func() {
		defer w.ended.Done()
		w.watch(ctx, &member, conn)
	}()
}

// watch waits for the end of a connection, and checks the member if the member ended it.
func (w *watcher) watch(ctx context.Context, member *Member, conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1)) // the member sends nothing: this returns at the end of the connection
	_ = conn.Close()                  // it has ended
	w.mu.Lock()
	endedByPeer := w.conns[member.Process] == conn
	if endedByPeer {
		delete(w.conns, member.Process)
	}
	w.mu.Unlock()
	if endedByPeer && ctx.Err() == nil {
		w.m.watchEnded(ctx, member)
	}
}

// watchEnded is called when a watched member's connection has ended: if its address refuses connections its
// process is gone.
func (m *Membership) watchEnded(ctx context.Context, watched *Member) {
	current, ok := m.snapshot.Load().Member(watched.Name)
	if !ok || current.Process != watched.Process || !current.State.isPresent() {
		return
	}
	if m.checkAddress(ctx, watched) == addressRefuses {
		m.declareDead(&current)
	}
}

// successors are the members that this one watches, appended to into: those whose hashed names follow its own, the
// next one first. It takes one pass and no memory, as each round of watchSuccessors calls it.
func (m *Membership) successors(into []Member) []Member {
	members := m.snapshot.Load().Members
	own := xxhash.Sum64String(m.cfg.Name)
	var nearest [watchedSuccessors]struct {
		distance uint64 // by how much the hash follows this process's own, around the ring
		index    int
	}
	found := 0
	for i := range members {
		if !m.isAlivePeer(&members[i]) {
			continue
		}
		distance := xxhash.Sum64String(members[i].Name) - own
		at := found
		for at > 0 && distance < nearest[at-1].distance {
			at--
		}
		if at == watchedSuccessors {
			continue
		}
		found = min(found+1, watchedSuccessors)
		copy(nearest[at+1:found], nearest[at:])
		nearest[at].distance = distance
		nearest[at].index = i
	}
	for _, successor := range nearest[:found] {
		into = append(into, members[successor.index])
	}
	return into
}

// dialWatch opens a watch connection to a member, which has acknowledged it.
func (m *Membership) dialWatch(member *Member) (net.Conn, error) {
	timeout := milliseconds(m.cfg.ProbeIntervalMs)
	address := memberlist.Address{Name: member.Name, Addr: member.Addr}
	conn, err := m.transport.DialAddressTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	if err := m.startWatch(conn, timeout); err != nil {
		_ = conn.Close() // the error that counts is the one before
		return nil, err
	}
	return conn, nil
}

// startWatch sends the label and the watch message on a connection and waits for the acknowledgement.
func (m *Membership) startWatch(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := memberlist.AddLabelHeaderToStream(conn, m.cfg.Site); err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte{byte(msgWatch)}, m.cfg.Name...)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}
