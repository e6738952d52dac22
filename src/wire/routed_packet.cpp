#include "marjoramrail/wire.h"
#include "wire/byte_order.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

static constexpr std::uint16_t RoutedMagic = 0x4d52;
static constexpr std::uint8_t PlainFormat = 1;
static constexpr std::uint8_t LevelFormat = 2;
static constexpr std::uint8_t RepeatableBit = 1;
static constexpr std::size_t EndpointBytes = 6;

bool isRouted(bytes_view Bytes) {
  return Bytes.size() >= sizeof(RoutedMagic) &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == RoutedMagic;
}

static bool isEncodable(const routed_packet &Routed) {
  return Routed.Count <= MaxRoutedOwners && !Routed.Packet.empty() &&
         Routed.Packet.size() <= MaxPacketBytes;
}

/// Size of everything in front of the caller's packet.
static std::size_t headerBytes(const routed_packet &Routed, bool HasLevel) {
  return RoutedFixedBytes + Routed.Count * EndpointBytes +
         (HasLevel ? RoutedLevelBytes : 0);
}

static std::uint32_t wholeMilliseconds(duration Time) {
  using std::chrono::milliseconds;
  return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(
      std::chrono::duration_cast<milliseconds>(Time).count(), 0, UINT32_MAX));
}

static constexpr std::uint16_t UnknownWait = 0xffff;

static std::uint16_t encodeWait(const std::optional<duration> &Wait) {
  if (!Wait)
    return UnknownWait;
  return static_cast<std::uint16_t>(
      wholeMilliseconds(std::min(*Wait, MaxSubstituteWait)));
}

static std::optional<duration> decodeWait(std::uint16_t Milliseconds) {
  if (Milliseconds == UnknownWait)
    return std::nullopt;
  return std::chrono::milliseconds(Milliseconds);
}

static void writeLevel(const routed_packet &Routed, byte_writer &Writer) {
  const stated_level &Stated = *Routed.Level;
  const service_level &Level = Stated.Level;
  Writer.put(Level.Priority);
  Writer.put(static_cast<std::uint8_t>(Level.Repeatable ? RepeatableBit : 0));
  Writer.put(encodeWait(Routed.SubstituteWait));
  Writer.put(wholeMilliseconds(Level.LatencyAim));
  Writer.put(wholeMilliseconds(Level.TimeLimit));
  Writer.put(Stated.MaxFlows);
  Writer.put(Stated.Version);
}

static void readLevel(byte_reader &Reader, routed_packet &Routed) {
  using std::chrono::milliseconds;
  stated_level Stated;
  Stated.Level.Priority = Reader.take<std::uint8_t>();
  Stated.Level.Repeatable = (Reader.take<std::uint8_t>() & RepeatableBit) != 0;
  Routed.SubstituteWait = decodeWait(Reader.take<std::uint16_t>());
  Stated.Level.LatencyAim = milliseconds(Reader.take<std::uint32_t>());
  Stated.Level.TimeLimit = milliseconds(Reader.take<std::uint32_t>());
  Stated.MaxFlows = Reader.take<std::uint32_t>();
  Stated.Version = Reader.take<std::uint64_t>();
  Routed.Level = Stated;
}

std::size_t encodeRouted(const routed_packet &Routed,
                         std::span<std::uint8_t> Buffer) {
  const std::size_t Size =
      headerBytes(Routed, Routed.Level.has_value()) + Routed.Packet.size();
  if (!isEncodable(Routed) || Buffer.size() < Size)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(RoutedMagic);
  Writer.put(Routed.Level ? LevelFormat : PlainFormat);
  Writer.put(Routed.Flags);
  Writer.put(static_cast<std::uint32_t>(Routed.Service));
  Writer.put(Routed.Version);
  Writer.put(Routed.Position);
  Writer.put(Routed.Count);
  Writer.put(Routed.Balancer);
  for (std::size_t I = 0; I < Routed.Count; ++I)
    Writer.put(Routed.Owners[I]);
  if (Routed.Level)
    writeLevel(Routed, Writer);
  std::copy(Routed.Packet.begin(), Routed.Packet.end(), Writer.position());
  return Size;
}

static packet_fault checkList(const routed_packet &Routed, bool HasLevel,
                              std::size_t Size) {
  if (Routed.Count > MaxRoutedOwners)
    return packet_fault::TooManyOwners;
  if (Routed.Position >= Routed.Count && !Routed.has(routed_flag::Extended))
    return packet_fault::BadPosition;
  const std::size_t HeaderBytes = headerBytes(Routed, HasLevel);
  if (Size <= HeaderBytes)
    return packet_fault::Truncated;
  if (Size - HeaderBytes > MaxPacketBytes)
    return packet_fault::BadLength;
  return packet_fault::None;
}

packet_fault decodeRouted(bytes_view Bytes, routed_packet &Routed) {
  if (Bytes.size() < RoutedFixedBytes)
    return packet_fault::Truncated;
  byte_reader Reader(Bytes.data());
  if (Reader.take<std::uint16_t>() != RoutedMagic)
    return packet_fault::BadMagic;
  const auto Format = Reader.take<std::uint8_t>();
  if (Format != PlainFormat && Format != LevelFormat)
    return packet_fault::BadFormat;
  const bool HasLevel = Format == LevelFormat;
  Routed.Flags = Reader.take<std::uint8_t>();
  Routed.Service = service_id(Reader.take<std::uint32_t>());
  Routed.Version = Reader.take<std::uint64_t>();
  Routed.Position = Reader.take<std::uint8_t>();
  Routed.Count = Reader.take<std::uint8_t>();
  Routed.Balancer = Reader.takeEndpoint();
  const packet_fault Fault = checkList(Routed, HasLevel, Bytes.size());
  if (Fault != packet_fault::None)
    return Fault;
  for (std::size_t I = 0; I < Routed.Count; ++I)
    Routed.Owners[I] = Reader.takeEndpoint();
  Routed.Level.reset();
  Routed.SubstituteWait.reset();
  if (HasLevel)
    readLevel(Reader, Routed);
  Routed.Packet = Bytes.subspan(headerBytes(Routed, HasLevel));
  return packet_fault::None;
}

} // namespace marjoramrail
