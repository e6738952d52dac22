#include "forward/target_load.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

/// Sends the packets of one flow, with the sequence numbers that its two ends
/// would write.
struct load_fixture {
  target_load Load;
  instant Now{10s};
  flow_key Flow{{0x64400007, 1001}, {0x0a00ff01, 443}};
  std::uint32_t CallerNext = 5000;
  std::uint32_t TargetNext = 9000;

  load_fixture() {
    Load.setSlots(4);
    tcp_packet Answer = fromTarget(0);
    Answer.Syn = true;
    Load.onTarget(Answer, Now);
    ++TargetNext;
    Load.onCaller(fromCaller(0), Now);
  }

  tcp_packet fromCaller(std::uint16_t Payload) const {
    tcp_packet Packet;
    Packet.Flow = Flow;
    Packet.Ack = true;
    Packet.Sequence = CallerNext;
    Packet.Acknowledged = TargetNext;
    Packet.Payload = Payload;
    return Packet;
  }

  tcp_packet fromTarget(std::uint16_t Payload) const {
    tcp_packet Packet;
    Packet.Flow = Flow;
    Packet.Ack = true;
    Packet.Sequence = TargetNext;
    Packet.Acknowledged = CallerNext;
    Packet.Payload = Payload;
    return Packet;
  }

  tcp_packet sendRequest(std::uint16_t Payload = 100) {
    const tcp_packet Packet = fromCaller(Payload);
    CallerNext += Payload;
    Load.onCaller(Packet, Now);
    return Packet;
  }

  std::optional<duration> sendAnswer(std::uint16_t Payload = 100) {
    const tcp_packet Packet = fromTarget(Payload);
    TargetNext += Payload;
    return Load.onTarget(Packet, Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(load_fixture, "a request is in progress until its answer") {
  sendRequest();
  CHECK(Load.active() == 1);
  Now += 30ms;
  CHECK(sendAnswer() == std::optional<duration>(30ms));
  CHECK(Load.active() == 0);
}

TEST_CASE_FIXTURE(load_fixture,
                  "a retransmitted request is not counted again") {
  // The answer is lost, and the caller retransmits its request. The target has
  // answered already and does not start again. If the request counted as in
  // progress, an idle target would look full until its flows end, and new flows
  // would go elsewhere.
  const tcp_packet Request = sendRequest();
  sendAnswer();
  CHECK_FALSE(Load.onCaller(Request, Now));
  CHECK(Load.active() == 0);
}

TEST_CASE_FIXTURE(load_fixture, "a retransmitted answer ends no request") {
  // The target retransmits its last answer while the next request is in
  // progress. If that request counted as finished, a busy target would look
  // idle, and the measured latency would be too short.
  sendRequest();
  const tcp_packet Answer = fromTarget(100);
  sendAnswer();
  sendRequest();
  Now += 10ms;
  CHECK_FALSE(Load.onTarget(Answer, Now));
  CHECK(Load.active() == 1);
  Now += 20ms;
  CHECK(sendAnswer() == std::optional<duration>(30ms));
}

TEST_CASE_FIXTURE(load_fixture, "a request of several packets counts once") {
  sendRequest(1200);
  sendRequest(1200);
  CHECK(Load.active() == 1);
  sendAnswer(1200);
  sendAnswer(1200);
  CHECK(Load.active() == 0);
}

TEST_CASE_FIXTURE(
    load_fixture,
    "a request that the caller gives up is no longer in progress") {
  // The caller's time limit passes and it closes its flow; the target closes it
  // too, without an answer.
  sendRequest();
  tcp_packet End = fromCaller(0);
  End.Fin = true;
  Load.onCaller(End, Now);
  CHECK(Load.active() == 1);
  tcp_packet Other = fromTarget(0);
  Other.Fin = true;
  Load.onTarget(Other, Now);

  CHECK(Load.active() == 0);
  CHECK(Load.open() == 0);
  Load.onTarget(Other, Now);
  Load.removeFlow(Flow, Now);
  CHECK(Load.open() == 0);
}

TEST_CASE_FIXTURE(load_fixture, "sequence numbers may wrap around") {
  CallerNext = 0xffffffff - 50;
  sendRequest();
  sendAnswer();
  sendRequest();
  CHECK(Load.active() == 1);
}

TEST_CASE_FIXTURE(load_fixture,
                  "a new flow on a reused port is tracked from its start") {
  // A caller opens a new flow from the same port before the previous one is
  // removed. The new flow has lower sequence numbers.
  sendRequest();
  sendAnswer();
  CallerNext = 100;
  TargetNext = 200;
  tcp_packet Answer = fromTarget(0);
  Answer.Syn = true;
  Load.onTarget(Answer, Now);
  ++TargetNext;
  sendRequest();
  CHECK(Load.active() == 1);
  sendAnswer();
  CHECK(Load.active() == 0);
}

TEST_CASE(
    "a flow opened before the agent's start is counted from its next packet") {
  target_load Load;
  const instant Now{10s};
  tcp_packet Packet;
  Packet.Flow = {{0x64400007, 1001}, {0x0a00ff01, 443}};
  Packet.Ack = true;
  Packet.Payload = 100;
  Packet.Sequence = 77;
  Load.onTarget(Packet, Now);
  CHECK(Load.open() == 1);
  CHECK(Load.onCaller(Packet, Now));
  CHECK(Load.active() == 1);
}
