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

// Guards against relative links in the documentation to missing files or headings.
func TestDocumentationLinksResolve(t *testing.T) {
	is := is.New(t)
	checked := 0
	for _, page := range documentationPages(t) {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, match := range pageLink.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			checked++
			if problem := checkLink(page, match[1]); problem != "" {
				t.Errorf("%s: link %s: %s", page, match[1], problem)
			}
		}
	}
	is.True(checked > 50) // pages and links were found
}

var (
	pageLink    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	pageHeading = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// documentationPages lists the Markdown files at the root and below docs.
func documentationPages(t *testing.T) []string {
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

// checkLink returns what is wrong with a page's link, or an empty string.
func checkLink(page, link string) string {
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

// anchorOf returns the anchor that common Markdown renderers give a heading.
func anchorOf(heading string) string {
	plain := notInAnchor.ReplaceAllString(strings.ToLower(heading), "")
	return strings.ReplaceAll(plain, " ", "-")
}
