#include "platform_faults.h"
#include "marjoramrail/runtime.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

static constexpr std::int64_t MaxDelayMs = 600'000;

result<platform_faults> changeFaults(const platform_faults &Faults,
                                     std::string_view Json) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromText(Json, "faults"));
  platform_faults Next;
  Next.Down = Reader.flag("down", Faults.Down);
  Next.Cut = Reader.flag("cut", Faults.Cut);
  Next.DelayMs = Reader.number("delay_ms", Faults.DelayMs, 0, MaxDelayMs);
  Next.LoseAnswersPercent =
      Reader.number("lose_answers_percent", Faults.LoseAnswersPercent, 0, 100);
  Next.ServeOldVersion =
      Reader.number("serve_old_version", Faults.ServeOldVersion, 0,
                    std::numeric_limits<std::int64_t>::max());
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Next;
}

std::string toJson(const platform_faults &Faults) {
  const nlohmann::ordered_json Json = {
      {"down", Faults.Down},
      {"cut", Faults.Cut},
      {"delay_ms", Faults.DelayMs},
      {"lose_answers_percent", Faults.LoseAnswersPercent},
      {"serve_old_version", Faults.ServeOldVersion}};
  return Json.dump();
}

} // namespace marjoramrail::standins
