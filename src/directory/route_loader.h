//===- route_loader.h - Reads configurations between packets ----*- C++ -*-===//
///
/// \file
/// Reads a configuration a part at a time and lets the loop forward packets
/// between the parts. Read in one turn, a configuration of thousands of routes
/// holds up every packet of a small VM for a tenth of a second and more.
///
/// A table is given on whole or not at all. A configuration that comes while
/// another is read waits for its end, and only the newest one does: a reading
/// that began anew with each change would never end while changes follow each
/// other faster than one can be read.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_LOADER_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_LOADER_H

#include "marjoramrail/directory.h"

namespace marjoramrail::internal {

class route_loader {
public:
  /// Routes read in one turn: half a millisecond of a whole core at most.
  static constexpr std::size_t RoutesPerStep = 256;

  struct hooks {
    std::function<route_reader(const platform_object &)> Read;
    /// Runs a task after the packets that wait.
    std::function<void(std::function<void()>)> Yield;
    /// A table was read whole from \p Object, whose body is empty by now.
    std::function<void(const platform_object &Object, route_table Table)>
        OnTable;
    /// In a turn of its own after OnTable: the table may be used.
    std::function<void()> OnTableReady;
    std::function<void(const std::string &Why)> OnRefused;
    turn_hook OnTurn;
  };

  explicit route_loader(hooks Hooks) : Hooks(std::move(Hooks)) {}
  ~route_loader() { *Alive = false; }
  route_loader(const route_loader &) = delete;
  route_loader &operator=(const route_loader &) = delete;

  void take(const platform_object &Object);
  /// A configuration is being read or waits.
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
