package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

const regionName = "jadran"

// Shape is the size of a user's system.
type Shape struct {
	EntryHosts     int
	Services       int
	Servers        int // backend servers of each service
	Slots          int // requests that one backend server runs at once
	ServerQueue    int // requests that may wait at a server; it sheds above
	Zones          int
	HopSameZone    time.Duration // one way
	HopOtherZone   time.Duration // one way
	ServiceTime    ServiceTime
	DetectHostLoss time.Duration // until hosts take a silent host for lost
}

// ServiceTime is the distribution of a request's time on a healthy server:
// Base plus an exponential, and for Stragglers of them StragglerExtra more.
type ServiceTime struct {
	Base           time.Duration
	MeanExtra      time.Duration
	StragglerShare float64
	StragglerExtra time.Duration
}

// Mean is the mean of the distribution.
func (d ServiceTime) Mean() time.Duration {
	return d.Base + d.MeanExtra + time.Duration(d.StragglerShare*float64(d.StragglerExtra))
}

// Capacity is how many queries a second, one leg to each service, would keep
// every slot busy all the time.
func (p Shape) Capacity() float64 {
	return float64(p.Servers*p.Slots) / p.ServiceTime.Mean().Seconds()
}

// StandardTime is the service time the project's goals are stated for.
func StandardTime() ServiceTime {
	return ServiceTime{
		Base:           time.Millisecond,
		MeanExtra:      4 * time.Millisecond,
		StragglerShare: 0.02,
		StragglerExtra: 40 * time.Millisecond,
	}
}

// BookingDesk is Plakatna Mreža's booking-desk: 20 services of 2 servers with
// 2 slots, reached through 7 entry hosts.
func BookingDesk() Shape {
	return Shape{
		EntryHosts: 7, Services: 20, Servers: 2, Slots: 2, Zones: 3,
		HopSameZone: 100 * time.Microsecond, HopOtherZone: 500 * time.Microsecond,
		ServiceTime: StandardTime(), DetectHostLoss: 300 * time.Millisecond,
	}
}

// TransitPlanner is booking-desk's shape with 30 services.
func TransitPlanner() Shape {
	shape := BookingDesk()
	shape.Services = 30
	return shape
}

// Archive is archive-svc: one service of 7 servers with 6 slots.
func Archive() Shape {
	shape := BookingDesk()
	shape.Services, shape.Servers, shape.Slots = 1, 7, 6
	return shape
}

// BookingPortal is the academy's booking-portal: four zones 1 ms apart.
func BookingPortal() Shape {
	shape := BookingDesk()
	shape.Zones, shape.HopOtherZone = 4, time.Millisecond
	return shape
}

func hostID(i int) ident.HostID { return ident.HostID(fmt.Sprintf("entry-%02d", i)) }

func hostIndex(id ident.HostID) int {
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(string(id), "entry-"), "%d", &i)
	return i
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }
