package event

// The events of the area site.
const (
	HostReady Number = 4001 + iota
	HostDraining
	HostStopped
	DocumentAccepted
	DocumentRefused
	HostStarted
	SettingsReloaded
	StoreStale
	StoreFresh
	ServerListed
	ServerRemoved
	PlatformEntryIgnored
	RequestRefused
	LinesDropped
	HostRetired
	ServerLeaving
)

func siteEvents() []Entry {
	return []Entry{
		{HostReady, Info, "host ready", "It knows an accepted configuration.", "Nothing."},
		{HostDraining, Info, "host draining", "A planned stop was asked for.", "Nothing."},
		{HostStopped, Info, "host stopped", "All requests have ended.", "Nothing."},
		{DocumentAccepted, Info, "document accepted", "An operator submitted it and it passed every check.", "Nothing."},
		{DocumentRefused, Warning, "document refused", "It failed a check, or another was accepted first.", "Mend the document and submit it again."},
		{HostStarted, Info, "host started", "The process runs with these settings.", "Nothing."},
		{SettingsReloaded, Info, "settings read again", "A signal asked for it.", "Nothing."},
		{StoreStale, Warning, "no news from the store", "Calls fail or nothing answers; keys are refused once the news is too old.", "Check the store and the host's path to it."},
		{StoreFresh, Info, "news from the store again", "A call succeeded.", "Nothing."},
		{ServerListed, Info, "backend server listed or changed", "The platform's list says so.", "Nothing."},
		{ServerRemoved, Info, "backend server gone", "The platform's list no longer holds it.", "Nothing."},
		{PlatformEntryIgnored, Warning, "entry of the platform ignored", "It can't be read, or a field has a value that no entry may have.", "Look at who writes the named entry."},
		{RequestRefused, Info, "request refused at the entry", "No configuration, no route, no valid key, or no recent news from the store.", "Compare with the configuration's version in the line."},
		{LinesDropped, Warning, "log lines dropped", "The reader of standard output is too slow for the load.", "Use the counters for the time concerned."},
		{HostRetired, Info, "host with a disk released", "An operator asked for it to be emptied; it holds nothing that lasts.", "Nothing."},
		{ServerLeaving, Info, "backend server leaves", "It said so in an answer; this start of it gets nothing new from this host.", "Nothing."},
	}
}
