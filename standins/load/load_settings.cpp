#include "load_settings.h"

namespace marjoramrail::standins {

static constexpr std::int64_t MaxFlows = 50000;
static constexpr std::int64_t MaxRate = 100000;
static constexpr std::int64_t MaxMs = 600000;

static service_load readService(settings_reader &Reader) {
  const auto Count = [&](const char *Field, std::int64_t Default,
                         std::int64_t High) {
    return static_cast<std::uint32_t>(Reader.number(Field, Default, 0, High));
  };
  service_load Load;
  Load.Name = Reader.text("name");
  Load.Address = Reader.address("address");
  Load.Flows = Count("flows", 0, MaxFlows);
  Load.OpenPerSecond = Count("open_per_second", 500, MaxRate);
  Load.RequestsPerSecond = Count("requests_per_second", 0, MaxRate);
  Load.StreamPercent = Count("stream_percent", 0, 100);
  Load.StreamIntervalMs = Count("stream_interval_ms", 1000, MaxMs);
  Load.KeyedPercent = Count("keyed_percent", 0, 100);
  Load.WorkMs = Count("work_ms", 1, MaxMs);
  Load.LongPercent = Count("long_percent", 0, 100);
  Load.LongWorkMs = Count("long_work_ms", 1, MaxMs);
  Load.DocumentBytes = Count("document_bytes", 0, 10000000);
  Load.DeadlineMs = Count("deadline_ms", 2000, MaxMs);
  Load.SkewFlows = Count("skew_flows", 0, MaxFlows);
  Load.SkewPercent = Count("skew_percent", 0, 100);
  return Load;
}

static planned_fault readFault(settings_reader &Reader,
                               std::vector<std::string> &Unknown) {
  planned_fault Fault;
  Fault.At =
      std::chrono::milliseconds(Reader.number("at_ms", std::nullopt, 0, MaxMs));
  const std::string Action = Reader.text("action");
  if (const auto Known = valueNamed(FaultActionNames, Action))
    Fault.Action = *Known;
  else
    Unknown.push_back(Action);
  Fault.Subject = Reader.text("who", "");
  Fault.Argument = Reader.text("argument", "");
  return Fault;
}

result<load_settings> readLoadSettings(settings_reader &Reader) {
  load_settings Settings;
  Settings.Seed =
      static_cast<std::uint64_t>(Reader.number("seed", 1, 0, 1'000'000'000));
  Settings.SendDuration =
      std::chrono::milliseconds(Reader.number("length_ms", 10000, 1, MaxMs));
  Settings.Grace =
      std::chrono::milliseconds(Reader.number("grace_ms", 5000, 0, MaxMs));
  Settings.Local = Reader.address("local");
  Settings.Fabric = Reader.address("fabric");
  Settings.FabricControl = Reader.address("fabric_control", endpoint());
  Settings.Platform = Reader.address("platform", endpoint());
  Settings.FirstCaller = Reader.address("first_caller").Address;
  Settings.Folder = Reader.text("folder");
  Settings.KilledHosts = Reader.texts("killed_hosts", false);
  std::vector<std::string> Unknown;
  for (settings_reader &Service : Reader.objects("services", true))
    Settings.Services.push_back(readService(Service));
  for (settings_reader &Fault : Reader.objects("faults", false))
    Settings.Faults.push_back(readFault(Fault, Unknown));
  BOOST_LEAF_CHECK(Reader.finish());
  if (!Unknown.empty())
    return fail(step::ParseSettings, "faults",
                "action " + Unknown.front() + " is unknown");
  return Settings;
}

} // namespace marjoramrail::standins
