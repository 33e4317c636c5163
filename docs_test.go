package goldcrestspan

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A person on call follows a link in the middle of an incident. Every relative
// link of the pages leads to a file, and to a heading of it where it names one.
func TestLinksOfThePagesResolve(t *testing.T) {
	is := is.New(t)
	checked := 0
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, match := range pageLink.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			checked++
			if problem := broken(page, match[1]); problem != "" {
				t.Errorf("%s: link %s: %s", page, match[1], problem)
			}
		}
	}
	is.True(checked > 50) // the pages were found and their links read
}

var (
	pageLink    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	pageHeading = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// pages lists the Markdown files at the root and below docs.
func pages(t *testing.T) []string {
	t.Helper()
	list, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir("docs", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			list = append(list, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// broken tells what is wrong with a page's link; empty: nothing.
func broken(page, link string) string {
	path, anchor, _ := strings.Cut(link, "#")
	target := page
	if path != "" {
		target = filepath.Join(filepath.Dir(page), path)
	}
	if _, err := os.Stat(target); err != nil {
		return "no such file"
	}
	if anchor == "" {
		return ""
	}
	text, err := os.ReadFile(target)
	if err != nil {
		return err.Error()
	}
	for _, heading := range pageHeading.FindAllStringSubmatch(string(text), -1) {
		if anchorOf(heading[1]) == anchor {
			return ""
		}
	}
	return "no such heading"
}

// anchorOf is a heading's anchor, by the rule of the usual renderers.
func anchorOf(heading string) string {
	plain := notInAnchor.ReplaceAllString(strings.ToLower(heading), "")
	return strings.ReplaceAll(plain, " ", "-")
}
