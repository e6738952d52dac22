//===- flow_output.h - Bytes on their way to a caller -----------*- C++ -*-===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_FLOW_OUTPUT_H
#define MARJORAMRAIL_DAEMONS_AGENT_FLOW_OUTPUT_H

#include "marjoramrail/stack.h"

#include <string>

namespace marjoramrail {

/// Keeps what a flow's send buffer does not take yet.
class flow_output {
public:
  explicit flow_output(stack_flow &Flow) : Flow(Flow) {}

  void write(std::string_view Bytes) {
    if (!Pending.empty()) {
      Pending += Bytes;
      return pump();
    }
    while (!Bytes.empty()) {
      const std::size_t Taken = Flow.write(Bytes);
      if (Taken == 0)
        break;
      Bytes.remove_prefix(Taken);
    }
    Pending = Bytes;
  }

  /// Call it when the flow is writable again.
  void pump() {
    while (Sent < Pending.size()) {
      const std::size_t Taken =
          Flow.write(std::string_view(Pending).substr(Sent));
      if (Taken == 0)
        return;
      Sent += Taken;
    }
    // An idle flow must not hold on to its largest answer.
    std::string().swap(Pending);
    Sent = 0;
  }

  std::size_t size() const { return Pending.size() - Sent; }

private:
  stack_flow &Flow;
  std::string Pending;
  std::size_t Sent = 0;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_FLOW_OUTPUT_H
