/// The records that one agent keeps, and when it grants a key.
///
/// Load pattern: a caller that got no answer sends its amendment again, on
/// another flow, to another agent, while the first may still run. Without a
/// record outside the runner a repeat runs twice and can void a certificate.
/// Both keepers of a key hold its record; one that restarts fetches its records
/// from the other. With both gone the key is refused until every record that
/// may be lost would have expired.
#include "marjoramrail/work.h"

#include "work/key_coverage.h"

namespace marjoramrail {

using namespace internal;

namespace {

/// Records in one message, so that it stays far below a datagram train of
/// 64 kB even when each holds an answer.
constexpr std::size_t SyncBatch = 128;
/// A keeper that could not vouch is asked again after this.
constexpr duration ResyncPeriod = std::chrono::seconds(1);

bool sameAttempt(const key_record &Left, const key_record &Right) {
  return Left.Runner == Right.Runner && Left.Incarnation == Right.Incarnation &&
         Left.Attempt == Right.Attempt;
}

/// Of two attempts: one that ran, then one that may have, then one under way.
int rankOf(key_state State) {
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

/// Of one attempt: done, given back by its runner, unknown, claimed.
int rankWithin(key_state State) {
  return State == key_state::Released ? rankOf(key_state::Unknown) + 1
                                      : rankOf(State) * 2;
}

/// What a keeper goes by that had \p Known and hears of \p Other.
key_record joined(const key_record &Known, const key_record &Other) {
  if (sameAttempt(Known, Other))
    return rankWithin(Other.State) > rankWithin(Known.State) ? Other : Known;
  const bool BothClaimed =
      Known.State == key_state::Claimed && Other.State == key_state::Claimed;
  if (!BothClaimed)
    return rankOf(Other.State) > rankOf(Known.State) ? Other : Known;
  // One of them was granted by a keeper that was not sure and will be given
  // back; with one record for both, that would free the key while the other
  // runs. No attempt has the number 0, so nothing gives this one back.
  key_record Neither = Known;
  Neither.State = key_state::Unknown;
  Neither.Attempt = 0;
  return Neither;
}

} // namespace

struct key_keeper::impl {
  struct kept {
    key_record Record;
    instant At;
  };
  struct sync {
    std::string Cursor;
    instant SentAt;
    bool Finished = false;
  };

  impl(host_id Self, std::uint32_t Incarnation, const key_settings &Settings,
       keeper_past Past)
      : Self(Self), Incarnation(Incarnation), Settings(Settings),
        Coverage(Self, Settings.Lifetime, Past) {}

  bool member() const {
    const key_member *Entry = Ring.member(Self);
    return Entry && !Entry->Down && Entry->Incarnation == Incarnation;
  }
  bool runnerLost(const key_record &Record) const {
    const key_member *Runner = Ring.member(Record.Runner);
    return !Runner || Runner->Down || Runner->Incarnation > Record.Incarnation;
  }

  key_messages take(const key_view &View, instant Now);
  key_message answerTo(const key_message &Asked, key_message_kind Kind) const;
  key_message decide(const key_message &Asked, instant Now);
  key_message grant(const key_message &Asked, instant Now);
  void settle(const key_record &Final, instant Now);
  void expire(instant Now);
  void loseRunners(instant Now);
  key_messages askForRecords(instant Now);
  key_message sendRecords(const key_message &Asked, instant Now) const;
  key_messages takeRecords(const key_message &Message, instant Now);
  void merge(const key_record &Other, instant Now);

