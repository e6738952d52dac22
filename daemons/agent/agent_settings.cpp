#include "agent_settings.h"

namespace marjoramrail {

static std::uint32_t asCount(std::int64_t Number) {
  return static_cast<std::uint32_t>(Number);
}

result<agent_settings> readAgentSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  agent_settings Settings;
  Settings.Name = Reader.text("name");
  Settings.Service = Reader.text("service");
  Settings.Zone = Reader.text("zone");
  Settings.RoutedListen = Reader.address("routed_listen");
  Settings.RelayListen = Reader.address("relay_listen");
  Settings.StatusListen = Reader.address("status_listen");
  Settings.FabricReturn = Reader.address("fabric_return");
  Settings.Target = Reader.address("target");
  Settings.Platform = Reader.address("platform", endpoint());
  Settings.Balancers = Reader.addresses("balancers", true);
  const std::string Protocol = Reader.text("protocol", "http2");
  Settings.Slots = asCount(Reader.number("slots", 4, 1, 10000));
  Settings.MaxSharePercent =
      asCount(Reader.number("max_share_percent", 105, 100, 1000));
  Settings.SilentFlow =
      std::chrono::seconds(Reader.number("silent_flow_seconds", 60, 3, 86400));
  Settings.DrainBound =
      std::chrono::seconds(Reader.number("drain_seconds", 30, 0, 86400));
  Settings.ColdStartSeconds =
      asCount(Reader.number("cold_start_seconds", 10, 0, 3600));
  Settings.KeyRecords =
      asCount(Reader.number("key_records", 20000, 100, 1000000));
  Settings.Seed = asCount(Reader.number("seed", 0, 0, 0xffffffff));
  if (auto Done = Reader.finish(); !Done)
    return Done.error();
  const auto Known = valueNamed(ServiceProtocolNames, Protocol);
  if (!Known)
    return fail(step::ParseSettings, Path,
                "protocol: \"" + Protocol + "\" is neither tcp nor http2");
  Settings.Protocol = *Known;
  return Settings;
}

} // namespace marjoramrail
