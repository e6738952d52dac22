//===- work.h - Decisions under load at one agent ---------------*- C++ -*-===//
///
/// \file
/// What an agent does with each request of its flows: run it now, let it wait,
/// refuse it at once with an honest time to come back, or relay it to a peer
/// that has room; which key may run; and when a flow counts as silent. Pure
/// code: the time comes as an argument and randomness as a seed, so that a test
/// or a bench drives it without a network.
///
/// Usage:
/// \code
///   relay_choice Peers(Self, relay_settings(), Seed);
///   admission Work(admission_settings{.Slots = 4},
///                  [&](const work_request &Request, relay_reason Why,
///                      const load_report &Own, instant Now) {
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

//===--- Requests and what becomes of them --------------------------------===//

/// The number that an agent gives a request; unique while the request lives.
enum class request_id : std::uint64_t {};

enum class work_kind {
  Short,
  /// Expected to hold a slot far longer than the usual request.
  Long,
  /// Lives for hours (status, alerts): counted, but takes no slot.
  Stream,
};

inline constexpr std::size_t WorkKinds = 3;

inline constexpr name_table<work_kind, WorkKinds> WorkKindNames = {{
    {work_kind::Short, "short"},
    {work_kind::Long, "long"},
    {work_kind::Stream, "stream"},
}};

/// One request, before its first byte has gone to the target.
struct work_request {
  request_id Id{};
  /// A hash of the caller's address; callers share slots evenly.
  std::uint64_t Caller = 0;
  work_kind Kind = work_kind::Short;
  /// The Idempotency-Key header; empty for idempotent requests.
  std::string Key;
  /// When the answer loses its worth to the caller.
  std::optional<instant> Deadline;
  /// Expected time in a slot; zero: the mean of its kind is used.
  duration Estimate = duration::zero();
  /// The caller has tried this request before.
  bool Retry = false;
  /// Relays so far, and the agent that sent it here.
  std::uint8_t Hops = 0;
  std::optional<host_id> RelayedBy;
};

enum class verdict {
  /// Begin now; report finished() or cancelled().
  Run,
  /// Queued: tick() will say Run or Refuse.
  Wait,
  /// Not run and not going to be: 503 with retry-after, or REFUSED_STREAM.
  Refuse,
  /// Not run here: send it to Peer.
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
  /// Would wait longer than the bound, or the queue is full.
  Overloaded,
  /// Could not be answered by its deadline.
  DeadlineTooClose,
  /// Retries are over their share of the first tries.
  RetryBudget,
  Draining,
  /// The target itself asked for less.
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
  /// With Refuse: when to come back.
  duration RetryAfter = duration::zero();
  /// With Relay.
  host_id Peer{};
};

enum class work_outcome {
  Answered,
  /// The target said 503 or REFUSED_STREAM: not run.
  Shed,
  /// No answer: connection lost or timed out.
  Lost,
};

struct completion {
  /// From Run to the end of the answer.
  duration Elapsed = duration::zero();
  work_outcome Outcome = work_outcome::Answered;
  /// With Shed: what the target asked for; zero if it did not say.
  duration RetryAfter = duration::zero();
};

//===--- Relay ------------------------------------------------------------===//

/// What an agent tells its peers of its load, a few times a second, and with
/// each answer to a relayed request.
struct load_report {
  host_id Host{};
  /// Share of its slots in use, smoothed over about a second; may pass 1.
  double Busy = 0;
  /// (running + waiting) / slots, at this moment.
  double Pressure = 0;
  double Slots = 1;
  /// How long a request holds a slot, on average.
  duration Service = std::chrono::milliseconds(20);
  /// False while it drains or starts.
  bool Accepting = true;
};

enum class relay_reason {
  Draining,
  /// The target has just started and takes a growing share.
  Cold,
  /// No slot is free here.
  Overloaded,
  /// This agent's flows bring more than its share; see relay_choice.
  Balance,
};

inline constexpr name_table<relay_reason, 4> RelayReasonNames = {{
    {relay_reason::Draining, "draining"},
    {relay_reason::Cold, "cold"},
    {relay_reason::Overloaded, "overloaded"},
    {relay_reason::Balance, "balance"},
}};

struct relay_settings {
  /// A report older than this is not used.
  duration Stale = std::chrono::seconds(2);
  /// A peer that relayed to us gets nothing from us for this long.
  duration NoReturn = std::chrono::seconds(1);
  /// A peer must be this much less pressed than we are.
  double Margin = 0.25;
  /// How fast the share that is shifted for balance follows the difference in
  /// Busy, per second.
  double Gain = 1;
  std::uint8_t MaxHops = 1;
};

/// Which peer takes a request that has not begun to run.
class relay_choice {
public:
  relay_choice(host_id Self, const relay_settings &Settings,
               std::uint64_t Seed);
  ~relay_choice();

