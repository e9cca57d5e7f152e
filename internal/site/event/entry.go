package event

// Events of request admission and forwarding, from 1001. Function entryEvents describes
// each of them.
const (
	KeyRefused Number = 1001 + iota
	KeyWithdrawn
	AnswerDropped
	PoisonConvicted
	RequestShed
	RequestRetriedOrFailed
	SendBroken
)

func entryEvents() []Entry {
	return []Entry{
		{KeyRefused, Info, "request without a valid key refused", "The key is unknown, withdrawn, or belongs to another workspace.", "Nothing, unless a caller complains; then compare the key digest with the document."},
		{KeyWithdrawn, Info, "streams of a withdrawn key ended", "The accepted document no longer lists the key.", "Nothing."},
		{AnswerDropped, Warning, "backend server response discarded", "The response was late, for another request, truncated, or failed its digest check.", "Check the named backend server if this repeats."},
		{PoisonConvicted, Warning, "request convicted of crashing backend servers", "Backend servers crashed while running it: two, the second while running nothing else, or three in a row. It is refused for the time given in the log line, until its next trial if one is left.", "Tell the caller; the conviction expires by itself."},
		{RequestShed, Info, "request shed", "Its deadline could not be met, or a queue was full.", "Raise the limit or the capacity if this lasts."},
		{RequestRetriedOrFailed, Info, "request retried or failed", "The named servers refused it, broke the connection or were slow.", "Check the servers if this repeats."},
		{SendBroken, Info, "connection broken by backend server", "The server crashed, or the connection was reset.", "Check the named server if this repeats."},
	}
}
