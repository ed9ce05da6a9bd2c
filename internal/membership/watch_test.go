package membership

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// successorsByDefinition returns the first watchedSuccessors of all other alive members, ordered by the distance of
// their hashed names on the ring.
func successorsByDefinition(snapshot *Snapshot, name string) []Member {
	own := xxhash.Sum64String(name)
	var alive []Member
	for _, member := range snapshot.Members {
		if member.State == Alive && member.Name != name {
			alive = append(alive, member)
		}
	}
	after := func(member Member) uint64 { return xxhash.Sum64String(member.Name) - own }
	slices.SortFunc(alive, func(a, b Member) int {
		if after(a) < after(b) {
			return -1
		}
		return 1
	})
	return alive[:min(watchedSuccessors, len(alive))]
}

// TestSuccessorsAreNextOnRing checks that every member, and one that is not in the list, watches the members that
// follow it on the ring.
func TestSuccessorsAreNextOnRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []State{Alive, Alive, Alive, Suspect, Dead, Left}
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9-]{1,12}`), 0, 60, rapid.ID).Draw(t, "names")
		var members []Member
		for _, n := range names {
			members = append(members, Member{Name: n, Process: n + "-1", State: rapid.SampledFrom(states).Draw(t, "state")})
		}
		var got []Member
		for _, self := range append(names, "nobody") {
			m := &Membership{cfg: Config{Name: self}}
			m.snapshot.Store(&Snapshot{Members: members})
			got = m.successors(got[:0])
			if want := successorsByDefinition(m.Snapshot(), self); !slices.Equal(got, want) {
				t.Fatalf("%s watches %v, want %v", self, got, want)
			}
		}
	})
}

// TestSuccessorsAllocateNothing checks that successors allocates nothing with many members.
func TestSuccessorsAllocateNothing(t *testing.T) {
	m := &Membership{cfg: Config{Name: memberName(7)}}
	snapshot := &Snapshot{}
	for i := range 1500 {
		snapshot.Members = append(snapshot.Members, Member{Name: memberName(i), State: Alive})
	}
	m.snapshot.Store(snapshot)
	into := make([]Member, 0, watchedSuccessors)
	n := testing.AllocsPerRun(100, func() { into = m.successors(into[:0]) })
	if n != 0 || len(into) != watchedSuccessors {
		t.Errorf("%v allocations for %d successors", n, len(into))
	}
}

// TestIsPeerGone checks that the end of an established connection shows that the peer is gone. A connection that was
// never established shows it only if it was refused or reset. An expired deadline of this process does not show it.
func TestIsPeerGone(t *testing.T) {
	opError := func(op string, errno syscall.Errno) error {
		return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
	}
	cases := []struct {
		err  error
		gone bool
	}{
		{io.EOF, true},
		{opError("read", syscall.ECONNRESET), true},
		{opError("write", syscall.EPIPE), true},
		{opError("read", syscall.ETIMEDOUT), true},
		{opError("write", syscall.ETIMEDOUT), true},
		{opError("read", syscall.EHOSTUNREACH), true},
		{opError("dial", syscall.ECONNREFUSED), true},
		{opError("dial", syscall.ECONNRESET), true},
		{opError("dial", syscall.ETIMEDOUT), false},
		{opError("dial", syscall.EHOSTUNREACH), false},
		{opError("dial", syscall.ENETUNREACH), false},
		{opError("dial", syscall.ENOBUFS), false},
		{opError("dial", syscall.EMFILE), false},
		{&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, false},
		{&net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}, false},
		{errors.New("message of another kind"), false},
	}
	for _, c := range cases {
		if got := isPeerGone(c.err); got != c.gone {
			t.Errorf("isPeerGone(%v) = %v, want %v", c.err, got, c.gone)
		}
	}
}
