/// Stores key records of one agent and decides when to grant a key.
///
/// Load pattern: a caller that got no answer repeats its amendment on another
/// flow, to another agent, while the first attempt may still run. Without a
/// record outside the runner the repeat would run as well and could void a
/// certificate. Both replicas of a key store its record, and a replica that
/// restarts fetches its records from the other. If both are lost, the key is
/// refused until every record that may have been lost would have expired.
#include "marjoramrail/work.h"

#include "work/record_completeness.h"

namespace marjoramrail {

using namespace internal;

namespace {

/// Maximum number of records in one message; keeps it far below a datagram
/// train of 64 kB even when each record holds an answer.
constexpr std::size_t SyncBatch = 128;
/// Interval at which records are requested again from a replica whose own
/// records were incomplete.
constexpr duration ResyncPeriod = std::chrono::seconds(1);

bool sameAttempt(const key_record &Left, const key_record &Right) {
  return Left.Runner == Right.Runner && Left.Incarnation == Right.Incarnation &&
         Left.Attempt == Right.Attempt;
}

/// Rank of states of two different attempts: one that ran, then one that may
/// have run, then one that is running.
int rankAcrossAttempts(key_state State) {
  switch (State) {
  case key_state::Done:
    return 3;
  case key_state::Unknown:
    return 2;
  case key_state::Claimed:
    return 1;
  case key_state::Released:
    return 0;
  }
  return 2;
}

/// Rank of states of the same attempt. A claim that its runner has returned was
/// certainly not run, also if the runner counts as lost and a replica has
/// therefore marked the outcome as unknown.
int rankWithinAttempt(key_state State) {
  switch (State) {
  case key_state::Done:
    return 3;
  case key_state::Released:
    return 2;
  case key_state::Unknown:
    return 1;
  case key_state::Claimed:
    return 0;
  }
  return 1;
}

/// Merges the stored record \p Known with another replica's record \p Other.
key_record mergedRecord(const key_record &Known, const key_record &Other) {
  if (sameAttempt(Known, Other))
    return rankWithinAttempt(Other.State) > rankWithinAttempt(Known.State)
               ? Other
               : Known;
  const bool BothClaimed =
      Known.State == key_state::Claimed && Other.State == key_state::Claimed;
  if (!BothClaimed)
    return rankAcrossAttempts(Other.State) > rankAcrossAttempts(Known.State)
               ? Other
               : Known;
  // One of them was granted by a replica with incomplete records and will be
  // returned. With one record for both, that would free the key while the other
  // attempt runs. No attempt has the number 0, so this merged record cannot be
  // returned.
  key_record Unresolved = Known;
  Unresolved.State = key_state::Unknown;
  Unresolved.Attempt = 0;
  return Unresolved;
}

} // namespace

struct key_replica::impl {
  struct stored_record {
    key_record Record;
    instant At;
  };
  struct sync {
    std::string Cursor;
    instant SentAt;
    bool Finished = false;
  };

  impl(host_id Self, std::uint32_t Incarnation, const key_settings &Settings,
       replica_history History)
      : Self(Self), Incarnation(Incarnation), Settings(Settings),
        Completeness(Self, Settings.Lifetime, History) {}

  bool member() const {
    const key_member *Entry = Ring.member(Self);
    return Entry && !Entry->Down && Entry->Incarnation == Incarnation;
  }
  bool runnerLost(const key_record &Record) const {
    const key_member *Runner = Ring.member(Record.Runner);
    return !Runner || Runner->Down || Runner->Incarnation > Record.Incarnation;
  }

  key_messages applyView(const key_view &View, instant Now);
  key_message answerTo(const key_message &Request, key_message_kind Kind) const;
  key_message decide(const key_message &Request, instant Now);
  key_message grant(const key_message &Request, instant Now);
  void settle(const key_record &Final, instant Now);
  void expire(instant Now);
  void markLostRunnersUnknown(instant Now);
  key_messages requestRecords(instant Now);
  key_message sendRecords(const key_message &Request, instant Now) const;
  key_messages receiveRecords(const key_message &Message, instant Now);
  void merge(const key_record &Other, instant Now);

