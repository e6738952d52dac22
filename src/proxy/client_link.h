//===- client_link.h - Our session to the target or to a peer ---*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_CLIENT_LINK_H
#define MARJORAMRAIL_SRC_PROXY_CLIENT_LINK_H

#include "marjoramrail/proxy.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

/// What becomes of requests on a link. Each request gets exactly one of
/// OnNotRun, OnOutcomeUnknown or an OnData/OnHead with End.
struct link_hooks {
  std::function<void(request_id, const h2_head &, bool End)> OnHead;
  std::function<void(request_id, std::string_view, bool End)> OnData;
  /// The request has not reached the other side, or it said so.
  std::function<void(request_id)> OnNotRun;
  /// The request reached the other side and its answer will not come.
  std::function<void(request_id)> OnOutcomeUnknown;
  std::function<void()> OnLateAnswer;
  /// Bytes came, so windows may have opened.
  std::function<void()> OnInput;
};

/// One HTTP/2 connection that we opened. Requests sent before it stands wait.
class client_link {
public:
  using connect = decltype(proxy_hooks::Connect);

  client_link(const endpoint &Peer, const connect &Connect, link_hooks Hooks);
  ~client_link();
  client_link(const client_link &) = delete;
  client_link &operator=(const client_link &) = delete;

  /// Sends a request with what has come of its body.
  void send(request_id Id, const h2_head &Head, std::string Body, bool End);
  void data(request_id Id, std::string_view Bytes, bool End);
  /// Body bytes of \p Id that have not gone out.
  std::size_t queued(request_id Id) const;
  /// Lets the other side send \p Bytes more of its answer.
  void consumed(request_id Id, std::size_t Bytes);
  void cancel(request_id Id);
  void flush();

  /// Takes no more requests: the connection ended or the other side said so.
  bool isClosing() const { return Closing; }
  bool isIdle() const { return ByRequest.empty() && Waiting.empty(); }

private:
  struct queued_request {
    h2_head Head;
    std::string Body;
    bool End = false;
  };

  void submit(request_id Id, const queued_request &Request);
  void input(std::string_view Bytes);
  void connected();
  void submitWaiting();
  void closed();
  void onHead(h2_stream Stream, const h2_head &Head, bool End);
  void onData(h2_stream Stream, std::string_view Bytes, bool End);
  void onClose(h2_stream Stream, h2_error Code);
  h2_hooks sessionHooks();

  link_hooks Hooks;
  std::unique_ptr<h2_session> Session;
  std::unique_ptr<byte_stream> Stream;
  std::map<request_id, queued_request> Waiting;
  std::map<request_id, h2_stream> ByRequest;
  std::map<h2_stream, request_id> ByStream;
  bool Connected = false;
  /// The other side's first bytes have come.
  bool PeerResponded = false;
  bool Closing = false;
  bool Closed = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_CLIENT_LINK_H
