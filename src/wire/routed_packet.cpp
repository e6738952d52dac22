#include "marjoramrail/wire.h"
#include "wire/byte_order.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

static constexpr std::uint16_t RoutedMagic = 0x4d52;
static constexpr std::uint8_t RoutedFormat = 1;
static constexpr std::size_t EndpointBytes = 6;

bool isRouted(bytes_view Bytes) {
  return Bytes.size() >= sizeof(RoutedMagic) &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == RoutedMagic;
}

static bool isEncodable(const routed_packet &Routed) {
  return Routed.Count <= MaxRoutedOwners && !Routed.Packet.empty() &&
         Routed.Packet.size() <= MaxPacketBytes;
}

std::size_t encodeRouted(const routed_packet &Routed,
                         std::span<std::uint8_t> Buffer) {
  const std::size_t Size =
      RoutedFixedBytes + Routed.Count * EndpointBytes + Routed.Packet.size();
  if (!isEncodable(Routed) || Buffer.size() < Size)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(RoutedMagic);
  Writer.put(RoutedFormat);
  Writer.put(Routed.Flags);
  Writer.put(static_cast<std::uint32_t>(Routed.Service));
  Writer.put(Routed.Version);
  Writer.put(Routed.Position);
  Writer.put(Routed.Count);
  Writer.put(Routed.Balancer);
  for (std::size_t I = 0; I < Routed.Count; ++I)
    Writer.put(Routed.Owners[I]);
  std::copy(Routed.Packet.begin(), Routed.Packet.end(), Writer.position());
  return Size;
}

static packet_fault checkList(const routed_packet &Routed, std::size_t Size) {
  if (Routed.Count > MaxRoutedOwners)
    return packet_fault::TooManyOwners;
  if (Routed.Position >= Routed.Count && !Routed.has(routed_flag::Extended))
    return packet_fault::BadPosition;
  const std::size_t HeaderBytes =
      RoutedFixedBytes + Routed.Count * EndpointBytes;
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
  if (Reader.take<std::uint8_t>() != RoutedFormat)
    return packet_fault::BadFormat;
  Routed.Flags = Reader.take<std::uint8_t>();
  Routed.Service = service_id(Reader.take<std::uint32_t>());
  Routed.Version = Reader.take<std::uint64_t>();
  Routed.Position = Reader.take<std::uint8_t>();
  Routed.Count = Reader.take<std::uint8_t>();
  Routed.Balancer = Reader.takeEndpoint();
  const packet_fault Fault = checkList(Routed, Bytes.size());
  if (Fault != packet_fault::None)
    return Fault;
  for (std::size_t I = 0; I < Routed.Count; ++I)
    Routed.Owners[I] = Reader.takeEndpoint();
  Routed.Packet =
      Bytes.subspan(RoutedFixedBytes + Routed.Count * EndpointBytes);
  return packet_fault::None;
}

} // namespace marjoramrail
