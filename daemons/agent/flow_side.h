//===- flow_side.h - What an agent does with an accepted flow ---*- C++ -*-===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_FLOW_SIDE_H
#define MARJORAMRAIL_DAEMONS_AGENT_FLOW_SIDE_H

#include "marjoramrail/stack.h"

namespace marjoramrail {

/// How a flow of the agent ended.
enum class side_end {
  /// The stack still answers late packets.
  Closed,
  /// The stack holds nothing of it.
  Gone,
};

/// One accepted flow and what it is joined to.
class flow_side {
public:
  /// Called once; the side may be destroyed when the hook has returned to the
  /// loop.
  using flow_end_hook = std::function<void(side_end)>;

  virtual ~flow_side() = default;

  /// Begins a graceful end: what is in progress is finished.
  virtual void drain() = 0;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_FLOW_SIDE_H
