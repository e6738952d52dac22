//===- settings_watch.h - Notices a changed settings file -------*- C++ -*-===//
///
/// \file
/// Settings change with SIGHUP, or without any signal; then only the file shows
/// it. Looked at now and then, since the VMs have no notification for it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_SETTINGS_WATCH_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_SETTINGS_WATCH_H

#include "marjoramrail/runtime.h"

#include <sys/stat.h>

namespace marjoramrail::daemons {

class settings_watch {
public:
  /// One system call; what changes without a signal can wait so long.
  static constexpr duration Period = std::chrono::seconds(5);

  settings_watch(event_loop &Loop, std::string Path,
                 std::function<void()> OnChange)
      : Path(std::move(Path)), OnChange(std::move(OnChange)), Seen(stamp()) {
    Loop.onReload([this] { check(/*Always=*/true); });
    Loop.timers().every(Period, [this] { check(/*Always=*/false); });
  }
  settings_watch(const settings_watch &) = delete;
  settings_watch &operator=(const settings_watch &) = delete;

private:
  void check(bool Always) {
    const auto Now = stamp();
    if (std::exchange(Seen, Now) != Now || Always)
      OnChange();
  }

  /// Size and time of the last change; all 0 if there is no file.
  std::array<std::int64_t, 3> stamp() const {
    struct stat State {};
    if (stat(Path.c_str(), &State) != 0)
      return {};
    return {State.st_size, State.st_mtim.tv_sec, State.st_mtim.tv_nsec};
  }

  std::string Path;
  std::function<void()> OnChange;
  std::array<std::int64_t, 3> Seen;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_SETTINGS_WATCH_H
