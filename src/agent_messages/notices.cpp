#include "agent_messages/message_format.h"

namespace marjoramrail {

using namespace internal;

static constexpr std::uint16_t UnregisteredMagic = 0x4d55;
static constexpr std::uint16_t RegisteredMagic = 0x4d4b;
static constexpr std::uint16_t RegistrationFoundMagic = 0x4d46;
/// Size of a message that consists of the magic number, the format and one
/// number.
static constexpr std::size_t NumberBytes = 8;
static_assert(RegisteredNoticeBytes == NumberBytes &&
              RegistrationFoundNoticeBytes == NumberBytes);

std::size_t encodeUnregisteredNotice(std::span<std::uint8_t> Buffer) {
  return encodeBare(UnregisteredMagic, 0, Buffer);
}

bool isUnregisteredNotice(bytes_view Bytes) {
  return Bytes.size() == UnregisteredNoticeBytes &&
         hasMagic(Bytes, UnregisteredMagic);
}

/// Layout: u16 magic | u8 format | u8 zero | u32 number
static std::size_t encodeNumber(std::uint16_t Magic, std::uint32_t Number,
                                std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < NumberBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(Magic);
  Writer.put(MessageFormat);
  Writer.put(std::uint8_t{0});
  Writer.put(Number);
  return NumberBytes;
}

static std::optional<std::uint32_t> decodeNumber(bytes_view Bytes,
                                                 std::uint16_t Magic) {
  if (Bytes.size() != NumberBytes || !hasMagic(Bytes, Magic))
    return std::nullopt;
  return byte_reader(Bytes.data() + NumberBytes - sizeof(std::uint32_t))
      .take<std::uint32_t>();
}

std::size_t encodeRegisteredNotice(service_id Service,
                                   std::span<std::uint8_t> Buffer) {
  return encodeNumber(RegisteredMagic, static_cast<std::uint32_t>(Service),
                      Buffer);
}

static bool decodeService(bytes_view Bytes, std::uint16_t Magic,
                          service_id &Service) {
  const auto Number = decodeNumber(Bytes, Magic);
  if (Number)
    Service = service_id(*Number);
  return Number.has_value();
}

bool decodeRegisteredNotice(bytes_view Bytes, service_id &Service) {
  return decodeService(Bytes, RegisteredMagic, Service);
}

std::size_t encodeRegistrationFoundNotice(service_id Service,
                                          std::span<std::uint8_t> Buffer) {
  return encodeNumber(RegistrationFoundMagic,
                      static_cast<std::uint32_t>(Service), Buffer);
}

bool decodeRegistrationFoundNotice(bytes_view Bytes, service_id &Service) {
  return decodeService(Bytes, RegistrationFoundMagic, Service);
}

} // namespace marjoramrail
