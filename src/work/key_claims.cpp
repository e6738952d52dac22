/// Claims of one agent: a non-idempotent request runs only after every live
/// replica of its key has granted it and at least one of them had complete
/// records.
///
/// Messages may be lost, duplicated or late, the view may change between two
/// answers, and this agent may be paused. Therefore an answer counts only for
/// the attempt and the view for which it was requested, a claim that takes too
/// long is returned, and the end of a claim is sent until each replica has
/// acknowledged it.
#include "marjoramrail/work.h"

#include "work/key_ring.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

namespace {

/// Settle notices to a replica that does not answer are sent with increasing
/// intervals, up to this many times the resend period.
constexpr int MaxBackoff = 16;
/// After a refusal, other replicas that may know the outcome get ClaimTimeout
/// divided by this to answer.
constexpr int RefusalTimeoutDivisor = 4;

} // namespace

struct key_claims::impl {
  struct attempt {
    key_record Record;
    instant Since;
    instant SentAt;
    bool Running = false;
    bool RecordsComplete = false;
    std::vector<host_id> Replicas;
    std::size_t Next = 0;
    /// Replicas that may have recorded this claim.
    std::set<host_id> Contacted;
    std::optional<key_verdict> Refusal;
  };
  struct notice {
    key_record Record;
    instant SentAt;
    int Backoff = 1;
  };
  using attempts = std::map<std::string, attempt>;

  bool member() const {
    const key_member *Entry = Ring.member(Self);
    return Entry && !Entry->Down && Entry->Incarnation == Incarnation;
  }

  void begin(attempt &Attempt, instant Now);
  void sendClaim(attempt &Attempt, instant Now);
  void take(attempt &Attempt, const key_message &Answer, instant Now);
  void onHeld(attempt &Attempt, const key_message &Answer, instant Now);
  void conclude(const std::string &Key, instant Now);
  void end(const std::string &Key, key_verdict Verdict, key_state State,
           instant Now);
  void notify(const attempt &Attempt, instant Now);
  void resend(instant Now);
  bool overdue(const attempt &Attempt, instant Now) const;
  void endOverdue(instant Now);
  key_messages takeOutbox() { return std::exchange(Outbox, {}); }

  host_id Self{};
  std::uint32_t Incarnation = 0;
  key_settings Settings;
  key_ring Ring;
  std::uint64_t LastAttempt = 0;
  attempts Attempts;
  std::map<std::pair<std::string, host_id>, notice> Notices;
  key_messages Outbox;
  std::vector<key_result> Results;
};

void key_claims::impl::begin(attempt &Attempt, instant Now) {
  Attempt.Replicas = Ring.liveReplicas(Attempt.Record.Key);
  Attempt.Next = 0;
  Attempt.RecordsComplete = false;
  sendClaim(Attempt, Now);
}

void key_claims::impl::sendClaim(attempt &Attempt, instant Now) {
  if (Attempt.Next == Attempt.Replicas.size()) {
    conclude(Attempt.Record.Key, Now);
    return;
  }
  const host_id Replica = Attempt.Replicas[Attempt.Next];
  key_message Message;
  Message.Kind =
      Attempt.Refusal ? key_message_kind::Query : key_message_kind::Claim;
  Message.From = Self;
  Message.To = Replica;
  Message.Digest = Ring.digest();
  Message.Record = Attempt.Record;
  if (!Attempt.Refusal)
    Attempt.Contacted.insert(Replica);
  Attempt.SentAt = Now;
  Outbox.push_back(std::move(Message));
}

void key_claims::impl::take(attempt &Attempt, const key_message &Answer,
                            instant Now) {
  switch (Answer.Kind) {
  case key_message_kind::Granted:
    Attempt.RecordsComplete = Attempt.RecordsComplete || Answer.RecordsComplete;
    ++Attempt.Next;
    sendClaim(Attempt, Now);
    return;
  case key_message_kind::Held:
    onHeld(Attempt, Answer, Now);
    return;
  case key_message_kind::Full:
    Attempt.Refusal = key_verdict::Full;
    conclude(Attempt.Record.Key, Now);
    return;
  default:
    return; // ViewMismatch: tick() sends the message again.
  }
}

