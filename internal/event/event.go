// Package event is the catalogue of numbered events.
//
// Every log line and every entry of the time line names one of these. Numbers
// are never used again; docs/EVENTS.md lists them for operators.
//
//	recorder.Record(event.VersionInForce, timeline.Entry{Version: 7})
package event

import "log/slog"

// Event is one kind of thing that a node tells about.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	Text   string
}

// Node life.
var (
	NodeStarted   = add(100, "NodeStarted", slog.LevelInfo, "The process listens on its addresses.")
	NodeReady     = add(101, "NodeReady", slog.LevelInfo, "The node holds a version and takes calls.")
	NodeDraining  = add(102, "NodeDraining", slog.LevelInfo, "A planned stop began; nothing new is let in.")
	NodeStopped   = add(103, "NodeStopped", slog.LevelInfo, "The process ends; nothing is in flight.")
	NodeFailed    = add(104, "NodeFailed", slog.LevelError, "The process could not start or go on.")
	NodePaused    = add(105, "NodePaused", slog.LevelWarn, "The process stood still, as on a frozen host; those it suspects get their time anew.")
	NodeCutsOff   = add(110, "NodeCutsOff", slog.LevelWarn, "A planned stop ran out of time; the detail says what it leaves unfinished.")
	NodeDrainStep = add(111, "NodeDrainStep", slog.LevelInfo,
		"A planned stop takes its next step; the detail says which, and what it still waits for.")
	SettingsRead    = add(107, "SettingsRead", slog.LevelInfo, "The settings file was read again; the detail says what changed.")
	SettingsRefused = add(108, "SettingsRefused", slog.LevelError,
		"The settings file was read again and is not accepted, or changes what only a restart can; the old settings hold.")
	LinesLeftOut = add(109, "LinesLeftOut", slog.LevelInfo,
		"Log lines were left out, since nobody read them (Unread) or there were too many of their level (Sampled); counted from the start.")
	FaultsInjected = add(106, "FaultsInjected", slog.LevelWarn, "An experiment cut or mended links of this node.")
)

// Settings.
var (
	VersionAccepted = add(200, "VersionAccepted", slog.LevelInfo, "An operator's version was accepted on the platform.")
	VersionInForce  = add(201, "VersionInForce", slog.LevelInfo, "The node answers with this version from now on.")
	VersionRefused  = add(202, "VersionRefused", slog.LevelError,
		"The node was offered a version that does not check; it holds the old one whole.")
	VersionOlder = add(203, "VersionOlder", slog.LevelWarn, "The node was offered a version lower than its own and did not take it.")
	VersionLost  = add(204, "VersionLost", slog.LevelError,
		"Two versions were accepted on different copies of the platform and changed the same branches; "+
			"this one could not be kept, accept it again.")
	PlatformLost     = add(210, "PlatformLost", slog.LevelWarn, "The platform can't be reached; the node goes on with what it holds.")
	PlatformBack     = add(211, "PlatformBack", slog.LevelInfo, "The platform answers again.")
	PlatformRepaired = add(212, "PlatformRepaired", slog.LevelWarn,
		"The platform came back from an older copy and was given back the version that this node holds.")
	EntryDoubted = add(213, "EntryDoubted", slog.LevelWarn,
		"An entry of the store can't be read or names nobody, or an answer has no epoch that can be read; it is left out, and told once.")
	StoreRestored = add(214, "StoreRestored", slog.LevelWarn,
		"The store came back from an older copy; what was written there since is gone. "+
			"The detail has the epochs now and before, and the highest revisions that this node knows of them.")
	PlatformRewritten = add(215, "PlatformRewritten", slog.LevelInfo,
		"The platform's store came back from an older copy, and this node wrote there again what others must find; the detail says what.")
)

// Fleet.
var (
	MemberJoined   = add(300, "MemberJoined", slog.LevelInfo, "A node became known.")
	MemberSuspect  = add(301, "MemberSuspect", slog.LevelWarn, "A node did not answer and is suspected.")
	MemberDead     = add(302, "MemberDead", slog.LevelWarn, "A suspected node did not refute in time and is taken for dead.")
	MemberLeft     = add(303, "MemberLeft", slog.LevelInfo, "A node left by itself.")
	MemberRefuted  = add(304, "MemberRefuted", slog.LevelInfo, "The node was suspected by others and refuted it with a higher incarnation.")
	MemberCleared  = add(305, "MemberCleared", slog.LevelInfo, "A suspected node was heard of again and is no longer suspected.")
	MemberReplaced = add(306, "MemberReplaced", slog.LevelWarn, "A later process has this node's ID at another address; this one gives way.")
	UpstreamJoined = add(310, "UpstreamJoined", slog.LevelInfo, "The backend server on this host announced itself.")
	UpstreamState  = add(311, "UpstreamState", slog.LevelInfo, "The backend server on this host changed its state.")
	UpstreamBroke  = add(318, "UpstreamBroke", slog.LevelWarn,
		"A call ended without an answer of the backend server: it was given up, or its connection broke; "+
			"the detail says which, and whether the address takes connections.")
	UpstreamLost = add(312, "UpstreamLost", slog.LevelWarn, "The backend server on this host did not renew its announcement.")
)