  /// Takes a peer's report.
  void report(const load_report &Peer, instant Now);
  /// The peer has left the service.
  void forget(host_id Peer);
  /// A request came from \p Peer by relay.
  void receivedRelayFrom(host_id Peer, instant Now);
  /// \p Peer said "not run": it gets nothing before \p RetryAfter has passed or
  /// its next report has come.
  void notRun(host_id Peer, duration RetryAfter, instant Now);

  /// A peer for \p Request, or none: run, queue or refuse it here. The peer
  /// chosen counts as loaded by it until its next report.
  std::optional<host_id> pick(const work_request &Request, relay_reason Why,
                              const load_report &Own, instant Now);

  /// Share of this agent's requests that is shifted to even out Busy.
  double shiftedShare() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===--- Admission --------------------------------------------------------===//

/// Each threshold's sweep is in docs/DECISIONS.md.
struct admission_settings {
  /// Declared by the service: requests that the target runs at a time.
  std::uint32_t Slots = 4;
  /// No request waits longer for its slot than this.
  duration WaitBound = std::chrono::milliseconds(100);
  std::size_t MaxWaiting = 256;
  std::size_t MaxStreams = 8192;
  /// Callers are kept apart by this many queues.
  std::size_t CallerQueues = 256;
  /// This share of the slots, at least one of two, is kept from long work.
  double ShortShare = 0.25;
  /// Retries let into the queue per first try.
  double RetryShare = 0.2;
  /// The limit may rise to this many times the declared slots; it is lowered
  /// when answers take CutRatio times what one alone takes, judged over
  /// LimitWindow answers.
  double MaxLimitFactor = 2;
  double CutRatio = 1.3;
  std::uint32_t LimitWindow = 128;
  /// How long a new target takes to its full limit; zero: it is warm.
  duration ColdStart = std::chrono::seconds(10);
  duration MaxRetryAfter = std::chrono::seconds(30);
  /// What a request is taken to need before its kind has been measured.
  duration FirstEstimate = std::chrono::milliseconds(20);
};

struct admission_counts {
  std::uint64_t Run = 0, Refused = 0, Relayed = 0, Cancelled = 0;
};

/// Decides what becomes of each request at one agent.
class admission {
public:
  /// Names a peer with room, or none; empty: never relay.
  using pick_peer = std::function<std::optional<host_id>(
      const work_request &, relay_reason, const load_report &Own, instant Now)>;

  admission(const admission_settings &Settings, pick_peer PickPeer,
            std::uint64_t Seed);
  ~admission();
  admission(const admission &) = delete;
  admission &operator=(const admission &) = delete;

  /// Decides on a request that has just come. Call tick() afterwards.
  decision offer(const work_request &Request, instant Now);

  /// A request that ran is over. Its slot is free.
  void finished(request_id Id, const completion &End, instant Now);

  /// The caller gave up: the slot or the place in the queue is free at once.
  void cancelled(request_id Id, instant Now);

  /// Decisions on queued requests. Call it after each other call and at least
  /// every TickPeriod while waiting() is not zero.
  std::vector<decision> tick(instant Now);
  static constexpr duration TickPeriod = std::chrono::milliseconds(10);

  /// From now on nothing new is run: all goes to peers or is refused.
  void drain(instant Now);
  /// Takes drain() back.
  void resume();
  /// For peers; Host is left to the agent.
  load_report load(instant Now);

