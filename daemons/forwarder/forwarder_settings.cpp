#include "forwarder_settings.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::daemons {

static constexpr std::int64_t MostSeconds = 24 * 3600;

static duration seconds(settings_reader &Reader, const std::string &Field,
                        std::int64_t Default) {
  return std::chrono::seconds(Reader.number(Field, Default, 1, MostSeconds));
}

/// Reads the names of mechanisms that are switched off, for example in an
/// experiment.
static mechanism_set readDisabledMechanisms(settings_reader &Reader) {
  mechanism_set DisabledMechanisms;
  for (const std::string &Name : Reader.texts("without", /*Required=*/false)) {
    if (const auto Mechanism = valueNamed(MechanismNames, Name))
      DisabledMechanisms.add(*Mechanism);
    else
      Reader.refuse("without", "no mechanism is called \"" + Name + "\"");
  }
  return DisabledMechanisms;
}

/// Reads the list {"zone": ..., "region": ...} of all zones.
static zone_regions readRegions(settings_reader &Reader) {
  zone_regions Regions;
  for (settings_reader &Entry : Reader.objects("zones", /*Required=*/false)) {
    const std::string Zone = Entry.text("zone");
    Regions[Zone] = Entry.text("region");
    const auto Failure = failureOf([&] { return Entry.finish(); });
    if (Failure)
      Reader.refuse("zones", Failure->Reason);
  }
  return Regions;
}

/// The limit for targets that are warming up is stated by both fields or by
/// none.
static std::optional<warmup_limit::settings>
readWarmup(settings_reader &Reader) {
  constexpr double LargestFactor = 1000;
  constexpr double LargestExtra = 1'000'000;
  if (!Reader.has("warmup_burst_factor") && !Reader.has("warmup_burst_extra"))
    return std::nullopt;
  warmup_limit::settings Limit;
  Limit.BurstFactor =
      Reader.decimal("warmup_burst_factor", std::nullopt, 0, LargestFactor);
  Limit.BurstExtra =
      Reader.decimal("warmup_burst_extra", std::nullopt, 0, LargestExtra);
  return Limit;
}

result<balancer_program_settings>
readBalancerSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  balancer_program_settings Settings;
  Settings.Name = Reader.text("name");
  Settings.Zone = Reader.text("zone");
  Settings.CallersListen = Reader.address("callers_listen");
  Settings.ReadyListen = Reader.address("ready_listen");
  Settings.PeersListen = Reader.address("peers_listen");
  Settings.MetricsListen = Reader.address("metrics_listen");
  Settings.Store = Reader.address("store");
  Settings.Seeds = Reader.addresses("seeds", /*Required=*/false);
  Settings.FlowLife = seconds(Reader, "flow_life_seconds", 60);
  Settings.Grace = seconds(Reader, "grace_seconds", 6);
  Settings.Regions = readRegions(Reader);
  Settings.ServiceLevels = Reader.flag("service_levels", false);
  Settings.DisabledMechanisms = readDisabledMechanisms(Reader);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Settings;
}

result<agent_program_settings> readAgentSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  agent_program_settings Settings;
  Settings.Name = Reader.text("name");
  Settings.Zone = Reader.text("zone");
  Settings.Service = Reader.text("service");
  Settings.RoutedListen = Reader.address("routed_listen");
  Settings.TargetPacketsListen = Reader.address("target_packets_listen");
  Settings.TargetCallsListen = Reader.address("target_calls_listen");
  Settings.ReadyListen = Reader.address("ready_listen");
  Settings.MetricsListen = Reader.address("metrics_listen");
  Settings.Target = Reader.address("target");
  Settings.Store = Reader.address("store");
  Settings.FlowLife = seconds(Reader, "flow_life_seconds", 60);
  const auto PeersPort = static_cast<std::uint16_t>(
      Reader.number("peers_port", /*Default=*/0, 0, UINT16_MAX));
  for (const endpoint &Seed : Reader.addresses("seeds", /*Required=*/false))
    Settings.Balancers.push_back({Seed.Address, PeersPort});
  Settings.KeepFlows = Reader.flag("keep_flows", false);
  Settings.TargetReportPeriod = std::chrono::milliseconds(Reader.number(
      "target_report_ms", /*Default=*/2000, 1, MostSeconds * 1000));
  Settings.Warmup = readWarmup(Reader);
  Settings.DisabledMechanisms = readDisabledMechanisms(Reader);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Settings;
}

} // namespace marjoramrail::daemons
