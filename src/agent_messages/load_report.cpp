#include "agent_messages/message_format.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

/// Layout of a load report:
/// u16 magic | u8 format | u8 flags | u32 service | u32, u16 agent |
/// u16 active | u16 slots | u32 flows | u16 busy | u32 latency us |
/// u32 warm-up us | u16 failing | u32 warm-up rate | padding to 40 bytes
/// A long report continues:
/// u16 free slots | 4 x u16 waiting requests | 4 x u16 wait ms |
/// u32 service time us | u16 balancers
static constexpr std::uint16_t ReportMagic = 0x4d4c;
static constexpr std::uint16_t ReportRequestMagic = 0x4d51;
static constexpr std::uint8_t AdmittingBit = 1;
static constexpr std::uint8_t AnsweringBit = 2;
static constexpr std::uint8_t EvacuatedBit = 4;
static constexpr std::uint8_t OnceBit = 1;
static constexpr std::uint8_t ReadsCapacityBit = 2;

static std::uint32_t cappedCount(duration Time) {
  return static_cast<std::uint32_t>(
      std::clamp<duration::rep>(Time.count(), 0, UINT32_MAX));
}

static void writeCapacity(const capacity_report &Capacity,
                          byte_writer &Writer) {
  Writer.put(Capacity.FreeSlots);
  for (const std::uint16_t Waiting : Capacity.Waiting)
    Writer.put(Waiting);
  for (const duration Wait : Capacity.Wait) {
    const auto Milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
    Writer.put(static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(Milliseconds, 0, UINT16_MAX)));
  }
  Writer.put(cappedCount(Capacity.ServiceTime));
  Writer.put(Capacity.Balancers);
}

static capacity_report readCapacity(byte_reader &Reader) {
  capacity_report Capacity;
  Capacity.FreeSlots = Reader.take<std::uint16_t>();
  for (std::uint16_t &Waiting : Capacity.Waiting)
    Waiting = Reader.take<std::uint16_t>();
  for (duration &Wait : Capacity.Wait)
    Wait = std::chrono::milliseconds(Reader.take<std::uint16_t>());
  Capacity.ServiceTime = duration(Reader.take<std::uint32_t>());
  Capacity.Balancers = std::max<std::uint16_t>(Reader.take<std::uint16_t>(), 1);
  return Capacity;
}

std::size_t encodeLoadReport(const load_report &Report,
                             std::span<std::uint8_t> Buffer) {
  const std::size_t Size =
      Report.Capacity ? LongLoadReportBytes : LoadReportBytes;
  if (Buffer.size() < Size)
    return 0;
  std::fill_n(Buffer.begin(), Size, std::uint8_t{0});
  byte_writer Writer(Buffer.data());
  Writer.put(ReportMagic);
  Writer.put(MessageFormat);
  Writer.put(static_cast<std::uint8_t>((Report.Admitting ? AdmittingBit : 0) |
                                       (Report.Answering ? AnsweringBit : 0) |
                                       (Report.Evacuated ? EvacuatedBit : 0)));
  Writer.put(static_cast<std::uint32_t>(Report.Service));
  Writer.put(Report.Agent);
  Writer.put(Report.Active);
  Writer.put(Report.Slots);
  Writer.put(Report.Flows);
  Writer.put(Report.Busy);
  Writer.put(cappedCount(Report.Latency));
  Writer.put(cappedCount(Report.Warmup));
  Writer.put(Report.Failing);
  Writer.put(Report.WarmupRate);
  if (Report.Capacity) {
    byte_writer Rest(Buffer.data() + LoadReportBytes);
    writeCapacity(*Report.Capacity, Rest);
  }
  return Size;
}

bool isLoadReport(bytes_view Bytes) {
  return (Bytes.size() == LoadReportBytes ||
          Bytes.size() == LongLoadReportBytes) &&
         hasMagic(Bytes, ReportMagic);
}

bool decodeLoadReport(bytes_view Bytes, load_report &Report) {
  if (!isLoadReport(Bytes))
    return false;
  byte_reader Reader(Bytes.data() + sizeof(ReportMagic) +
                     sizeof(MessageFormat));
  const auto Flags = Reader.take<std::uint8_t>();
  Report.Admitting = (Flags & AdmittingBit) != 0;
  Report.Answering = (Flags & AnsweringBit) != 0;
  Report.Evacuated = (Flags & EvacuatedBit) != 0;
  Report.Service = service_id(Reader.take<std::uint32_t>());
  Report.Agent = Reader.takeEndpoint();
  Report.Active = Reader.take<std::uint16_t>();
  Report.Slots = std::max<std::uint16_t>(Reader.take<std::uint16_t>(), 1);
  Report.Flows = Reader.take<std::uint32_t>();
  Report.Busy = Reader.take<std::uint16_t>();
  Report.Latency = duration(Reader.take<std::uint32_t>());
  Report.Warmup = duration(Reader.take<std::uint32_t>());
  Report.Failing = Reader.take<std::uint16_t>();
  Report.WarmupRate = Reader.take<std::uint32_t>();
  Report.Capacity.reset();
  if (Bytes.size() == LongLoadReportBytes) {
    byte_reader Rest(Bytes.data() + LoadReportBytes);
    Report.Capacity = readCapacity(Rest);
  }
  return true;
}

std::size_t encodeLoadReportRequest(const load_report_request &Request,
                                    std::span<std::uint8_t> Buffer) {
  const bool IsOnce = Request.Span == report_span::Once;
  const int Bits =
      (IsOnce ? OnceBit : 0) | (Request.ReadsCapacity ? ReadsCapacityBit : 0);
  return encodeBare(ReportRequestMagic, static_cast<std::uint8_t>(Bits),
                    Buffer);
}

std::optional<load_report_request> decodeLoadReportRequest(bytes_view Bytes) {
  if (Bytes.size() != LoadReportRequestBytes ||
      !hasMagic(Bytes, ReportRequestMagic))
    return std::nullopt;
  const std::uint8_t Bits = Bytes.back();
  return load_report_request{(Bits & OnceBit) != 0 ? report_span::Once
                                                   : report_span::Continued,
                             (Bits & ReadsCapacityBit) != 0};
}

} // namespace marjoramrail
