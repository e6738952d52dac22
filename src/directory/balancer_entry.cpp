#include "directory/balancer_entry.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

std::string encodeBalancer(const balancer_entry &Entry) {
  return json{{"self", toText(Entry.Self)}, {"zone", Entry.Zone}}.dump();
}

std::optional<balancer_entry> decodeBalancer(const platform_object &Object) {
  if (!Object.Key.Name.starts_with(BalancerPrefix))
    return std::nullopt;
  const json Body = json::parse(Object.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("self") || !Body["self"].is_string())
    return std::nullopt;
  balancer_entry Entry;
  const auto Self = parseEndpoint(Body["self"].get<std::string>());
  if (!Self)
    return std::nullopt;
  Entry.Self = *Self;
  if (Body.contains("zone") && Body["zone"].is_string())
    Entry.Zone = Body["zone"].get<std::string>();
  return Entry;
}

} // namespace marjoramrail::internal
