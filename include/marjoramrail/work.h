//===- work.h - Admission control at one agent ------------------*- C++ -*-===//
///
/// \file
/// Admission control and at-most-once execution at one agent. For each request
/// of its flows the agent decides whether to run it now, queue it, refuse it
/// with a retry-after time, or relay it to a peer with free capacity. Requests
/// with an idempotency key also need a claim before they run. The header also
/// detects flows whose caller no longer responds.
///
/// The code does no I/O: the time is passed as an argument and randomness as a
/// seed, so tests and benchmarks can drive it without a network.
///
/// Usage:
/// \code
///   relay_choice Peers(Self, relay_settings(), Seed);
///   admission Work(admission_settings{.Slots = 4},
///                  [&](const work_request &Request, relay_reason Why,
///                      const agent_load &Own, instant Now) {
///                    return Peers.pick(Request, Why, Own, Now);
///                  }, Seed);
///   decision First = Work.offer({.Id = Id, .Caller = Hash}, Now);
///   for (const decision &Next : Work.tick(Now)) // after each event, and often
///     act(Next);
///   Work.finished(Id, {.Elapsed = Took}, Now);
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_WORK_H
#define MARJORAMRAIL_WORK_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjoramrail {

//===--- Requests and decisions -------------------------------------------===//

/// Request number assigned by the agent; unique among its current requests.
enum class request_id : std::uint64_t {};

enum class work_kind {
  Short,
  /// Expected to hold a slot far longer than a typical request.
  Long,
  /// Stays open for hours (status, alerts). It is counted but takes no slot.
  Stream,
};

inline constexpr std::size_t WorkKinds = 3;

inline constexpr name_table<work_kind, WorkKinds> WorkKindNames = {{
    {work_kind::Short, "short"},
    {work_kind::Long, "long"},
    {work_kind::Stream, "stream"},
}};

/// A request before its first byte has been sent to the target.
struct work_request {
  request_id Id{};
  /// A hash of the caller's address. Slots are shared evenly among callers.
  std::uint64_t Caller = 0;
  work_kind Kind = work_kind::Short;
  /// The Idempotency-Key header; empty for idempotent requests.
  std::string Key;
  /// An answer after this time is useless to the caller.
  std::optional<instant> Deadline;
  /// Expected time in a slot; zero means that the mean of its kind is used.
  duration Estimate = duration::zero();
  /// The caller has already tried this request.
  bool Retry = false;
  /// 0 is the most urgent. Of two waiting requests the more urgent one runs
  /// first, see admission_settings::PriorityTurnInterval.
  std::uint8_t Priority = 0;
  /// When the caller wants the answer. Among requests of one priority, those
  /// that can still be answered by then run before those that cannot.
  std::optional<instant> Aim = {};
  /// The request cannot be refused or relayed, because its flow is open at this
  /// target. It waits until it runs or is cancelled, and runs when its Deadline
  /// passes even if no slot is free.
  bool Committed = false;
  /// Number of relays so far, and the agent that relayed it here.
  std::uint8_t Hops = 0;
  std::optional<host_id> RelayedBy;
};

enum class verdict {
  /// Run the request now and report its end by finished() or cancelled().
  Run,
  /// The request is queued; a later tick() returns Run, Refuse or Relay.
  Wait,
  /// The request will not run: answer 503 with retry-after, or REFUSED_STREAM.
  Refuse,
  /// The request does not run here: send it to Peer.
  Relay,
};

inline constexpr name_table<verdict, 4> VerdictNames = {{
    {verdict::Run, "run"},
    {verdict::Wait, "wait"},
    {verdict::Refuse, "refuse"},
    {verdict::Relay, "relay"},
}};

enum class refusal {
  None,
  /// The wait would exceed the bound, or the queue is full.
  Overloaded,
  /// The request cannot be answered before its deadline.
  DeadlineTooClose,
  /// Retries exceed their allowed share of the first tries.
  RetryBudget,
  Draining,
  /// The target itself refused requests and asked for a pause.
  TargetShed,
  TooManyStreams,
};

