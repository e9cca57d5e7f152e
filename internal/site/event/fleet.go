package event

// The events of the area fleet.
const (
	PeerJoined Number = 3001 + iota
	PeerFailed
	PeerRefused
	LeaseTaken
	LeaseLost
	OrderPlaced
	ConfigurationApplied
	PlatformLost
	PlatformBack
	CertificateUnusable
	ConfigurationDiverged
	ConfigurationUnreadable
	DataFolderFailed
)

func fleetEvents() []Entry {
	return []Entry{
		{PeerJoined, Info, "host joined", "It answered a probe.", "Nothing."},
		{PeerFailed, Warning, "host failed", "It answered no probe, directly or through others.", "Replace the host if the platform has not."},
		{PeerRefused, Warning, "peer refused", "Its certificate is wrong, expired, or of another availability zone.", "Renew the certificate of the named host."},
		{LeaseTaken, Info, "duty taken", "This host holds the lease.", "Nothing."},
		{LeaseLost, Warning, "duty lost", "The lease was not renewed in time or was taken by another host.", "Nothing, unless the platform is reachable and this repeats."},
		{OrderPlaced, Info, "backend servers ordered", "Demand changed.", "Nothing."},
		{ConfigurationApplied, Info, "configuration in force", "A higher accepted version arrived.", "Nothing."},
		{PlatformLost, Warning, "platform unreachable", "Calls fail.", "Check the platform; serving goes on."},
		{PlatformBack, Info, "platform reachable again", "A call succeeded.", "Nothing."},
		{CertificateUnusable, Error, "certificate files unusable", "They are missing, don't fit each other, or name another host; the last good certificate stays in use.", "Write a matching certificate and key before the old certificate expires."},
		{ConfigurationDiverged, Error, "two documents of one version", "The platform lost or replaced the accepted document.", "Submit the document again; the next version settles it."},
		{ConfigurationUnreadable, Error, "accepted document unreadable", "The platform's object is not one that this version writes.", "Compare the versions of the hosts; submit the document again."},
		{DataFolderFailed, Warning, "data folder unusable", "A write to it failed.", "Check the disk of the host; it goes on without it."},
	}
}