  host_id Self;
  std::uint32_t Incarnation;
  key_settings Settings;
  key_ring Ring;
  record_completeness Completeness;
  std::map<std::string, stored_record> Records;
  std::map<host_id, sync> Syncs;
  instant NextExpiry;
};

key_messages key_replica::impl::applyView(const key_view &View, instant Now) {
  const std::uint64_t Before = Ring.digest();
  Ring = key_ring(View);
  if (Ring.digest() == Before)
    return {};
  if (member())
    Completeness.take(View, Now);
  else
    Completeness.resetRecords(Now);
  markLostRunnersUnknown(Now);
  Syncs.clear();
  return requestRecords(Now);
}

/// A lost runner may have run its keys. Nobody knows the outcome, so these keys
/// never run again.
void key_replica::impl::markLostRunnersUnknown(instant Now) {
  for (auto &[Key, Stored] : Records) {
    if (Stored.Record.State != key_state::Claimed || !runnerLost(Stored.Record))
      continue;
    Stored.Record.State = key_state::Unknown;
    Stored.At = Now;
  }
}

key_message key_replica::impl::answerTo(const key_message &Request,
                                        key_message_kind Kind) const {
  key_message Answer;
  Answer.Kind = Kind;
  Answer.From = Self;
  Answer.To = Request.From;
  Answer.Digest = Ring.digest();
  Answer.Record = Request.Record;
  return Answer;
}

key_message key_replica::impl::grant(const key_message &Request, instant Now) {
  if (Request.Kind == key_message_kind::Claim) {
    Records[Request.Record.Key] = {Request.Record, Now};
    Records[Request.Record.Key].Record.State = key_state::Claimed;
  }
  key_message Answer = answerTo(Request, key_message_kind::Granted);
  Answer.RecordsComplete = Completeness.isCompleteFor(Request.Record.Key, Now);
  return Answer;
}

key_message key_replica::impl::decide(const key_message &Request, instant Now) {
  const bool Claims = Request.Kind == key_message_kind::Claim;
  if (Request.Digest != Ring.digest() || !member())
    return answerTo(Request, key_message_kind::ViewMismatch);
  const auto Found = Records.find(Request.Record.Key);
  if (Found == Records.end()) {
    if (Claims && Records.size() >= Settings.MaxRecords)
      return answerTo(Request, key_message_kind::Full);
    return grant(Request, Now);
  }
  const key_record &Known = Found->second.Record;
  const bool Same = sameAttempt(Known, Request.Record);
  const bool WasReleased = Known.State == key_state::Released;
  if (Same && WasReleased) {
    // A delayed copy of a claim that was returned; its runner no longer waits
    // for it.
    return answerTo(Request, key_message_kind::ViewMismatch);
  }
  if (WasReleased || (Same && Known.State == key_state::Claimed))
    return grant(Request, Now);
  key_message Answer = answerTo(Request, key_message_kind::Held);
  Answer.Record.State = Known.State;
  Answer.Record.Outcome = Known.Outcome;
  return Answer;
}

void key_replica::impl::settle(const key_record &Final, instant Now) {
  const auto Found = Records.find(Final.Key);
  if (Found == Records.end()) {
    // A settle notice can overtake the claim that it ends; if it is stored, it
    // voids the claim. A full replica refuses that claim, or in the worst case
    // keeps it for one lifetime.
    const bool Full = Records.size() >= Settings.MaxRecords;
    if (Full && Final.State == key_state::Released)
      return;
    Records[Final.Key] = {Final, Now};
    return;
  }
  key_record &Known = Found->second.Record;
  const bool MayHaveRun = Final.State != key_state::Released;
  const bool Ends = sameAttempt(Known, Final) && Known.State != Final.State;
  if (MayHaveRun || Ends)
    Found->second.At = Now;
  Known = Final.State == key_state::Done ? Final : mergedRecord(Known, Final);
}

void key_replica::impl::expire(instant Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + Settings.Lifetime / 16;
  for (auto Next = Records.begin(); Next != Records.end();) {
    stored_record &Stored = Next->second;
    if (Now - Stored.At <= Settings.Lifetime) {
      ++Next;
    } else if (Stored.Record.State == key_state::Claimed) {
      // No request runs for so long, so the message that ended it was lost.
      Stored.Record.State = key_state::Unknown;
      Stored.At = Now;
      ++Next;
    } else {
      Next = Records.erase(Next);
    }
  }
}

key_messages key_replica::impl::requestRecords(instant Now) {
  key_messages Out;
  if (!member())
    return Out;
  for (const key_member &Peer : Ring.view().Hosts) {
    if (Peer.Host == Self || Peer.Down ||
        !Completeness.needsRecordsFrom(Peer.Host, Now))
      continue;
    const bool New = !Syncs.contains(Peer.Host);
    sync &Sync = Syncs[Peer.Host];
    const duration Pause = Sync.Finished ? ResyncPeriod : Settings.Resend;
    if (!New && Now - Sync.SentAt < Pause)
      continue;
    if (Sync.Finished)
      Sync = {};
    Sync.SentAt = Now;
    key_message SyncRequest;
    SyncRequest.Kind = key_message_kind::SyncRequest;
    SyncRequest.From = Self;
    SyncRequest.To = Peer.Host;
    SyncRequest.Digest = Ring.digest();
    SyncRequest.Record.Key = Sync.Cursor;
    Out.push_back(SyncRequest);
  }
  return Out;
}

key_message key_replica::impl::sendRecords(const key_message &Request,
                                           instant Now) const {
  key_message Answer = answerTo(Request, key_message_kind::SyncRecords);
  const std::string &Cursor = Request.Record.Key;
  auto Next = Cursor.empty() ? Records.begin() : Records.upper_bound(Cursor);
  for (; Next != Records.end() && Answer.Records.size() < SyncBatch; ++Next) {
    if (!contains(Ring.replicas(Next->first), Request.From))
      continue;
    Answer.Records.push_back(Next->second.Record);
    Answer.Records.back().Age = Now - Next->second.At;
  }
  Answer.Last = Next == Records.end();
  Answer.CompleteGenerations = Completeness.completeGenerations(Now);
  return Answer;
}

void key_replica::impl::merge(const key_record &Other, instant Now) {
  const auto Found = Records.find(Other.Key);
  const stored_record Received{Other, Now - Other.Age};
  if (Found == Records.end()) {
    Records[Other.Key] = Received;
    return;
  }
  Found->second.Record = mergedRecord(Found->second.Record, Other);
  // The merged record stands for both. If the older time were kept, the record
  // could expire too early for the run that it hides, and the key would be free
  // again.
  Found->second.At = std::max(Found->second.At, Received.At);
}

key_messages key_replica::impl::receiveRecords(const key_message &Message,
                                               instant Now) {
  const auto Found = Syncs.find(Message.From);
  const bool Expected = Found != Syncs.end() && !Found->second.Finished &&
                        Found->second.Cursor == Message.Record.Key;
  if (Message.Digest != Ring.digest() || !Expected)
    return {};
  for (const key_record &Record : Message.Records)
    merge(Record, Now);
  markLostRunnersUnknown(Now);
  sync &Sync = Found->second;
  if (Message.Last) {
    Sync.Finished = true;
    Completeness.recordsReceived(Message.From, Message.CompleteGenerations);
    return {};
  }
  Sync.Cursor = Message.Records.back().Key;
  Sync.SentAt = instant();
  return requestRecords(Now);
}

key_replica::key_replica(host_id Self, std::uint32_t Incarnation,
                         const key_settings &Settings, replica_history History)
    : Impl(std::make_unique<impl>(Self, Incarnation, Settings, History)) {}

key_replica::~key_replica() = default;

key_messages key_replica::applyView(const key_view &View, instant Now) {
  return Impl->applyView(View, Now);
}

key_messages key_replica::receive(const key_message &Message, instant Now) {
  Impl->expire(Now);
  switch (Message.Kind) {
  case key_message_kind::Claim:
  case key_message_kind::Query:
    return {Impl->decide(Message, Now)};
  case key_message_kind::Settle:
    Impl->settle(Message.Record, Now);
    return {Impl->answerTo(Message, key_message_kind::SettleAck)};
  case key_message_kind::SyncRequest:
    if (Message.Digest != Impl->Ring.digest() || !Impl->member())
      return {};
    return {Impl->sendRecords(Message, Now)};
  case key_message_kind::SyncRecords:
    return Impl->receiveRecords(Message, Now);
  default:
    return {};
  }
}

key_messages key_replica::tick(instant Now) {
  Impl->expire(Now);
  return Impl->requestRecords(Now);
}

void key_replica::continueAs(std::uint32_t Incarnation, instant Now) {
  Impl->Incarnation = Incarnation;
  Impl->Completeness.resetRecords(Now);
  Impl->Syncs.clear();
}

std::size_t key_replica::records() const { return Impl->Records.size(); }

bool key_replica::settled(instant Now) const {
  return Impl->member() && Impl->Completeness.settled(Now);
}

} // namespace marjoramrail
