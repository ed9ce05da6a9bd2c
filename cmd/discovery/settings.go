package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

const (
	// heardWithin bounds how long status waits for what another instance has heard.
	peerTimeout = time.Second
	// silentAfter is how long an agent has been silent when status says so: agents call about
	// once a second, and go on to another instance within a few.
	silentAfter = 10 * time.Second
)

func settingsCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "the settings of a service's agents"}
	cmd.AddCommand(settingsPutCmd(), settingsGetCmd(), settingsHistoryCmd(), settingsStatusCmd())
	return cmd
}

// settingsPath is the admin door's path of a service's settings.
func settingsPath(service string) string { return "/v1/settings/" + url.PathEscape(service) }

func settingsPutCmd() *cobra.Command {
	var admin string
	var over uint64
	cmd := &cobra.Command{Use: "put SERVICE FILE|-", Short: "set a service's settings whole, from a file or standard input",
		Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			in := io.Reader(cmd.InOrStdin())
			if args[1] != "-" {
				file, err := os.Open(args[1])
				if err != nil {
					return err
				}
				defer file.Close()
				in = file
			}
			text, err := io.ReadAll(io.LimitReader(in, 1<<20)) // the service takes 64 KiB
			if err != nil {
				return fmt.Errorf("%s: %w", args[1], err)
			}
			header := http.Header{}
			if cmd.Flags().Changed("if-version") {
				header.Set("If-Match", fmt.Sprint(over))
			}
			answer, err := fetch(http.MethodPut, admin, settingsPath(args[0]), text, header)
			if err == nil {
				_, err = cmd.OutOrStdout().Write(answer)
			}
			return err
		}}
	adminFlag(cmd, &admin)
	cmd.Flags().Uint64Var(&over, "if-version", 0, "only if this version is in place (0: none yet)")
	return cmd
}

func settingsGetCmd() *cobra.Command {
	var admin string
	var version uint64
	cmd := &cobra.Command{Use: "get SERVICE", Short: "a service's settings as they were put; their version on standard error",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			path := settingsPath(args[0])
			if cmd.Flags().Changed("version") {
				path += fmt.Sprint("?version=", version)
			}
			var s server.SettingsVersion
			if err := fetchJSON(admin, path, &s); err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "version %d of %s\n", s.Version, writtenAt(s))
			_, err := io.WriteString(cmd.OutOrStdout(), s.Text)
			return err
		}}
	adminFlag(cmd, &admin)
	cmd.Flags().Uint64Var(&version, "version", 0, "this version, of the last 20")
	return cmd
}

func settingsHistoryCmd() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "history SERVICE", Short: "the last 20 versions of a service's settings, the newest first",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			var kept []server.SettingsVersion
			if err := fetchJSON(admin, settingsPath(args[0])+"/history", &kept); err != nil {
				return err
			}
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "VERSION\tWRITTEN\tBYTES")
			for _, s := range kept {
				fmt.Fprintf(out, "%d\t%s\t%d\n", s.Version, writtenAt(s), s.Bytes)
			}
			return out.Flush()
		}}
	adminFlag(cmd, &admin)
	return cmd
}

func writtenAt(s server.SettingsVersion) string {
	return time.UnixMilli(s.WrittenAtMs).UTC().Format("2006-01-02T15:04:05.000Z")
}

func settingsStatusCmd() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "status SERVICE", Short: "which agents have which version in force; exit 1 while one lacks the newest",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			g, err := collectStatus(admin, args[0])
			if err != nil {
				return err
			}
			return g.print(cmd.OutOrStdout(), args[0])
		}}
	adminFlag(cmd, &admin)
	return cmd
}

// gathered is what all instances that were reached have heard of a service's agents.
type settingsStatus struct {
	version     uint64 // of the newest settings that one of them has
	agents      map[string]server.AgentReport
	reached     int
	unreachable map[string]error // by instance, with its address
}

