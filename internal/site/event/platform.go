package event

// The events of the area platform.
const (
	ListIgnored Number = 6001 + iota
)

func platformEvents() []Entry {
	return []Entry{
		{ListIgnored, Info, "host list disagrees with probes", "The list lags.", "Nothing."},
	}
}