inline constexpr name_table<refusal, 7> RefusalNames = {{
    {refusal::None, "none"},
    {refusal::Overloaded, "overloaded"},
    {refusal::DeadlineTooClose, "deadline_too_close"},
    {refusal::RetryBudget, "retry_budget"},
    {refusal::Draining, "draining"},
    {refusal::TargetShed, "target_shed"},
    {refusal::TooManyStreams, "too_many_streams"},
}};

struct decision {
  request_id Id{};
  verdict Verdict = verdict::Run;
  refusal Reason = refusal::None;
  /// With Refuse: the time after which the caller may retry.
  duration RetryAfter = duration::zero();
  /// With Relay: the agent to send the request to.
  host_id Peer{};
};

enum class work_outcome {
  Answered,
  /// The target answered 503 or REFUSED_STREAM, so the request did not run.
  Shed,
  /// There was no answer: the connection was lost or timed out.
  Lost,
};

struct completion {
  /// Time from Run to the end of the answer.
  duration Elapsed = duration::zero();
  work_outcome Outcome = work_outcome::Answered;
  /// With Shed: the target's retry-after; zero if it gave none.
  duration RetryAfter = duration::zero();
};

//===--- Relay ------------------------------------------------------------===//

/// The load of one agent, sent to its peers a few times a second and with each
/// answer to a relayed request.
struct agent_load {
  host_id Host{};
  /// Share of its slots in use, smoothed over about a second; may exceed 1.
  double Busy = 0;
  /// Current (running + waiting) / slots.
  double Pressure = 0;
  double Slots = 1;
  /// Mean time that a request holds a slot.
  duration Service = std::chrono::milliseconds(20);
  /// False while the agent is draining or starting.
  bool Accepting = true;
};

enum class relay_reason {
  Draining,
  /// The target has just started and gets a growing share of its load.
  Cold,
  /// No slot is free at this agent.
  Overloaded,
  /// This agent's flows bring more than its share of the load; see
  /// relay_choice.
  Balance,
};

inline constexpr name_table<relay_reason, 4> RelayReasonNames = {{
    {relay_reason::Draining, "draining"},
    {relay_reason::Cold, "cold"},
    {relay_reason::Overloaded, "overloaded"},
    {relay_reason::Balance, "balance"},
}};

struct relay_settings {
  /// Load reports older than this are ignored.
  duration MaxReportAge = std::chrono::seconds(2);
  /// After a peer has relayed a request here, nothing is relayed to it for this
  /// long.
  duration NoReturnPeriod = std::chrono::seconds(1);
  /// Under overload a peer is chosen only if its load is lower than this
  /// agent's Pressure by at least this much.
  double Margin = 0.25;
  /// Rate per second at which the share of requests relayed for balance follows
  /// the difference in Busy.
  double Gain = 1;
  std::uint8_t MaxHops = 1;
};

/// Chooses the peer for a request that has not started to run.
class relay_choice {
public:
  relay_choice(host_id Self, const relay_settings &Settings,
               std::uint64_t Seed);
  ~relay_choice();

  /// Stores the latest load report of a peer.
  void report(const agent_load &Peer, instant Now);
  /// Removes a peer that has left the service.
  void forget(host_id Peer);
  /// Records that \p Peer relayed a request to this agent.
  void receivedRelayFrom(host_id Peer, instant Now);
  /// Records that \p Peer answered "not run". It gets no requests until \p
  /// RetryAfter has passed or its next report arrives.
  void notRun(host_id Peer, duration RetryAfter, instant Now);

  /// Returns a peer for \p Request, or none if the request has to be run,
  /// queued or refused here. The request is added to the estimated load of the
  /// chosen peer until its next report.
  std::optional<host_id> pick(const work_request &Request, relay_reason Why,
                              const agent_load &Own, instant Now);

