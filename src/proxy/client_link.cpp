#include "proxy/client_link.h"

namespace marjoramrail::internal {

static h2_settings linkSettings() {
  h2_settings Settings;
  // The window is extended only as fast as the callers accept the answers.
  Settings.ConsumeAtOnce = false;
  Settings.ConnectionWindow = 16 * 1024 * 1024;
  return Settings;
}

client_link::client_link(const endpoint &Peer, const connect &Connect,
                         link_hooks Hooks)
    : Hooks(std::move(Hooks)) {
  Session = std::make_unique<h2_session>(h2_role::Client, linkSettings(),
                                         sessionHooks());
  byte_events Events;
  Events.OnConnected = [this] { connected(); };
  Events.OnData = [this](std::string_view Bytes) { input(Bytes); };
  Events.OnClosed = [this] { closed(); };
  Stream = Connect(Peer, std::move(Events));
}

client_link::~client_link() = default;

h2_hooks client_link::sessionHooks() {
  h2_hooks Session;
  Session.Output = [this](std::string_view Bytes) { Stream->write(Bytes); };
  Session.OnHead = [this](h2_stream Id, const h2_head &Head, bool End) {
    onHead(Id, Head, End);
  };
  Session.OnData = [this](h2_stream Id, std::string_view Data, bool End) {
    onData(Id, Data, End);
  };
  Session.OnClose = [this](h2_stream Id, h2_error Code) { onClose(Id, Code); };
  // nghttp2 closes the streams that the other side did not run with
  // REFUSED_STREAM.
  Session.OnGoAway = [this](h2_stream, h2_error) { Closing = true; };
  return Session;
}

void client_link::send(request_id Id, const h2_head &Head, std::string Body,
                       bool End) {
  queued_request Request{Head, std::move(Body), End};
  if (PeerResponded)
    submit(Id, Request);
  else
    Waiting[Id] = std::move(Request);
}

void client_link::submit(request_id Id, const queued_request &Request) {
  const bool EndsNow = Request.End && Request.Body.empty();
  const h2_stream StreamId = Session->request(Request.Head, EndsNow);
  if (StreamId < 0) {
    Closing = true;
    return Hooks.OnNotRun(Id);
  }
  ByRequest[Id] = StreamId;
  ByStream[StreamId] = Id;
  if (!Request.Body.empty())
    Session->data(StreamId, Request.Body, Request.End);
  Session->flush();
}

void client_link::data(request_id Id, std::string_view Bytes, bool End) {
  if (const auto Queued = Waiting.find(Id); Queued != Waiting.end()) {
    Queued->second.Body += Bytes;
    Queued->second.End |= End;
    return;
  }
  const auto Found = ByRequest.find(Id);
  if (Found == ByRequest.end())
    return;
  Session->data(Found->second, Bytes, End);
  Session->flush();
}

std::size_t client_link::queued(request_id Id) const {
  if (const auto Queued = Waiting.find(Id); Queued != Waiting.end())
    return Queued->second.Body.size();
  const auto Found = ByRequest.find(Id);
  return Found == ByRequest.end() ? 0 : Session->queued(Found->second);
}

void client_link::consumed(request_id Id, std::size_t Bytes) {
  const auto Found = ByRequest.find(Id);
  if (Closed)
    return;
  // Bytes of a stream that has ended still count against the window of the
  // connection.
  constexpr h2_stream NoStream = 0x7ffffffd;
  Session->consumed(Found == ByRequest.end() ? NoStream : Found->second, Bytes);
}

void client_link::cancel(request_id Id) {
  Waiting.erase(Id);
  const auto Found = ByRequest.find(Id);
  if (Found == ByRequest.end())
    return;
  const h2_stream Cancelled = Found->second;
  ByStream.erase(Cancelled);
  ByRequest.erase(Found);
  Session->reset(Cancelled, h2_error::Cancel);
  Session->flush();
}

void client_link::flush() {
  if (Connected)
    Session->flush();
}

void client_link::input(std::string_view Bytes) {
  if (Closed)
    return;
  if (!Session->input(Bytes))
    return closed();
  if (!std::exchange(PeerResponded, true))
    submitWaiting();
  Hooks.OnInput();
}

void client_link::connected() {
  Connected = true;
  Session->flush();
}

/// Sends the queued requests once the first bytes from the other side show that
/// it processes the connection. If a request were sent earlier and the process
/// closed the connection while shutting down, its outcome would have to be
/// reported as unknown although nobody received it.
void client_link::submitWaiting() {
  for (const auto &[Id, Request] : std::exchange(Waiting, {}))
    submit(Id, Request);
}

void client_link::closed() {
  if (std::exchange(Closed, true))
    return;
  Closing = true;
  ByStream.clear();
  for (const auto &[Id, Request] : std::exchange(Waiting, {}))
    Hooks.OnNotRun(Id);
  for (const auto &[Id, Sent] : std::exchange(ByRequest, {}))
    Hooks.OnOutcomeUnknown(Id);
}

void client_link::onHead(h2_stream Id, const h2_head &Head, bool End) {
  const auto Found = ByStream.find(Id);
  if (Found == ByStream.end())
    return Hooks.OnLateAnswer();
  const request_id Request = Found->second;
  if (End) {
    ByRequest.erase(Request);
    ByStream.erase(Found);
  }
  Hooks.OnHead(Request, Head, End);
}

void client_link::onData(h2_stream Id, std::string_view Bytes, bool End) {
  const auto Found = ByStream.find(Id);
  if (Found == ByStream.end()) {
    Session->consumed(Id, Bytes.size());
    return;
  }
  const request_id Request = Found->second;
  if (End) {
    ByRequest.erase(Request);
    ByStream.erase(Found);
  }
  Hooks.OnData(Request, Bytes, End);
}

void client_link::onClose(h2_stream Id, h2_error Code) {
  const auto Found = ByStream.find(Id);
  if (Found == ByStream.end())
    return;
  const request_id Request = Found->second;
  ByRequest.erase(Request);
  ByStream.erase(Found);
  if (Code == h2_error::RefusedStream)
    Hooks.OnNotRun(Request);
  else
    Hooks.OnOutcomeUnknown(Request);
}

} // namespace marjoramrail::internal
