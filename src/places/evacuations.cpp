#include "marjoramrail/places.h"
#include "wire/byte_order.h"

#include <algorithm>

namespace marjoramrail {

static constexpr std::size_t MaxZones = UINT8_MAX;
static constexpr std::size_t MaxNameBytes = UINT8_MAX;
static constexpr std::size_t HeadBytes =
    sizeof(std::uint64_t) + sizeof(std::uint8_t);

bool evacuations::contains(std::string_view Zone) const {
  return std::binary_search(Zones.begin(), Zones.end(), Zone);
}

bool evacuations::adopt(const evacuations &Other) {
  if (Other.Version <= Version)
    return false;
  Version = Other.Version;
  if (Zones == Other.Zones)
    return false;
  Zones = Other.Zones;
  return true;
}

void appendEvacuations(const evacuations &Table,
                       std::vector<std::uint8_t> &Bytes) {
  const std::size_t Count = std::min(Table.Zones.size(), MaxZones);
  const std::size_t Start = Bytes.size();
  Bytes.resize(Start + HeadBytes);
  internal::byte_writer Writer(Bytes.data() + Start);
  Writer.put(Table.Version);
  Writer.put(static_cast<std::uint8_t>(Count));
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string Name = Table.Zones[I].substr(0, MaxNameBytes);
    Bytes.push_back(static_cast<std::uint8_t>(Name.size()));
    Bytes.insert(Bytes.end(), Name.begin(), Name.end());
  }
}

std::optional<evacuations>
takeEvacuations(std::span<const std::uint8_t> &Bytes) {
  if (Bytes.size() < HeadBytes)
    return std::nullopt;
  internal::byte_reader Reader(Bytes.data());
  evacuations Table;
  Table.Version = Reader.take<std::uint64_t>();
  const std::size_t Count = Reader.take<std::uint8_t>();
  auto Rest = Bytes.subspan(HeadBytes);
  for (std::size_t I = 0; I < Count; ++I) {
    if (Rest.empty() || Rest.size() - 1 < Rest.front())
      return std::nullopt;
    const std::size_t Size = Rest.front();
    const auto Name = Rest.subspan(1, Size);
    Table.Zones.emplace_back(Name.begin(), Name.end());
    Rest = Rest.subspan(1 + Size);
  }
  std::sort(Table.Zones.begin(), Table.Zones.end());
  Bytes = Rest;
  return Table;
}

} // namespace marjoramrail
