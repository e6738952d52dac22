#include "proxy/idempotency_service.h"

namespace marjoramrail::internal {

idempotency_service::idempotency_service(timer_service &Timers,
                                         const idempotency_settings &Settings,
                                         idempotency_hooks Hooks)
    : Timers(Timers), Settings(Settings), Hooks(std::move(Hooks)),
      Replica(Settings.Host, Settings.Incarnation, Settings.Keys,
              Settings.History),
      Claims(Settings.Host, Settings.Incarnation, Settings.Keys),
      TickTimer(Timers.every(Settings.Keys.Resend, [this] { tick(); })) {}

idempotency_service::~idempotency_service() {
  Timers.cancel(TickTimer);
  if (DeliveryScheduled)
    Timers.cancel(DeliveryTimer);
}

void idempotency_service::setView(const key_view &View) {
  post(Replica.applyView(View, Timers.now()));
  post(Claims.applyView(View, Timers.now()));
}

void idempotency_service::receive(const key_message &Message) {
  switch (Message.Kind) {
  case key_message_kind::Claim:
  case key_message_kind::Query:
  case key_message_kind::Settle:
  case key_message_kind::SyncRequest:
  case key_message_kind::SyncRecords:
    return post(Replica.receive(Message, Timers.now()));
  case key_message_kind::ViewMismatch:
    // It answers either a claim or a sync.
    post(Replica.receive(Message, Timers.now()));
    return post(Claims.receive(Message, Timers.now()));
  default:
    return post(Claims.receive(Message, Timers.now()));
  }
}

void idempotency_service::continueAs(std::uint32_t Incarnation) {
  Replica.continueAs(Incarnation, Timers.now());
  Claims.continueAs(Incarnation, Timers.now());
  scheduleDelivery();
}

bool idempotency_service::settled() const {
  return Replica.settled(Timers.now());
}

void idempotency_service::claim(const std::string &Key, request_id Id) {
  // Results are identified by the key only, so a key can have only one claimant
  // at a time.
  if (Claimants.contains(Key) || Abandoned.contains(Key)) {
    PendingResults.emplace_back(
        Id, key_result{Key, key_verdict::RunningElsewhere, ""});
    return scheduleDelivery();
  }
  Claimants[Key] = {Id, false};
  post(Claims.claim(Key, Timers.now()));
}

void idempotency_service::settle(const std::string &Key, request_id Id,
                                 key_state State, const std::string &Outcome) {
  const auto Found = Claimants.find(Key);
  if (Found == Claimants.end() || Found->second.Id != Id)
    return;
  const bool Granted = Found->second.Granted;
  Claimants.erase(Found);
  if (Granted)
    post(Claims.settle(Key, State, Outcome, Timers.now()));
  else
    Abandoned.insert(Key);
}

bool idempotency_service::ended(const std::string &Key) const {
  return !Claimants.contains(Key) && !Abandoned.contains(Key) &&
         Claims.ended(Key);
}

void idempotency_service::post(key_messages Messages) {
  for (key_message &Message : Messages) {
    if (Message.To == Settings.Host)
      ToSelf.push_back(std::move(Message));
    else
      ToPeers[Message.To].push_back(std::move(Message));
  }
  scheduleDelivery();
}

/// Delivers messages and results from the event loop, so that no call into this
/// class calls a hook.
void idempotency_service::scheduleDelivery() {
  if (std::exchange(DeliveryScheduled, true))
    return;
  DeliveryTimer = Timers.after(duration::zero(), [this] {
    DeliveryScheduled = false;
    deliver();
  });
}

void idempotency_service::deliver() {
  while (!ToSelf.empty()) {
    const key_message Message = std::move(ToSelf.front());
    ToSelf.pop_front();
    receive(Message);
  }
  reportResults();
  for (const auto &[Peer, Messages] : std::exchange(ToPeers, {}))
    Hooks.Send(Peer, Messages);
}

void idempotency_service::reportResults() {
  for (const key_result &Result : Claims.results()) {
    if (Abandoned.erase(Result.Key) > 0) {
      if (Result.Verdict == key_verdict::Run)
        post(Claims.settle(Result.Key, key_state::Released, "", Timers.now()));
      continue;
    }
    const auto Found = Claimants.find(Result.Key);
    if (Found == Claimants.end())
      continue;
    PendingResults.emplace_back(Found->second.Id, Result);
    if (Result.Verdict == key_verdict::Run)
      Found->second.Granted = true;
    else
      Claimants.erase(Found);
  }
  for (const auto &[Id, Result] : std::exchange(PendingResults, {}))
    Hooks.OnResult(Id, Result);
}

void idempotency_service::tick() {
  post(Replica.tick(Timers.now()));
  post(Claims.tick(Timers.now()));
}

} // namespace marjoramrail::internal
