//===- core_fixture.h - Balancer core for tests -----------------*- C++ -*-===//
///
/// \file
/// A balancer core with a service of seven hosts that records the last packet
/// sent.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_BALANCER_CORE_FIXTURE_H
#define MARJORAMRAIL_TEST_BALANCER_CORE_FIXTURE_H

#include "marjoramrail/balancer.h"
#include "routing/sample_view.h"
#include "wire/sample_packet.h"

#include <doctest/doctest.h>

namespace marjoramrail::test {

using std::chrono::seconds;

inline const endpoint Fabric{0x0a0f0001, 9000};
inline const endpoint Self{0x0a0f0002, 4000};

/// A balancer core and the last packet that it sent.
struct core_fixture {
  endpoint To;
  byte_string Sent;
  routed_packet Routed;
  instant Now = instant(seconds(100));
  balancer_core Core{
      {.Self = Self, .StaleAfter = seconds(10), .CachedOwners = 1024},
      {.Send = [this](const endpoint &Agent, bytes_view Bytes) {
        To = Agent;
        Sent.assign(Bytes.begin(), Bytes.end());
        REQUIRE(decodeRouted(Sent, Routed) == packet_fault::None);
      }}};

  core_fixture() {
    Core.setView(sampleView(7));
    Core.noteFleetContact(Now);
  }

  packet_fault send(const flow_key &Flow, std::uint8_t Flags) {
    return Core.onDatagram(Fabric, samplePacket(Flow, Flags), Now);
  }

  packet_fault sendSilenceNotice(const endpoint &Silent, const endpoint &From,
                                 service_id Service = service_id(1)) {
    byte_string Notice(UnresponsiveNoticeBytes);
    encodeUnresponsiveNotice({Service, Silent}, Notice);
    return Core.onDatagram(From, Notice, Now);
  }

  packet_fault sendOwnerNotice(const flow_key &Flow, const endpoint &Owner,
                               const endpoint &From,
                               service_id Service = service_id(1)) {
    byte_string Notice(OwnerNoticeBytes);
    encodeOwnerNotice({Service, 1, Flow, Owner}, Notice);
    return Core.onDatagram(From, Notice, Now);
  }
};

} // namespace marjoramrail::test

#endif // MARJORAMRAIL_TEST_BALANCER_CORE_FIXTURE_H
