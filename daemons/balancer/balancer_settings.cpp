#include "balancer_settings.h"
#include "static_views.h"

namespace marjoramrail::daemons {

static constexpr std::int64_t MostSeconds = 3600;
static constexpr std::int64_t MostCachedOwners = 1 << 20;

static duration seconds(settings_reader &Reader, const std::string &Field,
                        std::int64_t Default, std::int64_t Least) {
  return std::chrono::seconds(
      Reader.number(Field, Default, Least, MostSeconds));
}

result<program_settings> readSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  program_settings Settings;
  Settings.Name = Reader.text("name");
  Settings.Zone = Reader.text("zone");
  Settings.FabricListen = Reader.address("fabric_listen");
  Settings.ControlListen = Reader.address("control_listen");
  Settings.StatusListen = Reader.address("status_listen");
  Settings.Platform = Reader.addresses("platform", /*Required=*/false);
  Settings.Balancers = Reader.addresses("balancers", /*Required=*/false);
  Settings.Grace = seconds(Reader, "grace_seconds", 2, 0);
  Settings.Core.StaleAfter = seconds(Reader, "stale_seconds", 10, 1);
  Settings.Core.CachedOwners = static_cast<std::size_t>(
      Reader.number("cached_owners", 65536, 1, MostCachedOwners));
  Settings.StaticViews = readStaticViews(Reader);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Settings;
}

} // namespace marjoramrail::daemons
