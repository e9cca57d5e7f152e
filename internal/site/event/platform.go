package event

// The events of the area platform.
const (
	HostListConflict Number = 6001 + iota
)

func platformEvents() []Entry {
	return []Entry{
		{HostListConflict, Info, "host list disagrees with probes", "The list lags.", "Nothing."},
	}
}
