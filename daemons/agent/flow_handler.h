//===- flow_handler.h - The agent's handling of one flow --------*- C++ -*-===//
///
/// \file
/// The interface of what an agent connects an accepted flow to.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_FLOW_HANDLER_H
#define MARJORAMRAIL_DAEMONS_AGENT_FLOW_HANDLER_H

#include "marjoramrail/stack.h"

namespace marjoramrail {

/// How a flow of the agent ended.
enum class handler_end {
  /// The stack still answers late packets.
  Closed,
  /// The stack has no state of the flow left.
  Released,
};

/// One accepted flow and its connection to the target or the request proxy.
class flow_handler {
public:
  /// Called once. The object may be destroyed after the hook has returned to
  /// the loop.
  using flow_end_hook = std::function<void(handler_end)>;

  virtual ~flow_handler() = default;

  /// Starts a graceful shutdown: requests in progress are finished.
  virtual void drain() = 0;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_FLOW_HANDLER_H
