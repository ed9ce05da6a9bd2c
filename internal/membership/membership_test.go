package membership

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/testaddr"
)

// TestParseErrorsNameTheKey checks that an error of Parse is a single line that names the key.
func TestParseErrorsNameTheKey(t *testing.T) {
	prefix := `{"bind":"127.0.0.1:7","site":"s"`
	for section, key := range map[string]string{
		`[]`:                                                  "",
		`{"bind":`:                                            "",
		prefix + `,"probe\"\n":1}`:                            `probe\"\n`,
		prefix + `,"seeds":[7]}`:                              "seeds",
		`{"site":"s"}`:                                        "bind",
		`{"bind":"0.0.0.0:7","site":"s"}`:                     "bind",
		`{"bind":"127.0.0.1:7"}`:                              "site",
		prefix + `,"seeds":["here"]}`:                         "seeds[0]",
		prefix + `,"networks":["ten"]}`:                       "networks[0]",
		prefix + `,"probe_interval_ms":5}`:                    "probe_interval_ms",
		prefix + `,"suspect_timeout_ms":3999}`:                "suspect_timeout_ms",
		prefix + `,"leave_ms":-1}`:                            "leave_ms",
		prefix + `,"probe_intervall_ms":1000}`:                "probe_intervall_ms",
		prefix + `,"settle_ms":"two seconds"}`:                "settle_ms",
		prefix + `,"zone":"` + strings.Repeat("z", 65) + `"}`: "zone",
	} {
		_, err := Parse(json.RawMessage(section))
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key != key {
			t.Errorf("%s: error %v does not name %q", section, err, key)
			continue
		}
		if text := err.Error(); !strings.Contains(text, key) || strings.Contains(text, "\n") {
			t.Errorf("%s: error %q is not a single line that names %q", section, text, key)
		}
	}
	if c, err := Parse(json.RawMessage(prefix + "}")); err != nil || c.ProbeIntervalMs != 1000 || c.Advertise != c.Bind {
		t.Errorf("minimal section: %+v, %v", c, err)
	}
}

// TestAssessment checks that an assessment counts no member that is new, suspected or gone, and that AtMost is never
// below the fleet size.
func TestAssessment(t *testing.T) {
	cfg := &Config{Name: "a", Size: 5, SettleMs: 1000}
	t0 := time.Now()
	table := newMemberTable(cfg, "0000000000000001", t0)
	list := func(states ...State) (members []Member) {
		for i, state := range states {
			process := strings.Repeat(string(rune('0'+i)), processIDLength)
			members = append(members, Member{Name: string(rune('a' + i)), Process: process, State: state})
		}
		return members
	}
	for i, step := range []struct {
		at              time.Duration
		list            []Member
		atLeast, atMost int
		quorate         bool
	}{
		{0, list(Alive, Alive, Alive), 1, 5, false},
		{999 * time.Millisecond, list(Alive, Alive, Alive), 1, 5, false},
		{time.Second, list(Alive, Alive, Alive), 3, 5, true},
		{2 * time.Second, list(Alive, Suspect, Alive), 2, 5, false},
		{3 * time.Second, list(Alive, Alive, Alive), 2, 5, false}, // refuted, and settling from now
		{4 * time.Second, list(Alive, Alive, Alive), 3, 5, true},
		{5 * time.Second, list(Alive, Dead, Left), 1, 5, false},
		{6 * time.Second, list(Alive, Alive, Alive, Alive, Alive, Alive), 1, 6, false},
	} {
		table.update(step.list, t0.Add(step.at))
		got := table.snapshot.Assess(t0.Add(step.at))
		if got.AtLeast != step.atLeast || got.AtMost != step.atMost || got.Quorate != step.quorate {
			t.Errorf("unexpected assessment at step %d: %+v", i, got)
		}
	}
	if member, _ := table.snapshot.Member("b"); member.State != Alive {
		t.Errorf("b is %v, want alive", member)
	}
	// A dead member that memberlist forgets is kept for reconnects; one that left is not.
	cfg.ReconnectForMs = 60_000
	table.update(list(Alive, Dead, Left), t0.Add(7*time.Second))
	table.update(list(Alive), t0.Add(8*time.Second))
	if _, ok := table.snapshot.Member("b"); !ok {
		t.Error("the dead member is forgotten once memberlist has forgotten it")
	}
	if _, ok := table.snapshot.Member("c"); ok {
		t.Error("the member that left is kept")
	}
}

// validNode returns a valid member of a push/pull.
func validNode() pushNode {
	return pushNode{Name: "b", Addr: []byte{127, 0, 0, 1}, Port: 1, Vsn: []uint8{1, 5, 2, 0, 0, 0}}
}

// pushPullMessage returns a push/pull with the given header, which may not match the members.
func pushPullMessage(header pushPullHeader, nodes ...pushNode) []byte {
	message := encodeMessage(msgPushPull, header)
	for _, node := range nodes {
		message = append(message, encodeBody(node)...)
	}
	return message
}

// TestForgedMessagesAreRejected checks that messages are rejected if their lengths exceed them, or if memberlist would
// panic on them.
func TestForgedMessagesAreRejected(t *testing.T) {
	t.Run("streams", checkForgedStreams)
	t.Run("packets", checkForgedPackets)
	t.Run("death reports", checkDeathReports)
	t.Run("changed bytes", checkChangedBytes)
}

