#include "bench_caller.h"
#include "marjoramrail/h2.h"
#include "marjoramrail/wire.h"

namespace marjoramrail::bench {

static constexpr std::uint32_t FirstCaller = 0x0a620101;
static constexpr std::uint16_t FirstPort = 10000;
static constexpr std::size_t FlowsAtOnce = 100;
static constexpr std::size_t EchoBytes = 100;

bench_caller::bench_caller()
    : Socket(Loop,
             [this](std::span<const datagram> Batch) {
               for (const datagram &Datagram : Batch)
                 Stack.input(Datagram.Bytes);
             }),
      Stack(Loop.timers(), {.Seed = 99},
            [this](auto Packet) { send(Packet); }) {
  Stack.addAddress(FirstCaller);
}

result<void> bench_caller::open() { return Socket.open(FabricReturn); }

void bench_caller::send(std::span<const std::uint8_t> Packet) {
  routed_packet Routed;
  Routed.Service = service_id(1);
  Routed.Version = 1;
  Routed.Count = 1;
  Routed.Owners[0] = AgentRouted;
  Routed.Packet = Packet;
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  Socket.send(AgentRouted, {Buffer.data(), Size});
}

void bench_caller::runUntil(const std::function<bool()> &Done) {
  const timer_id Timer =
      Loop.timers().every(std::chrono::microseconds(500), [&] {
        if (Done())
          Loop.stop();
      });
  if (!Done())
    Loop.run();
  Loop.timers().cancel(Timer);
}

stack_flow::hooks bench_caller::hooksOf(std::size_t Index) {
  stack_flow::hooks Hooks;
  Hooks.OnConnected = [this] { ++Connected; };
  Hooks.OnData = [this, Index](std::string_view Bytes) {
    Received += Bytes.size();
    Flows[Index]->consumed(Bytes.size());
  };
  return Hooks;
}

void bench_caller::openFlows(std::size_t Count) {
  for (std::size_t Opened = 0; Opened < Count;) {
    for (std::size_t I = 0; I < FlowsAtOnce && Opened < Count; ++I, ++Opened) {
      const std::size_t Index = Flows.size();
      const auto Port = static_cast<std::uint16_t>(FirstPort + Index);
      auto Flow =
          Stack.connect({FirstCaller, Port}, ServiceAddress, hooksOf(Index));
      if (!Flow)
        return;
      Flows.push_back(std::move(Flow.value()));
    }
    runUntil([&] { return Connected == Flows.size(); });
  }
}

void bench_caller::echo(std::size_t Rounds) {
  // As many messages in transit as the socket receives in one batch, so that
  // the agent works in batches as under load.
  constexpr std::size_t UnderWay = 64;
  const std::string Message(EchoBytes, 'e');
  const std::uint64_t Before = Received;
  for (std::size_t Sent = 0; Sent < Rounds;) {
    for (std::size_t I = 0; I < UnderWay && Sent < Rounds; ++I, ++Sent)
      Flows[Sent % Flows.size()]->write(Message);
    runUntil([&] { return Received - Before >= Sent * EchoBytes; });
  }
}

duration bench_caller::receive(std::uint64_t Bytes) {
  const std::uint64_t Before = Received;
  openFlows(1);
  const instant Start = Loop.timers().now();
  Flows.back()->write("send " + std::to_string(Bytes));
  runUntil([&] { return Received - Before >= Bytes; });
  return Loop.timers().now() - Start;
}

void bench_caller::startSessions() {
  const std::uint64_t Before = Received;
  for (const auto &Flow : Flows) {
    h2_hooks Hooks;
    Hooks.Output = [&](std::string_view Bytes) { Flow->write(Bytes); };
    h2_session Session(h2_role::Client, h2_settings(), std::move(Hooks));
    Session.flush();
  }
  // Each session answers with at least its settings.
  constexpr std::size_t LeastAnswer = 20;
  runUntil([&] { return Received - Before >= Flows.size() * LeastAnswer; });
}

} // namespace marjoramrail::bench
