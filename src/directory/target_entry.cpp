#include "marjoramrail/directory.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace marjoramrail {

service_id serviceNumber(std::string_view Name) {
  return service_id(
      static_cast<std::uint32_t>(XXH3_64bits(Name.data(), Name.size())));
}

std::string encodeTarget(const target_entry &Target) {
  return nlohmann::json{{"service", Target.Service},
                        {"agent", toText(Target.Agent)},
                        {"zone", Target.Zone},
                        {"slots", Target.Slots},
                        {"draining", Target.Draining}}
      .dump();
}

result<target_entry> decodeTarget(const std::string &Name,
                                  const std::string &Body) {
  BOOST_LEAF_AUTO(Reader,
                  settings_reader::fromText(Body, Name, step::ValidateObject));
  constexpr std::int64_t MostSlots = 1'000'000;
  target_entry Target;
  Target.Name = Name;
  Target.Service = Reader.text("service");
  Target.Agent = Reader.address("agent");
  Target.Zone = Reader.text("zone");
  Target.Slots =
      static_cast<std::uint32_t>(Reader.number("slots", 1, 1, MostSlots));
  Target.Draining = Reader.flag("draining", false);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Target;
}

} // namespace marjoramrail
