package observe

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a series for each of many customers, memory that grows with them, a large
// customer among the rest, and one that keeps its series after others have become larger.
func TestOnlyTheLargestCustomersHaveSeries(t *testing.T) {
	is := is.New(t)
	l, now, dropped := newLargestCustomers(), time.Unix(1000, 0), 0
	labels := make(map[string]int)
	for i := range 200_000 {
		name := fmt.Sprintf("small-%d", i*7919%100_000)
		if i%4 == 0 {
			name = fmt.Sprintf("large-%d", i/4%10)
		}
		label, without := l.count(now, name)
		is.True(label == name || label == otherCustomers)
		labels[label]++
		dropped += len(without)
		now = now.Add(time.Millisecond)
	}
	is.True(len(labels)-dropped <= namedCustomers+1)
	is.True(len(l.counts) <= trackedCustomers && len(l.named) <= namedCustomers)
	for i := range 10 {
		is.True(labels[fmt.Sprintf("large-%d", i)] > 3000)
	}
	is.True(labels[otherCustomers] > 100_000)
}
