package settings

import (
	stderrors "errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	publicKeyA = "QUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE="
	publicKeyB = "QkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkI="
)

const validSettings = `host: {name: split-a-1, region: jadran, zone: split-a}
listeners: {callers: "10.0.0.1:1", peers: "10.0.0.1:2", operators: "10.0.0.1:3"}
platform:
  addresses: ["10.0.0.9:7070"]
tls:
  plain_text: true
keys:
  signers:
    - {name: marija, public_key: "` + publicKeyA + `"}
    - {name: ivo, public_key: "` + publicKeyB + `"}
limits:
  max_body_bytes: 2048
`

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := Load("example.yaml")
	is.NoErr(err)
	is.Equal(s.Host.Zone, "split-a")
	is.Equal(s.Limits, Defaults().Limits) // example.yaml lists the defaults
	is.Equal(s.Log, Defaults().Log)
}

func TestOmittedKeysGetDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("good.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Limits.MaxBodyBytes, 2048)
	is.Equal(s.Platform.Timeout, 2*time.Second)
	is.Equal(s.Limits.CutOffAfter, 4*time.Second)
}

// Guards against accepting invalid settings and against wrong positions in
// messages. Each case replaces one part of the valid file.
func TestParseReportsProblems(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"misspelled group", "limits:", "limit:", `:11:1: limit: unknown key; did you mean limits?`},
		{"misspelled key", "max_body_bytes:", "max_body_byte:", `:12:3: limits.max_body_byte: unknown key; did you mean max_body_bytes?`},
		{"unknown key", "max_body_bytes: 2048", "frobnicate_everything: 1", `:12:3: limits.frobnicate_everything: unknown key; remove it`},
		{"unknown key in a list", "{name: ivo,", "{nom: x, name: ivo,", `:10:8: keys.signers[1].nom: unknown key`},
		{"key twice", "host:", "tls: {plain_text: true}\nhost:", `mapping key "tls" already defined`},
		{"syntax", "tls:", "tls: [", `fix the YAML syntax there`},
		{"two documents", "limits:", "---\nlimits:", `a second document starts here`},
		{"alias", "max_body_bytes: 2048", "max_body_bytes: *x", `limits.max_body_bytes: must be a whole number`},
		{"missing key", "zone: split-a", "", `:1:8: host.zone: is missing; add it`},
		{"missing group", `listeners: {callers: "10.0.0.1:1", peers: "10.0.0.1:2", operators: "10.0.0.1:3"}`, "", `:1:1: listeners.peers: is missing`},
		{"no value", "max_body_bytes: 2048", "max_body_bytes:", `limits.max_body_bytes: has no value`},
		{"group in place of text", "name: split-a-1", "name: {a: b}", `:1:15: host.name: must be text`},
		{"number in place of text", "name: split-a-1", "name: 7", `:1:14: host.name: must be text; put it in double quotes`},
		{"text in place of group", "plain_text: true", "hello", `:6:3: tls: must be a group of keys`},
		{"text in place of list", `addresses: ["10.0.0.9:7070"]`, `addresses: "10.0.0.9:7070"`, `:4:14: platform.addresses: must be a list`},
		{"text in place of number", "2048", "many", `:12:19: limits.max_body_bytes: must be a whole number`},
		{"number over range", "2048", "99999999999999999999", `limits.max_body_bytes: `},
		{"text in place of boolean", "plain_text: true", "plain_text: maybe", `:6:15: tls.plain_text: must be true or false`},
		{"time without unit", "max_body_bytes: 2048", "stop_wait: 60", `:12:14: limits.stop_wait: must be a time with a unit`},
		{"not a time", "max_body_bytes: 2048", "stop_wait: soon", `limits.stop_wait: "soon" is not a time`},
		{"too small", "2048", "1", `:12:19: limits.max_body_bytes: is too small (1); the least is 1024`},
		{"too large", "max_body_bytes: 2048", "max_concurrent: 200000", `is too large (200000); the most is 100000`},
		{"time too short", `addresses: ["10.0.0.9:7070"]`, `{addresses: ["10.0.0.9:7070"], timeout: 1ms}`, `platform.timeout: is too small (1ms); the least is 50ms`},
		{"name too long", "split-a-1", strings.Repeat("x", 64), `host.name: is too long (64 characters)`},
		{"host name in an address", "10.0.0.9:7070", "platform.local:7070", `:4:15: platform.addresses[0]: "platform.local:7070" is not an IP address with a port`},
		{"wildcard address", `peers: "10.0.0.1:2"`, `peers: "0.0.0.0:2"`, `listeners.peers: "0.0.0.0:2" is not`},
		{"port 0", `peers: "10.0.0.1:2"`, `peers: "10.0.0.1:0"`, `listeners.peers: "10.0.0.1:0" is not`},
		{"one address for two listeners", `peers: "10.0.0.1:2"`, `peers: "10.0.0.1:1"`, `:2:43: listeners.peers: is the same address as listeners.callers`},
		{"address twice", `["10.0.0.9:7070"]`, `["10.0.0.9:7070", "10.0.0.9:7070"]`, `platform.addresses: has an entry twice`},
		{"one signer", `    - {name: ivo, public_key: "` + publicKeyB + `"}` + "\n", "", `keys.signers: is too short a list (1 entries)`},
		{"signer twice", "name: ivo", "name: marija", `keys.signers: has an entry twice`},
		{"key of two signers", publicKeyB, publicKeyA, `keys.signers: has an entry twice`},
		{"not a key", publicKeyB, "c2hvcnQ=", `keys.signers[1].public_key: is not an ed25519 public key`},
		{"neither TLS nor plain text", "plain_text: true", "plain_text: false", `:6:3: tls.peers.authorities: is missing; name the PEM file, or set tls.plain_text to true`},
		{"both TLS and plain text", "plain_text: true", "plain_text: true\n  callers: {key: k}", `:7:13: tls.callers: names certificate files though tls.plain_text is true`},
		{"stop shorter than advice", "max_body_bytes: 2048", "stop_wait: 40s", `limits.stop_wait: is 40s, a stopping host must outlast twice the longest time that callers cache advice; make it more than 40s`},
		{"cut off by one slow call", "max_body_bytes: 2048", "cut_off_after: 3s", `limits.cut_off_after: is 3s, one slow call to the platform must not cut the host off; make it at least 4s`},
		{"body timeout below header timeout", "max_body_bytes: 2048", "body_timeout: 4s", `limits.body_timeout: is 4s, reading the whole request takes at least as long as reading its header; make it at least 5s`},
		{"less than one request in flight", "max_body_bytes: 2048", "max_bytes_in_flight: 4096", `limits.max_bytes_in_flight: is 4096, less than one request`},
		{"unknown log level", "limits:", "log: {level: loud}\nlimits:", `log.level: "loud" is not known; choose one of: debug info warn error`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSettings, c.old)) // the part to replace exists
			_, err := Parse("bad.yaml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			var problems Problems
			is.True(stderrors.As(err, &problems))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("want %q in:\n%s", c.want, err)
			}
		})
	}
}

