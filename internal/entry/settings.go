package entry

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"olivetiller/internal/settings"
	"olivetiller/io/caller"
	"olivetiller/io/operator"
)

// Settings are what a node is started with.
type Settings struct {
	Name, Hall string
	// Addresses that the node opens.
	CallerAddress, OperatorAddress, PeerAddress, MetricsAddress string
	// Addresses of the platform.
	LogAddress, InstanceListAddress string
	// Files of the fleet's keys.
	AuthorityFile, CertificateFile, KeyFile string
	// Files of the certificate shown to callers and operators; empty for none.
	PublicCertificateFile, PublicKeyFile string
	Operators                            []operator.Operator
	Limits                               caller.Limits
	QueueItems                           int
	QueueBytes                           int64
	AppendPause                          time.Duration
	SnapshotEvery                        uint64
	// BalancerLag is how long the balancer may send after it was told of a stop.
	BalancerLag time.Duration
	// StopTimeout is when a planned stop gives up on requests in progress.
	StopTimeout time.Duration
	LogLevel    string
}

// Table returns every setting of a node, with its place in s.
func (s *Settings) Table() settings.Table {
	return settings.Table{
		{Section: "node", Key: "name", Required: true, Help: "the node's name, as in its certificate and the instance list", Set: settings.Text(&s.Name)},
		{Section: "node", Key: "dataHall", Required: true, Help: "the data hall the instance stands in", Set: settings.Text(&s.Hall)},
		{Section: "node", Key: "callerAddress", Required: true, Help: "the IP number and port that callers reach", Set: settings.Address(&s.CallerAddress)},
		{Section: "node", Key: "operatorAddress", Required: true, Help: "the IP number and port that operators reach", Set: settings.Address(&s.OperatorAddress)},
		{Section: "node", Key: "peerAddress", Required: true, Help: "the IP number and UDP port that other nodes reach", Set: settings.Address(&s.PeerAddress)},
		{Section: "node", Key: "metricsAddress", Help: "the IP number and port for /debug/vars; empty for none", Set: settings.Address(&s.MetricsAddress)},
		{Section: "node", Key: "logLevel", Default: "info", Help: "the least level that is logged: trace, debug, info, warn or error", Set: settings.Choice(&s.LogLevel, "trace", "debug", "info", "warn", "error")},
		{Section: "platform", Key: "logAddress", Required: true, Help: "the IP number and port of the log service", Set: settings.Address(&s.LogAddress)},
		{Section: "platform", Key: "instanceListAddress", Required: true, Help: "the IP number and port of the instance list", Set: settings.Address(&s.InstanceListAddress)},
		{Section: "fleet", Key: "authorityFile", Required: true, Help: "the file with the fleet authority's certificate, PEM", Set: settings.Text(&s.AuthorityFile)},
		{Section: "fleet", Key: "certificateFile", Required: true, Help: "the file with the node's certificate, PEM", Set: settings.Text(&s.CertificateFile)},
		{Section: "fleet", Key: "keyFile", Required: true, Help: "the file with the node's key, PEM", Set: settings.Text(&s.KeyFile)},
		{Section: "public", Key: "certificateFile", Help: "the file with the certificate shown to callers and operators; empty serves without TLS", Set: settings.Text(&s.PublicCertificateFile)},
		{Section: "public", Key: "keyFile", Help: "the file with the key of that certificate", Set: settings.Text(&s.PublicKeyFile)},
		{Section: "operators", Key: "tokens", Secret: true, Help: "the operators as name:role:sha256 of the token in hex, separated by commas; roles are viewer and admin", Set: s.operators},
		{Section: "limits", Key: "bodyBytes", Default: "4194304", Unit: "bytes", Help: "the longest request body", Set: settings.Whole(&s.Limits.BodyBytes, 1)},
		{Section: "limits", Key: "answerBytes", Default: "33554432", Unit: "bytes", Help: "the longest whole answer", Set: settings.Whole(&s.Limits.AnswerBytes, 1)},
		{Section: "limits", Key: "headerBytes", Default: "32768", Unit: "bytes", Help: "the longest request head", Set: settings.Whole(&s.Limits.HeaderBytes, 1024)},
		{Section: "limits", Key: "connections", Default: "12000", Unit: "connections", Help: "the most open connections of callers", Set: settings.Whole(&s.Limits.Connections, 1)},
		{Section: "limits", Key: "queueItems", Default: "10000", Unit: "requests", Help: "the most requests that wait for one unit or service", Set: settings.Whole(&s.QueueItems, 1)},
		{Section: "limits", Key: "queueBytes", Default: "67108864", Unit: "bytes", Help: "the most memory of requests that wait for one unit or service", Set: settings.Whole(&s.QueueBytes, 1)},
		{Section: "times", Key: "defaultTimeout", Default: "60s", Unit: "duration", Help: "the time allowed for a request that names none", Set: settings.Duration(&s.Limits.DefaultTimeout, time.Millisecond)},
		{Section: "times", Key: "maxTimeout", Default: "1h", Unit: "duration", Help: "the longest time a request may ask for", Set: settings.Duration(&s.Limits.MaxTimeout, time.Millisecond)},
		{Section: "times", Key: "readTimeout", Default: "20s", Unit: "duration", Help: "the time a caller has to send its head, and again its body", Set: settings.Duration(&s.Limits.ReadTimeout, time.Millisecond)},
		{Section: "times", Key: "idleTimeout", Default: "2m", Unit: "duration", Help: "the life of an idle connection of a caller", Set: settings.Duration(&s.Limits.IdleTimeout, time.Millisecond)},
		{Section: "times", Key: "balancerLag", Default: "5s", Unit: "duration", Help: "how long the balancer may send on after it was told of a stop", Set: settings.Duration(&s.BalancerLag, 0)},
		{Section: "times", Key: "stopTimeout", Default: "5m", Unit: "duration", Help: "when a planned stop gives up on requests in progress", Set: settings.Duration(&s.StopTimeout, time.Millisecond)},
		{Section: "log", Key: "appendPause", Default: "10ms", Unit: "duration", Help: "the least time between two appends of this node; nodes / pause is what the log must take", Set: settings.Duration(&s.AppendPause, 0)},
		{Section: "log", Key: "snapshotEvery", Default: "2000", Unit: "entries", Help: "the entries of the log between two snapshots; must be well under its retention", Set: settings.Whole(&s.SnapshotEvery, 1)},
	}
}

// operators parses the operators' tokens.
func (s *Settings) operators(v string) error {
	s.Operators = nil
	if v == "" {
		return nil
	}
	for _, part := range strings.Split(v, ",") {
		f := strings.Split(strings.TrimSpace(part), ":")
		if len(f) != 3 {
			return fmt.Errorf("an entry is not name:role:sha256")
		}
		role, err := operator.ParseRole(f[1])
		if err != nil {
			return err
		}
		if raw, err := hex.DecodeString(f[2]); err != nil || len(raw) != 32 {
			return fmt.Errorf("the token of %s is not a SHA-256 digest in hex", f[0])
		}
		s.Operators = append(s.Operators, operator.Operator{Name: f[0], Role: role, TokenSHA256: f[2]})
	}
	return nil
}
