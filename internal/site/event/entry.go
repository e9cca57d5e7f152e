package event

// The events of the area entry.
const (
	KeyRefused Number = 1001 + iota
	KeyWithdrawn
	AnswerDropped
	PoisonConvicted
	RequestShed
	RequestEnded
	SendBroken
)

func entryEvents() []Entry {
	return []Entry{
		{KeyRefused, Info, "request without a valid key refused", "The key is unknown, withdrawn, or belongs to another workspace.", "Nothing, unless a caller complains; then compare the key digest with the document."},
		{KeyWithdrawn, Info, "streams of a withdrawn key ended", "The accepted document no longer lists the key.", "Nothing."},
		{AnswerDropped, Warning, "answer of a backend server dropped", "The answer was late, crossed, short, or failed its digest.", "Look at the named backend server when this repeats."},
		{PoisonConvicted, Warning, "request convicted of crashing backend servers", "Backend servers crashed while they ran it: two, the second one alone, or three in a row. It is refused for as long as the line says.", "Tell the caller; the conviction expires by itself."},
		{RequestShed, Info, "request shed", "Its deadline could not be met, or a queue was full.", "Raise the limit or the capacity when this lasts."},
		{RequestEnded, Info, "request took more than one send, or failed", "The named servers refused, broke off or were slow.", "Look at the servers when this repeats."},
		{SendBroken, Info, "server broke a send off", "It crashed, or its connection was reset.", "Look at the named server when this repeats."},
	}
}
