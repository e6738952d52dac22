#include "marjoramrail/wire.h"
#include "wire/byte_order.h"

namespace marjoramrail {

using namespace internal;

static constexpr std::uint16_t UnresponsiveMagic = 0x4d53;
static constexpr std::uint8_t UnresponsiveFormat = 1;

std::size_t encodeUnresponsiveNotice(const unresponsive_notice &Notice,
                                     std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < UnresponsiveNoticeBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(UnresponsiveMagic);
  Writer.put(UnresponsiveFormat);
  Writer.put(std::uint8_t(0));
  Writer.put(static_cast<std::uint32_t>(Notice.Service));
  Writer.put(Notice.Agent);
  return UnresponsiveNoticeBytes;
}

bool isUnresponsiveNotice(bytes_view Bytes) {
  return Bytes.size() == UnresponsiveNoticeBytes &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == UnresponsiveMagic;
}

packet_fault decodeUnresponsiveNotice(bytes_view Bytes,
                                      unresponsive_notice &Notice) {
  if (Bytes.size() < UnresponsiveNoticeBytes)
    return packet_fault::Truncated;
  if (Bytes.size() > UnresponsiveNoticeBytes)
    return packet_fault::BadLength;
  byte_reader Reader(Bytes.data());
  if (Reader.take<std::uint16_t>() != UnresponsiveMagic)
    return packet_fault::BadMagic;
  if (Reader.take<std::uint8_t>() != UnresponsiveFormat)
    return packet_fault::BadFormat;
  if (Reader.take<std::uint8_t>() != 0)
    return packet_fault::BadFormat;
  Notice.Service = service_id(Reader.take<std::uint32_t>());
  Notice.Agent = Reader.takeEndpoint();
  return packet_fault::None;
}

} // namespace marjoramrail
