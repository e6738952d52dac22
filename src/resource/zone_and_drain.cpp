#include "resource/limits.h"
#include "resource/object_reader.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;
using ordered_json = nlohmann::ordered_json;

result<zone_spec> parseZone(std::string_view Json, const std::string &Name) {
  BOOST_LEAF_AUTO(Reader, openObject("zone", Name, Json));
  zone_spec Spec;
  Spec.Name = Name;
  Spec.Number =
      zone_id(Reader.number("number", std::nullopt, 1, MaxZoneNumber));
  Spec.Region = Reader.text("region");
  if (!isName(Spec.Region))
    Reader.refuse("region", NameRule);
  if (auto Checked = Reader.finish(); !Checked)
    return Checked.error();
  return Spec;
}

result<drain_spec> parseDrain(std::string_view Json, const std::string &Name) {
  BOOST_LEAF_AUTO(Reader, openObject("drain", Name, Json));
  drain_spec Spec;
  Spec.Host = Name;
  Spec.Reason = Reader.text("reason", "");
  if (Spec.Reason.size() > MaxReasonLength)
    Reader.refuse("reason",
                  "expected at most " + std::to_string(MaxReasonLength) +
                      " bytes, got " + std::to_string(Spec.Reason.size()));
  if (auto Checked = Reader.finish(); !Checked)
    return Checked.error();
  return Spec;
}

std::string toJson(const zone_spec &Zone) {
  const ordered_json Json = {
      {"number", static_cast<std::uint16_t>(Zone.Number)},
      {"region", Zone.Region}};
  return Json.dump();
}

std::string toJson(const drain_spec &Drain) {
  const ordered_json Json = {{"reason", Drain.Reason}};
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace marjoramrail