  host_id Self;
  std::uint32_t Incarnation;
  key_settings Settings;
  key_ring Ring;
  key_coverage Coverage;
  std::map<std::string, kept> Records;
  std::map<host_id, sync> Syncs;
  instant NextExpiry;
};

key_messages key_keeper::impl::take(const key_view &View, instant Now) {
  const std::uint64_t Before = Ring.digest();
  Ring = key_ring(View);
  if (Ring.digest() == Before)
    return {};
  if (member())
    Coverage.take(View, Now);
  else
    Coverage.lost(Now);
  loseRunners(Now);
  Syncs.clear();
  return askForRecords(Now);
}

/// A runner that is gone may have run its keys: nobody knows, so they are never
/// run again.
void key_keeper::impl::loseRunners(instant Now) {
  for (auto &[Key, Kept] : Records) {
    if (Kept.Record.State != key_state::Claimed || !runnerLost(Kept.Record))
      continue;
    Kept.Record.State = key_state::Unknown;
    Kept.At = Now;
  }
}

key_message key_keeper::impl::answerTo(const key_message &Asked,
                                       key_message_kind Kind) const {
  key_message Answer;
  Answer.Kind = Kind;
  Answer.From = Self;
  Answer.To = Asked.From;
  Answer.Digest = Ring.digest();
  Answer.Record = Asked.Record;
  return Answer;
}

key_message key_keeper::impl::grant(const key_message &Asked, instant Now) {
  if (Asked.Kind == key_message_kind::Claim) {
    Records[Asked.Record.Key] = {Asked.Record, Now};
    Records[Asked.Record.Key].Record.State = key_state::Claimed;
  }
  key_message Answer = answerTo(Asked, key_message_kind::Granted);
  Answer.Sure = Coverage.sure(Asked.Record.Key, Now);
  return Answer;
}

key_message key_keeper::impl::decide(const key_message &Asked, instant Now) {
  const bool Claims = Asked.Kind == key_message_kind::Claim;
  if (Asked.Digest != Ring.digest() || !member())
    return answerTo(Asked, key_message_kind::Behind);
  const auto Found = Records.find(Asked.Record.Key);
  if (Found == Records.end()) {
    if (Claims && Records.size() >= Settings.MaxRecords)
      return answerTo(Asked, key_message_kind::Full);
    return grant(Asked, Now);
  }
  const key_record &Known = Found->second.Record;
  const bool Same = sameAttempt(Known, Asked.Record);
  const bool Given = Known.State == key_state::Released;
  if (Same && Given) {
    // A claim that was given back and arrives again; its runner has moved on.
    return answerTo(Asked, key_message_kind::Behind);
  }
  if (Given || (Same && Known.State == key_state::Claimed))
    return grant(Asked, Now);
  key_message Answer = answerTo(Asked, key_message_kind::Held);
  Answer.Record.State = Known.State;
  Answer.Record.Outcome = Known.Outcome;
  return Answer;
}

void key_keeper::impl::settle(const key_record &Final, instant Now) {
  const auto Found = Records.find(Final.Key);
  if (Found == Records.end()) {
    // A notice can overtake the claim that it ends; kept, it voids the claim.
    // A full keeper refuses that claim, or holds it for a lifetime at worst.
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
  Known = Final.State == key_state::Done ? Final : joined(Known, Final);
}

void key_keeper::impl::expire(instant Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + Settings.Lifetime / 16;
  for (auto Next = Records.begin(); Next != Records.end();) {
    kept &Kept = Next->second;
    if (Now - Kept.At <= Settings.Lifetime) {
      ++Next;
    } else if (Kept.Record.State == key_state::Claimed) {
      // No request runs for so long: its end was lost.
      Kept.Record.State = key_state::Unknown;
      Kept.At = Now;
      ++Next;
    } else {
      Next = Records.erase(Next);
    }
  }
}

key_messages key_keeper::impl::askForRecords(instant Now) {
  key_messages Out;
  if (!member())
    return Out;
  for (const key_member &Peer : Ring.view().Hosts) {
    if (Peer.Host == Self || Peer.Down || !Coverage.needs(Peer.Host, Now))
      continue;
    const bool New = !Syncs.contains(Peer.Host);
    sync &Sync = Syncs[Peer.Host];
    const duration Pause = Sync.Finished ? ResyncPeriod : Settings.Resend;
    if (!New && Now - Sync.SentAt < Pause)
      continue;
    if (Sync.Finished)
      Sync = {};
    Sync.SentAt = Now;
    key_message Ask;
    Ask.Kind = key_message_kind::SyncAsk;
    Ask.From = Self;
    Ask.To = Peer.Host;
    Ask.Digest = Ring.digest();
    Ask.Record.Key = Sync.Cursor;
    Out.push_back(Ask);
  }
  return Out;
}

key_message key_keeper::impl::sendRecords(const key_message &Asked,
                                          instant Now) const {
  key_message Answer = answerTo(Asked, key_message_kind::SyncRecords);
  const std::string &Cursor = Asked.Record.Key;
  auto Next = Cursor.empty() ? Records.begin() : Records.upper_bound(Cursor);
  for (; Next != Records.end() && Answer.Records.size() < SyncBatch; ++Next) {
    if (!contains(Ring.keepers(Next->first), Asked.From))
      continue;
    Answer.Records.push_back(Next->second.Record);
    Answer.Records.back().Age = Now - Next->second.At;
  }
  Answer.Last = Next == Records.end();
  Answer.Vouched = Coverage.vouches(Now);
  return Answer;
}

void key_keeper::impl::merge(const key_record &Other, instant Now) {
  const auto Found = Records.find(Other.Key);
  const kept Given{Other, Now - Other.Age};
  if (Found == Records.end()) {
    Records[Other.Key] = Given;
    return;
  }
  Found->second.Record = joined(Found->second.Record, Other);
  // Whichever is kept stands for both: had the older one hidden a run after its
  // own expiry, the key would be free again too early.
  Found->second.At = std::max(Found->second.At, Given.At);
}

key_messages key_keeper::impl::takeRecords(const key_message &Message,
                                           instant Now) {
  const auto Found = Syncs.find(Message.From);
  const bool Expected = Found != Syncs.end() && !Found->second.Finished &&
                        Found->second.Cursor == Message.Record.Key;
  if (Message.Digest != Ring.digest() || !Expected)
    return {};
  for (const key_record &Record : Message.Records)
    merge(Record, Now);
  loseRunners(Now);
  sync &Sync = Found->second;
  if (Message.Last) {
    Sync.Finished = true;
    Coverage.vouched(Message.From, Message.Vouched);
    return {};
  }
  Sync.Cursor = Message.Records.back().Key;
  Sync.SentAt = instant();
  return askForRecords(Now);
}

key_keeper::key_keeper(host_id Self, std::uint32_t Incarnation,
                       const key_settings &Settings, keeper_past Past)
    : Impl(std::make_unique<impl>(Self, Incarnation, Settings, Past)) {}

key_keeper::~key_keeper() = default;

key_messages key_keeper::take(const key_view &View, instant Now) {
  return Impl->take(View, Now);
}

key_messages key_keeper::receive(const key_message &Message, instant Now) {
  Impl->expire(Now);
  switch (Message.Kind) {
  case key_message_kind::Claim:
  case key_message_kind::Query:
    return {Impl->decide(Message, Now)};
  case key_message_kind::Settle:
    Impl->settle(Message.Record, Now);
    return {Impl->answerTo(Message, key_message_kind::SettleAck)};
  case key_message_kind::SyncAsk:
    if (Message.Digest != Impl->Ring.digest() || !Impl->member())
      return {};
    return {Impl->sendRecords(Message, Now)};
  case key_message_kind::SyncRecords:
    return Impl->takeRecords(Message, Now);
  default:
    return {};
  }
}

key_messages key_keeper::tick(instant Now) {
  Impl->expire(Now);
  return Impl->askForRecords(Now);
}

void key_keeper::lapsed(std::uint32_t Incarnation, instant Now) {
  Impl->Incarnation = Incarnation;
  Impl->Coverage.lost(Now);
  Impl->Syncs.clear();
}

std::size_t key_keeper::records() const { return Impl->Records.size(); }

bool key_keeper::settled(instant Now) const {
  return Impl->member() && Impl->Coverage.settled(Now);
}

} // namespace marjoramrail
