#include "marjoramrail/work.h"

#include <doctest/doctest.h>
#include <map>

using namespace marjoramrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr host_id Self{0};
const instant Start(seconds(100));

agent_load loadOf(unsigned Host, double Pressure) {
  return {.Host = host_id{Host},
          .Busy = Pressure,
          .Pressure = Pressure,
          .Slots = 4};
}

} // namespace

TEST_CASE("relay_choice spreads a burst over peers that all look idle") {
  // Load reports are slightly old. A peer that looked idle would get all
  // requests until its next report, and callers would see one host after the
  // other overloaded.
  relay_choice Peers(Self, {}, 7);
  for (unsigned Host = 1; Host <= 6; ++Host)
    Peers.report(loadOf(Host, Host == 1 ? 0 : 0.25), Start);
  std::map<host_id, int> Sent;

  for (int Index = 0; Index < 60; ++Index)
    ++Sent[*Peers.pick({}, relay_reason::Draining, loadOf(0, 2), Start)];

  for (const auto &[Host, Count] : Sent)
    CHECK(Count <= 15);
}

TEST_CASE("relay_choice sends nothing on old reports") {
  // A peer that has died or hangs stops sending reports. If its last report
  // were still used, it would attract requests.
  relay_choice Peers(Self, {}, 7);
  Peers.report(loadOf(1, 0), Start);

  const auto Peer =
      Peers.pick({}, relay_reason::Draining, loadOf(0, 2), Start + seconds(3));

  CHECK_FALSE(Peer);
}

TEST_CASE("relay_choice never relays a relayed request again") {
  // Two overloaded agents would relay the request to each other until its
  // deadline, and the caller would wait in vain.
  relay_choice Peers(Self, {}, 7);
  Peers.report(loadOf(1, 0), Start);
  work_request Relayed;
  Relayed.Hops = 1;
  Relayed.RelayedBy = host_id{2};

  CHECK_FALSE(
      Peers.pick(Relayed, relay_reason::Overloaded, loadOf(0, 2), Start));
}

TEST_CASE("relay_choice relays nothing to a peer that has just relayed here") {
  relay_choice Peers(Self, {}, 7);
  Peers.report(loadOf(1, 0), Start);
  Peers.receivedRelayFrom(host_id{1}, Start);

  const auto AtOnce =
      Peers.pick({}, relay_reason::Overloaded, loadOf(0, 2), Start);
  const auto Later = Peers.pick({}, relay_reason::Overloaded, loadOf(0, 2),
                                Start + milliseconds(1001));

  CHECK_FALSE(AtOnce);
  CHECK(Later == host_id{1});
}

TEST_CASE("relay_choice honours the retry-after of a peer") {
  relay_choice Peers(Self, {}, 7);
  Peers.report(loadOf(1, 0), Start);
  Peers.notRun(host_id{1}, milliseconds(500), Start);

  CHECK_FALSE(Peers.pick({}, relay_reason::Draining, loadOf(0, 2), Start));
}
