package event

// Events about the data, zones and servers that the platform provides, from 6001. Function platformEvents
// describes each of them.
const (
	HostListConflict Number = 6001 + iota
	ZoneSilent
	ZoneAnswers
)

func platformEvents() []Entry {
	return []Entry{
		{HostListConflict, Info, "host list disagrees with probes", "The platform's host list lags behind the probes.", "Nothing."},
		{ZoneSilent, Warning, "availability zone silent", "All servers of the zone with active generations of this host have stopped sending at once, while another zone sends; generations there go on elsewhere.", "Check the links between the zones if this lasts or repeats."},
		{ZoneAnswers, Info, "availability zone answers again", "A server of the zone answered or sent an event, or the zone has no listed servers any more.", "Nothing."},
	}
}
