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

// Settings are the values of a node's settings file; Table describes each of them.
type Settings struct {
	Name, Hall string
	// Addresses that the node listens on.
	CallerAddress, OperatorAddress, PeerAddress, MetricsAddress string
	// Addresses of the platform's log service and instance list.
	LogAddress, InstanceListAddress string
	// PEM files of the fleet's certificate authority and of the node's certificate and key.
	AuthorityFile, CertificateFile, KeyFile string
	// PEM files of the certificate and key for callers and operators; if empty, these are served without TLS.
	PublicCertificateFile, PublicKeyFile string
	Operators                            []operator.Operator
	Limits                               caller.Limits
	QueueItems                           int
	QueueBytes                           int64
	AppendPause                          time.Duration
	// ExtraAttempts limits the extra attempts beside late ones, as a share of the first attempts; 0 turns them off.
	ExtraAttempts float64
	SnapshotEvery uint64
	// BalancerLag is how long the load balancer may still send requests after a stop was announced.
	BalancerLag time.Duration
	// StopTimeout is the time after which a planned stop aborts the requests in progress.
	StopTimeout time.Duration
	LogLevel    string
}

// Table returns all settings of a node. Reading the table stores the values in s.
func (s *Settings) Table() settings.Table {
	return settings.Table{
		{Section: "node", Key: "name", Required: true, Help: "the node's name, as in its certificate and in the instance list", Set: settings.Text(&s.Name)},
		{Section: "node", Key: "dataHall", Required: true, Help: "the data hall in which the instance runs", Set: settings.Text(&s.Hall)},
		{Section: "node", Key: "callerAddress", Required: true, Help: "the IP address and port that serve callers", Set: settings.Address(&s.CallerAddress)},
		{Section: "node", Key: "operatorAddress", Required: true, Help: "the IP address and port that serve operators", Set: settings.Address(&s.OperatorAddress)},
		{Section: "node", Key: "peerAddress", Required: true, Help: "the IP address and UDP port that serve other nodes", Set: settings.Address(&s.PeerAddress)},
		{Section: "node", Key: "metricsAddress", Help: "the IP address and port that serve /debug/vars and /debug/runtime; empty for none", Set: settings.Address(&s.MetricsAddress)},
		{Section: "node", Key: "logLevel", Default: "info", Help: "the lowest level that is logged: trace, debug, info, warn or error", Set: settings.Choice(&s.LogLevel, "trace", "debug", "info", "warn", "error")},
		{Section: "platform", Key: "logAddress", Required: true, Help: "the IP address and port of the log service", Set: settings.Address(&s.LogAddress)},
		{Section: "platform", Key: "instanceListAddress", Required: true, Help: "the IP address and port of the instance list", Set: settings.Address(&s.InstanceListAddress)},
		{Section: "fleet", Key: "authorityFile", Required: true, Help: "the file with the certificate of the fleet's authority, PEM", Set: settings.Text(&s.AuthorityFile)},
		{Section: "fleet", Key: "certificateFile", Required: true, Help: "the file with the node's certificate, PEM", Set: settings.Text(&s.CertificateFile)},
		{Section: "fleet", Key: "keyFile", Required: true, Help: "the file with the node's key, PEM", Set: settings.Text(&s.KeyFile)},
		{Section: "public", Key: "certificateFile", Help: "the file with the certificate for callers and operators, PEM; empty to serve them without TLS", Set: settings.Text(&s.PublicCertificateFile)},
		{Section: "public", Key: "keyFile", Help: "the file with the key of that certificate, PEM", Set: settings.Text(&s.PublicKeyFile)},
		{Section: "operators", Key: "tokens", Secret: true, Help: "the operators, separated by commas, each as name:role:digest with the SHA-256 digest of the token in hex; roles are viewer and admin", Set: s.operators},
		{Section: "limits", Key: "bodyBytes", Default: "4194304", Unit: "bytes", Help: "the maximum size of a request body", Set: settings.Whole(&s.Limits.BodyBytes, 1)},
		{Section: "limits", Key: "answerBytes", Default: "33554432", Unit: "bytes", Help: "the maximum size of an answer that is not streamed", Set: settings.Whole(&s.Limits.AnswerBytes, 1)},
		{Section: "limits", Key: "headerBytes", Default: "32768", Unit: "bytes", Help: "the maximum size of a request head", Set: settings.Whole(&s.Limits.HeaderBytes, 1024)},
		{Section: "limits", Key: "connections", Default: "12000", Unit: "connections", Help: "the maximum number of open connections of callers", Set: settings.Whole(&s.Limits.Connections, 1)},
		{Section: "limits", Key: "queueItems", Default: "10000", Unit: "requests", Help: "the maximum number of requests that wait for one unit or service", Set: settings.Whole(&s.QueueItems, 1)},
		{Section: "limits", Key: "queueBytes", Default: "67108864", Unit: "bytes", Help: "the maximum memory of requests that wait for one unit or service", Set: settings.Whole(&s.QueueBytes, 1)},
		{Section: "limits", Key: "extraAttempts", Default: "0", Unit: "extra attempts for each first one", Help: "the limit on second attempts beside late ones, from 0 (off) to 1", Set: settings.Share(&s.ExtraAttempts)},
		{Section: "times", Key: "defaultTimeout", Default: "60s", Unit: "duration", Help: "the timeout of a request that states none", Set: settings.Duration(&s.Limits.DefaultTimeout, time.Millisecond)},
		{Section: "times", Key: "maxTimeout", Default: "1h", Unit: "duration", Help: "the longest timeout that a request may state", Set: settings.Duration(&s.Limits.MaxTimeout, time.Millisecond)},
		{Section: "times", Key: "readTimeout", Default: "20s", Unit: "duration", Help: "the time within which a caller must send a request head, and again the body", Set: settings.Duration(&s.Limits.ReadTimeout, time.Millisecond)},
		{Section: "times", Key: "idleTimeout", Default: "2m", Unit: "duration", Help: "the time after which an idle connection of a caller is closed", Set: settings.Duration(&s.Limits.IdleTimeout, time.Millisecond)},
		{Section: "times", Key: "balancerLag", Default: "5s", Unit: "duration", Help: "how long the load balancer may still send requests after a stop was announced", Set: settings.Duration(&s.BalancerLag, 0)},
		{Section: "times", Key: "stopTimeout", Default: "5m", Unit: "duration", Help: "the time after which a planned stop aborts the requests in progress", Set: settings.Duration(&s.StopTimeout, time.Millisecond)},
		{Section: "log", Key: "appendPause", Default: "10ms", Unit: "duration", Help: "the pause between two appends of this node; the log must accept (number of nodes / pause) appends", Set: settings.Duration(&s.AppendPause, 0)},
		{Section: "log", Key: "snapshotEvery", Default: "2000", Unit: "entries", Help: "the number of log entries between two snapshots; must be well below the number that the log retains", Set: settings.Whole(&s.SnapshotEvery, 1)},
	}
}

// operators parses the setting operators.tokens.
func (s *Settings) operators(v string) error {
	s.Operators = nil
	if v == "" {
		return nil
	}
	for _, part := range strings.Split(v, ",") {
		f := strings.Split(strings.TrimSpace(part), ":")
		if len(f) != 3 {
			return fmt.Errorf("an entry does not have the form name:role:digest")
		}
		role, err := operator.ParseRole(f[1])
		if err != nil {
			return err
		}
		if raw, err := hex.DecodeString(f[2]); err != nil || len(raw) != 32 {
			return fmt.Errorf("the digest of operator %s is not a SHA-256 digest in hex", f[0])
		}
		s.Operators = append(s.Operators, operator.Operator{Name: f[0], Role: role, TokenSHA256: f[2]})
	}
	return nil
}