  std::size_t running() const;
  std::size_t waiting() const;
  std::size_t streams() const;
  /// Requests that may run at a time, at this moment.
  std::size_t limit(instant Now) const;
  const admission_counts &counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===--- At most once -----------------------------------------------------===//

/// A host as the key records need it, from the service's view.
struct key_member {
  host_id Host{};
  /// A host shown as down returns only with a higher one.
  std::uint32_t Incarnation = 0;
  bool Down = false;
};

struct key_generation {
  std::uint64_t Number = 0;
  std::vector<host_id> Members;
};
/// Who keeps which key: under each generation the first two members by
/// rendezvous hash of the key. All keepers under all generations are asked.
struct key_view {
  std::vector<key_member> Hosts;
  /// Newest first.
  std::vector<key_generation> Generations;
};

enum class key_state {
  /// Granted to a runner, which may be running it.
  Claimed,
  Done,
  /// Its runner was lost: may have run, is never run again.
  Unknown,
  /// Its runner gave the claim back without running.
  Released,
};

/// What a keeper knows of one key.
struct key_record {
  std::string Key;
  key_state State = key_state::Claimed;
  host_id Runner{};
  std::uint32_t Incarnation = 0;
  std::uint64_t Attempt = 0;
  /// With Done: the answer, if it was no longer than MaxOutcome.
  std::string Outcome;
  duration Age = duration::zero();
};

enum class key_message_kind {
  Claim,
  Query, // as Claim, but only asks
  Granted,
  Held,         // not granted: Record.State says why
  Full,         // no room for another key
  ViewMismatch, // the sender's view is not the keeper's
  Settle,       // ends a claim: Record.State is Done, Unknown or Released
  SettleAck,
  SyncRequest, // for the records that both keep, with keys after Record.Key
  SyncRecords,
};

/// What keepers and runners send each other; may be lost, repeated, reordered.
struct key_message {
  key_message_kind Kind{};
  host_id From{};
  host_id To{};
  /// Of the sender's view.
  std::uint64_t Digest = 0;
  key_record Record;
  /// With Granted: the keeper would know of any earlier claim.
  bool RecordsComplete = false;
  std::vector<key_record> Records;
  /// With SyncRecords: no more follow, and for which generations all is told.
  bool Last = false;
  std::vector<std::uint64_t> CompleteGenerations;
};
using key_messages = std::vector<key_message>;

struct key_settings {
  /// A repeat of a key is recognised for this long after it was first claimed.
  duration Lifetime = std::chrono::minutes(10);
  /// A claim that is not granted by then is given back.
  duration ClaimTimeout = std::chrono::seconds(1);
  duration Resend = std::chrono::milliseconds(50);
  /// Records at one keeper, and bytes of an answer that is kept.
  std::size_t MaxRecords = 20000;
  std::size_t MaxOutcome = 256;
};

/// What a keeper knows of the time before it started.
enum class replica_history {
  /// It may have kept records and lost them with its memory.
  MayHaveRun,
  /// No agent ever ran on this host: it has lost nothing, but may have to learn
  /// what others kept before it came.
  NeverRan,
  /// The service itself is new: nobody has records from before.
  FirstOfService,
};

inline constexpr name_table<replica_history, 3> ReplicaHistoryNames = {{
    {replica_history::MayHaveRun, "may_have_run"},
    {replica_history::NeverRan, "never_ran"},
    {replica_history::FirstOfService, "first_of_service"},
}};

/// The records that one agent keeps for the service's keys.
class key_replica {
public:
  key_replica(host_id Self, std::uint32_t Incarnation,
              const key_settings &Settings, replica_history Past);
  ~key_replica();

  key_messages take(const key_view &View, instant Now);
  key_messages receive(const key_message &Message, instant Now);
  /// Call it about every Resend.
  key_messages tick(instant Now);
  /// This agent has been out of touch for so long that others may have counted
  /// it as down; it goes on as \p Incarnation.
  void lapsed(std::uint32_t Incarnation, instant Now);

  std::size_t records() const;
  /// False while a generation that the view still holds is needed for records.
  bool settled(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

enum class key_verdict {
  /// Run it now, then call settle().
  Run,
  /// Under way: not run by this attempt; ask again later.
  RunningElsewhere,
  /// Outcome holds the stored answer.
  Done,
  /// May have run; is never run again.
  Unknown,
  /// Not run by this attempt: no keeper is sure that it knows every key.
  RecordsIncomplete,
  /// Not run by this attempt: the keepers are full.
  Full,
  /// Not run by this attempt: a keeper does not answer.
  NoAnswer,
};

struct key_result {
  std::string Key;
  key_verdict Verdict{};
  std::string Outcome;
};

/// The claims of one agent for the requests that it is about to run.
class key_claims {
public:
  key_claims(host_id Self, std::uint32_t Incarnation,
             const key_settings &Settings);
  ~key_claims();

  key_messages take(const key_view &View, instant Now);
  /// The verdict comes by results(), at the latest after ClaimTimeout.
  key_messages claim(const std::string &Key, instant Now);
  key_messages receive(const key_message &Message, instant Now);
  key_messages tick(instant Now);
  /// After Run: \p State is Done, Unknown or Released (explicitly not run).
  key_messages settle(const std::string &Key, key_state State,
                      const std::string &Outcome, instant Now);
  /// See key_replica::lapsed(). What runs goes on; what is still asked ends.
  void lapsed(std::uint32_t Incarnation, instant Now);
  std::vector<key_result> results();
  /// Claims and notices under way.
  std::size_t open() const;
  /// True if nothing of \p Key is: every live keeper has acknowledged the end
  /// of its last claim.
  bool ended(const std::string &Key) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===--- Silent flows -----------------------------------------------------===//

struct silent_settings {
  /// A flow that answers nothing for this long is closed.
  duration Bound = std::chrono::seconds(60);
  /// Of the agent's control budget; a probe counts with headers and its ACK.
  double BytesPerSecond = 2048;
  double ProbeBytes = 97;
};

enum class silent_step { Ping, Close };
struct silent_action {
  flow_key Flow;
  silent_step Step;
};

/// When to probe each flow of an agent, and when to call it silent.
class silent_flows {
public:
  explicit silent_flows(const silent_settings &Settings);
  ~silent_flows();

  void opened(const flow_key &Flow, instant Now);
  /// Anything came from the caller: data, an ACK or a PING's answer.
  void received(const flow_key &Flow, instant Now);
  void closed(const flow_key &Flow);
  /// What to do now; call it a few times a second.
  std::vector<silent_action> tick(instant Now);
  double probeBytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_WORK_H
