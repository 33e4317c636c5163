package bundle

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	docs, err := Parse("bundle.yaml", []byte(Example))
	is.NoErr(err)
	is.Equal(len(Validate(docs)), 0)
	is.Equal(len(docs.Routes), 3)
}

// Guards against ignoring a misspelled field, which would leave its default in
// effect. Unknown input is refused with its position.
func TestParseRefusesUnknownInput(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":   {"routes:\n  - name: a\n    least_coverge: 1\n", `f.yaml:3:5: "least_coverge": unknown field; check its spelling`},
		"wrong type":      {"routes: 5\n", "f.yaml:1:9:"},
		"syntax":          {"a: b: c\n", "f.yaml:1:4:"},
		"duplicate key":   {"routes: []\nroutes: []\n", "f.yaml:2:1:"},
		"anchor":          {"routes: &a []\ncallers: *a\n", "anchors and aliases are not supported; write the value out"},
		"second document": {"routes: []\n---\ncallers: []\n", "several YAML documents"},
		"duration":        {"classes:\n  - name: a\n    default_deadline: 5x\n", `f.yaml:3:23: "5x": "5x" is not a duration; write it like 250ms`},
		"overflow":        {"policy:\n  quarantine_servers: 99999999999999999999\n", "f.yaml:2:23:"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f.yaml", []byte(c.text))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
			is.True(!strings.Contains(err.Error(), "\n")) // one line
		})
	}
}

// Guards against reporting only the first of several problems, and against wrong
// positions when the documents are spread over files.
func TestReadPathListsEveryProblemWithPosition(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(`classes:
  - name: interactive
    reserved_share: 0.7
    default_deadline: 250ms
  - name: batch
    reserved_share: 0.7
    default_deadline: 5s
`), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "b.yaml"), []byte(`callers:
  - name: screens
routes:
  - name: r1
    kind: booking
    index: i
    callers: [screens, ghost]
    classes:
      - nope
    prefer: latency
`), 0o600))
	_, err := ReadPath(dir)
	is.True(err != nil)
	for _, want := range []string{
		"a.yaml:2:3: classes: the reserved shares add up to 1.4",
		"b.yaml:2:5: callers[0]: caller \"screens\" can't be recognised",
		"b.yaml:7:24: routes[0].callers[1]: route \"r1\" names the caller \"ghost\", which does not exist",
		"b.yaml:9:9: routes[0].classes[0]:",
		"b.yaml:4:5: routes[0].least_coverage: booking route \"r1\" takes partial answers; set it to 1",
		"b.yaml:10:13: routes[0].prefer:",
	} {
		is.True(strings.Contains(err.Error(), want)) // want in the list
	}
	is.Equal(len(strings.Split(err.Error(), "\n")), 6)
}

// FuzzParse guards against panics on invalid input and against documents that
// change when split and joined.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Add([]byte("routes:\n  - name: a\n    callers: [x"))
	f.Add([]byte("policy:\n  hedge_budget: .nan\n"))
	f.Add([]byte("? - a\n: *b\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		docs, err := Parse("f.yaml", content)
		if err != nil || len(Validate(docs)) > 0 {
			return
		}
		parts, contents, err := Split(docs, Parts{})
		if err != nil {
			return
		}
		joined, err := Join(parts, contents)
		if err != nil || len(Diff(docs, joined)) > 0 {
			t.Fatalf("join: %v, %v", err, Diff(docs, joined))
		}
	})
}
