package policylab

// Result is what a policy cost over a workload. Times are in seconds.
type Result struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	// ColdStarts counts the requests that found no replica ready.
	ColdStarts int `json:"coldStarts"`
	// Wait is the time every request waited for a replica, 0 for most: the tail
	// that a caller meets. Cold is the same over cold starts alone.
	WaitP50  float64 `json:"waitP50"`
	WaitP95  float64 `json:"waitP95"`
	WaitP99  float64 `json:"waitP99"`
	WaitP999 float64 `json:"waitP999"`
	ColdP50  float64 `json:"coldP50"`
	ColdP95  float64 `json:"coldP95"`
	ColdP99  float64 `json:"coldP99"`
	ColdP999 float64 `json:"coldP999"`
	// ColdSeconds is the sum of the waits of cold starts.
	ColdSeconds float64 `json:"coldSeconds"`
	// IdleHours are hours in which an accelerator held weights and ran nothing;
	// the other form weighs each by the share of memory held.
	IdleHours         float64 `json:"idleHours"`
	IdleHoursByMemory float64 `json:"idleHoursByMemory"`
	Loads             int     `json:"loads"`
	LoadsPerHour      float64 `json:"loadsPerHour"`
	BytesMoved        float64 `json:"bytesMoved"`
}

// Cost is the weighted sum of the two measures.
func (r Result) Cost(coldSecond, idleHour float64) float64 {
	return r.ColdSeconds*coldSecond + r.IdleHours*idleHour
}
