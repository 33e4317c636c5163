package result

import (
	"fmt"
	"strings"
)

var groupTitles = map[Group]string{
	GroupComplete: "1xx: complete answers",
	GroupPartial:  "2xx: partial answers",
	GroupNotRun:   "3xx: refused, the request ran nowhere",
	GroupUnknown:  "4xx: the outcome is unknown",
	GroupFailed:   "5xx: ran, at least in part, without an answer",
}

const documentHead = `# Result codes

Generated from the table of package result by ` + "`goldcrestspan result-codes`" + `; do not
edit. A test holds this page equal to the table.

Every reply to a caller carries one code. "Send again" is what the reply's
field ` + "`resend`" + ` says: **no**, the same request would get the same result;
**later**, nothing ran, come back after ` + "`retry_after_ms`" + `; **elsewhere**, nothing
ran, send it now to another entry host; **idempotent-only**, it may have run,
so only a search may be sent again, or a booking under the same ticket.
`

// Markdown writes docs/result-codes.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(documentHead)
	last := Group(0)
	for _, info := range table {
		if group := info.Code.Group(); group != last {
			last = group
			fmt.Fprintf(&b, "\n## %s\n\n", groupTitles[group])
			b.WriteString("| code | name | HTTP | send again | meaning for the caller | what the operator does |\n")
			b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s |\n",
			int(info.Code), info.Name, info.Status, info.Resend, info.Meaning, info.Action)
	}
	return b.String()
}
