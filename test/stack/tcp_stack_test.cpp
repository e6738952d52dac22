#include "marjoramrail/stack.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>

using namespace marjoramrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t CallerAddress = 0x0a000001;
constexpr endpoint Service{0x0a00ff01, 443};

/// Both ends of the flows in one stack. Packets are queued in
/// PacketQueue and delivered by exchange().
struct loopback_stack {
  timer_service Timers;
  std::deque<std::vector<std::uint8_t>> PacketQueue;
  bool DropPackets = false;
  std::unique_ptr<tcp_stack> Stack;
  std::vector<std::unique_ptr<stack_flow>> Accepted;
  std::function<stack_flow::hooks(stack_flow &)> HooksForAccepted;

  explicit loopback_stack(const tcp_stack_settings &Settings = {}) {
    Stack = std::make_unique<tcp_stack>(Timers, Settings, [this](auto Packet) {
      PacketQueue.emplace_back(Packet.begin(), Packet.end());
    });
    Stack->addAddress(CallerAddress);
    Stack->addAddress(Service.Address);
    REQUIRE(Stack->listen(Service, [this](std::unique_ptr<stack_flow> Flow) {
      if (HooksForAccepted)
        Flow->setHooks(HooksForAccepted(*Flow));
      Accepted.push_back(std::move(Flow));
    }));
  }

  ~loopback_stack() {
    Accepted.clear();
    Stack.reset();
  }

  void exchange() {
    while (!PacketQueue.empty()) {
      const auto Packet = std::move(PacketQueue.front());
      PacketQueue.pop_front();
      if (!DropPackets)
        Stack->input(Packet);
    }
  }

  void advanceTime(duration Time) {
    const instant End = Timers.now() + Time;
    while (Timers.now() < End) {
      Timers.advance(Timers.now() + milliseconds(50));
      exchange();
    }
  }

  std::unique_ptr<stack_flow> open(std::uint16_t Port,
                                   stack_flow::hooks Hooks = {}) {
    auto Flow =
        Stack->connect({CallerAddress, Port}, Service, std::move(Hooks));
    REQUIRE(Flow);
    exchange();
    return std::move(Flow.value());
  }
};

stack_flow::hooks echo(stack_flow &Flow) {
  stack_flow::hooks Hooks;
  Hooks.OnData = [&Flow](std::string_view Bytes) {
    CHECK(Flow.write(Bytes) == Bytes.size());
    Flow.consumed(Bytes.size());
  };
  return Hooks;
}

} // namespace

