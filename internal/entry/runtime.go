package entry

import "runtime"

// Runtime is the resource usage of the process, served at /debug/runtime.
type Runtime struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heapBytes"`
	SysBytes   uint64 `json:"sysBytes"`
}

func readRuntime() Runtime {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Runtime{Goroutines: runtime.NumGoroutine(), HeapBytes: m.HeapAlloc, SysBytes: m.Sys}
}