  /// Share of this agent's requests that is relayed to even out Busy.
  double shiftedShare() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===--- Admission --------------------------------------------------------===//

/// Limits and thresholds of admission. docs/DECISIONS.md has a parameter sweep
/// for each threshold.
struct admission_settings {
  /// Number of concurrent requests that the service declares for its target.
  std::uint32_t Slots = 4;
  /// Longest time that a request may wait for a slot.
  duration WaitBound = std::chrono::milliseconds(100);
  std::size_t MaxWaiting = 256;
  std::size_t MaxStreams = 8192;
  /// Number of queues over which callers are distributed by hash.
  std::size_t CallerQueues = 256;
  /// Share of the slots that long requests may not use: at least one slot if
  /// there are two or more.
  double ShortShare = 0.25;
  /// Number of retries admitted to the queue per first try.
  double RetryShare = 0.2;
  /// The limit may rise to MaxLimitFactor times the declared slots. It is
  /// lowered when answers take CutRatio times as long as those of requests that
  /// ran alone, measured over LimitWindow answers.
  double MaxLimitFactor = 2;
  double CutRatio = 1.3;
  std::uint32_t LimitWindow = 128;
  /// Time in which a new target reaches its full limit; zero if it is warm from
  /// the start.
  duration ColdStart = std::chrono::seconds(10);
  duration MaxRetryAfter = std::chrono::seconds(30);
  /// Service time assumed for a kind of request before any has been measured.
  duration FirstEstimate = std::chrono::milliseconds(20);
  /// Number of requests that the target gets beyond its limit, so that a freed
  /// slot has the next request at once.
  std::size_t Pipeline = 0;
  /// Whether the limit may be set below the declared slots. If not, trials can
  /// only raise it.
  bool LowerLimit = true;
  /// A request that has been running for longer no longer counts against the
  /// limit; zero means that every request counts until its end. Without this
  /// bound, a target that never answers some requests would block all others.
  duration StallBound = duration::zero();
  /// Every so many freed slots, the waiting priority that was served least
  /// recently gets the slot (of several that were never served, the least
  /// urgent); zero means never. Without this, a continuous overload of urgent
  /// requests would starve the others.
  std::size_t PriorityTurnInterval = 0;
};

struct admission_counts {
  std::uint64_t Run = 0, Refused = 0, Relayed = 0, Cancelled = 0;
};

/// Decides whether each request of one agent is run, queued, refused or
/// relayed.
class admission {
public:
  /// Returns a peer with free capacity, or none. If the function is empty,
  /// nothing is relayed.
  using pick_peer = std::function<std::optional<host_id>(
      const work_request &, relay_reason, const agent_load &Own, instant Now)>;

  admission(const admission_settings &Settings, pick_peer PickPeer,
            std::uint64_t Seed);
  ~admission();
  admission(const admission &) = delete;
  admission &operator=(const admission &) = delete;

  /// Decides on a request that has just arrived. Call tick() afterwards.
  decision offer(const work_request &Request, instant Now);

  /// Frees the slot of a request that ran.
  void finished(request_id Id, const completion &End, instant Now);

  /// Frees the slot or queue place of a request that its caller gave up.
  void cancelled(request_id Id, instant Now);

  /// Returns decisions on queued requests. Call it after each other call, and
  /// at least every TickPeriod while waiting() is not zero.
  std::vector<decision> tick(instant Now);
  static constexpr duration TickPeriod = std::chrono::milliseconds(10);

  /// Stops running new requests: they are relayed to peers or refused.
  void drain(instant Now);
  /// Ends draining.
  void resume();
  /// Returns the load report for peers. The agent has to fill in Host.
  agent_load load(instant Now);