TEST_CASE("tcp_stack echoes 100 kB between two addresses") {
  loopback_stack Loop;
  Loop.HooksForAccepted = echo;
  std::string Sent(100'000, 'x');
  for (std::size_t Index = 0; Index < Sent.size(); ++Index)
    Sent[Index] = static_cast<char>(Index * 7);
  std::string Received;
  std::size_t Offered = 0;
  stack_flow *Flow = nullptr;
  const auto WriteMore = [&] {
    Offered += Flow->write(std::string_view(Sent).substr(Offered));
  };
  stack_flow::hooks Hooks;
  Hooks.OnWritable = WriteMore;
  Hooks.OnData = [&](std::string_view Bytes) {
    Received += Bytes;
    Flow->consumed(Bytes.size());
  };
  const auto Owner = Loop.open(4000, std::move(Hooks));
  Flow = Owner.get();

  WriteMore();
  Loop.advanceTime(seconds(5));

  CHECK(Received == Sent);
}

TEST_CASE("tcp_stack stops the peer from sending while data is not consumed") {
  loopback_stack Loop;
  std::size_t Received = 0;
  Loop.HooksForAccepted = [&](stack_flow &) {
    stack_flow::hooks Hooks;
    Hooks.OnData = [&](std::string_view Bytes) { Received += Bytes.size(); };
    return Hooks;
  };
  const auto Flow = Loop.open(4000);
  const std::string Large(60'000, 'x');
  std::size_t Taken = 0;

  for (int Round = 0; Round < 20; ++Round) {
    Taken += Flow->write(Large);
    Loop.advanceTime(milliseconds(500));
  }

  CHECK(Received <= 0xffff);
  CHECK(Taken <= 2 * 0xffff);
}

TEST_CASE("a flow may be destroyed in any of its own hooks") {
  // When the target refuses a connection, the agent destroys the caller's flow
  // while lwIP is still delivering its first bytes. If lwIP then continued with
  // freed memory, the agent would crash and all its flows would break.
  loopback_stack Loop;
  Loop.HooksForAccepted = [&](stack_flow &) {
    stack_flow::hooks Hooks;
    Hooks.OnData = [&](std::string_view) { Loop.Accepted.clear(); };
    return Hooks;
  };
  std::optional<flow_end> End;
  stack_flow::hooks Hooks;
  std::unique_ptr<stack_flow> Flow;
  Hooks.OnClosed = [&](flow_end Reason) {
    End = Reason;
    Flow.reset();
  };
  Flow = Loop.open(4000, std::move(Hooks));

  Flow->write("first bytes");
  Loop.advanceTime(seconds(1));

  CHECK(End == flow_end::Reset);
  CHECK(Loop.Stack->connections() == 0);
}

TEST_CASE("OnClosed is called at both ends once both directions are closed") {
  loopback_stack Loop;
  std::optional<flow_end> AcceptedEnd;
  Loop.HooksForAccepted = [&](stack_flow &Accepted) {
    stack_flow::hooks Hooks;
    Hooks.OnEnd = [&Accepted] {
      Accepted.write("last words");
      Accepted.finishWriting();
    };
    Hooks.OnClosed = [&](flow_end Reason) { AcceptedEnd = Reason; };
    return Hooks;
  };
  std::string Received;
  std::optional<flow_end> End;
  stack_flow::hooks Hooks;
  Hooks.OnData = [&](std::string_view Bytes) { Received += Bytes; };
  Hooks.OnClosed = [&](flow_end Reason) { End = Reason; };
  const auto Flow = Loop.open(4000, std::move(Hooks));

  Flow->finishWriting();
  Loop.advanceTime(seconds(2));

  CHECK(Received == "last words");
  CHECK(End == flow_end::Finished);
  CHECK(AcceptedEnd == flow_end::Finished);
}

TEST_CASE("a caller can reuse its port while the old flow is in TIME_WAIT") {
  // A caller closes a flow and opens the next one from the same port while the
  // agent still has the old connection in TIME_WAIT. If the old connection
  // answered the SYN, the caller would wait for two minutes.
  loopback_stack Loop;
  Loop.HooksForAccepted = [](stack_flow &Accepted) {
    stack_flow::hooks Hooks;
    Hooks.OnData = [&Accepted](std::string_view) { Accepted.close(); };
    Hooks.OnEnd = [&Accepted] { Accepted.close(); };
    return Hooks;
  };
  auto First = Loop.open(4000);
  First->write("close first");
  Loop.advanceTime(seconds(1));
  First->close();
  Loop.advanceTime(seconds(1));
  REQUIRE(Loop.Stack->connections() == 1);
  bool Connected = false;
  stack_flow::hooks Hooks;
  Hooks.OnConnected = [&] { Connected = true; };

  const auto Second = Loop.open(4000, std::move(Hooks));

  CHECK(Connected);
}

TEST_CASE("flows in TIME_WAIT above the limit are freed, the oldest first") {
  // lwIP keeps each flow that the agent closes in TIME_WAIT for two minutes and
  // searches these flows linearly for every packet. At thousands of closed
  // flows per second there would be hundreds of thousands without the limit.
  loopback_stack Loop({.MaxTimeWait = 10});
  for (std::uint16_t Port = 4000; Port < 4050; ++Port) {
    const auto Flow = Loop.open(Port);
    Loop.Accepted.back()->close();
    Loop.exchange();
    Flow->close();
    Loop.exchange();
  }
  CHECK(Loop.Stack->connections() == 50);

  Loop.advanceTime(seconds(1));

  CHECK(Loop.Stack->connections() == 10);
}

TEST_CASE("keepalive detects a peer that is unreachable") {
  // A device in the network loses the state of the flow while neither end
  // sends. Without keepalive probes the agent would keep the flow and its
  // resources at the target forever.
  loopback_stack Loop;
  std::optional<flow_end> End;
  Loop.HooksForAccepted = [&](stack_flow &Accepted) {
    Accepted.keepAlive(seconds(10), seconds(2), 3);
    stack_flow::hooks Hooks;
    Hooks.OnClosed = [&](flow_end Reason) { End = Reason; };
    return Hooks;
  };
  const auto Flow = Loop.open(4000);
  Loop.advanceTime(seconds(60));
  REQUIRE(!End);

  Loop.DropPackets = true;
  Loop.advanceTime(seconds(30));

  CHECK(End == flow_end::TimedOut);
}

TEST_CASE("forget() drops a flow without sending a packet") {
  // Two agents answered a retransmitted SYN and the caller completed the
  // handshake with the other one. A reset from this agent would end the
  // caller's flow.
  loopback_stack Loop;
  const auto Flow = Loop.open(4000);
  REQUIRE(Loop.Accepted.size() == 1);
  std::optional<flow_end> End;
  stack_flow::hooks Hooks;
  Hooks.OnClosed = [&](flow_end Reason) { End = Reason; };
  Loop.Accepted[0]->setHooks(std::move(Hooks));

  Loop.Stack->forget(Flow->key());

  CHECK(End == flow_end::Reset);
  CHECK(Loop.PacketQueue.empty());
}

TEST_CASE("input() rejects packets that are no complete TCP packet to an own "
          "address") {
  loopback_stack Loop;
  const auto Flow =
      Loop.Stack->connect({CallerAddress, 4000}, {0x0a00ff02, 443}, {});
  REQUIRE(Flow);
  const auto Foreign = Loop.PacketQueue.front();

  CHECK_FALSE(Loop.Stack->input(Foreign));
  CHECK_FALSE(Loop.Stack->input({Foreign.data(), 20}));
  CHECK_FALSE(Loop.Stack->input({}));
}
