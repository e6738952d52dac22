#include "proxy/key_desk.h"

namespace marjoramrail::internal {

key_desk::key_desk(timer_service &Timers, const key_desk_settings &Settings,
                   key_desk_hooks Hooks)
    : Timers(Timers), Settings(Settings), Hooks(std::move(Hooks)),
      Keeper(Settings.Host, Settings.Incarnation, Settings.Keys, Settings.Past),
      Claims(Settings.Host, Settings.Incarnation, Settings.Keys),
      Ticker(Timers.every(Settings.Keys.Resend, [this] { tick(); })) {}

key_desk::~key_desk() {
  Timers.cancel(Ticker);
  if (WakeSet)
    Timers.cancel(Waker);
}

void key_desk::takeView(const key_view &View) {
  post(Keeper.take(View, Timers.now()));
  post(Claims.take(View, Timers.now()));
}

void key_desk::receive(const key_message &Message) {
  switch (Message.Kind) {
  case key_message_kind::Claim:
  case key_message_kind::Query:
  case key_message_kind::Settle:
  case key_message_kind::SyncRequest:
  case key_message_kind::SyncRecords:
    return post(Keeper.receive(Message, Timers.now()));
  case key_message_kind::ViewMismatch:
    // To whoever asked: a claim or a sync.
    post(Keeper.receive(Message, Timers.now()));
    return post(Claims.receive(Message, Timers.now()));
  default:
    return post(Claims.receive(Message, Timers.now()));
  }
}

void key_desk::lapsed(std::uint32_t Incarnation) {
  Keeper.lapsed(Incarnation, Timers.now());
  Claims.lapsed(Incarnation, Timers.now());
  wake();
}

bool key_desk::settled() const { return Keeper.settled(Timers.now()); }

void key_desk::claim(const std::string &Key, request_id Id) {
  // Results name the key alone, so one key has one claimant at a time.
  if (Claimants.contains(Key) || Abandoned.contains(Key)) {
    Ready.emplace_back(Id, key_result{Key, key_verdict::RunningElsewhere, ""});
    return wake();
  }
  Claimants[Key] = {Id, false};
  post(Claims.claim(Key, Timers.now()));
}

void key_desk::settle(const std::string &Key, request_id Id, key_state State,
                      const std::string &Outcome) {
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

bool key_desk::ended(const std::string &Key) const {
  return !Claimants.contains(Key) && !Abandoned.contains(Key) &&
         Claims.ended(Key);
}

void key_desk::post(key_messages Messages) {
  for (key_message &Message : Messages) {
    if (Message.To == Settings.Host)
      ToSelf.push_back(std::move(Message));
    else
      ToPeers[Message.To].push_back(std::move(Message));
  }
  wake();
}

/// Goes on from the loop: a call into this class never calls back.
void key_desk::wake() {
  if (std::exchange(WakeSet, true))
    return;
  Waker = Timers.after(duration::zero(), [this] {
    WakeSet = false;
    deliver();
  });
}

void key_desk::deliver() {
  while (!ToSelf.empty()) {
    const key_message Message = std::move(ToSelf.front());
    ToSelf.pop_front();
    receive(Message);
  }
  giveResults();
  for (const auto &[Peer, Messages] : std::exchange(ToPeers, {}))
    Hooks.Send(Peer, Messages);
}

void key_desk::giveResults() {
  for (const key_result &Result : Claims.results()) {
    if (Abandoned.erase(Result.Key) > 0) {
      if (Result.Verdict == key_verdict::Run)
        post(Claims.settle(Result.Key, key_state::Released, "", Timers.now()));
      continue;
    }
    const auto Found = Claimants.find(Result.Key);
    if (Found == Claimants.end())
      continue;
    Ready.emplace_back(Found->second.Id, Result);
    if (Result.Verdict == key_verdict::Run)
      Found->second.Granted = true;
    else
      Claimants.erase(Found);
  }
  for (const auto &[Id, Result] : std::exchange(Ready, {}))
    Hooks.OnResult(Id, Result);
}

void key_desk::tick() {
  post(Keeper.tick(Timers.now()));
  post(Claims.tick(Timers.now()));
}

} // namespace marjoramrail::internal
