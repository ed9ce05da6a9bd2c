package processtest

import (
	"os"
	"testing"
)

func TestProcessUsageOfThisProcess(t *testing.T) {
	usage, err := ProcessUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if usage.RSS == 0 || usage.Descriptors == 0 || usage.Threads == 0 {
		t.Errorf("the usage of this process is %+v, want memory, descriptors and threads above zero", usage)
	}
}
