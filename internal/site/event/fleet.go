package event

// The events of the area fleet.
const (
	PeerJoined Number = 3001 + iota
	PeerFailed
	PeerRefused
	LeaseAcquired
	LeaseLost
	OrderPlaced
	ConfigurationApplied
	PlatformUnreachable
	PlatformReachable
	CertificateUnusable
	ConfigurationDiverged
	ConfigurationUnreadable
	DataFolderFailed
	ShardTakenOver
	ShardLost
	OrderFenced
	StoreRelayed
	StoreDirect
	RelayTimedOut
	WatchFailed
)

func fleetEvents() []Entry {
	return []Entry{
		{PeerJoined, Info, "host joined", "It answered a probe.", "Nothing."},
		{PeerFailed, Warning, "host failed", "It answered no probe, directly or through others.", "Replace the host if the platform has not."},
		{PeerRefused, Warning, "peer refused", "Its certificate is wrong, expired, or of another availability zone.", "Renew the certificate of the named host."},
		{LeaseAcquired, Info, "duty taken", "This host holds the lease.", "Nothing."},
		{LeaseLost, Warning, "duty lost", "The lease was not renewed in time or was taken by another host.", "Nothing, unless the platform is reachable and this repeats."},
		{OrderPlaced, Info, "backend servers ordered", "Demand changed.", "Nothing."},
		{ConfigurationApplied, Info, "configuration in force", "A higher accepted version arrived.", "Nothing."},
		{PlatformUnreachable, Warning, "platform unreachable", "Calls fail.", "Check the platform; serving goes on."},
		{PlatformReachable, Info, "platform reachable again", "A call succeeded.", "Nothing."},
		{CertificateUnusable, Error, "certificate files unusable", "They are missing, don't fit each other, or name another host; the last good certificate stays in use.", "Write a matching certificate and key before the old certificate expires."},
		{ConfigurationDiverged, Error, "two documents of one version", "The platform lost or replaced the accepted document.", "Submit the document again; the next version settles it."},
		{ConfigurationUnreadable, Error, "accepted document unreadable", "The platform's object is not one that this version writes.", "Compare the versions of the hosts; submit the document again."},
		{DataFolderFailed, Warning, "data folder unusable", "A write to it failed.", "Check the disk of the host; it goes on without it."},
		{ShardTakenOver, Info, "shard of claims taken over", "Its owner failed, and this host has a copy.", "Nothing."},
		{ShardLost, Warning, "shard of claims lost", "No host that kept it answers; keys that it may have known get an unknown outcome.", "Tell callers that repeat such keys. Keys that hosts mint are served."},
		{OrderFenced, Warning, "order refused for its epoch", "The receiver has seen a later holder of the duty, or orders of another duty.", "Check that one duty alone gives orders to the receiver when this repeats."},
		{StoreRelayed, Warning, "store called through peers", "The store did not answer the named call of this host.", "Check the way from this host to the store when this repeats."},
		{StoreDirect, Info, "store called directly again", "It answered a try of this host.", "Nothing."},
		{RelayTimedOut, Warning, "peer made no call to the store", "It did not answer this host in time.", "Look at the named host when the store is well."},
		{WatchFailed, Warning, "watch failed", "Neither the store nor the host that this one follows answered; it is tried again.", "Compare its time with that in which a change has to be in force."},
	}
}
