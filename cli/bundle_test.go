package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/internal/signals"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// runCommand runs the command with the arguments and returns its output.
func runCommand(args []string) (string, error) {
	var out bytes.Buffer
	root := NewRoot(signals.Receive())
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.Execute()
	return out.String(), err
}

// splitCommandLine splits a command line at spaces outside double quotes.
func splitCommandLine(line string) []string {
	var args []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	return args
}

// Guards against commands on the operators' page that no longer work.
func TestDocumentedBundleCommandsRun(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operators/bundle.md")
	is.NoErr(err)
	t.Chdir(t.TempDir())
	platform := standin.NewPlatform()
	address, err := platform.Start("")
	is.NoErr(err)
	defer platform.Close()
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"host":"split-a-1","generation":1}`)
	}))
	defer host.Close()
	addresses := strings.NewReplacer("127.0.0.1:7400", address, "127.0.0.1:7301", host.Listener.Addr().String(), "127.0.0.1:7302", host.Listener.Addr().String())

	commands := 0
	var signers []string
	for _, line := range strings.Split(string(page), "\n") {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "goldcrestspan bundle ") {
			continue
		}
		commands++
		out, err := runCommand(splitCommandLine(addresses.Replace(line))[1:])
		t.Logf("$ %s\n%s", line, out)
		is.NoErr(err)
		if strings.Contains(line, " keygen ") {
			_, block, _ := strings.Cut(out, "  signers:\n")
			signers = append(signers, block)
			is.NoErr(os.WriteFile("settings.yaml", []byte("keys:\n  signers:\n"+strings.Join(signers, "")), 0o600))
		}
	}
	is.Equal(commands, 22)

	history, err := runCommand([]string{"bundle", "history", "--platform", address})
	is.NoErr(err)
	is.True(strings.Contains(history, "bookings fail since generation 2"))
	is.True(strings.Contains(history, "rotate ana's key"))
}

// Guards against error messages that span lines or don't say what to do.
func TestBundleErrorsNameTheFix(t *testing.T) {
	dir := t.TempDir()
	for want, line := range map[string]string{
		"--platform is missing; give the address":    "bundle history",
		"--output xml: not known; use text or json":  "bundle history --output xml",
		"make one with bundle init":                  "bundle validate " + filepath.Join(dir, "nothing"),
		"make a key with bundle keygen":              "bundle sign x --key " + filepath.Join(dir, "no.key"),
		"name a host's settings file":                "bundle submit x --signers " + filepath.Join(dir, "no.yaml"),
		"1 of 1 hosts lag or don't answer":           "bundle status --hosts 127.0.0.1:1",
		"required flag(s) \"name\", \"out\" not set": "bundle keygen",
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			_, err := runCommand(splitCommandLine(line))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}
