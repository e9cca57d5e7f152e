package event

// The events of the area billing.
const (
	WindowSealed Number = 5001 + iota
	WindowReported
	UsageLate
	UsageUnderReplicated
	UsageReplicated
)

func billingEvents() []Entry {
	return []Entry{
		{WindowSealed, Info, "usage window sealed", "Its end has passed and every known counter was read.", "Nothing."},
		{WindowReported, Info, "usage window reported", "The platform acknowledged the report.", "Nothing."},
		{UsageLate, Warning, "usage counted after sealing", "A host was cut off; the usage goes into a later window as an adjustment.", "Nothing."},
		{UsageUnderReplicated, Warning, "usage stored by too few hosts", "Fewer than two other hosts can be reached; it is counted, and lost if this host fails now.", "Look at the links of this host when it lasts."},
		{UsageReplicated, Info, "usage stored by enough hosts again", "Other hosts can be reached.", "Nothing."},
	}
}
