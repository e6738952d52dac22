#include "printing.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace marjoramrail::ctl {

using ordered_json = nlohmann::ordered_json;

static ordered_json toJson(const platform_object &Object) {
  // Printing is recursive, so parts below MaxJsonDepth are left out to bound
  // the stack.
  const auto KeepShallow = [](int Depth, ordered_json::parse_event_t,
                              ordered_json &) { return Depth <= MaxJsonDepth; };
  ordered_json Spec = ordered_json::parse(Object.Body, KeepShallow, false);
  if (Spec.is_discarded())
    Spec = Object.Body;
  return {{"kind", Object.Key.Kind}, {"name", Object.Key.Name}, {"spec", Spec}};
}

std::string toLine(const platform_object &Object) {
  ordered_json Json = {{"version", Object.Version}, {"writer", Object.Writer}};
  if (Object.Deleted)
    Json.update({{"kind", Object.Key.Kind},
                 {"name", Object.Key.Name},
                 {"deleted", true}});
  else
    Json.update(toJson(Object));
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string toPage(const platform_object &Object) {
  return "// version " + std::to_string(Object.Version) + " of " +
         Object.Writer + "\n" +
         toJson(Object).dump(2, ' ', false,
                             ordered_json::error_handler_t::replace);
}

std::vector<std::string> text_table::lines() const {
  std::vector<std::size_t> Widths(Rows[0].size());
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::vector<std::string> Lines;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + 2, ' ');
    }
    Lines.push_back(std::move(Line));
  }
  return Lines;
}

std::string wallText(std::int64_t WallMs) {
  const std::time_t Seconds = WallMs / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Date{};
  std::strftime(Date.data(), Date.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::array<char, 8> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%03dZ",
                static_cast<int>(WallMs % 1000));
  return std::string(Date.data()) + Fraction.data();
}

} // namespace marjoramrail::ctl
