package policylab

// Result is what a policy cost on a workload. Waits are in seconds.
type Result struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	// ColdStarts counts the requests that found no replica ready on arrival.
	ColdStarts int `json:"coldStarts"`
	// Wait quantiles are over the time that every request waited for a replica, which is 0 for
	// most. Cold quantiles are over the cold starts alone.
	WaitP50  float64 `json:"waitP50"`
	WaitP95  float64 `json:"waitP95"`
	WaitP99  float64 `json:"waitP99"`
	WaitP999 float64 `json:"waitP999"`
	ColdP50  float64 `json:"coldP50"`
	ColdP95  float64 `json:"coldP95"`
	ColdP99  float64 `json:"coldP99"`
	ColdP999 float64 `json:"coldP999"`
	// ColdSeconds is the sum of the waits of all cold starts.
	ColdSeconds float64 `json:"coldSeconds"`
	// IdleHours counts the hours in which an engine held weights and ran no request, summed over
	// the engines; IdleHoursByMemory weighs each hour by the share of the engine's memory that was
	// held.
	IdleHours         float64 `json:"idleHours"`
	IdleHoursByMemory float64 `json:"idleHoursByMemory"`
	// Loads counts the loads, and BytesMoved the bytes that they read.
	Loads        int     `json:"loads"`
	LoadsPerHour float64 `json:"loadsPerHour"`
	BytesMoved   float64 `json:"bytesMoved"`
}

// Cost returns the weighted sum of the cold-start seconds and the idle hours.
func (r Result) Cost(coldSecond, idleHour float64) float64 {
	return r.ColdSeconds*coldSecond + r.IdleHours*idleHour
}
