#include "bench/routing/maglev_table.h"

#include <xxhash.h>

namespace marjoramrail::bench {

namespace {

/// A member's own order of the table's slots.
struct preference {
  std::uint64_t Next;
  std::uint64_t Skip;
};

} // namespace

static preference preferenceOf(host_id Host, std::uint32_t Size) {
  const std::uint64_t Offset = XXH3_64bits_withSeed(&Host, sizeof(Host), 1);
  const std::uint64_t Skip = XXH3_64bits_withSeed(&Host, sizeof(Host), 2);
  return {Offset % Size, Skip % (Size - 1) + 1};
}

maglev_table::maglev_table(const generation &Generation, std::uint32_t Size) {
  constexpr std::uint16_t Empty = 0xffff;
  Slots.assign(Size, Empty);
  std::vector<preference> Preferences;
  for (const member &Member : Generation.Members)
    Preferences.push_back(preferenceOf(Member.Host, Size));
  std::uint32_t Filled = 0;
  while (Filled < Size)
    for (std::size_t I = 0; I < Preferences.size() && Filled < Size; ++I) {
      preference &Preference = Preferences[I];
      while (Slots[Preference.Next] != Empty)
        Preference.Next = (Preference.Next + Preference.Skip) % Size;
      Slots[Preference.Next] = static_cast<std::uint16_t>(I);
      ++Filled;
    }
}

} // namespace marjoramrail::bench
