#include "balancer_settings.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::daemons {

static constexpr std::int64_t MostSeconds = 3600;
static constexpr std::int64_t MostCachedOwners = 1 << 20;

static duration seconds(settings_reader &Reader, const std::string &Field,
                        std::int64_t Default, std::int64_t Least) {
  return std::chrono::seconds(
      Reader.number(Field, Default, Least, MostSeconds));
}

/// If the field is missing, only processes on this machine may send. A site
/// that omits it by mistake has balancers that reject all messages of other
/// hosts, not an open control port.
static std::vector<std::string> controlPeers(settings_reader &Reader) {
  std::vector<std::string> Networks =
      Reader.texts("control_peers", /*Required=*/false);
  if (Networks.empty())
    Networks.emplace_back("127.0.0.0/8");
  return Networks;
}

result<program_settings> readSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  program_settings Settings;
  Settings.Name = Reader.text("name");
  Settings.Zone = Reader.text("zone");
  Settings.FabricListen = Reader.address("fabric_listen");
  Settings.ControlListen = Reader.address("control_listen");
  Settings.StatusListen = Reader.address("status_listen");
  Settings.Platform = Reader.addresses("platform", /*Required=*/true);
  Settings.Balancers = Reader.addresses("balancers", /*Required=*/false);
  Settings.Grace = seconds(Reader, "grace_seconds", 2, 0);
  Settings.Core.Self = Settings.FabricListen;
  Settings.Core.StaleAfter = seconds(Reader, "stale_seconds", 10, 1);
  Settings.Core.CachedOwners = static_cast<std::size_t>(
      Reader.number("cached_owners", 65536, 1, MostCachedOwners));
  const std::vector<std::string> Networks = controlPeers(Reader);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  BOOST_LEAF_ASSIGN(Settings.ControlPeers, allow_list::parse(Networks));
  return Settings;
}

} // namespace marjoramrail::daemons
