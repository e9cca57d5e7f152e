package event

// Events of steps, samples, weights and batches, from 2001. Function rolloutEvents
// describes each of them.
const (
	StepOpened Number = 2001 + iota
	StepCompleted
	SampleUnversioned
	SampleStale
	WeightsLoaded
	WeightsLoadFailed
	StepFenced
	SampleUnscored
	WeightsLoadOrdered
	ReclaimNoticed
	DesiredCapacityChanged
	BatchStarted
	BatchCompleted
	BatchDropped
	BatchTakenOver
	BatchUnreadable
	OwnerNotifyFailed
	BatchWriteFailed
	GenerationInterrupted
	ItemFailed
	BatchRefused
	ReleaseAnnounced
	HomeSkipped
	StandbyReplaced
	BatchesScanned
)

func rolloutEvents() []Entry {
	return []Entry{
		{StepOpened, Info, "step opened", "A trainer asked for it.", "Nothing."},
		{StepCompleted, Info, "step completed", "All samples were delivered.", "Nothing."},
		{SampleUnversioned, Warning, "sample without weights versions dropped", "The engine reported no weights version for some tokens.", "Check the software of the named engine."},
		{SampleStale, Info, "stale sample dropped", "It exceeded the maximum age before delivery.", "Compare how often new weights arrive with how long steps take if this repeats."},
		{WeightsLoaded, Info, "new weights loaded", "The engine reported the new version.", "Nothing."},
		{WeightsLoadFailed, Warning, "weights load failed", "The engine kept its old version.", "Check the named engine if this repeats."},
		{StepFenced, Info, "step taken over by another host", "Another host raised the step's epoch.", "Nothing."},
		{SampleUnscored, Warning, "sample delivered without a score", "The outcome of a scoring call that must not be repeated is unknown.", "Check the scoring service if this repeats."},
		{WeightsLoadOrdered, Info, "weights load requested", "A newer release is in the weight store.", "Nothing."},
		{ReclaimNoticed, Info, "reclaim notice received", "The platform is about to reclaim a spot backend server.", "Nothing."},
		{DesiredCapacityChanged, Info, "desired capacity changed", "Demand, deadlines or prices changed.", "Nothing."},
		{BatchStarted, Info, "batch started", "This host accepted it or took it over.", "Nothing."},
		{BatchCompleted, Info, "batch completed", "Every result is in the store.", "Nothing."},
		{BatchDropped, Info, "batch released", "It has ended, or another host owns it.", "Nothing."},
		{BatchTakenOver, Warning, "batch taken over", "Its owner did not answer, could not reach the store, or has restarted.", "Check the owner unless it was stopped on purpose."},
		{BatchUnreadable, Error, "object of a batch unreadable", "The object is not in a format of this version, or the store could not be read.", "Compare the versions of the hosts."},
		{OwnerNotifyFailed, Info, "batch owner not notified", "The owner or the store does not answer; the owner learns of the change through its watch.", "Nothing."},
		{BatchWriteFailed, Warning, "results write failed", "The store refused the write or its response was lost; the write is retried.", "Check the store if this lasts."},
		{GenerationInterrupted, Info, "generation interrupted", "The engine failed, stopped sending or has other weights; the item continues on another engine.", "Check the named engine if this repeats."},
		{ItemFailed, Warning, "item failed", "It used up the attempts that its route allows, or its deadline passed.", "Read the earlier log lines of the item."},
		{BatchRefused, Info, "batch not accepted", "The store did not accept it; the caller was told when to retry.", "Check the store if this repeats."},
		{ReleaseAnnounced, Info, "weights release announced", "A trainer published new weights.", "Nothing."},
		{HomeSkipped, Info, "home host of a batch skipped", "It did not answer, or accepts no batches at present; the next host in order, or this one, runs the batch.", "Check the named host if this lasts."},
		{StandbyReplaced, Info, "standby of a batch replaced", "It did not answer, or its memory for copies is full; the next host in order gets the copy of the texts.", "Check the named host if this lasts."},
		{BatchesScanned, Info, "records of batches read", "This host took over the duty a minute ago, or some hours have passed; objects of old batches were removed.", "Nothing."},
	}
}
