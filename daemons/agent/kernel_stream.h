//===- kernel_stream.h - The proxy's connections over the kernel *- C++ -*-===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_KERNEL_STREAM_H
#define MARJORAMRAIL_DAEMONS_AGENT_KERNEL_STREAM_H

#include "marjoramrail/proxy.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail {

/// Connects to the target or to a peer agent, which knows us by the address of
/// \p Local.
std::unique_ptr<byte_stream> connectByKernel(event_loop &Loop,
                                             const endpoint &Local,
                                             const endpoint &Peer,
                                             byte_events Events);

/// A peer agent's connection that relays requests here.
class peer_connection {
public:
  /// \p OnFlowEnd may destroy this object once it has returned to the loop.
  peer_connection(event_loop &Loop, std::unique_ptr<tcp_stream> Stream,
                  request_proxy &Proxy, std::function<void()> OnFlowEnd);

private:
  std::unique_ptr<tcp_stream> Stream;
  std::unique_ptr<proxy_flow> Session;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_KERNEL_STREAM_H
