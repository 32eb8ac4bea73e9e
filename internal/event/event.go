// Package event defines the catalogue of numbered events.
//
// Every log line and every timeline entry names one of these events. A number is
// never reused; docs/EVENTS.md lists all events for operators.
//
//	recorder.Record(event.VersionInForce, timeline.Entry{Version: 7})
package event

import "log/slog"

// Event is a kind of event that a node logs and records in its timeline.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	Text   string
}

// Node lifecycle.
var (
	NodeStarted  = add(100, "NodeStarted", slog.LevelInfo, "The process listens on its addresses.")
	NodeReady    = add(101, "NodeReady", slog.LevelInfo, "The node has a stored version and accepts calls.")
	NodeDraining = add(102, "NodeDraining", slog.LevelInfo, "A graceful shutdown began; the node admits no new calls.")
	NodeStopped  = add(103, "NodeStopped", slog.LevelInfo, "The process exits; no calls are in flight.")
	NodeFailed   = add(104, "NodeFailed", slog.LevelError, "The process could not start or continue.")
	NodePaused   = add(105, "NodePaused", slog.LevelWarn,
		"The process stalled, for example because its host was paused; its suspicion timeouts start again.")
	NodeCutsOff   = add(110, "NodeCutsOff", slog.LevelWarn, "A graceful shutdown reached its time limit; the detail lists the unfinished work.")
	NodeDrainStep = add(111, "NodeDrainStep", slog.LevelInfo,
		"A graceful shutdown entered its next step; the detail names the step and what it waits for.")
	SettingsRead    = add(107, "SettingsRead", slog.LevelInfo, "The settings file was reloaded; the detail lists the changes.")
	SettingsRefused = add(108, "SettingsRefused", slog.LevelError,
		"The reloaded settings file is invalid, or changes a key that requires a restart; the previous settings stay active.")
	ProcessLost = add(112, "ProcessLost", slog.LevelWarn,
		"The process before this one on the host ended without leaving: it crashed or was killed; the detail has what other nodes knew of it.")
	AcceptFailed = add(113, "AcceptFailed", slog.LevelWarn,
		"The node can't accept connections for the moment, for example for lack of file descriptors; it tries again.")
	PanicContained = add(114, "PanicContained", slog.LevelError,
		"The handling of one call or message panicked; the process goes on. The detail has the cause and the place; report it.")
	ConnectionEvicted = add(115, "ConnectionEvicted", slog.LevelWarn,
		"Clients make the process keep as much memory as it may; the connection of one that held much and moved little was closed. "+
			"Of many such connections some have no line; the next line has their number.")
	MemoryRefused = add(116, "MemoryRefused", slog.LevelWarn,
		"A call of a caller (503) or of another node was refused since there is no memory for it; it has not run. "+
			"Of many such calls some have no line; the next line has their number.")
	AnswerDropped = add(117, "AnswerDropped", slog.LevelWarn,
		"The answer of another node was dropped since there is no memory for it, or since the call that it belongs to has ended; "+
			"the detail has the method. Of many such answers some have no line; the next line has their number.")
	LinesLeftOut = add(109, "LinesLeftOut", slog.LevelInfo,
		"Log lines were dropped because the reader stalled (Unread) or their level exceeded its rate limit (Sampled); totals since process start.")
	FaultsInjected = add(106, "FaultsInjected", slog.LevelWarn, "An experiment cut or restored links of this node.")
)