  /// The target has stated how many requests it runs concurrently.
  void setSlots(std::uint32_t Slots);
  /// Number of requests that would run at once if they were offered now.
  std::size_t freeSlots(instant Now) const;
  /// Number of waiting requests of \p Priority.
  std::size_t waiting(std::uint8_t Priority) const;
  /// Number of waiting requests of \p Priority and of more urgent ones.
  std::size_t waitingUpTo(std::uint8_t Priority) const;
  /// Time until a request of \p Priority that is offered now would run, if all
  /// waiting requests of its and of more urgent priorities run before it.
  duration expectedWait(std::uint8_t Priority, instant Now) const;
  /// When tick() has to be called at the latest, although nothing else happens:
  /// a deadline passes or a request no longer counts against the limit.
  std::optional<instant> nextTick() const;

  std::size_t running() const;
  std::size_t waiting() const;
  std::size_t streams() const;
  /// Number of requests that may run concurrently at this time.
  std::size_t limit(instant Now) const;
  const admission_counts &counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===--- At most once -----------------------------------------------------===//

/// State of a host in the service's view, as far as key records need it.
struct key_member {
  host_id Host{};
  /// A host that was marked down returns only with a higher incarnation.
  std::uint32_t Incarnation = 0;
  bool Down = false;
};

struct key_generation {
  std::uint64_t Number = 0;
  std::vector<host_id> Members;
};
/// The hosts and generations that determine the replicas of a key's record:
/// under each generation, the first two members by rendezvous hash of the key.
/// A claim asks the replicas under all generations.
struct key_view {
  std::vector<key_member> Hosts;
  /// Newest first.
  std::vector<key_generation> Generations;
};

enum class key_state {
  /// Granted to a runner, which may be running it.
  Claimed,
  Done,
  /// The runner was lost. The request may have run, so it never runs again.
  Unknown,
  /// The runner returned the claim without running the request.
  Released,
};

/// What a replica stores about one key.
struct key_record {
  std::string Key;
  key_state State = key_state::Claimed;
  host_id Runner{};
  std::uint32_t Incarnation = 0;
  std::uint64_t Attempt = 0;
  /// With Done: the answer, if it is not longer than MaxOutcome.
  std::string Outcome;
  duration Age = duration::zero();
};

enum class key_message_kind {
  Claim,
  Query, // like Claim, but records nothing
  Granted,
  Held,         // not granted; Record.State gives the reason
  Full,         // no room for another key
  ViewMismatch, // the sender's view differs from the replica's
  Settle,       // ends a claim; Record.State is Done, Unknown or Released
  SettleAck,
  SyncRequest, // fetches the shared records with keys after Record.Key
  SyncRecords,
};

/// A message between key replicas and runners. Messages may be lost, duplicated
/// or reordered.
struct key_message {
  key_message_kind Kind{};
  host_id From{};
  host_id To{};
  /// Digest of the sender's view.
  std::uint64_t Digest = 0;
  key_record Record;
  /// With Granted: the replica has all records, so it would know of any earlier
  /// claim of the key.
  bool RecordsComplete = false;
  std::vector<key_record> Records;
  /// With SyncRecords: Last is set on the final message; CompleteGenerations
  /// lists the generations whose records the sender has completely.
  bool Last = false;
  std::vector<std::uint64_t> CompleteGenerations;
};
using key_messages = std::vector<key_message>;

struct key_settings {
  /// Time after the first claim of a key during which a repeat is recognised.
  duration Lifetime = std::chrono::minutes(10);
  /// A claim that has not been granted by then is returned.
  duration ClaimTimeout = std::chrono::seconds(1);
  duration Resend = std::chrono::milliseconds(50);
  /// Maximum number of records at one replica, and maximum size in bytes of a
  /// stored answer.
  std::size_t MaxRecords = 20000;
  std::size_t MaxOutcome = 256;
};

/// What a replica knows about the time before it started.
enum class replica_history {
  /// It may have held records and lost them when its memory was lost.
  MayHaveRun,
  /// No agent ever ran on this host. It has lost nothing, but may have to fetch
  /// records that other replicas stored before it joined.
  NeverRan,
  /// The service itself is new, so no records exist from before.
  NewService,
};

inline constexpr name_table<replica_history, 3> ReplicaHistoryNames = {{
    {replica_history::MayHaveRun, "may_have_run"},
    {replica_history::NeverRan, "never_ran"},
    {replica_history::NewService, "first_of_service"},
}};

/// Stores the records of the keys for which this agent is a replica, and grants
/// claims.
class key_replica {
public:
  key_replica(host_id Self, std::uint32_t Incarnation,
              const key_settings &Settings, replica_history History);
  ~key_replica();

