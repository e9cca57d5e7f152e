package event

// Events of usage accounting, from 5001. Function billingEvents describes each of them.
const (
	WindowSealed Number = 5001 + iota
	WindowReported
	UsageLate
	UsageUnderReplicated
	UsageReplicated
)

func billingEvents() []Entry {
	return []Entry{
		{WindowSealed, Info, "usage window sealed", "The window has ended and every known counter was read.", "Nothing."},
		{WindowReported, Info, "usage window reported", "The platform acknowledged the report.", "Nothing."},
		{UsageLate, Warning, "usage counted after sealing", "A host was partitioned; the usage is added to a later window as an adjustment.", "Nothing."},
		{UsageUnderReplicated, Warning, "usage under-replicated", "Fewer than two other hosts are reachable; usage is counted, but lost if this host fails now.", "Check the network of this host if this lasts."},
		{UsageReplicated, Info, "usage fully replicated again", "Enough other hosts are reachable.", "Nothing."},
	}
}
