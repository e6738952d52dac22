#include "balancer/core_fixture.h"

#include <nlohmann/json.hpp>

using namespace marjoramrail;
using namespace marjoramrail::test;
using std::chrono::seconds;

TEST_CASE_FIXTURE(core_fixture, "a SYN goes to the first of its choices") {
  const flow_key Flow = sampleFlow(1);
  const service_router Router(sampleView(7));
  const owner_list Choices = Router.choices(Flow);

  REQUIRE(send(Flow, SynBit) == packet_fault::None);

  CHECK(To == Router.targetAt(Choices[0]).Agent);
  CHECK(Routed.Service == service_id(1));
  CHECK(Routed.Version == 1);
  CHECK(Routed.Flags == 0);
  CHECK(Routed.Position == 0);
  CHECK(Routed.Balancer == Self);
  REQUIRE(Routed.Count == Choices.size());
  CHECK(Routed.Owners[1] == Router.targetAt(Choices[1]).Agent);
  CHECK(Core.counters().New == 1);
}

TEST_CASE_FIXTURE(core_fixture,
                  "other packets carry the owners of all generations") {
  service_view View = sampleView(14);
  View.Version = 2;
  View.Generations = {sampleGeneration(2, 7, 7), sampleGeneration(1, 0, 7)};
  Core.setView(View);

  REQUIRE(send(sampleFlow(1), AckBit) == packet_fault::None);

  CHECK(Routed.Count == 2 * ChoicesPerGeneration);
  CHECK(Core.counters().Established == 1);
}

TEST_CASE_FIXTURE(core_fixture, "setView keeps the newer of two views") {
  // Views come from the platform and from peers, so an old one may arrive last.
  // If applied, it would undo an accepted change on this balancer alone.
  service_view Newer = sampleView(3);
  Newer.Version = 5;
  service_view Older = sampleView(7);
  Older.Version = 4;

  CHECK(Core.setView(Newer) == view_outcome::Applied);
  CHECK(Core.setView(Older) == view_outcome::NotNewer);
  CHECK(Core.setView(Newer) == view_outcome::NotNewer);

  CHECK(Core.versionOf(service_id(1)) == 5);
  send(sampleFlow(1), AckBit);
  CHECK(Routed.Count == 3);
}

TEST_CASE_FIXTURE(core_fixture,
                  "a withdrawn service is not restored by an older view") {
  // The operator deleted the service, but a peer that was disconnected still
  // sends the previous view. If applied, callers would reach a service that
  // must not run any more.
  service_view Withdrawn = sampleView(0);
  Withdrawn.Version = 9;
  Withdrawn.Generations.clear();

  Core.setView(Withdrawn);
  Core.setView(sampleView(7));

  CHECK(send(sampleFlow(1), SynBit) == packet_fault::UnknownService);
  CHECK(Core.services() == 0);
}

TEST_CASE_FIXTURE(
    core_fixture,
    "a service that moves to another address releases its previous one") {
  service_view Moved = sampleView(7);
  Moved.Version = 2;
  Moved.Address.Port = 444;

  Core.setView(Moved);

  flow_key Flow = sampleFlow(1);
  CHECK(send(Flow, SynBit) == packet_fault::UnknownService);
  Flow.Service.Port = 444;
  CHECK(send(Flow, SynBit) == packet_fault::None);
}

TEST_CASE_FIXTURE(
    core_fixture,
    "of two services with one address the lower number receives the packets") {
  // Two operators create services with the same address concurrently and both
  // pass the check. If each balancer used the one that it received first,
  // packets of one flow would reach both services.
  service_view Higher = sampleView(7);
  Higher.Id = service_id(2);
  service_view Lower = sampleView(7);
  Lower.Id = service_id(0);

  Core.setView(Higher);
  send(sampleFlow(1), SynBit);
  CHECK(Routed.Service == service_id(1));
  Core.setView(Lower);
  send(sampleFlow(1), SynBit);
  CHECK(Routed.Service == service_id(0));

  Lower.Version = 2;
  Lower.Generations.clear();
  Core.setView(Lower);
  send(sampleFlow(1), SynBit);
  CHECK(Routed.Service == service_id(1));
}

TEST_CASE_FIXTURE(
    core_fixture,
    "packets are marked stale after a time without contact to the fleet") {
  // A disconnected balancer may route by outdated views. Without the mark an
  // agent would reset flows that still have an owner.
  Now += seconds(10);
  send(sampleFlow(1), AckBit);
  CHECK_FALSE(Routed.has(routed_flag::Stale));

  Now += seconds(1);
  send(sampleFlow(1), AckBit);
  CHECK(Routed.has(routed_flag::Stale));

  Core.noteFleetContact(Now);
  send(sampleFlow(1), AckBit);
  CHECK_FALSE(Routed.has(routed_flag::Stale));
}

