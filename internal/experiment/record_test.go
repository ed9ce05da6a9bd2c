package experiment

import (
	"bytes"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/emulator"
)

// recordLine is an encoded record in which every key is set. Files of such lines are kept and must stay readable.
const recordLine = `{"scenario":"s","arm":"a","seed":1,"commit":"c","machine":"m","length_ns":2,"counts":true,` +
	`"result":{"Seconds":[{"Asked":1,"InTime":2,"Late":3,"Refused":4,"Failed":5}],"Figures":{"in time":1},` +
	`"Nodes":[{"Node":"n","Requests":1,"Turned":2,"Handshakes":3,"Probes":4,"Work":5,"Busy":6,"Cold":7}],` +
	`"Broken":[{"Rule":"lost","What":"w","Try":{"ID":"i","Agent":"a","Class":1,"Key":2,"Nth":3,"Sent":4,"Within":5,` +
	`"Ended":6,"How":"gave up","AgentEnded":true,"Attempts":[{"Node":"n","Zone":1,"Cell":2,"Began":3,"Arrived":4,` +
	`"Ended":5,"How":"turned away"}]}}],"Faults":["f"],"Attempts":9},"agents_cpu_s":1,"lab_cpu_s":2,` +
	`"agent_fault":"x","views":[[1,2]]}` + "\n"

// TestRecordFormatIsStable checks that decoding and encoding a record neither loses nor renames a key.
func TestRecordFormatIsStable(t *testing.T) {
	records, err := ReadRecords(strings.NewReader(recordLine))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := records[0].Write(&out); err != nil {
		t.Fatal(err)
	}
	if out.String() != recordLine {
		t.Errorf("encoded record is\n%swant\n%s", out.String(), recordLine)
	}
	want := emulator.SecondTotals{Requested: 1, InTime: 2, Late: 3, Rejected: 4, Failed: 5}
	if got := records[0].Result.Seconds[0]; got != want {
		t.Errorf("totals of the second: %+v, want %+v", got, want)
	}
}
