#include "fleet/datagrams.h"
#include "fleet/message.h"
#include "fleet/rendezvous.h"
#include "fleet/view_delta.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

struct heartbeat_sender::impl {
  timer_service &Timers;
  heartbeat_settings Settings;
  heartbeat_hooks Hooks;
  /// The destinations of heartbeats, as assigned by a balancer; empty until the
  /// first assignment.
  std::vector<endpoint> Balancers;
  std::optional<instant> LastReceived;
  piece_joiner Joiner;
  std::uint32_t LastMessage = 0;
  std::uint64_t DecodeErrors = 0;
  membership View;
  std::uint64_t Rounds = 0;
  timer_id Timer{};

  impl(timer_service &Service, heartbeat_settings Given,
       heartbeat_hooks GivenHooks)
      : Timers(Service), Settings(std::move(Given)),
        Hooks(std::move(GivenHooks)) {}

  void send(const endpoint &To, const message &Message) {
    const auto Bytes = encode(Message);
    sendInPieces(Bytes, ++LastMessage,
                 [&](fleet_bytes Piece) { Hooks.Send(To, Piece); });
  }

  host_heartbeat describe() const {
    return {Settings.Service, Settings.Host,    Settings.Zone,
            Settings.Agent,   Settings.Relay,   Settings.Incarnation,
            Settings.Slots,   Hooks.Describe(), hashOfEndpoints(Balancers)};
  }

  /// True if no balancer has replied for four periods. Then the seeds are
  /// contacted again in turn: if all assigned balancers stopped responding, the
  /// host would otherwise stay unknown for ever.
  bool cutOff() const {
    constexpr int MaxPeriodsWithoutReply = 4;
    return !LastReceived || Timers.now() - *LastReceived >
                                MaxPeriodsWithoutReply * Settings.Period;
  }

  /// \p ToAll: sends to all assigned balancers, not only to the first.
  void sendHeartbeats(bool ToAll) {
    ++Rounds;
    const host_heartbeat Mine = describe();
    for (std::size_t I = 0; I < Balancers.size(); ++I)
      if (I == 0 || ToAll || Rounds % PeriodsPerSecondary == 0)
        send(Balancers[I], Mine);
    if (Settings.Seeds.empty() || !cutOff())
      return;
    for (std::size_t I = 0; I < Settings.Fanout; ++I) {
      const std::size_t At = (Rounds + I) % Settings.Seeds.size();
      if (I < Settings.Seeds.size())
        send(Settings.Seeds[At], Mine);
    }
  }

  void take(const endpoint &, const assignment &Assigned) {
    if (Assigned.Balancers.empty())
      return;
    Balancers = Assigned.Balancers;
  }

  void take(const endpoint &From, const host_ping &) { send(From, describe()); }

  void take(const endpoint &, const view_full &Full) {
    applyView(Full.Members);
  }

  void take(const endpoint &, const view_delta &Delta) {
    if (const auto Next = applyDelta(View, Delta))
      applyView(*Next);
  }

  void applyView(const membership &Members) {
    if (Members.View.Name != Settings.Service ||
        Members.View.Version <= View.View.Version)
      return;
    View = Members;
    const auto Ended = endedIncarnation(Members);
    if (Ended)
      Settings.Incarnation = *Ended + 1;
    Hooks.OnView(Members);
    if (!Ended)
      return;
    if (Hooks.OnDeclaredDead)
      Hooks.OnDeclaredDead(Settings.Incarnation);
    sendHeartbeats(true);
  }

  /// An incarnation that is not below this one and has ended, so that this
  /// process must continue above it.
  ///
  /// The fleet may have declared this incarnation dead. Callers have been told
  /// that its flows are lost, so continuing under the same number would revive
  /// flows that other targets may have answered for. Or an earlier process had
  /// a higher number, because the time of day was stepped back since its start;
  /// balancers ignore the heartbeats of a lower one.
  std::optional<std::uint32_t>
  endedIncarnation(const membership &Members) const {
    const auto Place = findTarget(Members, Settings.Agent);
    if (!Place)
      return std::nullopt;
    const target &Me = Members.View.Targets[*Place];
    const bool IsDead = Me.State == target_state::Down &&
                        Me.Incarnation == Settings.Incarnation;
    if (!IsDead && Me.Incarnation <= Settings.Incarnation)
      return std::nullopt;
    return Me.Incarnation;
  }

  template <typename Other> void take(const endpoint &, const Other &) {
    ++DecodeErrors;
  }
};

std::optional<std::size_t> findTarget(const membership &Members,
                                      const endpoint &Agent) {
  const auto &Targets = Members.View.Targets;
  const auto Found =
      std::find_if(Targets.begin(), Targets.end(),
                   [&](const target &Other) { return Other.Agent == Agent; });
  if (Found == Targets.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Targets.begin());
}

heartbeat_sender::heartbeat_sender(timer_service &Timers,
                                   heartbeat_settings Settings,
                                   heartbeat_hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Settings),
                                  std::move(Hooks))) {
  impl *Self = Impl.get();
  Self->Timer = Timers.every(Self->Settings.Period,
                             [Self] { Self->sendHeartbeats(false); });
}

heartbeat_sender::~heartbeat_sender() { Impl->Timers.cancel(Impl->Timer); }

void heartbeat_sender::input(const endpoint &From, fleet_bytes Bytes) {
  bool Fault = false;
  const auto Joined = Impl->Joiner.add(From, Bytes, Fault);
  Impl->DecodeErrors += Fault ? 1 : 0;
  if (!Joined)
    return;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Message, decode(*Joined));
    Impl->LastReceived = Impl->Timers.now();
    std::visit([&](const auto &Value) { Impl->take(From, Value); }, Message);
    return {};
  });
  Impl->DecodeErrors += Failure ? 1 : 0;
}

void heartbeat_sender::sendNow() { Impl->sendHeartbeats(true); }

std::uint32_t heartbeat_sender::incarnation() const {
  return Impl->Settings.Incarnation;
}

std::optional<instant> heartbeat_sender::lastReceived() const {
  return Impl->LastReceived;
}

std::uint64_t heartbeat_sender::decodeErrors() const {
  return Impl->DecodeErrors;
}

} // namespace marjoramrail
