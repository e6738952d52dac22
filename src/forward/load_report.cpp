#include "marjoramrail/forward.h"
#include "wire/byte_order.h"

namespace marjoramrail {

using namespace internal;

/// Layout of a load report:
/// u16 magic | u8 format | u8 flags | u32 service | u32, u16 agent |
/// u16 active | u16 slots | u32 flows | u16 busy | u32 latency us |
/// u32 warm-up us | u16 failing | padding
static constexpr std::uint16_t ReportMagic = 0x4d4c;
static constexpr std::uint16_t ReportRequestMagic = 0x4d51;
static constexpr std::uint16_t UnregisteredMagic = 0x4d55;
static constexpr std::uint16_t RegisteredMagic = 0x4d4b;
static constexpr std::uint16_t RegistrationFoundMagic = 0x4d46;
/// Size of a message that consists of the magic number, the format and one
/// number.
static constexpr std::size_t NumberBytes = 8;
static_assert(RegisteredNoticeBytes == NumberBytes &&
              RegistrationFoundNoticeBytes == NumberBytes);
static constexpr std::uint8_t Format = 1;
static constexpr std::uint8_t AdmittingBit = 1;
static constexpr std::uint8_t AnsweringBit = 2;

static bool hasMagic(bytes_view Bytes, std::uint16_t Magic) {
  byte_reader Reader(Bytes.data());
  return Reader.take<std::uint16_t>() == Magic &&
         Reader.take<std::uint8_t>() == Format;
}

static std::uint32_t cappedCount(duration Time) {
  return static_cast<std::uint32_t>(
      std::clamp<duration::rep>(Time.count(), 0, UINT32_MAX));
}

std::size_t encodeLoadReport(const load_report &Report,
                             std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < LoadReportBytes)
    return 0;
  std::fill_n(Buffer.begin(), LoadReportBytes, std::uint8_t{0});
  byte_writer Writer(Buffer.data());
  Writer.put(ReportMagic);
  Writer.put(Format);
  Writer.put(static_cast<std::uint8_t>((Report.Admitting ? AdmittingBit : 0) |
                                       (Report.Answering ? AnsweringBit : 0)));
  Writer.put(static_cast<std::uint32_t>(Report.Service));
  Writer.put(Report.Agent);
  Writer.put(Report.Active);
  Writer.put(Report.Slots);
  Writer.put(Report.Flows);
  Writer.put(Report.Busy);
  Writer.put(cappedCount(Report.Latency));
  Writer.put(cappedCount(Report.Warmup));
  Writer.put(Report.Failing);
  return LoadReportBytes;
}

bool isLoadReport(bytes_view Bytes) {
  return Bytes.size() == LoadReportBytes && hasMagic(Bytes, ReportMagic);
}

bool decodeLoadReport(bytes_view Bytes, load_report &Report) {
  if (!isLoadReport(Bytes))
    return false;
  byte_reader Reader(Bytes.data() + sizeof(ReportMagic) + sizeof(Format));
  const auto Flags = Reader.take<std::uint8_t>();
  Report.Admitting = (Flags & AdmittingBit) != 0;
  Report.Answering = (Flags & AnsweringBit) != 0;
  Report.Service = service_id(Reader.take<std::uint32_t>());
  Report.Agent = Reader.takeEndpoint();
  Report.Active = Reader.take<std::uint16_t>();
  Report.Slots = std::max<std::uint16_t>(Reader.take<std::uint16_t>(), 1);
  Report.Flows = Reader.take<std::uint32_t>();
  Report.Busy = Reader.take<std::uint16_t>();
  Report.Latency = duration(Reader.take<std::uint32_t>());
  Report.Warmup = duration(Reader.take<std::uint32_t>());
  Report.Failing = Reader.take<std::uint16_t>();
  return true;
}

/// Encodes a message that consists of the magic number, the format and one
/// byte.
static std::size_t encodeBare(std::uint16_t Magic, std::uint8_t Byte,
                              std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < LoadReportRequestBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(Magic);
  Writer.put(Format);
  Writer.put(Byte);
  return LoadReportRequestBytes;
}

std::size_t encodeLoadReportRequest(report_span Span,
                                    std::span<std::uint8_t> Buffer) {
  return encodeBare(ReportRequestMagic, static_cast<std::uint8_t>(Span),
                    Buffer);
}

std::optional<report_span> decodeLoadReportRequest(bytes_view Bytes) {
  if (Bytes.size() != LoadReportRequestBytes ||
      !hasMagic(Bytes, ReportRequestMagic))
    return std::nullopt;
  const bool IsOnce =
      Bytes.back() == static_cast<std::uint8_t>(report_span::Once);
  return IsOnce ? report_span::Once : report_span::Continued;
}

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
  Writer.put(Format);
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