/// Queries the remaining replicas as well, because the end of a run may have
/// reached only one of them.
void key_claims::impl::onHeld(attempt &Attempt, const key_message &Answer,
                              instant Now) {
  const key_state State = Answer.Record.State;
  if (State == key_state::Done) {
    Attempt.Refusal = key_verdict::Done;
    Attempt.Record.Outcome = Answer.Record.Outcome;
    conclude(Attempt.Record.Key, Now);
    return;
  }
  if (State == key_state::Unknown)
    Attempt.Refusal = key_verdict::Unknown;
  else if (!Attempt.Refusal)
    Attempt.Refusal = key_verdict::RunningElsewhere;
  ++Attempt.Next;
  sendClaim(Attempt, Now);
}

void key_claims::impl::conclude(const std::string &Key, instant Now) {
  attempt &Attempt = Attempts.at(Key);
  if (Attempt.Refusal) {
    end(Key, *Attempt.Refusal, key_state::Released, Now);
    return;
  }
  if (!Attempt.RecordsComplete) {
    end(Key, key_verdict::RecordsIncomplete, key_state::Released, Now);
    return;
  }
  Attempt.Running = true;
  Results.push_back({Key, key_verdict::Run, ""});
}

void key_claims::impl::end(const std::string &Key, key_verdict Verdict,
                           key_state State, instant Now) {
  const auto Found = Attempts.find(Key);
  attempt Attempt = std::move(Found->second);
  Attempts.erase(Found);
  // Key may refer to the erased attempt, so it is not used here.
  Results.push_back({Attempt.Record.Key, Verdict, Attempt.Record.Outcome});
  Attempt.Record.State = State;
  Attempt.Record.Outcome.clear();
  notify(Attempt, Now);
}

void key_claims::impl::notify(const attempt &Attempt, instant Now) {
  for (const host_id Replica : Attempt.Contacted) {
    Notices[{Attempt.Record.Key, Replica}] = {Attempt.Record, instant(), 1};
  }
  resend(Now);
}

void key_claims::impl::resend(instant Now) {
  std::erase_if(
      Notices, [&](const auto &Entry) { return !Ring.up(Entry.first.second); });
  for (auto &[KeyAndReplica, Notice] : Notices) {
    const bool First = Notice.SentAt == instant();
    if (!First && Now - Notice.SentAt < Settings.Resend * Notice.Backoff)
      continue;
    if (!First)
      Notice.Backoff = std::min(Notice.Backoff * 2, MaxBackoff);
    Notice.SentAt = Now;
    key_message Message;
    Message.Kind = key_message_kind::Settle;
    Message.From = Self;
    Message.To = KeyAndReplica.second;
    Message.Digest = Ring.digest();
    Message.Record = Notice.Record;
    Outbox.push_back(std::move(Message));
  }
}

bool key_claims::impl::overdue(const attempt &Attempt, instant Now) const {
  const duration Timeout = Attempt.Refusal
                               ? Settings.ClaimTimeout / RefusalTimeoutDivisor
                               : Settings.ClaimTimeout;
  return !Attempt.Running && Now - Attempt.Since > Timeout;
}

void key_claims::impl::endOverdue(instant Now) {
  std::vector<std::string> Overdue;
  for (const auto &[Key, Attempt] : Attempts)
    if (overdue(Attempt, Now))
      Overdue.push_back(Key);
  for (const std::string &Key : Overdue)
    end(Key, Attempts.at(Key).Refusal.value_or(key_verdict::NoAnswer),
        key_state::Released, Now);
}

key_claims::key_claims(host_id Self, std::uint32_t Incarnation,
                       const key_settings &Settings)
    : Impl(std::make_unique<impl>()) {
  Impl->Self = Self;
  Impl->Incarnation = Incarnation;
  Impl->Settings = Settings;
}

key_claims::~key_claims() = default;

key_messages key_claims::applyView(const key_view &View, instant Now) {
  const std::uint64_t Before = Impl->Ring.digest();
  Impl->Ring = key_ring(View);
  if (Impl->Ring.digest() == Before)
    return {};
  std::vector<std::string> Pending;
  for (const auto &[Key, Attempt] : Impl->Attempts)
    if (!Attempt.Running)
      Pending.push_back(Key);
  for (const std::string &Key : Pending) {
    impl::attempt &Attempt = Impl->Attempts.at(Key);
    if (!Impl->member() || Attempt.Refusal)
      Impl->end(Key, Attempt.Refusal.value_or(key_verdict::RecordsIncomplete),
                key_state::Released, Now);
    else
      Impl->begin(Attempt, Now);
  }
  return Impl->takeOutbox();
}

