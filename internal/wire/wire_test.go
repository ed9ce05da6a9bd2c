package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// frame decodes hex text and ignores white space in it.
func frame(tb testing.TB, text string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// zeros returns the hex text of n zero bytes.
func zeros(n int) string { return strings.Repeat("00", n) }

// decodeAll decodes all batches and returns their records, and for each record the clock of its batch.
func decodeAll(data []byte) (clocks []float64, recs []Record, err error) {
	d := NewDecoder(bytes.NewReader(data))
	for {
		err := d.Next(func(now float64, r *Record) error {
			clocks = append(clocks, now)
			recs = append(recs, *r)
			return nil
		})
		if errors.Is(err, io.EOF) {
			return clocks, recs, nil
		}
		if err != nil {
			return clocks, recs, err
		}
	}
}

// TestDecodeEvents checks that the clock and all fields of request, timer and client-gone events are decoded.
func TestDecodeEvents(t *testing.T) {
	data := frame(t, `00000003 00000098 40c06e2000000000
		11 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01`+zeros(8)+`
		1a 00000003 0000004d`+zeros(39)+`
		10 00000005 0e6f2b19`+zeros(39))
	clocks, recs, err := decodeAll(data)
	if err != nil || len(recs) != 3 {
		t.Fatalf("%d records, error %v", len(recs), err)
	}
	if clocks[0] != 8412.25 {
		t.Errorf("clock %v, want 8412.25", clocks[0])
	}
	request := recs[0].Event
	if recs[0].Instance != 3 || request.Kind != balancer.EventRequest ||
		request.Request != 0x5d3a91c4 || request.RemainingMs != 240 ||
		request.Retry || request.Key != 0x91f03b7c55d20a64 {
		t.Errorf("request: %+v", recs[0])
	}
	if e := recs[1].Event; e.Kind != balancer.EventTimer || e.Token != 0x4d {
		t.Errorf("timer: %+v", e)
	}
	if e := recs[2].Event; recs[2].Instance != 5 || e.Kind != balancer.EventClientGone || e.Request != 0x0e6f2b19 {
		t.Errorf("client gone: %+v", recs[2])
	}
}

// TestDecodeAttemptAndHealthCheck checks that the ends of an attempt and of a health check are decoded with all of
// their fields.
func TestDecodeAttemptAndHealthCheck(t *testing.T) {
	data := frame(t, `00000002 00000068 40c06e2000000000
		12 00000003 5d3a91c4 0002 0a124a07 138b 0064 4032800000000000 01 02 3f800000 40000000 00000000 00000000`+zeros(3)+`
		18 00000003 0a9011f2 13b4 0064 3ff6666666666666 00`+zeros(16)+zeros(10))
	_, recs, err := decodeAll(data)
	if err != nil {
		t.Fatal(err)
	}
	done := recs[0].Event
	if done.Kind != balancer.EventAttemptDone || done.Attempt != 2 ||
		done.Server != (balancer.Addr{0x0a, 0x12, 0x4a, 0x07, 0x13, 0x8b}) ||
		done.Status != balancer.StatusOK || done.LatencyMs != 18.5 || !done.RequestDone {
		t.Errorf("attempt done: %+v", done)
	}
	check := recs[1].Event
	if check.Kind != balancer.EventHealthCheckDone || check.Status != balancer.StatusOK || check.LatencyMs != 1.4 {
		t.Errorf("health check done: %+v", check)
	}
}

// TestEndpointTableIsReplacedWithinBatch checks that an endpoint table may be replaced within a batch: each event has
// the table as it was at the event's position.
func TestEndpointTableIsReplacedWithinBatch(t *testing.T) {
	entry := func(port string) string {
		return "0001 40b7d40000000000 01 0a9011f2" + port + "3fc00000 0002 01"
	}
	data := frame(t, `00000004 000000f8 40c06e2000000000
		13 00000000 00000000 00000001`+zeros(35)+`
		16 00000003 02 00000029 00000000`+zeros(34)+`
		13 00000000 00000018 00000001`+zeros(35)+`
		16 00000003 01 0000002a 00000000`+zeros(34)+entry("13b4")+entry("13b5"))
	_, recs, err := decodeAll(data)
	if err != nil {
		t.Fatal(err)
	}
	a, b := recs[0].Event, recs[1].Event
	if a.ListUpdate != balancer.ListCached || b.ListUpdate != balancer.ListFull ||
		a.Endpoints[0].Server[5] != 0xb4 || b.Endpoints[0].Server[5] != 0xb5 {
		t.Errorf("lists: %+v then %+v", a, b)
	}
	e := a.Endpoints[0]
	if e.Zone != 1 || e.StartedMs != 6100 || e.State != balancer.Ready || e.Weight != 1.5 || e.Cell != 2 || e.Kind != 1 {
		t.Errorf("endpoint: %+v", e)
	}
}

// TestDecodeBootAndKilled checks that the start of an instance, with its seed and settings, and its end are decoded.
func TestDecodeBootAndKilled(t *testing.T) {
	data := frame(t, `00000002 0000006a 40c06e2000000000
		15 00000003`+zeros(43)+`
		19 00000003 0000000000000007 00000000 00000002`+zeros(27)+`7b7d`)
	_, recs, err := decodeAll(data)
	if err != nil {
		t.Fatal(err)
	}
	if recs[0].Kind != Killed || recs[1].Kind != Boot || recs[1].Seed != 7 || string(recs[1].Settings) != "{}" {
		t.Errorf("records: %+v", recs)
	}
}

// TestEncodeActions checks that each kind of action is encoded as its record, and that texts go into the tail.
func TestEncodeActions(t *testing.T) {
	var e Encoder
	s := balancer.Addr{0x0a, 0x12, 0x4a, 0x07, 0x13, 0x8b}
	for _, a := range []balancer.Action{
		{Kind: balancer.ActionForward, Request: 0x5d3a91c4, Server: s, Ms: 80},
		{Kind: balancer.ActionSetTimer, Ms: 500, Token: 0x4d},
		{Kind: balancer.ActionReject, Request: 0x0e6f2b19, Ms: 250},
		{Kind: balancer.ActionFail, Request: 0x0e6f2b19},
		{Kind: balancer.ActionCancelAttempt, Request: 0x5d3a91c4, Attempt: 1},
		{Kind: balancer.ActionHealthCheck, Server: s},
		{Kind: balancer.ActionWatchList},
		{Kind: balancer.ActionFetchList},
		{Kind: balancer.ActionCloseIdle, Server: s},
		{Kind: balancer.ActionLog, Text: "two servers known"},
	} {
		e.Add(3, &a)
	}
	e.Crash(4, "no")
	var out bytes.Buffer
	if _, err := e.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := frame(t, `0000000b 0000011b
		54 00000003 5d3a91c4 0a124a07 138b 4054000000000000 00
		58 00000003 407f400000000000 0000004d`+zeros(7)+`
		51 00000003 0e6f2b19 406f400000000000`+zeros(7)+`
		5a 00000003 0e6f2b19`+zeros(15)+`
		59 00000003 5d3a91c4 0001`+zeros(13)+`
		52 00000003 0a124a07 138b`+zeros(13)+`
		53 00000003 01`+zeros(18)+`
		55 00000003`+zeros(19)+`
		50 00000003 0a124a07 138b`+zeros(13)+`
		5b 00000003 00000000 00000011`+zeros(11)+`
		57 00000004 00000011 00000002`+zeros(11)+`
		74776f2073657276657273206b6e6f776e 6e6f`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x\nwant\n%x", out.Bytes(), want)
	}
}

// TestMalformedFrames checks that the error for a malformed frame names the field.
func TestMalformedFrames(t *testing.T) {
	for name, c := range map[string]struct{ text, field string }{
		"short header":   {"000000", "batch header"},
		"short length":   {"00000000 00000004 00000000", "length"},
		"huge length":    {"00000000 ffffffff", "length"},
		"too many":       {"ffffffff 00000008 40c06e2000000000", "number of records"},
		"no body":        {"00000001 00000038", "truncated"},
		"truncated":      {"00000001 00000038 40c06e20", "truncated"},
		"unknown code":   {"00000001 00000038 40c06e2000000000 63" + zeros(47), "code"},
		"bad pool":       {"00000001 00000038 40c06e2000000000 13 00000010" + zeros(43), "pool: table"},
		"pool past tail": {"00000001 00000038 40c06e2000000000 13 00000000 00000000 ffffffff" + zeros(35), "pool: hosts"},
		"bad mode":       {"00000001 00000038 40c06e2000000000 16 00000003 09" + zeros(42), "targets: mode"},
		"bad settings": {"00000001 00000038 40c06e2000000000 19 00000003 0000000000000007 00000001 00000001" + zeros(27),
			"boot: settings"},
		"bad ending": {"00000001 00000038 40c06e2000000000 12 00000003 5d3a91c4 0000 0a124a07 138b 0063" + zeros(29),
			"verdict: ending"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := decodeAll(frame(t, c.text))
			if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("error %v does not name %q", err, c.field)
			}
		})
	}
}