// Settings and the platform that stores them.
var (
	VersionAccepted = add(200, "VersionAccepted", slog.LevelInfo, "The platform accepted a version from an operator.")
	VersionInForce  = add(201, "VersionInForce", slog.LevelInfo, "This version is now active on the node.")
	VersionRefused  = add(202, "VersionRefused", slog.LevelError,
		"The node received a version that fails validation; the current version stays active.")
	VersionOlder = add(203, "VersionOlder", slog.LevelWarn, "The node ignored a version that is lower than its current version.")
	VersionLost  = add(204, "VersionLost", slog.LevelError,
		"Different copies of the platform accepted two versions that change the same branches; "+
			"this version was discarded, accept it again.")
	VersionBehind = add(205, "VersionBehind", slog.LevelWarn,
		"A newer version is known and did not become active in time; the detail has what is known of it, and of the last source.")
	VersionCaughtUp = add(206, "VersionCaughtUp", slog.LevelInfo, "A version that the node lacked is active; the detail has for how long.")
	VersionSource   = add(207, "VersionSource", slog.LevelInfo,
		"The node gets versions from another source than before; the detail names both and the reason.")
	PlatformLost     = add(210, "PlatformLost", slog.LevelWarn, "The platform is unreachable; the node continues with its stored version.")
	PlatformBack     = add(211, "PlatformBack", slog.LevelInfo, "The platform is reachable again.")
	PlatformRepaired = add(212, "PlatformRepaired", slog.LevelWarn,
		"The platform was restored from an older copy; this node wrote its stored version back.")
	EntryDoubted = add(213, "EntryDoubted", slog.LevelWarn,
		"A store entry is invalid or names no node, or a response has no valid epoch; the node ignores it and logs this once.")
	StoreRestored = add(214, "StoreRestored", slog.LevelWarn,
		"The store was restored from an older copy and lost the writes made since that copy. "+
			"The detail has the current and previous epochs, and the highest revision that this node knows of each.")
	PlatformRewritten = add(215, "PlatformRewritten", slog.LevelInfo,
		"The platform's store was restored from an older copy; this node rewrote the records that other nodes need; the detail lists them.")
)

// Workspaces and their keys.
var (
	KeyRefused = add(230, "KeyRefused", slog.LevelWarn,
		"A caller's key is not known and its route is not public; the call was refused. "+
			"Of many such calls some have no line; the next line has their number.")
)

// Limits of workspaces.
var (
	QuotaHomeLost = add(240, "QuotaHomeLost", slog.LevelWarn,
		"A home of limits does not answer; the node uses its own share of these limits until it answers or another home is used.")
	QuotaHomeFound = add(241, "QuotaHomeFound", slog.LevelInfo, "A home of limits that was lost answers again.")
	QuotaHomes     = add(242, "QuotaHomes", slog.LevelInfo, "The node uses another set of homes of limits; the detail lists them.")
	QuotaLearned   = add(244, "QuotaLearned", slog.LevelInfo,
		"The process has learned how many nodes share the limits, and grants calls from now on; the detail has the number.")
	QuotaExceeded = add(243, "QuotaExceeded", slog.LevelWarn,
		"Calls of a workspace were refused by its limit in the last second; the detail has how many of how many, and the reason of the last.")
)

// Fleet membership.
var (
	MemberJoined  = add(300, "MemberJoined", slog.LevelInfo, "The node learned of a new member.")
	MemberSuspect = add(301, "MemberSuspect", slog.LevelWarn, "A node did not respond and is suspected of failure.")
	MemberDead    = add(302, "MemberDead", slog.LevelWarn, "A suspected node did not refute the suspicion in time and is considered failed.")
	MemberLeft    = add(303, "MemberLeft", slog.LevelInfo, "A node left voluntarily.")
	MemberRefuted = add(304, "MemberRefuted", slog.LevelInfo,
		"Other nodes suspected this node; it refuted the suspicion with a higher incarnation.")
	MemberCleared  = add(305, "MemberCleared", slog.LevelInfo, "A suspected node responded and is no longer suspected.")
	MemberReplaced = add(306, "MemberReplaced", slog.LevelWarn,
		"A newer process uses this node's ID at another address; this process yields the ID.")
	MemberRestarted = add(307, "MemberRestarted", slog.LevelWarn,
		"A node runs in a new process, and the process before it ended without leaving.")
	UpstreamJoined = add(310, "UpstreamJoined", slog.LevelInfo, "The local backend server announced itself.")
	UpstreamState  = add(311, "UpstreamState", slog.LevelInfo, "The local backend server changed its state.")
	UpstreamBroke  = add(318, "UpstreamBroke", slog.LevelWarn,
		"A call ended without an answer from the backend server because it was canceled or its connection broke; "+
			"the detail has the cause and whether the address accepts connections.")
	UpstreamLost = add(312, "UpstreamLost", slog.LevelWarn, "The local backend server did not renew its announcement.")
)

