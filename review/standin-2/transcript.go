package main

import (
	"fmt"
	"slices"
)

// transcript writes to the record what each client sent and was answered, and where its requests ran.
func transcript(results []result, servers []*standInServer) {
	byID := map[string][]*arrival{}
	for _, s := range servers {
		for _, a := range s.all() {
			byID[a.ID] = append(byID[a.ID], a)
		}
	}
	slices.SortFunc(results, func(x, y result) int { return x.Sent.Compare(y.Sent) })
	for _, r := range results {
		text := fmt.Sprintf("request %s %s sent %s for %v: ", r.ID, r.Class, at(r.Sent), r.Timeout)
		if r.Status == 0 {
			text += r.Err
		} else {
			text += fmt.Sprint(r.Status)
		}
		text += " at " + at(r.Ended)
		for _, a := range byID[r.ID] {
			answer, _, ended := a.outcome()
			text += fmt.Sprintf("; %s had it at %s, %s at %s", a.Server, at(a.Last), answer, at(ended))
		}
		note("%s", text)
	}
}
