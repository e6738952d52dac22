#include "marjoramrail/balancer.h"
#include "routing/sample_view.h"
#include "wire/sample_packet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::test;

// A small fuzzer with a fixed seed, so that CI reproduces failures. Memory
// errors that these checks miss are found by the sanitizers of the check
// script.

namespace {

constexpr int Rounds = 60000;

class mutator {
public:
  explicit mutator(std::uint64_t Seed) : Random(Seed) {}

  byte_string mutate(byte_string Bytes) {
    for (std::uint64_t Edits = below(4); Edits > 0; --Edits)
      edit(Bytes);
    return Bytes;
  }

  std::uint64_t below(std::uint64_t Bound) { return Random() % Bound; }

private:
  void edit(byte_string &Bytes) {
    if (Bytes.empty())
      return Bytes.push_back(static_cast<std::uint8_t>(Random()));
    const std::size_t At = below(Bytes.size());
    switch (below(6)) {
    case 0:
      Bytes[At] ^= static_cast<std::uint8_t>(1U << below(8));
      break;
    case 1:
      Bytes[At] = static_cast<std::uint8_t>(Random());
      break;
    case 2:
      Bytes[At] = below(2) == 0 ? 0 : 0xff;
      break;
    case 3:
      Bytes.resize(At);
      break;
    case 4:
      Bytes.insert(Bytes.begin() + static_cast<std::ptrdiff_t>(At), below(64),
                   static_cast<std::uint8_t>(Random()));
      break;
    default:
      Bytes.insert(Bytes.end(), Bytes.begin(),
                   Bytes.begin() + static_cast<std::ptrdiff_t>(At));
      break;
    }
  }

  std::mt19937_64 Random;
};

byte_string sampleRouted(const byte_string &Packet) {
  routed_packet Routed;
  Routed.Service = service_id(1);
  Routed.Count = 3;
  Routed.Owners[1] = {0x0a010001, 7000};
  Routed.Packet = Packet;
  byte_string Bytes(MaxRoutedBytes);
  Bytes.resize(encodeRouted(Routed, Bytes));
  return Bytes;
}

byte_string sampleNotice() {
  const endpoint Owner = sampleTarget(1).Agent;
  byte_string Bytes(OwnerNoticeBytes);
  encodeOwnerNotice({service_id(1), 1, sampleFlow(1), Owner}, Bytes);
  return Bytes;
}

/// Short packets are truncated by few mutations; long ones have room for a list
/// of owners that mutations extended.
std::vector<byte_string> seeds() {
  const byte_string Short = samplePacket(sampleFlow(1), AckBit, 40);
  const byte_string Long = samplePacket(sampleFlow(3), AckBit, 1200);
  return {Short, samplePacket(sampleFlow(2), SynBit), sampleRouted(Short),
          sampleRouted(Long), sampleNotice()};
}

/// A copy in an allocation of exactly its size, so that sanitizers detect reads
/// past its end.
struct exact_copy {
  explicit exact_copy(const byte_string &Bytes)
      : Data(new std::uint8_t[Bytes.size()]), Size(Bytes.size()) {
    std::copy(Bytes.begin(), Bytes.end(), Data.get());
  }
  operator bytes_view() const { return {Data.get(), Size}; }

  std::unique_ptr<std::uint8_t[]> Data;
  std::size_t Size;
};

bool isInside(bytes_view Part, bytes_view Whole) {
  return Part.size() <= Whole.size() && Part.data() >= Whole.data() &&
         Part.data() + Part.size() <= Whole.data() + Whole.size();
}

} // namespace

TEST_CASE("decoders accept any bytes without reading past their end") {
  // Anyone who can reach a port can send any bytes to it. A read past the end
  // of a datagram could crash the process and end all flows of its host.
  mutator Mutator(20261202);
  const std::vector<byte_string> Seeds = seeds();
  int Accepted = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const exact_copy Bytes(Mutator.mutate(Seeds[Mutator.below(Seeds.size())]));
    tcp_packet Parsed;
    routed_packet Routed;
    owner_notice Notice;
    std::array<std::uint8_t, 64> Reset{};
    if (parseTcpPacket(Bytes, Parsed) == packet_fault::None) {
      ++Accepted;
      REQUIRE(Parsed.Payload <= Bytes.Size);
      writeReset(Parsed, Reset);
    }
    parseReturnPacket(Bytes, Parsed);
    if (decodeRouted(Bytes, Routed) == packet_fault::None) {
      ++Accepted;
      REQUIRE(Routed.Count <= MaxRoutedOwners);
      REQUIRE(isInside(Routed.Packet, Bytes));
    }
    if (isOwnerNotice(Bytes))
      decodeOwnerNotice(Bytes, Notice);
  }
  // Otherwise the mutations would be rejected by the first check only.
  CHECK(Accepted > Rounds / 20);
}

TEST_CASE("a balancer routes or counts every datagram") {
  // Operators could not explain a packet that is neither sent nor counted. A
  // packet sent to anything but the service's agents is misrouted.
  mutator Mutator(3);
  std::uint64_t Sent = 0;
  const service_view View = sampleView(7);
  balancer_core Core(
      {}, {.Send = [&](const endpoint &To, bytes_view Bytes) {
        ++Sent;
        routed_packet Routed;
        REQUIRE(decodeRouted(Bytes, Routed) == packet_fault::None);
        REQUIRE(std::any_of(
            View.Targets.begin(), View.Targets.end(),
            [&](const target &Target) { return Target.Agent == To; }));
      }});
  Core.setView(View);
  const std::vector<byte_string> Seeds = seeds();
  for (int Round = 0; Round < Rounds; ++Round) {
    const exact_copy Bytes(Mutator.mutate(Seeds[Mutator.below(Seeds.size())]));
    Core.onDatagram(sampleTarget(1).Agent, Bytes, instant());
  }

  std::uint64_t Counted = Core.counters().NoticesAccepted;
  for (const std::uint64_t Count : Core.counters().Dropped)
    Counted += Count;
  CHECK(Sent + Counted == Rounds);
  CHECK(Sent > Rounds / 20);
  CHECK(Core.counters().NoticesAccepted > 0);
}
