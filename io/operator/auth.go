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

// Role is the set of procedures that an operator may call.
type Role int

// The roles.
const (
	// Viewer may call the procedures that only read.
	Viewer Role = iota + 1
	// Admin may also publish configurations, drain endpoints and stop the node.
	Admin
)

// ParseRole returns the role named viewer or admin.
func ParseRole(name string) (Role, error) {
	switch name {
	case "viewer":
		return Viewer, nil
	case "admin":
		return Admin, nil
	}
	return 0, fmt.Errorf("role %q does not exist; use viewer or admin", name)
}

// Operator is a person or program that may call a node's operator API.
type Operator struct {
	Name string
	Role Role
	// TokenSHA256 is the hex SHA-256 of the operator's bearer token.
	TokenSHA256 string
}

// Errors of authentication and authorization.
var (
	ErrNoToken = eris.New("no operator has this token; pass a valid one with --token or OLIVETILLER_TOKEN")
	ErrRole    = eris.New("the operator's role does not allow this; ask an admin")
)

// readProcedures are the procedures that only read, which a viewer may call.
var readProcedures = map[string]bool{
	olivetillerv1connect.OperatorServiceGetConfigProcedure:   true,
	olivetillerv1connect.OperatorServiceWatchConfigProcedure: true,
	olivetillerv1connect.OperatorServiceStatusProcedure:      true,
}

// authInterceptor is a server interceptor that checks the bearer token and the operator's role for every call.
type authInterceptor struct {
	operators []Operator
}

var _ connect.Interceptor = (*authInterceptor)(nil)

// WrapUnary checks the call before it calls next.
func (a *authInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if err := a.check(req.Header(), req.Spec().Procedure); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient returns next unchanged, because the interceptor runs in servers only.
func (a *authInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler checks the call before it calls next.
func (a *authInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.check(conn.RequestHeader(), conn.Spec().Procedure); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (a *authInterceptor) check(h http.Header, procedure string) error {
	token := strings.TrimPrefix(h.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, o := range a.operators {
		if subtle.ConstantTimeCompare([]byte(o.TokenSHA256), []byte(digest)) != 1 {
			continue
		}
		if o.Role < Admin && !readProcedures[procedure] {
			return connect.NewError(connect.CodePermissionDenied, ErrRole)
		}
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, ErrNoToken)
}
