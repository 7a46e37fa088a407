// Package code numbers every result that a caller, an operator or a reader of the
// log can see. The numbers are stable: none is ever reused with another meaning.
package code

import "net/http"

// Code is a numbered result. The hundreds digit names the area: 1 callers,
// 2 table, 3 pools and waves, 4 jobs, 5 platform, 6 settings and command line.
type Code int

// Result codes. docs/codes.md lists them for operators.
const (
	OK Code = 0

	UnknownService    Code = 101
	QueueFull         Code = 102
	DeadlineTooNear   Code = 103
	DeadlinePassed    Code = 104
	NoBackend         Code = 105
	BadRequest        Code = 106
	BodyTooLarge      Code = 107
	BodyCut           Code = 108
	ConnectFailed     Code = 109
	BackendRefused    Code = 110
	OutcomeUnknown    Code = 111
	ReplyCut          Code = 112
	KeyRunning        Code = 113
	KeyConflict       Code = 114
	KeyUnavailable    Code = 116
	MemoryLimit       Code = 117
	NotReady          Code = 118
	KeyOutcomeUnknown Code = 119
	StaleRoute        Code = 120
	UnknownKey        Code = 121
	KeyUnproven       Code = 122
	BodyLate          Code = 123

	BadTable      Code = 201
	BadRow        Code = 202
	StaleRevision Code = 203
	UnknownPool   Code = 204
	PoolInUse     Code = 205
	NotYetKnown   Code = 206
	Unauthorized  Code = 207
	LimitConflict Code = 208

	UnknownVM      Code = 301
	StaleEpoch     Code = 302
	WrongPhase     Code = 303
	BudgetReached  Code = 304
	LendLimit      Code = 305
	TakeLimit      Code = 306
	VMNotUp        Code = 307
	UnknownWave    Code = 308
	WaveOverlap    Code = 309
	WaveNotRunning Code = 310

	UnknownJob  Code = 401
	NeverFits   Code = 402
	NoRoom      Code = 403
	JobEnded    Code = 404
	StaleFence  Code = 405
	Quarantined Code = 406
	BadShape    Code = 408

	LogUnavailable    Code = 501
	LogTruncated      Code = 502
	PlatformError     Code = 503
	Duplicate         Code = 504
	UnknownEntry      Code = 505
	StaleEntry        Code = 506
	BadRecord         Code = 507
	NoOperatorAddress Code = 508
	TooManyEntries    Code = 509

	BadSettings Code = 601
	BadUsage    Code = 602
)

// definition is the fixed data of one code; fix tells the reader what to do.
type definition struct {
	name   string
	status int
	fix    string
}

