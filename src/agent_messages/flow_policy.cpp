#include "agent_messages/message_format.h"

namespace marjoramrail {

using namespace internal;

/// Layout: u16 magic | u8 format | u8 flags | u32 service | u64 version of the
/// evacuations | u64 version of the configuration | u32 warm-up rate
static constexpr std::uint16_t FlowPolicyMagic = 0x4d50;
static constexpr std::uint8_t EvacuatedBit = 1;

bool differsFrom(const flow_policy &Policy, const load_report &Report) {
  const bool IsZoneKnown = Policy.EvacuationsVersion != 0;
  const bool IsRateKnown = Policy.RoutesVersion != 0;
  return (IsZoneKnown && Policy.Evacuated != Report.Evacuated) ||
         (IsRateKnown && Policy.WarmupRate != Report.WarmupRate);
}

std::size_t encodeFlowPolicy(const flow_policy &Policy,
                             std::span<std::uint8_t> Buffer) {
  if (Buffer.size() < FlowPolicyBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(FlowPolicyMagic);
  Writer.put(MessageFormat);
  Writer.put(static_cast<std::uint8_t>(Policy.Evacuated ? EvacuatedBit : 0));
  Writer.put(static_cast<std::uint32_t>(Policy.Service));
  Writer.put(Policy.EvacuationsVersion);
  Writer.put(Policy.RoutesVersion);
  Writer.put(Policy.WarmupRate);
  return FlowPolicyBytes;
}

std::optional<flow_policy> decodeFlowPolicy(bytes_view Bytes) {
  if (Bytes.size() != FlowPolicyBytes || !hasMagic(Bytes, FlowPolicyMagic))
    return std::nullopt;
  byte_reader Reader(Bytes.data() + sizeof(FlowPolicyMagic) +
                     sizeof(MessageFormat));
  flow_policy Policy;
  Policy.Evacuated = (Reader.take<std::uint8_t>() & EvacuatedBit) != 0;
  Policy.Service = service_id(Reader.take<std::uint32_t>());
  Policy.EvacuationsVersion = Reader.take<std::uint64_t>();
  Policy.RoutesVersion = Reader.take<std::uint64_t>();
  Policy.WarmupRate = Reader.take<std::uint32_t>();
  return Policy;
}

} // namespace marjoramrail
