//===- flow_output.h - Output queue of a flow to its caller -----*- C++ -*-===//
///
/// \file
/// Queues bytes for a caller while the flow's send buffer is full.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_FLOW_OUTPUT_H
#define MARJORAMRAIL_DAEMONS_AGENT_FLOW_OUTPUT_H

#include "marjoramrail/stack.h"

#include <string>

namespace marjoramrail {

/// Queues bytes that do not fit into a flow's send buffer yet.
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

  /// Sends queued bytes. To be called when the flow is writable again.
  void pump() {
    while (Sent < Pending.size()) {
      const std::size_t Taken =
          Flow.write(std::string_view(Pending).substr(Sent));
      if (Taken == 0)
        return;
      Sent += Taken;
    }
    // Release the capacity, or an idle flow would keep the memory of its
    // largest answer.
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
