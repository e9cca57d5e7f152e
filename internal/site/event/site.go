package event

// The events of the area site.
const (
	HostReady Number = 4001 + iota
	HostDraining
	HostStopped
	DocumentAccepted
	DocumentRefused
)

func siteEvents() []Entry {
	return []Entry{
		{HostReady, Info, "host ready", "It knows an accepted configuration.", "Nothing."},
		{HostDraining, Info, "host draining", "A planned stop was asked for.", "Nothing."},
		{HostStopped, Info, "host stopped", "All requests have ended.", "Nothing."},
		{DocumentAccepted, Info, "document accepted", "An operator submitted it and it passed every check.", "Nothing."},
		{DocumentRefused, Warning, "document refused", "It failed a check, or another was accepted first.", "Mend the document and submit it again."},
	}
}
