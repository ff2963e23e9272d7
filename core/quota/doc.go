// Package quota enforces rate limits that hold for all nodes of a deployment together: limits of customers, of
// endpoints that announce one, and of endpoints that are cold.
//
// A limit bounds the sum of what all nodes send, also while the network is partitioned, with an error of about 15
// requests, and admission of a request may not depend on a node that is lost. A fixed share per node would refuse
// requests below the limit, since traffic is uneven; asking a central node for each request would stop all traffic
// when that node fails.
//
// Every limit is therefore divided into equal shares, one per node, and each share is spent in one place at a time. A
// node that reaches a granter (is attached) leaves its share to it: the [Granter] has one token bucket per customer,
// which is refilled with the shares of the nodes that contacted it within [AttachmentTTL], and grants are charged
// there. A node that gets no answer is partitioned: it spends its own share from its [Allowance], and reports that in
// its next message. So no share is spent twice by two granters at once, or by a granter and nodes cut off from it,
// whichever of them holds the role. Only a node that moves from one granter to another counts at both, for at most
// [AttachmentTTL].
//
// A new granter starts with empty buckets, because it does not know what its predecessor granted.
//
// The package is used by the node's controller, which carries grant requests between allowances and the granter. It is
// designed for 71 nodes and 16 customers with limits from 4 to 100 requests per second, one of which sends many times
// its usual load while the granter is killed or cut off.
package quota