TEST_CASE_FIXTURE(
    core_fixture,
    "an owner reported by an agent gets the flow's packets first") {
  const flow_key Flow = sampleFlow(1);
  send(Flow, AckBit);
  const routed_packet Before = Routed;
  const endpoint Owner = Before.Owners[2];

  REQUIRE(sendOwnerNotice(Flow, Owner, Owner) == packet_fault::None);
  send(Flow, AckBit);

  CHECK(To == Owner);
  CHECK(Routed.Count == Before.Count);
  CHECK(Routed.Owners[1] == Before.Owners[0]);
  CHECK(Routed.Owners[2] == Before.Owners[1]);
  CHECK(Core.counters().FromCache == 1);
}

TEST_CASE_FIXTURE(core_fixture,
                  "a new flow from the same port ignores the cached owner") {
  // A caller reuses its port while the balancer still caches the previous
  // flow's owner, which may be full or draining by now.
  const flow_key Flow = sampleFlow(1);
  send(Flow, SynBit);
  const endpoint First = To;
  send(Flow, AckBit);
  sendOwnerNotice(Flow, Routed.Owners[2], Routed.Owners[2]);

  send(Flow, SynBit);

  CHECK(To == First);
}

TEST_CASE_FIXTURE(core_fixture, "a cached owner is ignored once it is down") {
  const flow_key Flow = sampleFlow(1);
  send(Flow, AckBit);
  const endpoint Owner = Routed.Owners[2];
  sendOwnerNotice(Flow, Owner, Owner);
  service_view View = sampleView(7);
  View.Version = 2;
  for (target &Target : View.Targets)
    if (Target.Agent == Owner)
      Target.State = target_state::Down;
  Core.setView(View);

  send(Flow, AckBit);

  CHECK(To != Owner);
}

TEST_CASE_FIXTURE(core_fixture, "forged notices are ignored and counted") {
  // Otherwise anyone who can send to the balancer's port could redirect a
  // flow's packets to a host of another service, or to their own.
  const flow_key Flow = sampleFlow(1);
  send(Flow, AckBit);
  const endpoint First = To;
  const endpoint Agent = Routed.Owners[2];
  const endpoint Stranger{0x0a0f0099, 7000};
  flow_key Other = Flow;
  Other.Service.Port = 80;

  CHECK(sendOwnerNotice(Flow, Agent, Stranger) == packet_fault::ForeignSender);
  CHECK(sendOwnerNotice(Flow, Stranger, Stranger) ==
        packet_fault::ForeignSender);
  CHECK(sendOwnerNotice(Other, Agent, Agent) == packet_fault::ServiceMismatch);
  CHECK(sendOwnerNotice(Flow, Agent, Agent, service_id(8)) ==
        packet_fault::UnknownService);

  send(Flow, AckBit);
  CHECK(To == First);
  CHECK(Core.counters().dropped(packet_fault::ForeignSender) == 2);
  CHECK(Core.counters().NoticesAccepted == 0);
}

TEST_CASE_FIXTURE(
    core_fixture,
    "packets that cannot be routed are dropped and counted by reason") {
  flow_key Unknown = sampleFlow(1);
  Unknown.Service.Port = 1;
  const flow_key Self{sampleFlow(1).Service, sampleFlow(1).Service};

  CHECK(send(Unknown, SynBit) == packet_fault::UnknownService);
  CHECK(send(Self, SynBit) == packet_fault::ForeignSender);
  send(sampleFlow(1), AckBit);
  const byte_string Looped = Sent;
  CHECK(Core.onDatagram(Fabric, Looped, Now) == packet_fault::BadMagic);
  CHECK(Core.onDatagram(Fabric, {}, Now) == packet_fault::Truncated);

  CHECK(Core.counters().dropped(packet_fault::UnknownService) == 1);
  CHECK(Core.counters().dropped(packet_fault::ForeignSender) == 1);
  CHECK(Core.counters().dropped(packet_fault::BadMagic) == 1);
  CHECK(Core.counters().dropped(packet_fault::Truncated) == 1);
}

TEST_CASE_FIXTURE(
    core_fixture,
    "a service without ready targets drops SYNs with reason NoTarget") {
  service_view View = sampleView(1);
  View.Version = 2;
  View.Targets[0].State = target_state::Draining;
  Core.setView(View);

  CHECK(send(sampleFlow(1), SynBit) == packet_fault::NoTarget);
  CHECK(send(sampleFlow(1), AckBit) == packet_fault::None);
}

TEST_CASE_FIXTURE(core_fixture, "memory does not grow with flows") {
  const std::size_t Before = Core.bytes();
  for (std::uint32_t I = 0; I < 5000; ++I) {
    send(sampleFlow(I), AckBit);
    sendOwnerNotice(sampleFlow(I), Routed.Owners[1], Routed.Owners[1]);
  }
  CHECK(Core.counters().NoticesAccepted == 5000);
  CHECK(Core.bytes() == Before);
}

TEST_CASE_FIXTURE(core_fixture,
                  "statusJson names services, versions and staleness") {
  const auto Status = nlohmann::json::parse(Core.statusJson(Now));

  CHECK(Status["stale"] == false);
  REQUIRE(Status["services"].size() == 1);
  CHECK(Status["services"][0]["version"] == 1);
  CHECK(Status["services"][0]["targets"] == 7);
}
