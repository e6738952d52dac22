#include "static_views.h"

#include <limits>

namespace marjoramrail::daemons {

template <typename T>
static T number(settings_reader &Reader, const std::string &Field,
                std::int64_t Default,
                std::int64_t Most = std::numeric_limits<std::int32_t>::max()) {
  return static_cast<T>(Reader.number(Field, Default, 0, Most));
}

static target readTarget(settings_reader &Reader) {
  target Target;
  Target.Id = number<host_id>(Reader, "id", 0);
  Target.Agent = Reader.address("agent");
  Target.Zone = number<zone_id>(Reader, "zone", 0,
                                std::numeric_limits<std::uint16_t>::max());
  return Target;
}

static generation readGeneration(settings_reader &Reader) {
  generation Generation;
  Generation.Number = number<std::uint64_t>(Reader, "number", 1);
  for (settings_reader &Member : Reader.objects("members", true)) {
    constexpr std::int64_t UsualWeight = 100;
    const auto Host = number<host_id>(Member, "id", 0);
    Generation.Members.push_back(
        {Host,
         number<std::uint16_t>(Member, "weight", UsualWeight, MaxWeight)});
  }
  return Generation;
}

std::vector<service_view> readStaticViews(settings_reader &Reader) {
  std::vector<service_view> Views;
  for (settings_reader &Item : Reader.objects("static_views", false)) {
    service_view View;
    View.Id = number<service_id>(Item, "id", 0);
    View.Name = Item.text("name");
    View.Address = Item.address("address");
    View.Version = number<std::uint64_t>(Item, "version", 1);
    for (settings_reader &Target : Item.objects("targets", true))
      View.Targets.push_back(readTarget(Target));
    for (settings_reader &Generation : Item.objects("generations", true))
      View.Generations.push_back(readGeneration(Generation));
    Views.push_back(std::move(View));
  }
  return Views;
}

} // namespace marjoramrail::daemons
