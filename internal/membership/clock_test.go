package membership

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/clock/clocktest"
	"fernbeam.example/fernbeam/internal/testaddr"
)

// processID returns a process identity that repeats one digit.
func processID(digit string) string { return strings.Repeat(digit, 16) }

// aliveNode returns memberlist's node for a process of member b.
func aliveNode(process string) *memberlist.Node {
	return &memberlist.Node{
		Name: "b", Addr: net.IPv4(127, 0, 0, 1).To4(), Port: 7, Meta: meta{Process: process}.bytes(),
		PMin: 1, PMax: 5, PCur: memberlist.ProtocolVersion2Compatible,
	}
}

// TestRefutationLiftsRetirement checks that a process that starts below its predecessor, because the wall clock was set
// back between them, is admitted once it refutes the predecessor, even by a member that took it for the earlier of the
// two. Late messages of the predecessor are still rejected.
func TestRefutationLiftsRetirement(t *testing.T) {
	const firstIncarnation, laterIncarnation = 1000, 400 // of the earlier process "1" and the later process "2"
	for name, message := range map[string]func(process string, incarnation uint32) []byte{
		"packet": func(process string, incarnation uint32) []byte {
			return encodeMessage(msgAlive, aliveMessage{incarnation, "b", meta{Process: process}.bytes()})
		},
		"push/pull": func(process string, incarnation uint32) []byte {
			node := pushNode{Name: "b", Addr: []byte{127, 0, 0, 1}, Port: 7, Vsn: []uint8{1, 5, 2, 0, 0, 0},
				Meta: meta{Process: process}.bytes(), Incarnation: incarnation}
			return append(encodeMessage(msgPushPull, pushPullHeader{Nodes: 1}), encodeBody(node)...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := newMembership(testConfig("a", "127.0.0.1:7"))
			if err != nil {
				t.Fatal(err)
			}
			now := time.Now()
			update := func(digit string, incarnation uint32) {
				m.table.update([]Member{{Name: "b", Process: processID(digit), State: Alive, Incarnation: incarnation}}, now)
			}
			admitted := func(digit string, incarnation uint32) bool {
				m.liftRetirements(message(processID(digit), incarnation))
				return m.checkMember(aliveNode(processID(digit))) == nil
			}
			update("2", laterIncarnation)
			update("1", firstIncarnation) // a late message of the predecessor
			if admitted("2", laterIncarnation) || admitted("2", firstIncarnation) {
				t.Error("a retired process without a higher incarnation is admitted")
			}
			if !admitted("2", firstIncarnation+1) {
				t.Fatal("the running process is not admitted after it refuted the earlier one")
			}
			update("2", firstIncarnation+1)
			if admitted("1", firstIncarnation) {
				t.Error("the earlier process is admitted by a late message")
			}
		})
	}
}

// TestRestartAfterWallClockStep checks that a restarted member is seen as its new process, whatever the steps of its
// machine's wall clock between the starts, and that a step while it runs does not change that.
func TestRestartAfterWallClockStep(t *testing.T) {
	for _, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			first := startAlone(t)
			bind, stepped := testaddr.Reserve(t), clocktest.NewStepped(0)
			start := func() *Membership {
				cfg := testConfig("b", bind, first.cfg.Bind)
				cfg.Clock = stepped
				m, err := Start(cfg)
				if err != nil {
					t.Fatal(err)
				}
				await(t, 10*time.Second, "a sees the running process of b", func() bool {
					member, _ := first.Snapshot().Member("b")
					return member.Process == m.process && member.State == Alive && m.Snapshot().Digest == first.Snapshot().Digest
				})
				return m
			}
			killed := start()
			killed.Kill()
			stepped.Step(step)
			left := start()
			left.Leave()
			stepped.Step(-step)
			last := start()
			defer last.Leave()
			stepped.Step(step)
			member, _ := first.Snapshot().Member("b")
			if member.Process != last.process {
				t.Errorf("a sees b as process %s, want %s", member.Process, last.process)
			}
		})
	}
}

// TestSnapshotTimesAreMonotonic checks that the times of a snapshot have a monotonic clock reading.
func TestSnapshotTimesAreMonotonic(t *testing.T) {
	m := startAlone(t)
	await(t, 5*time.Second, "a has a snapshot", func() bool { return m.Snapshot().Present == 1 })
	snapshot := m.Snapshot()
	for name, at := range map[string]time.Time{
		"changedAt":   snapshot.changedAt,
		"digestSince": snapshot.digestSince,
		"stateSince":  snapshot.Members[0].stateSince,
	} {
		if at == at.Round(0) { //nolint:staticcheck // Equal ignores the monotonic clock reading
			t.Errorf("%s has no monotonic clock reading: %v", name, at)
		}
	}
}

// TestStartIncarnationGrowsWithWallClock checks that a process starts above earlier ones if the wall clock advanced,
// and never below zero.
func TestStartIncarnationGrowsWithWallClock(t *testing.T) {
	wall := clock.System().Wall()
	if a, b := startIncarnation(wall), startIncarnation(wall.Add(time.Second)); b != a+4 {
		t.Errorf("incarnations of starts one second apart are %d and %d, want a difference of 4", a, b)
	}
	if got := startIncarnation(time.Unix(0, 0)); got != 0 {
		t.Errorf("incarnation for a clock before the epoch is %d, want 0", got)
	}
}
