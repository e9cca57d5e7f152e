package event

// Events of the host process, documents, updates from the store, listed backend servers,
// platform entries and refused requests, from 4001. Function siteEvents describes each of
// them.
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
	RequestsCut
	ServerSilent
	IntakeRefusing
)

func siteEvents() []Entry {
	return []Entry{
		{HostReady, Info, "host ready", "It has an accepted configuration.", "Nothing."},
		{HostDraining, Info, "host draining", "A planned stop was asked for.", "Nothing."},
		{HostStopped, Info, "host stopped", "All requests have ended.", "Nothing."},
		{DocumentAccepted, Info, "document accepted", "An operator submitted it and it passed every check.", "Nothing."},
		{DocumentRefused, Warning, "document refused", "It failed a check, or another was accepted first.", "Correct the document and submit it again."},
		{HostStarted, Info, "host started", "The process runs with these settings.", "Nothing."},
		{SettingsReloaded, Info, "settings reloaded", "A signal asked for it.", "Nothing."},
		{StoreStale, Warning, "store updates stale", "Calls to the store fail or time out; keys are refused once the last update is too old.", "Check the store and the network path to it."},
		{StoreFresh, Info, "store updates resumed", "A call succeeded.", "Nothing."},
		{ServerListed, Info, "backend server listed or changed", "The platform's server list changed.", "Nothing."},
		{ServerRemoved, Info, "backend server removed", "The platform's server list no longer contains it.", "Nothing."},
		{PlatformEntryIgnored, Warning, "invalid platform entry ignored", "It can't be decoded, or a field has an invalid value.", "Find out who writes the named entry."},
		{RequestRefused, Info, "request refused on arrival", "No configuration, no route, no valid key, stale store updates, or a host that stops before the request has to end.", "Compare with the configuration version in the log line."},
		{LinesDropped, Warning, "log lines dropped", "The reader of standard output is too slow for the load.", "Use the metrics for that period instead."},
		{HostRetired, Info, "host retirement confirmed", "An operator asked to empty the named host before its removal; hosts keep no durable data on disk.", "Nothing."},
		{ServerLeaving, Info, "backend server leaving", "It announced this in a response; this host sends it no new requests until it restarts.", "Nothing."},
		{RequestsCut, Warning, "requests cut by the end of the host", "Their responses could not be written before the process had to exit.", "Allow a longer planned stop if this repeats."},
		{ServerSilent, Info, "backend server silent", "A request that this host gave up was at a server that answers no health check either, or has restarted.", "Check the named server if this repeats."},
		{IntakeRefusing, Warning, "callers refused to protect the host", "Requests or connections exceed what the host can hold; logged once until nothing was refused for ten seconds.", "Find the callers who send large or unfinished requests; hyssopwall_intake_refused_total has the reasons."},
	}
}