var definitions = map[Code]definition{
	OK:                {"ok", http.StatusOK, "nothing to do"},
	UnknownService:    {"unknownService", http.StatusNotFound, "use the name of a service that a pool in the table serves"},
	QueueFull:         {"queueFull", http.StatusServiceUnavailable, "repeat after the time in Retry-After"},
	DeadlineTooNear:   {"deadlineTooNear", http.StatusServiceUnavailable, "allow more time or repeat after the surge"},
	DeadlinePassed:    {"deadlinePassed", http.StatusServiceUnavailable, "allow more time or repeat after the surge"},
	NoBackend:         {"noBackend", http.StatusServiceUnavailable, "wait until a backend server of the pool is up in this availability zone"},
	BadRequest:        {"badRequest", http.StatusBadRequest, "correct the request as the detail says"},
	BodyTooLarge:      {"bodyTooLarge", http.StatusRequestEntityTooLarge, "send a smaller body"},
	BodyCut:           {"bodyCut", http.StatusBadRequest, "send the whole body that the header announces"},
	ConnectFailed:     {"connectFailed", http.StatusServiceUnavailable, "repeat; no backend server accepted a connection"},
	BackendRefused:    {"backendRefused", http.StatusServiceUnavailable, "repeat; the backend server said that it did not run the request"},
	OutcomeUnknown:    {"outcomeUnknown", http.StatusBadGateway, "find out whether the request ran before sending it again"},
	ReplyCut:          {"replyCut", http.StatusBadGateway, "find out whether the request ran before sending it again"},
	KeyRunning:        {"keyRunning", http.StatusConflict, "repeat with the same key; the first request with it is still running"},
	KeyConflict:       {"keyConflict", http.StatusUnprocessableEntity, "use a new key; this one was used for another request"},
	KeyUnavailable:    {"keyUnavailable", http.StatusServiceUnavailable, "repeat with the same key; the entries that remember it cannot be reached"},
	MemoryLimit:       {"memoryLimit", http.StatusServiceUnavailable, "repeat after the time in Retry-After"},
	NotReady:          {"notReady", http.StatusServiceUnavailable, "repeat at another entry; this one has not read the log yet"},
	KeyOutcomeUnknown: {"keyOutcomeUnknown", http.StatusConflict, "find out whether the first request with this key ran"},
	StaleRoute:        {"staleRoute", http.StatusServiceUnavailable, "repeat; the queue has just got another pool"},
	UnknownKey:        {"unknownKey", http.StatusUnauthorized, "send an API key of the configuration in X-Key"},
	KeyUnproven:       {"keyUnproven", http.StatusServiceUnavailable, "repeat; this entry can't tell now whether the API key is still valid"},
	BodyLate:          {"bodyLate", http.StatusRequestTimeout, "send the whole body within the time limit of the request"},
	BadTable:          {"badTable", http.StatusBadRequest, "correct the table as the detail says"},
	BadRow:            {"badRow", http.StatusBadRequest, "correct the row as the detail says"},
	StaleRevision:     {"staleRevision", http.StatusConflict, "read the row again and repeat the edit on its present revision"},
	UnknownPool:       {"unknownPool", http.StatusNotFound, "use the name of a pool in the table"},
	PoolInUse:         {"poolInUse", http.StatusConflict, "move the pool's VMs away before deleting its row"},
	NotYetKnown:       {"notYetKnown", http.StatusAccepted, "ask again with the same change id"},
	Unauthorized:      {"unauthorized", http.StatusUnauthorized, "send the operator's token"},
	LimitConflict:     {"limitConflict", http.StatusBadRequest, "make the limits agree with each other and with the fleet"},
	UnknownVM:         {"unknownVM", http.StatusNotFound, "use the name of a VM that daisywheel vm list shows"},
	StaleEpoch:        {"staleEpoch", http.StatusConflict, "read the VM again and repeat on its present epoch"},
	WrongPhase:        {"wrongPhase", http.StatusConflict, "wait until the VM's present move or maintenance has ended"},
	BudgetReached:     {"budgetReached", http.StatusConflict, "wait until fewer VMs of the pool are down or raise downVMs"},
	LendLimit:         {"lendLimit", http.StatusConflict, "raise lendVMs of the lending pool"},
	TakeLimit:         {"takeLimit", http.StatusConflict, "raise takeVMs of the taking pool"},
	VMNotUp:           {"vmNotUp", http.StatusConflict, "wait until the VM is up"},
	UnknownWave:       {"unknownWave", http.StatusNotFound, "use the name of a wave that daisywheel maintenance status shows"},
	WaveOverlap:       {"waveOverlap", http.StatusConflict, "wait for the wave that holds the VM"},
	WaveNotRunning:    {"waveNotRunning", http.StatusConflict, "resume the wave or start a new one"},
	UnknownJob:        {"unknownJob", http.StatusNotFound, "use the name of a job that daisywheel job list shows"},
	NeverFits:         {"neverFits", http.StatusUnprocessableEntity, "ask for no more than the largest VM has"},
	NoRoom:            {"noRoom", http.StatusConflict, "wait for running tasks to end or raise the priority"},
	JobEnded:          {"jobEnded", http.StatusConflict, "submit a new job"},
	StaleFence:        {"staleFence", http.StatusConflict, "nothing; a later attempt of the job replaced this one"},
	Quarantined:       {"quarantined", http.StatusConflict, "repair the VM and bring it back"},
	BadShape:          {"badShape", http.StatusBadRequest, "give cores, memory and accelerators as positive numbers"},
	LogUnavailable:    {"logUnavailable", http.StatusServiceUnavailable, "repeat with the same change id when the log service is back"},
	LogTruncated:      {"logTruncated", http.StatusServiceUnavailable, "restart the entry; it will begin from the newest checkpoint"},
	PlatformError:     {"platformError", http.StatusBadGateway, "see the platform's own logs"},
	Duplicate:         {"duplicate", http.StatusOK, "nothing; the change was already applied"},
	UnknownEntry:      {"unknownEntry", http.StatusConflict, "wait until the entry has registered"},
	StaleEntry:        {"staleEntry", http.StatusConflict, "nothing; a later start of the entry replaced this one"},
	BadRecord:         {"badRecord", http.StatusInternalServerError, "upgrade the entry; it does not know this kind of record"},
	NoOperatorAddress: {"noOperatorAddress", http.StatusServiceUnavailable, "check the addresses given with -operator"},
	TooManyEntries:    {"tooManyEntries", http.StatusConflict, "stop an entry of the availability zone first; a zone has at most eight"},
	BadSettings:       {"badSettings", http.StatusBadRequest, "correct the settings file as the detail says"},
	BadUsage:          {"badUsage", http.StatusBadRequest, "see daisywheel help"},
}

// Name returns the camelCase name of the code, or "unknownCode".
func (cd Code) Name() string {
	def, ok := definitions[cd]
	if !ok {
		return "unknownCode"
	}
	return def.name
}

// HTTPStatus returns the HTTP status of a reply with the code, 500 for an unknown
// code.
func (cd Code) HTTPStatus() int {
	def, ok := definitions[cd]
	if !ok {
		return http.StatusInternalServerError
	}
	return def.status
}

// Fix returns one line that tells the reader what to do, or "" for an unknown code.
func (cd Code) Fix() string {
	return definitions[cd].fix
}

// All returns every code in ascending order.
func All() []Code {
	all := make([]Code, 0, len(definitions))
	for cd := Code(0); cd < 1000; cd++ {
		if _, ok := definitions[cd]; ok {
			all = append(all, cd)
		}
	}
	return all
}
