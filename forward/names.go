package forward

import "strings"

// splitNames splits a comma-separated list of header names.
func splitNames(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
