//===- client_link.h - Connection to the target or a peer -------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_CLIENT_LINK_H
#define MARJORAMRAIL_SRC_PROXY_CLIENT_LINK_H

#include "marjoramrail/proxy.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

/// Events of the requests on a link. Unless it is cancelled, each request ends
/// with exactly one of OnNotRun, OnOutcomeUnknown or OnHead/OnData with End
/// set.
struct link_hooks {
  std::function<void(request_id, const h2_head &, bool End)> OnHead;
  std::function<void(request_id, std::string_view, bool End)> OnData;
  /// The other side did not run the request: it was not sent, or the other side
  /// refused the stream.
  std::function<void(request_id)> OnNotRun;
  /// The request was sent, but the connection or stream ended without an
  /// answer.
  std::function<void(request_id)> OnOutcomeUnknown;
  std::function<void()> OnLateAnswer;
  /// Bytes were received, so flow-control windows may have been extended.
  std::function<void()> OnInput;
};

/// An outgoing HTTP/2 connection. Requests are queued until the first bytes
/// from the other side are received.
class client_link {
public:
  using connect = decltype(proxy_hooks::Connect);

  client_link(const endpoint &Peer, const connect &Connect, link_hooks Hooks);
  ~client_link();
  client_link(const client_link &) = delete;
  client_link &operator=(const client_link &) = delete;

  /// Sends a request with the part of its body that is available.
  void send(request_id Id, const h2_head &Head, std::string Body, bool End);
  void data(request_id Id, std::string_view Bytes, bool End);
  /// Number of body bytes of \p Id that have not been sent.
  std::size_t queued(request_id Id) const;
  /// Extends the receive window of an answer by \p Bytes.
  void consumed(request_id Id, std::size_t Bytes);
  void cancel(request_id Id);
  void flush();

  /// True if the link accepts no more requests, because the connection ended or
  /// the other side sent GOAWAY.
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
  /// The first bytes from the other side have been received.
  bool PeerResponded = false;
  bool Closing = false;
  bool Closed = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_CLIENT_LINK_H
