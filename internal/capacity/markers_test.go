package capacity

import (
	"testing"
)

func TestReplaceTables(t *testing.T) {
	page := "# Page\n\n" + BeginMarker + "\nold\n" + EndMarker + "\nafter\n"
	got, err := ReplaceTables(page, "new\n\n")
	if want := "# Page\n\n" + BeginMarker + "\nnew\n" + EndMarker + "\nafter\n"; err != nil || got != want {
		t.Errorf("%q, %v", got, err)
	}
	for _, wrong := range []string{
		"",
		BeginMarker + "\n",
		EndMarker + "\n" + BeginMarker + "\n",
		page + page,
		"x" + page[len("# Page\n\n"):],
	} {
		if got, err := ReplaceTables(wrong, "new"); err == nil {
			t.Errorf("%q: no error, result %q", wrong, got)
		}
	}
}