// The local backend server of a sidecar.
var (
	InstanceState   = add(313, "InstanceState", slog.LevelInfo, "The local backend server started or stopped accepting calls.")
	InstanceDoubted = add(314, "InstanceDoubted", slog.LevelWarn,
		"A notification of a backend server was ignored: it is invalid, another instance serves its address, "+
			"another instance is running, or the instance is draining.")
	LeavingKept    = add(315, "LeavingKept", slog.LevelInfo, "The departure of a backend server is recorded durably and can be confirmed.")
	LeavingNotKept = add(316, "LeavingNotKept", slog.LevelWarn,
		"The departure of a backend server could not be recorded durably; it stays unconfirmed and the write is retried.")
	LimitNamed = add(319, "LimitNamed", slog.LevelWarn,
		"The local backend server named a limit in calls a second, or changed it; the detail has the source and its age.")
	LimitEnded = add(320, "LimitEnded", slog.LevelInfo,
		"The local backend server no longer names a limit; the detail has how long it did and the calls started meanwhile.")
	LimitInvalid = add(321, "LimitInvalid", slog.LevelWarn,
		"The local backend server named a limit that is not a decimal number; the limit before it stays in force. Logged once for each value.")
	LeavingLearned = add(322, "LeavingLearned", slog.LevelInfo,
		"An answer of the local backend server, or another node that passed one on, said that it is leaving; it receives no more calls.")
	DepartureLookedUp = add(324, "DepartureLookedUp", slog.LevelInfo,
		"The node looked up whether the departure of a backend server was confirmed; the detail has who replied and the outcome.")
	AnswerTooLarge = add(323, "AnswerTooLarge", slog.LevelWarn,
		"The backend server's answer exceeded a limit; the node closed its connection, and the call may have run. The detail has the limit.")
	GateAvoided = add(317, "GateAvoided", slog.LevelWarn,
		"A gate node or its backend server is failing; calls are temporarily routed to other nodes.")
)

// Call handling.
var (
	CallAnswered   = add(400, "CallAnswered", slog.LevelDebug, "A call received its answer.")
	CallTurnedAway = add(401, "CallTurnedAway", slog.LevelDebug, "A call was rejected; the caller received a final refusal.")
	CallRetried    = add(402, "CallRetried", slog.LevelDebug, "An attempt failed and the call is retried.")
	CallAbandoned  = add(404, "CallAbandoned", slog.LevelWarn, "The caller disconnected before the call ended.")
	CallRun        = add(405, "CallRun", slog.LevelDebug,
		"The gate node, on the backend server's host, admitted or rejected a call; the detail has the result.")
	CallNotRun = add(406, "CallNotRun", slog.LevelWarn,
		"The gate node did not run a call, or it is unknown whether the call ran; the detail has the cause.")
	CallFailed = add(407, "CallFailed", slog.LevelWarn,
		"A call failed: either this node refused it and gave the reason, or the backend server returned a failure.")
	CallRunFailed  = add(408, "CallRunFailed", slog.LevelWarn, "The backend server ran a call and returned a failure.")
	CallSentNearby = add(409, "CallSentNearby", slog.LevelDebug,
		"A call would have to wait at the gate node; the node looks for a free slot in the same failure domain.")
	AnswerHeld = add(410, "AnswerHeld", slog.LevelDebug,
		"An answer was ready but waited for the answers to earlier calls on its connection.")
	AnswerUndelivered = add(411, "AnswerUndelivered", slog.LevelWarn,
		"An answer could not be sent to a waiting caller; the detail has the cause and the age of the connection.")
	CallUnknown = add(403, "CallUnknown", slog.LevelWarn, "A call reached a backend server and received no answer; it is not retried.")
)

