package membership

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// An error about the section names the key.
func TestParseErrorsNameTheKey(t *testing.T) {
	good := `{"bind":"127.0.0.1:7","site":"s"`
	for section, key := range map[string]string{
		`{"site":"s"}`:                                      "bind",
		`{"bind":"0.0.0.0:7","site":"s"}`:                   "bind",
		`{"bind":"127.0.0.1:7"}`:                            "site",
		good + `,"seeds":["here"]}`:                         "seeds[0]",
		good + `,"networks":["ten"]}`:                       "networks[0]",
		good + `,"probe_interval_ms":5}`:                    "probe_interval_ms",
		good + `,"suspect_timeout_ms":3999}`:                "suspect_timeout_ms",
		good + `,"leave_ms":-1}`:                            "leave_ms",
		good + `,"probe_intervall_ms":1000}`:                "probe_intervall_ms",
		good + `,"settle_ms":"two seconds"}`:                "settle_ms",
		good + `,"zone":"` + strings.Repeat("z", 65) + `"}`: "zone",
	} {
		if _, err := Parse(json.RawMessage(section)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name %s", section, err, key)
		}
	}
	if c, err := Parse(json.RawMessage(good + "}")); err != nil || c.ProbeIntervalMs != 1000 || c.Advertise != c.Bind {
		t.Errorf("the least section: %+v, %v", c, err)
	}
}

// An assessment counts no member that is new, suspected or gone, and always allows for all configured agents.
func TestAssessment(t *testing.T) {
	cfg := &Config{Name: "a", Size: 5, SettleMs: 1000}
	t0 := time.Now()
	tab := newMemberTable(cfg, "0000000000000001", t0)
	list := func(states ...State) (l []Member) {
		for i, s := range states {
			l = append(l, Member{Name: string(rune('a' + i)), Process: strings.Repeat(string(rune('0'+i)), 16), State: s})
		}
		return l
	}
	for i, step := range []struct {
		at            time.Duration
		list          []Member
		atLeast, most int
		quorate       bool
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
		tab.update(step.list, t0.Add(step.at))
		c := tab.snapshot.Assess(t0.Add(step.at))
		if c.AtLeast != step.atLeast || c.AtMost != step.most || c.Quorate != step.quorate {
			t.Errorf("step %d: %+v", i, c)
		}
	}
	if member, _ := tab.snapshot.Member("b"); member.State != Alive {
		t.Errorf("b is %v", member)
	}
	// A dead member that memberlist forgets is kept for reconnects; one that left is not.
	cfg.ReconnectForMs = 60_000
	tab.update(list(Alive, Dead, Left), t0.Add(7*time.Second))
	tab.update(list(Alive), t0.Add(8*time.Second))
	if _, ok := tab.snapshot.Member("b"); !ok {
		t.Error("the dead member is forgotten with memberlist's list")
	}
	if _, ok := tab.snapshot.Member("c"); ok {
		t.Error("the member that left is kept")
	}
}

// Messages with lengths beyond their end, or at which memberlist would panic, are rejected.
func TestForgedMessagesAreRejected(t *testing.T) {
	node := pushNode{Name: "b", Addr: []byte{127, 0, 0, 1}, Port: 1, Vsn: []uint8{1, 5, 2, 0, 0, 0}}
	message := func(h pushPullHeader, nodes ...pushNode) []byte {
		b := encodeMessage(msgPushPull, h)
		for _, n := range nodes {
			b = append(b, encodeBody(n)...)
		}
		return b
	}
	if err := checkStream(message(pushPullHeader{Nodes: 1}, node), 8); err != nil {
		t.Fatalf("a valid list: %v", err)
	}
	short := node
	short.Vsn = []uint8{1, 5}
	long := node
	long.Name = strings.Repeat("x", maxNameBytes+1)
	for name, b := range map[string][]byte{
		"too many members":    message(pushPullHeader{Nodes: 1 << 60}, node),
		"negative members":    message(pushPullHeader{Nodes: -1}),
		"too much user state": message(pushPullHeader{Nodes: 1, UserStateLen: 1 << 40}, node),
		"unannounced state":   append(message(pushPullHeader{Nodes: 1}, node), 1, 2, 3),
		"cut off":             message(pushPullHeader{Nodes: 2}, node),
		"short versions":      message(pushPullHeader{Nodes: 1}, short),
		"long name":           message(pushPullHeader{Nodes: 1}, long),
		"compressed":          {byte(msgCompress), 1, 2},
		"empty":               {},
	} {
		if checkStream(b, 8) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	nested := []byte{byte(msgPing)}
	for range 8 {
		nested = append([]byte{byte(msgCompound), 1, 0, byte(len(nested))}, nested...)
	}
	for name, b := range map[string][]byte{
		"compressed within": {byte(msgCompound), 1, 0, 2, byte(msgCompress), 1},
		"nested":            nested,
		"cut off":           {byte(msgCompound), 9, 0},
		"unknown":           {99},
	} {
		if checkPacket(b, 0, func([]byte) {}) == nil {
			t.Errorf("packet %s: accepted", name)
		}
	}
	// A death report is believed from a trusted member and from the member itself.
	for _, from := range []string{"trusted", "untrusted", "b"} {
		report := encodeMessage(msgDead, deadMessage{Incarnation: 3, Node: "b", From: from})
		inner := append([]byte{byte(msgCompound), 1, 0, 0}, report...)
		inner[3] = byte(len(inner) - 4)
		b := append(binary.BigEndian.AppendUint32([]byte{byte(msgCRC)}, crc32.ChecksumIEEE(inner)), inner...)
		trusts := func(reporter, _ string) bool { return reporter == "trusted" }
		err := checkPacket(b, 0, func(message []byte) { demoteDeathReport(message, trusts) })
		recheckErr := checkPacket(b, 0, func([]byte) {})
		if err != nil || recheckErr != nil || (messageType(b[9]) == msgSuspect) != (from == "untrusted") {
			t.Errorf("the report of %q becomes a message of type %d (%v, %v)", from, b[9], err, recheckErr)
		}
	}
	draw := rand.New(rand.NewPCG(1, 1))
	valid := message(pushPullHeader{Nodes: 2}, node, node)
	for range 20_000 { // none of them may panic
		b := append([]byte(nil), valid[:draw.IntN(len(valid)+1)]...)
		for range draw.IntN(4) {
			if len(b) > 1 {
				b[1+draw.IntN(len(b)-1)] = byte(draw.Uint32())
			}
		}
		_ = checkStream(b, 8)
	}
}
