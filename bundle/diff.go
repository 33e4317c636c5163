package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Difference is one item that differs between two configurations.
type Difference struct {
	// Item is the kind and name, as "route slots-rijeka" or "policy".
	Item string `json:"item"`
	// Before and After are the item in JSON, or empty if it is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s %s", d.Item, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s %s", d.Item, d.Before)
	default:
		return fmt.Sprintf("~ %s %s -> %s", d.Item, d.Before, d.After)
	}
}

// Diff returns the differences between before and after, sorted by item.
func Diff(before, after Documents) []Difference {
	old, current := itemsOf(before), itemsOf(after)
	var differences []Difference
	for item, text := range current {
		if old[item] != text {
			differences = append(differences, Difference{item, old[item], text})
		}
	}
	for item, text := range old {
		if _, kept := current[item]; !kept {
			differences = append(differences, Difference{item, text, ""})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return strings.Compare(a.Item, b.Item) })
	return differences
}

func itemsOf(docs Documents) map[string]string {
	items := make(map[string]string)
	add := func(item string, value any) {
		text, _ := json.Marshal(value) // the documents' types always encode
		items[item] = string(text)
	}
	for _, route := range docs.Routes {
		add("route "+route.Name, route)
	}
	for _, caller := range docs.Callers {
		add("caller "+caller.Name, caller)
	}
	for _, service := range docs.Services {
		add("service "+service.Name, service)
	}
	for _, class := range docs.Classes {
		add("class "+class.Name, class)
	}
	for _, override := range docs.Quarantine {
		add("quarantine "+override.Fingerprint, override)
	}
	if docs.Policy != (Policy{}) {
		add("policy", docs.Policy)
	}
	return items
}
