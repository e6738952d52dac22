#include "marjoramrail/wire.h"
#include "wire/byte_order.h"

namespace marjoramrail {

using namespace internal;

static constexpr std::uint16_t NoticeMagic = 0x4d4f;
static constexpr std::uint8_t NoticeFormat = 1;

std::size_t encodeOwnerNotice(const owner_notice &Notice,
                              std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < OwnerNoticeBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(NoticeMagic);
  Writer.put(NoticeFormat);
  Writer.put(std::uint8_t(0));
  Writer.put(static_cast<std::uint32_t>(Notice.Service));
  Writer.put(Notice.Version);
  Writer.put(Notice.Flow.Caller);
  Writer.put(Notice.Flow.Service);
  Writer.put(Notice.Owner);
  return OwnerNoticeBytes;
}

bool isOwnerNotice(bytes_view Bytes) {
  return Bytes.size() == OwnerNoticeBytes &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == NoticeMagic;
}

packet_fault decodeOwnerNotice(bytes_view Bytes, owner_notice &Notice) {
  if (Bytes.size() < OwnerNoticeBytes)
    return packet_fault::Truncated;
  if (Bytes.size() > OwnerNoticeBytes)
    return packet_fault::BadLength;
  byte_reader Reader(Bytes.data());
  if (Reader.take<std::uint16_t>() != NoticeMagic)
    return packet_fault::BadMagic;
  if (Reader.take<std::uint8_t>() != NoticeFormat)
    return packet_fault::BadFormat;
  if (Reader.take<std::uint8_t>() != 0)
    return packet_fault::BadFormat;
  Notice.Service = service_id(Reader.take<std::uint32_t>());
  Notice.Version = Reader.take<std::uint64_t>();
  Notice.Flow.Caller = Reader.takeEndpoint();
  Notice.Flow.Service = Reader.takeEndpoint();
  Notice.Owner = Reader.takeEndpoint();
  return packet_fault::None;
}

} // namespace marjoramrail
