#include "marjoramrail/timeline.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

static void addText(ordered_json &Json, const char *Field,
                    const std::string &Value) {
  if (!Value.empty())
    Json[Field] = Value;
}

std::string toJsonLine(const timeline_event &Event) {
  ordered_json Json = {{"clock", Event.Clock},
                       {"wall_ms", Event.WallMs},
                       {"process", Event.Process},
                       {"event", nameOf(EventKindNames, Event.What)}};
  addText(Json, "service", Event.Service);
  addText(Json, "flow", Event.Flow);
  addText(Json, "host", Event.Host);
  addText(Json, "why", Event.Why);
  addText(Json, "request", Event.Request);
  if (Event.Load)
    Json["load"] = *Event.Load;
  if (Event.AgeMs)
    Json["age_ms"] = *Event.AgeMs;
  if (Event.TookMs)
    Json["took_ms"] = *Event.TookMs;
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

static boost::leaf::error_id refuse(std::string_view Line,
                                    const std::string &Reason) {
  constexpr std::size_t Shown = 80;
  return fail(step::DecodeMessage, std::string(Line.substr(0, Shown)), Reason);
}

static std::optional<std::string> textOf(const json &Json, const char *Field) {
  const auto Found = Json.find(Field);
  if (Found == Json.end())
    return "";
  if (!Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

static std::optional<std::int64_t> wholeNumber(const json &Json,
                                               const char *Field) {
  const auto Found = Json.find(Field);
  if (Found == Json.end() || !Found->is_number_integer())
    return std::nullopt;
  return Found->get<std::int64_t>();
}

/// Unknown fields are ignored, so that the events of a newer process in the
/// fleet can still be read.
result<timeline_event> parseJsonLine(std::string_view Line) {
  const json Json = json::parse(Line, nullptr, /*allow_exceptions=*/false);
  if (!Json.is_object())
    return refuse(Line, "not a JSON object");
  timeline_event Event;
  const auto Clock = Json.find("clock");
  if (Clock == Json.end() || !Clock->is_number_unsigned())
    return refuse(Line, "field clock: expected a whole number, 0 or more");
  Event.Clock = Clock->get<std::uint64_t>();
  const auto Wall = Json.find("wall_ms");
  if (Wall == Json.end() || !Wall->is_number_integer())
    return refuse(Line, "field wall_ms: expected a whole number");
  Event.WallMs = Wall->get<std::int64_t>();
  const auto What =
      valueNamed(EventKindNames, textOf(Json, "event").value_or(""));
  if (!What)
    return refuse(Line, "field event: unknown event");
  Event.What = *What;
  struct text_field {
    const char *Name;
    std::string &Value;
  };
  for (const auto &[Name, Value] : {text_field{"process", Event.Process},
                                    {"service", Event.Service},
                                    {"flow", Event.Flow},
                                    {"host", Event.Host},
                                    {"why", Event.Why},
                                    {"request", Event.Request}}) {
    const auto Text = textOf(Json, Name);
    if (!Text)
      return refuse(Line, std::string("field ") + Name + ": expected a text");
    Value = *Text;
  }
  if (const auto Load = Json.find("load");
      Load != Json.end() && Load->is_number())
    Event.Load = Load->get<double>();
  Event.AgeMs = wholeNumber(Json, "age_ms");
  Event.TookMs = wholeNumber(Json, "took_ms");
  return Event;
}

} // namespace marjoramrail
