package node

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
)

// holdsDuty reports whether this host holds the duty.
func (n *Node) holdsDuty() bool {
	_, held := n.holder.Held(ControlDuty)
	return held
}

// forgetInterval is the interval at which a host drops the records of old batches from memory.
const forgetInterval = time.Minute

// forgetExpired drops the records of old batches from memory, whether or not they could be
// removed from the store.
func (n *Node) forgetExpired() {
	now := time.Now()
	n.Batches.ForgetExpired(now)
	n.mirrors[batch.RecordPrefix].Forget(func(o object.Object) bool {
		return batch.IsForgotten(o.Value, now, n.Batches.Retention)
	})
}
