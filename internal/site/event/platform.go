package event

// Events about the data that the platform provides, from 6001. Function platformEvents
// describes each of them.
const (
	HostListConflict Number = 6001 + iota
)

func platformEvents() []Entry {
	return []Entry{
		{HostListConflict, Info, "host list disagrees with probes", "The platform's host list lags behind the probes.", "Nothing."},
	}
}