// The backend server beside a sidecar.
var (
	InstanceState   = add(313, "InstanceState", slog.LevelInfo, "The backend server on this host takes calls, or no longer does.")
	InstanceDoubted = add(314, "InstanceDoubted", slog.LevelWarn,
		"A word of a backend server was not believed: it can't be read, another instance answers at its address, "+
			"another start runs, or it is leaving.")
	LeavingKept    = add(315, "LeavingKept", slog.LevelInfo, "The leaving of a backend server is kept for later processes and can be confirmed.")
	LeavingNotKept = add(316, "LeavingNotKept", slog.LevelWarn,
		"The leaving of a backend server can't be kept yet; it is not confirmed, and tried again.")
	GateAvoided = add(317, "GateAvoided", slog.LevelWarn, "A node or its backend server fails; calls go elsewhere for a while.")
)

// Calls.
var (
	CallAnswered   = add(400, "CallAnswered", slog.LevelDebug, "A call got its answer.")
	CallTurnedAway = add(401, "CallTurnedAway", slog.LevelDebug, "A call was given up; the caller has its final answer.")
	CallRetried    = add(402, "CallRetried", slog.LevelDebug, "An attempt failed and another one is made.")
	CallAbandoned  = add(404, "CallAbandoned", slog.LevelWarn, "The caller went away before the call ended.")
	CallRun        = add(405, "CallRun", slog.LevelDebug,
		"The node beside a backend server let a call in, or turned it away; the detail says with what result.")
	CallNotRun = add(406, "CallNotRun", slog.LevelWarn,
		"The node beside a backend server did not run a call, or nobody knows whether it ran; the detail has what decided it.")
	CallFailed = add(407, "CallFailed", slog.LevelWarn,
		"A caller got no success: an answer of this node's own, with the reason, or the failure that the backend server gave.")
	CallRunFailed  = add(408, "CallRunFailed", slog.LevelWarn, "The backend server ran a call and answered that it failed.")
	CallSentNearby = add(409, "CallSentNearby", slog.LevelDebug,
		"A call would wait at the node beside a backend server, and looks for a free slot nearby.")
	AnswerHeld = add(410, "AnswerHeld", slog.LevelDebug,
		"An answer was ready and waited behind those to earlier calls of its connection.")
	AnswerUndelivered = add(411, "AnswerUndelivered", slog.LevelWarn,
		"An answer could not be sent to a caller that waited for it; the detail says why, and how old the connection is.")
	CallUnknown = add(403, "CallUnknown", slog.LevelWarn, "A call reached a backend server and no answer came; it is not sent again.")
)

// At most once.
var (
	KeySettled      = add(500, "KeySettled", slog.LevelDebug, "The home of a key ended its record without an answer.")
	KeyHomeLost     = add(501, "KeyHomeLost", slog.LevelWarn, "The home of a key can't be reached; the call was not forwarded.")
	KeyAttemptLost  = add(502, "KeyAttemptLost", slog.LevelWarn, "An attempt got no answer and its gate would not close it; it is not sent again.")
	ShardOwned      = add(510, "ShardOwned", slog.LevelInfo, "The node became the home of a shard of the opaque keys.")
	EntryStoodStill = add(511, "EntryStoodStill", slog.LevelWarn, "The process stood still; opaque keys that it read just after are not forwarded.")
)

// Poison requests.
var (
	PoisonSuspected = add(520, "PoisonSuspected", slog.LevelWarn, "A request was running when the backend server crashed.")
	PoisonRefused   = add(521, "PoisonRefused", slog.LevelWarn, "A request that was running in crashes of backend servers was refused.")
	PoisonUntold    = add(522, "PoisonUntold", slog.LevelWarn, "Another gate could not be told of a crash; it is told again until it knows.")
	PoisonTold      = add(523, "PoisonTold", slog.LevelInfo, "A gate that could not be told of a crash knows of it now.")
	PoisonAsked     = add(524, "PoisonAsked", slog.LevelInfo,
		"The gate may have missed a warning and asked the others; the detail says who answered.")
	PoisonJudged = add(525, "PoisonJudged", slog.LevelWarn,
		"A request that was running in one crash was permitted to run once more, or not now; the detail says why.")
)

// Faults of the program itself.
var (
	InvariantBroken = add(900, "InvariantBroken", slog.LevelError, "A promise that always holds was found broken; report it.")
)

var catalogue []Event

func add(number int, name string, level slog.Level, text string) Event {
	e := Event{Number: number, Name: name, Level: level, Text: text}
	catalogue = append(catalogue, e)

	return e
}

// All returns the catalogue in the order of numbers.
func All() []Event { return append([]Event(nil), catalogue...) }
