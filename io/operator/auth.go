package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"olivetiller/proto/olivetiller/v1/olivetillerv1connect"
)

// Role is what an operator may do.
type Role int

// Roles.
const (
	// Viewer may read.
	Viewer Role = iota + 1
	// Admin may also publish, drain and stop.
	Admin
)

// ParseRole returns the role with a name.
func ParseRole(name string) (Role, error) {
	switch name {
	case "viewer":
		return Viewer, nil
	case "admin":
		return Admin, nil
	}
	return 0, fmt.Errorf("there is no role %q; use viewer or admin", name)
}

// Operator may call a node.
type Operator struct {
	Name string
	Role Role
	// TokenSHA256 is the hex SHA-256 of the operator's bearer token.
	TokenSHA256 string
}

// Errors of authorization.
var (
	ErrNoToken = eris.New("no operator has this token; pass a valid one with --token or OLIVETILLER_TOKEN")
	ErrRole    = eris.New("the operator's role does not allow this; ask an admin")
)

// reads are the procedures that a viewer may call.
var reads = map[string]bool{
	olivetillerv1connect.OperatorServiceGetConfigProcedure:   true,
	olivetillerv1connect.OperatorServiceWatchConfigProcedure: true,
	olivetillerv1connect.OperatorServiceStatusProcedure:      true,
}

// authorize is an interceptor that checks token and role of every call.
type authorize struct {
	operators []Operator
}

var _ connect.Interceptor = (*authorize)(nil)

// WrapUnary implements connect.Interceptor.
func (a *authorize) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if err := a.check(req.Header(), req.Spec().Procedure); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *authorize) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *authorize) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.check(conn.RequestHeader(), conn.Spec().Procedure); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (a *authorize) check(h http.Header, procedure string) error {
	token := strings.TrimPrefix(h.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, o := range a.operators {
		if subtle.ConstantTimeCompare([]byte(o.TokenSHA256), []byte(digest)) != 1 {
			continue
		}
		if o.Role < Admin && !reads[procedure] {
			return connect.NewError(connect.CodePermissionDenied, ErrRole)
		}
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, ErrNoToken)
}