func checkForgedStreams(t *testing.T) {
	node := validNode()
	if err := checkStream(pushPullMessage(pushPullHeader{Nodes: 1}, node), 8); err != nil {
		t.Fatalf("valid push/pull: %v", err)
	}
	short := node
	short.Vsn = []uint8{1, 5}
	long := node
	long.Name = strings.Repeat("x", maxNameBytes+1)
	for name, message := range map[string][]byte{
		"too many members":    pushPullMessage(pushPullHeader{Nodes: 1 << 60}, node),
		"negative members":    pushPullMessage(pushPullHeader{Nodes: -1}),
		"too much user state": pushPullMessage(pushPullHeader{Nodes: 1, UserStateLen: 1 << 40}, node),
		"unannounced state":   append(pushPullMessage(pushPullHeader{Nodes: 1}, node), 1, 2, 3),
		"cut off":             pushPullMessage(pushPullHeader{Nodes: 2}, node),
		"short versions":      pushPullMessage(pushPullHeader{Nodes: 1}, short),
		"long name":           pushPullMessage(pushPullHeader{Nodes: 1}, long),
		"compressed":          {byte(msgCompress), 1, 2},
		"empty":               {},
	} {
		if checkStream(message, 8) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func checkForgedPackets(t *testing.T) {
	nested := []byte{byte(msgPing)}
	for range 8 {
		nested = append([]byte{byte(msgCompound), 1, 0, byte(len(nested))}, nested...)
	}
	for name, packet := range map[string][]byte{
		"compressed within": {byte(msgCompound), 1, 0, 2, byte(msgCompress), 1},
		"nested":            nested,
		"cut off":           {byte(msgCompound), 9, 0},
		"unknown":           {99},
	} {
		if checkPacket(packet, 0, func([]byte) {}) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// checkDeathReports checks that only a death report of a trusted member or of the member itself is not demoted.
func checkDeathReports(t *testing.T) {
	trusts := func(reporter, _ string) bool { return reporter == "trusted" }
	for _, from := range []string{"trusted", "untrusted", "b"} {
		report := encodeMessage(msgDead, deadMessage{Incarnation: 3, Node: "b", From: from})
		compound := append([]byte{byte(msgCompound), 1, 0, byte(len(report))}, report...)
		packet := binary.BigEndian.AppendUint32([]byte{byte(msgCRC)}, crc32.ChecksumIEEE(compound))
		packet = append(packet, compound...)
		err := checkPacket(packet, 0, func(message []byte) { demoteDeathReport(message, trusts) })
		recheckErr := checkPacket(packet, 0, func([]byte) {})
		got := typeOf(packet[len(packet)-len(report):])
		if err != nil || recheckErr != nil || (got == msgSuspect) != (from == "untrusted") {
			t.Errorf("death report of %q became a message of type %d (errors %v and %v)", from, got, err, recheckErr)
		}
	}
}

// checkChangedBytes checks that checkStream panics on no corrupted or truncated message.
func checkChangedBytes(*testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	valid := pushPullMessage(pushPullHeader{Nodes: 2}, validNode(), validNode())
	for range 20_000 {
		message := append([]byte(nil), valid[:draw.IntN(len(valid)+1)]...)
		for range draw.IntN(4) {
			if len(message) > 1 {
				message[1+draw.IntN(len(message)-1)] = byte(draw.Uint32())
			}
		}
		_ = checkStream(message, 8) // must not panic
	}
}

// TestFleetSizeChanges checks that a changed fleet size is in the next snapshot although no member has changed, and
// that the assessment follows it. Guards against an agent that counts the majority of a fleet as large as at its start.
func TestFleetSizeChanges(t *testing.T) {
	const sizeTimeout = 10 * time.Second
	cfg := Config{Name: "a", Bind: testaddr.Reserve(t), Site: "test", Size: 1}
	m, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Kill()
	awaitSize := func(size int) *Snapshot {
		t.Helper()
		await(t, sizeTimeout, "the fleet size", func() bool { return m.Snapshot().Size == size })
		return m.Snapshot()
	}
	await(t, sizeTimeout, "a majority of one", func() bool { return m.Snapshot().Assess(time.Now()).Quorate })
	m.SetFleetSize(3)
	larger := awaitSize(3)
	if assessment := larger.Assess(time.Now()); assessment.Quorate || assessment.AtMost != 3 || assessment.Settled {
		t.Errorf("one of three agents just after the change: %+v", assessment)
	}
	m.SetFleetSize(0)
	m.SetFleetSize(1)
	awaitSize(1)
}

// TestFleetSizeChangesBeforeTheAddressIsBound checks that a process that still waits for its address has the changed
// fleet size.
func TestFleetSizeChangesBeforeTheAddressIsBound(t *testing.T) {
	m, err := newMembership(Config{Name: "a", Bind: "127.0.0.1:1", Site: "test", Size: 1})
	if err != nil {
		t.Fatal(err)
	}
	m.SetFleetSize(3)
	if size := m.Snapshot().Size; size != 3 {
		t.Errorf("fleet size %d, want 3", size)
	}
}
