#include "marjoramrail/flowstore.h"
#include "wire/byte_order.h"

namespace marjoramrail {

using namespace internal;

/// Layout: u16 magic | u8 format | u64 sequence
static constexpr std::uint16_t RequestMagic = 0x4d57;
/// Layout: u16 magic | u8 format | u8 part | u8 parts | u64 sequence |
/// i64 born | u8 length of the name | u8 length of the run | name | run |
/// n x (endpoint of the caller, endpoint of the service, u32 acknowledged)
static constexpr std::uint16_t ReportMagic = 0x4d58;
static constexpr std::uint8_t Format = 1;
static constexpr std::size_t RequestBytes = 2 + 1 + 8;
static constexpr std::size_t ReportHeadBytes = 2 + 1 + 1 + 1 + 8 + 8 + 1 + 1;
static constexpr std::size_t FlowBytes = 6 + 6 + 4;
static constexpr std::size_t MaxTextBytes = 128;
static constexpr std::uint8_t MaxParts = 16;

static bool hasMagic(std::span<const std::uint8_t> Bytes, std::uint16_t Magic) {
  byte_reader Reader(Bytes.data());
  return Reader.take<std::uint16_t>() == Magic &&
         Reader.take<std::uint8_t>() == Format;
}

/// Distinguishes the numbers from those of earlier versions, which begin with
/// the clock at the start of the agent's process and count reports.
static constexpr std::uint64_t MomentMark = 1ULL << 63;

std::uint64_t reportSequence(instant Moment) {
  return MomentMark |
         static_cast<std::uint64_t>(Moment.time_since_epoch().count());
}

std::optional<instant> reportMoment(std::uint64_t Sequence) {
  if ((Sequence & MomentMark) == 0)
    return std::nullopt;
  return instant(duration(static_cast<std::int64_t>(Sequence & ~MomentMark)));
}

std::vector<std::uint8_t>
encodeFlowReportRequest(const flow_report_request &Request) {
  std::vector<std::uint8_t> Bytes(RequestBytes);
  byte_writer Writer(Bytes.data());
  Writer.put(RequestMagic);
  Writer.put(Format);
  Writer.put(Request.Sequence);
  return Bytes;
}

std::optional<flow_report_request>
decodeFlowReportRequest(std::span<const std::uint8_t> Bytes) {
  if (Bytes.size() != RequestBytes || !hasMagic(Bytes, RequestMagic))
    return std::nullopt;
  byte_reader Reader(Bytes.data() + sizeof(RequestMagic) + sizeof(Format));
  return flow_report_request{Reader.take<std::uint64_t>()};
}

std::vector<std::uint8_t> encodeFlowReport(const flow_report &Report) {
  const std::string Name = Report.Name.substr(0, MaxTextBytes);
  const std::string Run = Report.Run.Id.substr(0, MaxTextBytes);
  std::vector<std::uint8_t> Bytes(ReportHeadBytes);
  byte_writer Head(Bytes.data());
  Head.put(ReportMagic);
  Head.put(Format);
  Head.put(Report.Part);
  Head.put(Report.Parts);
  Head.put(Report.Sequence);
  Head.put(static_cast<std::uint64_t>(Report.Run.Born));
  Head.put(static_cast<std::uint8_t>(Name.size()));
  Head.put(static_cast<std::uint8_t>(Run.size()));
  Bytes.insert(Bytes.end(), Name.begin(), Name.end());
  Bytes.insert(Bytes.end(), Run.begin(), Run.end());
  const std::size_t FlowsAt = Bytes.size();
  Bytes.resize(FlowsAt + Report.Flows.size() * FlowBytes);
  byte_writer Writer(Bytes.data() + FlowsAt);
  for (const open_flow &Open : Report.Flows) {
    Writer.put(Open.Flow.Caller);
    Writer.put(Open.Flow.Service);
    Writer.put(Open.Acknowledged);
  }
  return Bytes;
}

bool isFlowReport(std::span<const std::uint8_t> Bytes) {
  return Bytes.size() >= ReportHeadBytes && hasMagic(Bytes, ReportMagic);
}

std::optional<flow_report>
decodeFlowReport(std::span<const std::uint8_t> Bytes) {
  if (!isFlowReport(Bytes))
    return std::nullopt;
  byte_reader Head(Bytes.data() + sizeof(ReportMagic) + sizeof(Format));
  flow_report Report;
  Report.Part = Head.take<std::uint8_t>();
  Report.Parts = Head.take<std::uint8_t>();
  Report.Sequence = Head.take<std::uint64_t>();
  Report.Run.Born = static_cast<std::int64_t>(Head.take<std::uint64_t>());
  const std::size_t NameBytes = Head.take<std::uint8_t>();
  const std::size_t RunBytes = Head.take<std::uint8_t>();
  auto Rest = Bytes.subspan(ReportHeadBytes);
  if (NameBytes == 0 || NameBytes > MaxTextBytes || RunBytes > MaxTextBytes ||
      Rest.size() < NameBytes + RunBytes || Report.Part >= Report.Parts ||
      Report.Parts > MaxParts)
    return std::nullopt;
  const auto Texts = Rest.first(NameBytes + RunBytes);
  const auto Middle = Texts.begin() + static_cast<std::ptrdiff_t>(NameBytes);
  Report.Name.assign(Texts.begin(), Middle);
  Report.Run.Id.assign(Middle, Texts.end());
  Rest = Rest.subspan(NameBytes + RunBytes);
  if (Rest.size() % FlowBytes != 0)
    return std::nullopt;
  byte_reader Reader(Rest.data());
  for (std::size_t I = 0; I < Rest.size() / FlowBytes; ++I) {
    open_flow Open;
    Open.Flow.Caller = Reader.takeEndpoint();
    Open.Flow.Service = Reader.takeEndpoint();
    Open.Acknowledged = Reader.take<std::uint32_t>();
    Report.Flows.push_back(Open);
  }
  return Report;
}

} // namespace marjoramrail