// Guards against reporting only some of several problems, or out of file order.
func TestParseReportsAllProblemsInFileOrder(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("zone:", "zonne:", "2048", "1\n  stop_wait: 9s\n  max_concurrent: x").Replace(validSettings)
	_, err := Parse("bad.yaml", []byte(text))
	var problems Problems
	is.True(stderrors.As(err, &problems))
	var keys []string
	for _, problem := range problems {
		keys = append(keys, problem.Key)
	}
	is.Equal(keys, []string{"host.zone", "host.zonne", "limits.max_body_bytes", "limits.stop_wait", "limits.max_concurrent"})
	is.Equal(len(strings.Split(err.Error(), "\n")), len(problems))
}

func TestEmptyFileReportsMissingKeys(t *testing.T) {
	for _, text := range []string{"", "# nothing but a comment\n"} {
		is := is.New(t)
		_, err := Parse("empty.yaml", []byte(text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "host.name: is missing"))
	}
}

func TestLoadRefusesMissingAndOversizedFiles(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	is.True(stderrors.Is(err, os.ErrNotExist))
	huge := filepath.Join(t.TempDir(), "huge.yaml")
	is.NoErr(os.WriteFile(huge, make([]byte, maxFileBytes+1), 0o600))
	_, err = Load(huge)
	is.True(err != nil)
}

// FuzzParse guards against panics, and against errors with other than one line per
// problem.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	example, err := os.ReadFile("example.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte("host: &a [*a, {? [x] : y}]\n<<: *a\n!!int z: |\n  t\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.yaml", data)
		if (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
		var problems Problems
		if err != nil && (!stderrors.As(err, &problems) || strings.Count(err.Error(), "\n") != len(problems)-1) {
			t.Fatalf("not one line for each problem: %q", err)
		}
	})
}
