#include "marjoramrail/routing.h"
#include "marjoramrail/stack.h"
#include "marjoramrail/wire.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

TEST_CASE(
    "a caller's longest packet and its longest owner list fit the link MTU") {
  // The agent's TCP stack limits the size of callers' packets. With eight
  // generations the list of owners has its maximum length. A datagram over the
  // link's 1,500 bytes would be fragmented, and one lost fragment loses the
  // packet: large requests would be slow while small ones are not.
  constexpr std::size_t LinkBytes = 1500;
  constexpr std::size_t Ipv4AndUdpBytes = 28;
  constexpr std::size_t OwnerBytes = 6;

  const std::size_t Longest = tcp_stack_settings().Mtu + RoutedFixedBytes +
                              owner_list::Capacity * OwnerBytes +
                              Ipv4AndUdpBytes;

  CHECK(Longest <= LinkBytes);
}
