#include "marjoramrail/wire.h"
#include "wire/byte_order.h"

namespace marjoramrail {

using namespace internal;

static constexpr std::uint16_t SilenceMagic = 0x4d53;
static constexpr std::uint8_t SilenceFormat = 1;

std::size_t encodeSilenceNotice(const silence_notice &Notice,
                                std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < SilenceNoticeBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(SilenceMagic);
  Writer.put(SilenceFormat);
  Writer.put(std::uint8_t(0));
  Writer.put(static_cast<std::uint32_t>(Notice.Service));
  Writer.put(Notice.Silent);
  return SilenceNoticeBytes;
}

bool isSilenceNotice(bytes_view Bytes) {
  return Bytes.size() == SilenceNoticeBytes &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == SilenceMagic;
}

packet_fault decodeSilenceNotice(bytes_view Bytes, silence_notice &Notice) {
  if (Bytes.size() < SilenceNoticeBytes)
    return packet_fault::Truncated;
  if (Bytes.size() > SilenceNoticeBytes)
    return packet_fault::BadLength;
  byte_reader Reader(Bytes.data());
  if (Reader.take<std::uint16_t>() != SilenceMagic)
    return packet_fault::BadMagic;
  if (Reader.take<std::uint8_t>() != SilenceFormat)
    return packet_fault::BadFormat;
  if (Reader.take<std::uint8_t>() != 0)
    return packet_fault::BadFormat;
  Notice.Service = service_id(Reader.take<std::uint32_t>());
  Notice.Silent = Reader.takeEndpoint();
  return packet_fault::None;
}

} // namespace marjoramrail
