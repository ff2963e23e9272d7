package placer

import (
	"fmt"
	"testing"
)

// TestNodesAskDifferentPeers guards against nodes that lose the lease holder together and all ask the same peer for it.
func TestNodesAskDifferentPeers(t *testing.T) {
	asked := make(map[string]int)
	for i := range 300 {
		var l peerList
		l.init(fmt.Sprint("n", i))
		l.setPeers([]string{"a", "b", "c", "d"})
		asked[l.pick("self")]++
	}
	for _, p := range []string{"a", "b", "c", "d"} {
		if n := asked[p]; n < 50 || n > 100 {
			t.Errorf("%d of 300 nodes ask %s first, want about 75", n, p)
		}
	}
}
