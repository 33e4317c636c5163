package bench

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	cpu := func(c Case, d time.Duration) Case { c.Shape.HostTimePerLeg = d; return c }
	for _, x := range []struct {
		name string
		c    Case
	}{
		{"x1", OverloadCase(1, 1)},
		{"x2", OverloadCase(2, 1)},
		{"x4", OverloadCase(4, 1)},
		{"x8", OverloadCase(8, 1)},
		{"x4 slow", OverloadCase(4, 1).Slowed(0.5, 8)},
		{"x1 slow", OverloadCase(1, 1).Slowed(0.5, 8)},
		{"x1 few slow", OverloadCase(1, 1).Slowed(0.05, 8)},
		{"flood5", OverloadCase(1, 5)},
		{"flood20", OverloadCase(1, 20)},
		{"flood60", OverloadCase(1, 60)},
		{"x1 cpu", cpu(OverloadCase(1, 1), 300*time.Microsecond)},
		{"x4 cpu", cpu(OverloadCase(4, 1), 300*time.Microsecond)},
		{"x8 cpu", cpu(OverloadCase(8, 1), 300*time.Microsecond)},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			out := ""
			for _, limited := range []bool{false, true} {
				name := "forecasts"
				if limited {
					name = "limit    "
				}
				r := Run(x.c, WithSearchLimit(HomePolicy(name, nil), limited), 1)
				others, othersAll := 0, 0
				for name, g := range r.Callers {
					if name != callerName(0) {
						others += g.InTime
						othersAll += g.Arrived
					}
				}
				out += fmt.Sprintf("%-10s %s; others %.3f urgent %.3f full %.3f\n", x.name, r.PrintOverload(x.c.Shape), ratio(others, othersAll),
					ratio(r.Classes[Interactive].InTime, r.Classes[Interactive].Arrived), ratio(r.Classes[Standard].InTime, r.Classes[Standard].Arrived))
			}
			t.Log("\n" + out)
		})
	}
}