// FuzzDecoder checks that no input makes the decoder panic or allocate much more than the size of the input.
func FuzzDecoder(f *testing.F) {
	f.Add(frame(f, "00000000 00000008 40c06e2000000000"))
	f.Add(frame(f, "00000001 00000038 40c06e2000000000 1a 00000003 0000004d"+zeros(39)))
	f.Add(frame(f, "00000001 00000050 40c06e2000000000 13 00000000 00000000 00000001"+zeros(35)+zeros(24)))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := NewDecoder(bytes.NewReader(data))
		for range 100 {
			if d.Next(func(float64, *Record) error { return nil }) != nil {
				break
			}
		}
		if cap(d.body) > 2*len(data)+4<<20 {
			t.Errorf("decoding %d bytes of input allocated %d bytes", len(data), cap(d.body))
		}
	})
}

// TestDecodeStreamFailedListAndPeerMessage checks that the start of a streamed response, a failed fetch of the endpoint
// list and a message of a peer are decoded.
func TestDecodeStreamFailedListAndPeerMessage(t *testing.T) {
	data := frame(t, `00000003 0000009a 40c06e2000000000
		14 00000003 5d3a91c4 0a124a07 138b 4032800000000000 0001`+zeros(23)+`
		16 00000003 03 00000029 ffffffff`+zeros(34)+`
		17 00000003 00000005 00000000 00000002`+zeros(31)+`6869`)
	_, recs, err := decodeAll(data)
	if err != nil || len(recs) != 3 {
		t.Fatalf("%d records, error %v", len(recs), err)
	}
	if e := recs[0].Event; e.Kind != balancer.EventResponseStarted || e.Request != 0x5d3a91c4 ||
		e.LatencyMs != 18.5 || e.Attempt != 1 ||
		e.Server != (balancer.Addr{0x0a, 0x12, 0x4a, 0x07, 0x13, 0x8b}) {
		t.Errorf("response started: %+v", e)
	}
	if e := recs[1].Event; e.Kind != balancer.EventList || e.ListUpdate != balancer.ListFailed || e.Endpoints != nil {
		t.Errorf("failed list: %+v", e)
	}
	if e := recs[2].Event; e.Kind != balancer.EventPeerMessage {
		t.Errorf("peer message: %+v", e)
	}
}