key_messages key_claims::claim(const std::string &Key, instant Now) {
  const auto Refuse = [&](key_verdict Verdict, const std::string &Outcome) {
    Impl->Results.push_back({Key, Verdict, Outcome});
    return key_messages();
  };
  if (Impl->Attempts.contains(Key))
    return Refuse(key_verdict::RunningElsewhere, "");
  const auto Notice = Impl->Notices.lower_bound({Key, host_id{0}});
  if (Notice != Impl->Notices.end() && Notice->first.first == Key) {
    // The notices of a new claim would replace these, and a replica would keep
    // the old claim for its lifetime.
    const key_record &Last = Notice->second.Record;
    const bool Done = Last.State == key_state::Done;
    return Refuse(Done ? key_verdict::Done : key_verdict::RunningElsewhere,
                  Last.Outcome);
  }
  if (open() >= Impl->Settings.MaxRecords)
    return Refuse(key_verdict::Full, "");
  if (!Impl->member())
    return Refuse(key_verdict::RecordsIncomplete, "");
  impl::attempt &Attempt = Impl->Attempts[Key];
  Attempt.Record.Key = Key;
  Attempt.Record.Runner = Impl->Self;
  Attempt.Record.Incarnation = Impl->Incarnation;
  Attempt.Record.Attempt = ++Impl->LastAttempt;
  Attempt.Since = Now;
  Impl->begin(Attempt, Now);
  return Impl->takeOutbox();
}

key_messages key_claims::receive(const key_message &Message, instant Now) {
  Impl->endOverdue(Now);
  const key_record &Record = Message.Record;
  if (Message.Kind == key_message_kind::SettleAck) {
    const auto Found = Impl->Notices.find({Record.Key, Message.From});
    if (Found != Impl->Notices.end() &&
        Found->second.Record.Attempt == Record.Attempt)
      Impl->Notices.erase(Found);
    return Impl->takeOutbox();
  }
  const auto Found = Impl->Attempts.find(Record.Key);
  if (Found == Impl->Attempts.end() || Found->second.Running)
    return Impl->takeOutbox();
  impl::attempt &Attempt = Found->second;
  const bool Expected = Attempt.Next < Attempt.Replicas.size() &&
                        Attempt.Replicas[Attempt.Next] == Message.From &&
                        Attempt.Record.Attempt == Record.Attempt;
  if (Expected && Message.Digest == Impl->Ring.digest())
    Impl->take(Attempt, Message, Now);
  return Impl->takeOutbox();
}

key_messages key_claims::tick(instant Now) {
  Impl->endOverdue(Now);
  std::vector<std::string> Unanswered;
  for (const auto &[Key, Attempt] : Impl->Attempts)
    if (!Attempt.Running && Now - Attempt.SentAt >= Impl->Settings.Resend)
      Unanswered.push_back(Key);
  for (const std::string &Key : Unanswered)
    Impl->sendClaim(Impl->Attempts.at(Key), Now);
  Impl->resend(Now);
  return Impl->takeOutbox();
}

key_messages key_claims::settle(const std::string &Key, key_state State,
                                const std::string &Outcome, instant Now) {
  const auto Found = Impl->Attempts.find(Key);
  if (Found == Impl->Attempts.end() || !Found->second.Running)
    return {};
  impl::attempt Attempt = std::move(Found->second);
  Impl->Attempts.erase(Found);
  Attempt.Record.State = State;
  if (Outcome.size() <= Impl->Settings.MaxOutcome)
    Attempt.Record.Outcome = Outcome;
  for (const host_id Replica : Impl->Ring.liveReplicas(Key))
    Attempt.Contacted.insert(Replica);
  Impl->notify(Attempt, Now);
  return Impl->takeOutbox();
}

void key_claims::continueAs(std::uint32_t Incarnation, instant Now) {
  std::vector<std::string> Pending;
  for (const auto &[Key, Attempt] : Impl->Attempts)
    if (!Attempt.Running)
      Pending.push_back(Key);
  for (const std::string &Key : Pending)
    Impl->end(Key, key_verdict::RecordsIncomplete, key_state::Released, Now);
  Impl->Incarnation = Incarnation;
}

std::vector<key_result> key_claims::results() {
  return std::exchange(Impl->Results, {});
}

bool key_claims::ended(const std::string &Key) const {
  const auto Notice = Impl->Notices.lower_bound({Key, host_id{0}});
  const bool Noticed =
      Notice != Impl->Notices.end() && Notice->first.first == Key;
  return !Noticed && !Impl->Attempts.contains(Key);
}

std::size_t key_claims::open() const {
  return Impl->Attempts.size() + Impl->Notices.size();
}

} // namespace marjoramrail
