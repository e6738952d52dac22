//===- h2_flow_handler.h - A caller's flow that carries HTTP/2 --*- C++ -*-===//
///
/// \file
/// Connects a caller's HTTP/2 flow to the request proxy.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_H2_FLOW_HANDLER_H
#define MARJORAMRAIL_DAEMONS_AGENT_H2_FLOW_HANDLER_H

#include "flow_handler.h"
#include "flow_output.h"
#include "marjoramrail/proxy.h"

namespace marjoramrail {

/// Connects a caller's flow to its session in the proxy. HTTP/2 flow control
/// bounds the bytes that are queued in either direction.
class h2_flow_handler : public flow_handler {
public:
  h2_flow_handler(std::unique_ptr<stack_flow> Caller, request_proxy &Proxy,
                  flow_end_hook OnFlowEnd);
  ~h2_flow_handler() override;

  /// Does nothing: the proxy sends GOAWAY on all its flows itself.
  void drain() override {}

private:
  void listenToCaller();
  void onSessionEnded(proxy_flow_end Why);
  void pump();
  void endFlow(handler_end End);

  std::unique_ptr<stack_flow> Caller;
  flow_output Output;
  flow_end_hook OnFlowEnd;
  bool Ending = false;
  std::unique_ptr<proxy_flow> Session;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_H2_FLOW_HANDLER_H