// At-most-once execution.
var (
	KeySettled      = add(500, "KeySettled", slog.LevelDebug, "The owner node of a key closed the key's record without an answer.")
	KeyHomeLost     = add(501, "KeyHomeLost", slog.LevelWarn, "The owner node of a key is unreachable; the call was not forwarded.")
	KeyAttemptLost  = add(502, "KeyAttemptLost", slog.LevelWarn, "An attempt received no answer and its gate did not close it; it is not retried.")
	ShardOwned      = add(510, "ShardOwned", slog.LevelInfo, "The node became the owner of a shard of the opaque keys.")
	EntryStoodStill = add(511, "EntryStoodStill", slog.LevelWarn,
		"The process stalled; calls with opaque keys that it read right after the stall are not forwarded.")
)

// Poison requests.
var (
	PoisonSuspected = add(520, "PoisonSuspected", slog.LevelWarn, "A request was in flight when the backend server crashed.")
	PoisonRefused   = add(521, "PoisonRefused", slog.LevelWarn, "A request that was in flight during crashes of backend servers was refused.")
	PoisonUntold    = add(522, "PoisonUntold", slog.LevelWarn,
		"Another gate could not be notified of a crash; the notification is retried until it succeeds.")
	PoisonTold  = add(523, "PoisonTold", slog.LevelInfo, "A gate that could not be notified of a crash has now received the notification.")
	PoisonAsked = add(524, "PoisonAsked", slog.LevelInfo,
		"The gate may have missed a crash notification and queried the other gates; the detail has how many answered.")
	PoisonJudged = add(525, "PoisonJudged", slog.LevelWarn,
		"A request that was in flight during one crash was permitted to run again, or not yet; the detail has the reason.")
	PoisonArchived = add(526, "PoisonArchived", slog.LevelWarn,
		"A refused request was written to the platform's store or removed from it; failures are retried, and the first of a series is logged.")
	PoisonLoaded = add(527, "PoisonLoaded", slog.LevelInfo,
		"The gate read the refused requests of its service from the platform's store, or could not; the detail has how many. "+
			"Failures are retried, and the first of a series is logged.")
)

// Roll-outs of versions.
var (
	RolloutRunning = add(600, "RolloutRunning", slog.LevelInfo,
		"A roll-out was ordered or continues after a restart; its target version receives a small share of the calls.")
	RolloutMoving = add(601, "RolloutMoving", slog.LevelInfo,
		"The target version of a roll-out is good and takes over all calls; the detail has the evidence.")
	RolloutCompleted  = add(602, "RolloutCompleted", slog.LevelInfo, "A roll-out ended; only its target version receives calls.")
	RolloutRolledBack = add(603, "RolloutRolledBack", slog.LevelWarn,
		"A roll-out ended; its target version receives no calls. The detail has the reason and the evidence.")
	RolloutNotStored = add(604, "RolloutNotStored", slog.LevelWarn,
		"The state of a roll-out could not be stored, or another node stored one first; the node reads it and tries again if necessary.")
	RolloutPaused = add(605, "RolloutPaused", slog.LevelWarn,
		"The local backend server runs the target version of a roll-out and fails; it receives no calls for a while.")
	RolloutRole = add(606, "RolloutRole", slog.LevelInfo,
		"The version of the local backend server became regular, canary or excluded.")
)

// Invariant violations.
var (
	InvariantBroken = add(900, "InvariantBroken", slog.LevelError, "The program violated one of its invariants; report it as a bug.")
)

var catalogue []Event

func add(number int, name string, level slog.Level, text string) Event {
	e := Event{Number: number, Name: name, Level: level, Text: text}
	catalogue = append(catalogue, e)

	return e
}

// All returns the catalogue in the order of declaration.
func All() []Event { return append([]Event(nil), catalogue...) }
