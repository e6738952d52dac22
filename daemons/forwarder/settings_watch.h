//===- settings_watch.h - Detects a changed settings file -------*- C++ -*-===//
///
/// \file
/// Reloads settings on SIGHUP and when the file has changed. The file is polled
/// because the VMs have no change notification for it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_SETTINGS_WATCH_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_SETTINGS_WATCH_H

#include "marjoramrail/runtime.h"

#include <sys/stat.h>

namespace marjoramrail::daemons {

class settings_watch {
public:
  /// Polling interval. A poll costs one system call, and a change that comes
  /// without a signal is not urgent.
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

  /// Size and modification time of the file; all 0 if it does not exist.
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
