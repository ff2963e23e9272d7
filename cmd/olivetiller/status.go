package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"

	pb "olivetiller/proto/olivetiller/v1"
)

// statusCmd prints a node's status.
type statusCmd struct {
	nodeFlags
	JSON bool `name:"json" help:"Print the StatusResponse message as JSON."`
	All  bool `help:"Also show units that have neither replicas nor requests."`
}

// Run prints the status, as tables unless JSON is requested.
func (c *statusCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	resp, err := client.Status(ctx, authorized(&c.nodeFlags, &pb.StatusRequest{}))
	if err != nil {
		return err
	}
	if c.JSON {
		text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(resp.Msg)
		if err != nil {
			return err
		}
		fmt.Println(string(text))
		return nil
	}
	printStatus(os.Stdout, resp.Msg, c.All)
	return nil
}

const gib = 1 << 30

func printStatus(out io.Writer, st *pb.StatusResponse, all bool) {
	fmt.Fprintf(out, "node %s  ready %t  stopping %t  diverged %t  revision %d  log offset %d, heard of %d ms ago  claims %d\n",
		st.GetNode(), st.GetReady(), st.GetStopping(), st.GetDiverged(), st.GetConfigRevision(), st.GetNextOffset(), st.GetLogAgeMs(), st.GetClaims())
	fmt.Fprintf(out, "live nodes: %s\n\n", strings.Join(st.GetLiveNodes(), " "))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tDATA HALL\tADDRESS\tMEMORY GIB\tUSED GIB\tSTATE")
	for _, e := range st.GetEndpoints() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%s\n", e.GetName(), e.GetHall(), e.GetAddress(),
			float64(e.GetMemoryBytes())/gib, float64(e.GetUsedBytes())/gib, endpointState(e))
	}
	fmt.Fprintln(w, "\nUNIT\tHOME\tWAITING\tRUNNING\tREPLICAS\tWHY")
	for _, u := range st.GetUnits() {
		if !all && len(u.GetReplicas()) == 0 && u.GetWaiting()+u.GetRunning() == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", u.GetUnit(), u.GetHome(), u.GetWaiting(), u.GetRunning(), replicas(u), u.GetReason())
	}
	_ = w.Flush()
}

func endpointState(e *pb.EndpointStatus) string {
	switch {
	case e.GetLeaving():
		return "leaving"
	case e.GetDraining():
		return "draining"
	}
	return "live"
}

func replicas(u *pb.UnitStatus) string {
	var out []string
	for _, r := range u.GetReplicas() {
		out = append(out, fmt.Sprintf("%s@%s:%s", r.GetEngine(), r.GetVersion(), r.GetPhase()))
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, " ")
}
