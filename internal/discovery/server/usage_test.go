package server_test

import (
	"io"
	"net/http"
	"testing"
)

// TestUsageIsTold: an instance tells what passed each of its doors, and no door's for another's.
func TestStatusReportsTraffic(t *testing.T) {
	c := startCluster(t)
	if putServerAnywhere(c, "s-1") == 0 {
		t.Fatal("no write was acknowledged")
	}
	lead := leader(c)
	before := statusAt(c.Addr(lead, "admin")).Usage
	const calls = 5
	bytes := 0
	for range calls {
		resp, err := http.Get("http://" + c.Addr(lead, "http") + "/api/targets")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v", resp.Status, err)
		}
		bytes += len(text)
	}
	if putServerAnywhere(c, "s-2") == 0 {
		t.Fatal("no write was acknowledged")
	}
	after := statusAt(c.Addr(lead, "admin")).Usage
	if got := after.Reads.Messages - before.Reads.Messages; got != calls {
		t.Errorf("%d calls were counted, %d made", got, calls)
	}
	if out := after.Reads.Out - before.Reads.Out; out < uint64(bytes) || out > uint64(bytes+calls*500) {
		t.Errorf("%d bytes went out by the count, bodies had %d", out, bytes)
	}
	if after.Reads.In == before.Reads.In || after.Raft.Out == before.Raft.Out || after.Raft.In == before.Raft.In || after.Raft.Messages == before.Raft.Messages ||
		after.Admin.Messages == before.Admin.Messages {
		t.Errorf("nothing was counted of some: %+v, before %+v", after, before)
	}
	if after.AllocBytes <= before.AllocBytes || after.Goroutines < 1 {
		t.Errorf("its memory: %+v, before %+v", after, before)
	}
}