  key_messages applyView(const key_view &View, instant Now);
  key_messages receive(const key_message &Message, instant Now);
  /// Call it about every Resend.
  key_messages tick(instant Now);
  /// Must be called when this agent was out of contact for so long that others
  /// may have marked it down. It continues as \p Incarnation.
  void continueAs(std::uint32_t Incarnation, instant Now);

  std::size_t records() const;
  /// False while this replica still lacks records of a generation in the view.
  bool settled(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

enum class key_verdict {
  /// Run the request now, then call settle().
  Run,
  /// Another attempt is running: this attempt does not run; retry later.
  RunningElsewhere,
  /// The request has run; Outcome holds the stored answer.
  Done,
  /// The request may have run, so it never runs again.
  Unknown,
  /// This attempt does not run, because one of these holds:
  /// - no replica has the complete records of the key's earlier claims;
  /// - this agent is not a member of the view, or has no view yet;
  /// - continueAs() was called while the claim was pending;
  /// - the key is too long for a record (checked by request_proxy).
  RecordsIncomplete,
  /// This attempt does not run: a replica has no room for another record.
  Full,
  /// This attempt does not run: a replica does not answer.
  NoAnswer,
};

struct key_result {
  std::string Key;
  key_verdict Verdict{};
  std::string Outcome;
};

/// Obtains claims for the keyed requests that one agent is about to run.
class key_claims {
public:
  key_claims(host_id Self, std::uint32_t Incarnation,
             const key_settings &Settings);
  ~key_claims();

  key_messages applyView(const key_view &View, instant Now);
  /// Starts a claim. results() returns its verdict at the latest after
  /// ClaimTimeout.
  key_messages claim(const std::string &Key, instant Now);
  key_messages receive(const key_message &Message, instant Now);
  key_messages tick(instant Now);
  /// Ends a claim after Run. \p State is Done, Unknown or Released (explicitly
  /// not run).
  key_messages settle(const std::string &Key, key_state State,
                      const std::string &Outcome, instant Now);
  /// See key_replica::continueAs(). Running requests continue; pending claims
  /// end.
  void continueAs(std::uint32_t Incarnation, instant Now);
  std::vector<key_result> results();
  /// Number of claims and settle notices in progress.
  std::size_t open() const;
  /// True if nothing is in progress for \p Key: every live replica has
  /// acknowledged the end of its last claim.
  bool ended(const std::string &Key) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===--- Silent flows -----------------------------------------------------===//

struct silent_settings {
  /// A flow whose caller sends nothing for this long is closed.
  duration Bound = std::chrono::seconds(60);
  /// Share of the agent's budget for control traffic. ProbeBytes covers a probe
  /// with its headers and its ACK.
  double BytesPerSecond = 2048;
  double ProbeBytes = 97;
};

enum class silent_step { Ping, Close };
struct silent_action {
  flow_key Flow;
  silent_step Step;
};

/// Decides when to probe each flow of an agent and when to close it because its
/// caller does not respond (a silent flow).
class silent_flows {
public:
  explicit silent_flows(const silent_settings &Settings);
  ~silent_flows();

  void opened(const flow_key &Flow, instant Now);
  /// Records that the caller sent anything: data, an ACK or the answer to a
  /// PING.
  void received(const flow_key &Flow, instant Now);
  void closed(const flow_key &Flow);
  /// Returns the actions that are due. Call it a few times a second.
  std::vector<silent_action> tick(instant Now);
  double probeBytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_WORK_H
