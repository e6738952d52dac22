#include "kernel_stream.h"

namespace marjoramrail {

namespace {

class kernel_stream : public byte_stream {
public:
  kernel_stream(event_loop &Loop, const endpoint &Local, const endpoint &Peer,
                byte_events Events) {
    tcp_stream::hooks Hooks;
    Hooks.OnConnected = std::move(Events.OnConnected);
    Hooks.OnData = std::move(Events.OnData);
    Hooks.OnClosed = [OnClosed = std::move(Events.OnClosed)](
                         const std::string &) { OnClosed(); };
    Stream = tcp_stream::connectFrom(Loop, Local, Peer, std::move(Hooks));
  }

  void write(std::string_view Bytes) override { Stream->write(Bytes); }

private:
  std::unique_ptr<tcp_stream> Stream;
};

} // namespace

std::unique_ptr<byte_stream> connectByKernel(event_loop &Loop,
                                             const endpoint &Local,
                                             const endpoint &Peer,
                                             byte_events Events) {
  return std::make_unique<kernel_stream>(Loop, Local, Peer, std::move(Events));
}

peer_connection::peer_connection(event_loop &Loop,
                                 std::unique_ptr<tcp_stream> Taken,
                                 request_proxy &Proxy,
                                 std::function<void()> OnFlowEnd)
    : Stream(std::move(Taken)) {
  const auto EndFlow = [&Loop, OnFlowEnd = std::move(OnFlowEnd)] {
    Loop.defer(OnFlowEnd);
  };
  proxy_flow::hooks Hooks;
  Hooks.Output = [this](std::string_view Bytes) { Stream->write(Bytes); };
  Hooks.OnEnded = [EndFlow](proxy_flow_end) { EndFlow(); };
  Session = Proxy.open({0, true}, std::move(Hooks));
  tcp_stream::hooks Streaming;
  Streaming.OnData = [this](std::string_view Bytes) { Session->input(Bytes); };
  Streaming.OnClosed = [EndFlow](const std::string &) { EndFlow(); };
  Stream->setHooks(std::move(Streaming));
}

} // namespace marjoramrail
