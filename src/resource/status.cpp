#include "resource/limits.h"
#include "resource/object_reader.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;
using ordered_json = nlohmann::ordered_json;

static constexpr std::int64_t MaxVersion =
    std::numeric_limits<std::int64_t>::max();

static condition readCondition(settings_reader &Reader) {
  condition Condition;
  Condition.Type = Reader.text("type");
  Condition.Holds = Reader.flag("holds", std::nullopt);
  Condition.Reason = Reader.text("reason", "");
  Condition.SinceMs = Reader.number("since_ms", 0, 0, MaxVersion);
  return Condition;
}

result<service_status> parseServiceStatus(std::string_view Json,
                                          const std::string &Name) {
  BOOST_LEAF_AUTO(Reader, openObject(ServiceStatusKind, Name, Json));
  service_status Status;
  Status.Name = Name;
  Status.AcceptedVersion =
      Reader.number("accepted_version", std::nullopt, 0, MaxVersion);
  Status.ViewVersion =
      Reader.number("view_version", std::nullopt, 0, MaxVersion);
  Status.AppliedOn = Reader.number("in_force_on", std::nullopt, 0, MaxCount);
  Status.Nodes = Reader.number("nodes", std::nullopt, 0, MaxCount);
  Status.Lagging = Reader.texts("lagging", false);
  Status.TargetsReady = Reader.number("targets_ready", 0, 0, MaxCount);
  Status.TargetsDraining = Reader.number("targets_draining", 0, 0, MaxCount);
  for (settings_reader &Condition : Reader.objects("conditions", false)) {
    Status.Conditions.push_back(readCondition(Condition));
    if (auto Checked = Condition.finish(); !Checked)
      return Checked.error();
  }
  if (auto Checked = Reader.finish(); !Checked)
    return Checked.error();
  return Status;
}

std::string toJson(const service_status &Status) {
  ordered_json Conditions = ordered_json::array();
  for (const condition &Condition : Status.Conditions)
    Conditions.push_back({{"type", Condition.Type},
                          {"holds", Condition.Holds},
                          {"reason", Condition.Reason},
                          {"since_ms", Condition.SinceMs}});
  const ordered_json Json = {{"accepted_version", Status.AcceptedVersion},
                             {"view_version", Status.ViewVersion},
                             {"in_force_on", Status.AppliedOn},
                             {"nodes", Status.Nodes},
                             {"lagging", Status.Lagging},
                             {"targets_ready", Status.TargetsReady},
                             {"targets_draining", Status.TargetsDraining},
                             {"conditions", Conditions}};
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

result<drain_status> parseDrainStatus(std::string_view Json,
                                      const std::string &Name) {
  BOOST_LEAF_AUTO(Reader, openObject(DrainStatusKind, Name, Json));
  drain_status Status;
  Status.Host = Reader.text("host", Name);
  if (Status.Host != Name)
    Reader.refuse("host", "expected " + Name + ", the object's name");
  Status.Flows = Reader.number("flows", std::nullopt, 0, MaxCount);
  Status.Requests = Reader.number("requests", std::nullopt, 0, MaxCount);
  Status.SafeToStop = Reader.flag("safe_to_stop", std::nullopt);
  Status.SinceMs = Reader.number("since_ms", 0, 0, MaxVersion);
  if (auto Checked = Reader.finish(); !Checked)
    return Checked.error();
  return Status;
}

std::string toJson(const drain_status &Status) {
  const ordered_json Json = {{"host", Status.Host},
                             {"flows", Status.Flows},
                             {"requests", Status.Requests},
                             {"safe_to_stop", Status.SafeToStop},
                             {"since_ms", Status.SinceMs}};
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace marjoramrail
