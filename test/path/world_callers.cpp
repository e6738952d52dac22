#include "path/addresses.h"
#include "path/path_world.h"
#include "wire/sample_packet.h"

#include <algorithm>

namespace marjoramrail::test {

static constexpr std::uint32_t PayloadBytes = 10;
static constexpr duration ResendAfter = std::chrono::milliseconds(300);
static constexpr duration SynResendAfter = std::chrono::seconds(1);

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

void path_world::openFlow(std::uint32_t Number) {
  caller &Caller = Callers[Number];
  Caller = caller();
  Caller.Flow = keyOf(Number);
  Caller.Initial = static_cast<std::uint32_t>(Random());
  Caller.Next = Caller.Initial + 1;
  Caller.State = caller_state::SynSent;
  Caller.WaitingSince = Now;
  callerSends(Caller, SynBit, 0);
}

void path_world::closeFlow(std::uint32_t Number) {
  caller &Caller = Callers[Number];
  if (Caller.State == caller_state::Established) {
    // Sent repeatedly, since this caller does not wait for an answer.
    for (int I = 0; I < 3; ++I)
      callerSends(Caller, FinBit | AckBit, 0);
  }
  Caller.State = caller_state::Closed;
}

void path_world::callerSends(caller &Caller, std::uint8_t Flags,
                             std::size_t Payload) {
  const std::uint32_t Sequence =
      (Flags & SynBit) != 0 ? Caller.Initial : Caller.Next;
  const auto To =
      balancerOf(static_cast<std::uint32_t>(below(Settings.Balancers)));
  enqueue({datagram_kind::ToBalancer,
           {},
           To,
           samplePacket(Caller.Flow, Flags, Payload, Sequence, Caller.Expected),
           {},
           0,
           0},
          true);
  Caller.LastSend = Now;
}

bool path_world::leavesDrainingHost(const caller &Caller) {
  if (Caller.State == caller_state::Reset)
    return true;
  // One in 300 steps of 10 ms, which is 3 s on average.
  constexpr std::uint64_t Steps = 300;
  return Caller.State == caller_state::Established &&
         Hosts[Caller.Owner].Draining && below(Steps) == 0;
}

void path_world::stepCallers() {
  for (auto &[Number, Caller] : Callers) {
    if (Caller.State == caller_state::SynSent &&
        Now - Caller.LastSend >= SynResendAfter)
      callerSends(Caller, SynBit, 0);
    if (Reconnecting && leavesDrainingHost(Caller)) {
      closeFlow(Number);
      openFlow(Number);
    }
    if (Caller.State != caller_state::Established)
      continue;
    const duration Quiet = Now - Caller.LastSend;
    if (Quiet < (Caller.Unacknowledged ? ResendAfter : Settings.SendPeriod))
      continue;
    if (!std::exchange(Caller.Unacknowledged, true))
      Caller.WaitingSince = Now;
    callerSends(Caller, AckBit, PayloadBytes);
  }
}

void path_world::callerReceives(const queued_datagram &Datagram) {
  tcp_packet Packet;
  if (parseReturnPacket(Datagram.Bytes, Packet) != packet_fault::None)
    return;
  caller &Caller = Callers[numberOf(Packet.Flow)];
  if (Caller.State == caller_state::SynSent) {
    if (Packet.Acknowledged != Caller.Initial + 1 || !Packet.Ack)
      return;
    if (Packet.Rst) {
      ++Outcome.RefusedOpen;
      Caller.State = caller_state::Reset;
      return;
    }
    if (!Packet.Syn)
      return;
    Caller.State = caller_state::Established;
    Caller.Expected = Packet.Sequence + 1;
    Caller.Owner = Datagram.Host;
    Caller.OwnerIncarnation = Datagram.Incarnation;
    Caller.Unacknowledged = false;
    ++Outcome.Opened;
    return callerSends(Caller, AckBit, 0);
  }
  if (Caller.State != caller_state::Established)
    return;
  if (Packet.Rst) {
    if (Packet.Sequence == Caller.Expected)
      callerReset(Caller);
    return;
  }
  if (Packet.Syn)
    return callerSends(Caller, AckBit, 0);
  if (Caller.Unacknowledged &&
      Packet.Acknowledged == Caller.Next + PayloadBytes) {
    Caller.Next += PayloadBytes;
    Caller.Unacknowledged = false;
  }
}

void path_world::callerReset(caller &Caller) {
  const host &Owner = Hosts[Caller.Owner];
  Caller.State = caller_state::Reset;
  if (Owner.Alive && Owner.Incarnation == Caller.OwnerIncarnation) {
    ++Outcome.BrokenPlanned;
    return;
  }
  ++Outcome.BrokenByDeath;
  const instant Since = std::max(Owner.DiedAt, Caller.WaitingSince);
  Outcome.MaxResetDelay = std::max(Outcome.MaxResetDelay, Now - Since);
}

std::size_t path_world::establishedFlows() const {
  return std::size_t(
      std::count_if(Callers.begin(), Callers.end(), [](const auto &Item) {
        return Item.second.State == caller_state::Established;
      }));
}

std::size_t path_world::stuckFlows(duration Time) const {
  return std::size_t(
      std::count_if(Callers.begin(), Callers.end(), [&](const auto &Item) {
        const caller &Caller = Item.second;
        const bool Waits = Caller.State == caller_state::SynSent ||
                           (Caller.State == caller_state::Established &&
                            Caller.Unacknowledged);
        return Waits && Now - Caller.WaitingSince > Time;
      }));
}

} // namespace marjoramrail::test
