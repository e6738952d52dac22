//===- route_loader.h - Incremental loading of configurations ---*- C++ -*-===//
///
/// \file
/// Reads a configuration in steps so that the event loop forwards packets
/// between them. If it were read in one step, a configuration of thousands of
/// routes would delay every packet of a small VM by a tenth of a second or
/// more.
///
/// Only complete tables are passed on. A configuration that arrives while
/// another one is being read waits until that is finished, and only the newest
/// one waits: restarting at each change would never finish while changes arrive
/// faster than one can be read.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_LOADER_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_LOADER_H

#include "marjoramrail/directory.h"

namespace marjoramrail::internal {

class route_loader {
public:
  /// Routes read in one step: at most half a millisecond of a full core.
  static constexpr std::size_t RoutesPerStep = 256;

  struct hooks {
    std::function<route_reader(const platform_object &)> Read;
    /// Runs a task after the waiting packets.
    std::function<void(std::function<void()>)> Yield;
    /// A table was read completely from \p Object, whose body is already empty.
    std::function<void(const platform_object &Object, route_table Table)>
        OnTable;
    /// Called in a separate event-loop callback after OnTable: the table may
    /// now be used.
    std::function<void()> OnTableReady;
    std::function<void(const std::string &Why)> OnRefused;
    callback_hook OnCallback;
  };

  explicit route_loader(hooks Hooks) : Hooks(std::move(Hooks)) {}
  ~route_loader() { *Alive = false; }
  route_loader(const route_loader &) = delete;
  route_loader &operator=(const route_loader &) = delete;

  void take(const platform_object &Object);
  /// A configuration is being read or waits to be read.
  bool busy() const { return Reading.has_value(); }

private:
  struct reading {
    platform_object Object;
    route_reader Read;
    route_table Table;
  };

  void begin(const platform_object &Object);
  void readNextPart();
  void deliverTable();
  void notifyTableReady();
  result<void> readPart();
  void yield(void (route_loader::*Step)());
  void end();

  hooks Hooks;
  std::optional<reading> Reading;
  bool IsComplete = false;
  std::optional<platform_object> Waiting;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_LOADER_H