// gather asks the instance at admin and, at once and for heardWithin each, its peers. Of an
// agent that several heard the last word counts.
func collectStatus(admin, service string) (*settingsStatus, error) {
	g := &settingsStatus{agents: map[string]server.AgentReport{}, unreachable: map[string]error{}}
	path := settingsPath(service) + "/heard"
	var first server.AgentReports
	if err := fetchJSON(admin, path, &first); err != nil {
		return nil, err
	}
	g.add(first)
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, peer := range first.Peers {
		group.Add(1)
		go func() {
			defer group.Done()
			var h server.AgentReports
			err := getJSON(&http.Client{Timeout: peerTimeout}, peer, path, &h)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				g.unreachable[id+" at "+peer] = err
			} else {
				g.add(h)
			}
		}()
	}
	group.Wait()
	if g.version == 0 {
		return nil, fmt.Errorf("no settings of %q are kept", service)
	}
	return g, nil
}

func (g *settingsStatus) add(h server.AgentReports) {
	g.reached++
	g.version = max(g.version, h.Version)
	for _, a := range h.Agents {
		if known, ok := g.agents[a.Agent]; !ok || a.SilentMs < known.SilentMs {
			g.agents[a.Agent] = a
		}
	}
}

// print tells it to people. The error says how many lack the newest version, if any do.
func (g *settingsStatus) print(w io.Writer, service string) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "settings of %s: newest version %d; %d agents heard by %d of %d instances\n", service, g.version,
		len(g.agents), g.reached, g.reached+len(g.unreachable))
	for _, id := range slices.Sorted(maps.Keys(g.unreachable)) {
		fmt.Fprintf(out, "not reached: %s: %v\n", id, g.unreachable[id])
	}
	count := map[uint64]int{}
	var lacking, silent []server.AgentReport
	for _, name := range slices.Sorted(maps.Keys(g.agents)) {
		a := g.agents[name]
		count[a.InForce]++
		if a.InForce < g.version {
			lacking = append(lacking, a)
		}
		if silence(a) >= silentAfter {
			silent = append(silent, a)
		}
	}
	fmt.Fprintln(out, "\nIN FORCE\tAGENTS")
	for _, v := range slices.Backward(slices.Sorted(maps.Keys(count))) {
		fmt.Fprintf(out, "%s\t%d\n", versionName(v), count[v])
	}
	printAgents(out, fmt.Sprint("LACKS ", g.version), lacking)
	printAgents(out, fmt.Sprintf("SILENT OVER %v", silentAfter), silent)
	if err := out.Flush(); err != nil || len(lacking) == 0 {
		return err
	}
	return fmt.Errorf("%d of %d agents lack version %d", len(lacking), len(g.agents), g.version)
}

func printAgents(out io.Writer, title string, agents []server.AgentReport) {
	if len(agents) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s\tIN FORCE\tSILENT FOR\tREFUSED\tWHY\n", title)
	for _, a := range agents {
		refused := "-"
		if a.Rejected > a.InForce {
			refused = fmt.Sprint(a.Rejected)
		}
		fmt.Fprintf(out, "%s\t%s\t%v\t%s\t%s\n", a.Agent, versionName(a.InForce), silence(a), refused, a.Reason)
	}
}

// inForce names a version; agents that have none of the service's yet run by their file's.
func versionName(version uint64) string {
	if version == 0 {
		return "its file's"
	}
	return fmt.Sprint(version)
}

func silence(a server.AgentReport) time.Duration {
	return (time.Duration(a.SilentMs) * time.Millisecond).Round(100 * time.Millisecond)
}

// fetchJSON reads an admin door's answer into out.
func fetchJSON(admin, path string, out any) error {
	return getJSON(&http.Client{Timeout: callTimeout}, admin, path, out)
}

func getJSON(client *http.Client, admin, path string, out any) error {
	resp, err := client.Get("http://" + admin + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return statusError(http.MethodGet, path, resp, text)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("%s%s: %w", admin, path, err)
	}
	return nil
}
