//===- kernel_stream.h - Kernel TCP connections of the proxy ----*- C++ -*-===//
///
/// \file
/// The request proxy's connections over the kernel's TCP stack.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_KERNEL_STREAM_H
#define MARJORAMRAIL_DAEMONS_AGENT_KERNEL_STREAM_H

#include "marjoramrail/proxy.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail {

/// Connects to the target or to a peer agent. The connection is bound to the
/// address of \p Local, by which a peer agent identifies this one.
std::unique_ptr<byte_stream> connectByKernel(event_loop &Loop,
                                             const endpoint &Local,
                                             const endpoint &Peer,
                                             byte_events Events);

/// A connection over which a peer agent relays requests to this agent.
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
