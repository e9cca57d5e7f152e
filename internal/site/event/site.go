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
	ServerCold
	WarmUpIgnored
	ZoneEvacuated
	ZoneReopened
	EvacuationsUnread
	RegionUnknown
	IntakeRefusing
	ServerStartObserved
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
		{ServerCold, Info, "backend server cold", "It said in a response that it is warming up; it gets only a few requests per second until then.", "Nothing."},
		{WarmUpIgnored, Warning, "invalid warm-up ignored", "The configuration names a negative or impossible warm-up for the service, which now has no limit.", "Correct cold_per_s and cold_start_s of the named service."},
		{ZoneEvacuated, Warning, "zone evacuated", "The platform ordered it; this host sends nothing more to servers in the zone.", "Nothing."},
		{ZoneReopened, Info, "zone no longer evacuated", "The platform removed the order; the zone's servers count as cold at first.", "Nothing."},
		{EvacuationsUnread, Warning, "evacuations unread", "Neither the store nor another host let this host read the evacuated zones since its start; it serves without them.", "Check the network path from this host to the store."},
		{RegionUnknown, Warning, "unknown region", "The configuration allows requests only in a region that no zone of the settings belongs to.", "Correct allowed_regions of the named route or workspace, or the zones of the settings."},
		{IntakeRefusing, Warning, "callers refused to protect the host", "Requests or connections exceed what the host can hold; logged once until nothing was refused for ten seconds.", "Find the callers who send large or unfinished requests; hyssopwall_intake_refused_total has the reasons."},
		{ServerStartObserved, Info, "start of a backend server observed", "It was listed anew, or answered again after failures, five seconds ago; runs holds the requests of this host in each second.", "Compare the sum over all hosts with what a warm server gets."},
	}
}
