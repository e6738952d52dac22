//===- h2.h - HTTP/2 sessions over any byte stream --------------*- C++ -*-===//
///
/// \file
/// One HTTP/2 session, client or server, over nghttp2. It does no input or
/// output of its own: bytes go in through input() and come out through a hook,
/// so the same code serves lwIP connections, kernel sockets and tests.
///
/// Usage:
/// \code
///   h2_session Client(h2_role::Client, {}, {
///       .Output = [&](std::string_view Bytes) { Stream.write(Bytes); },
///       .OnHead = [&](h2_stream Id, const h2_head &Head, bool End) { ... },
///       .OnData = [&](h2_stream Id, std::string_view Data, bool End) { ... },
///       .OnClose = [&](h2_stream Id, h2_error Code) { ... }});
///   h2_stream Id = Client.request({{":method", "GET"}, {":path", "/status"},
///       {":scheme", "http"}, {":authority", "ledger"}}, /*End=*/true);
///   Client.flush();
///   Client.input(BytesFromPeer);
/// \endcode
///
/// Hooks may call any member but must not destroy the session; the owner does
/// that after input() or flush() has returned.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_H2_H
#define MARJORAMRAIL_H2_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

enum class h2_role { Client, Server };

using h2_stream = std::int32_t;

/// The error codes of RFC 9113 that we send or tell apart.
enum class h2_error : std::uint32_t {
  NoError = 0x0,
  ProtocolError = 0x1,
  InternalError = 0x2,
  /// The request was not run; it may be sent again.
  RefusedStream = 0x7,
  /// The other side gave the request up.
  Cancel = 0x8,
  EnhanceYourCalm = 0xb,
};

struct h2_field {
  std::string Name;
  std::string Value;
};

/// The fields of a request or a response, pseudo-header fields first.
struct h2_head {
  std::vector<h2_field> Fields;

  /// The first value of \p Name, or "".
  std::string_view get(std::string_view Name) const;
  void add(std::string Name, std::string Value) {
    Fields.push_back({std::move(Name), std::move(Value)});
  }
};

struct h2_settings {
  std::uint32_t MaxStreams = 256;
  /// Flow control windows, in bytes.
  std::int32_t StreamWindow = 256 * 1024;
  std::int32_t ConnectionWindow = 1024 * 1024;
  /// With false, data received counts against the windows until consumed().
  bool ConsumeAtOnce = true;
};

struct h2_hooks {
  std::function<void(std::string_view Bytes)> Output;
  /// A request's head at a server, a response's head at a client.
  std::function<void(h2_stream, const h2_head &, bool End)> OnHead;
  std::function<void(h2_stream, std::string_view Data, bool End)> OnData;
  /// The stream is over in both directions, or was reset with \p Code.
  std::function<void(h2_stream, h2_error Code)> OnClose;
  /// The peer will take no new streams; those above \p Last were not run.
  std::function<void(h2_stream Last, h2_error Code)> OnGoAway;
  std::function<void()> OnPong;
};

class h2_session {
public:
  h2_session(h2_role Role, const h2_settings &Settings, h2_hooks Hooks);
  ~h2_session();
  h2_session(const h2_session &) = delete;
  h2_session &operator=(const h2_session &) = delete;

  /// Takes bytes from the peer and flushes what they give rise to. Fails on a
  /// broken protocol; the connection is then of no further use.
  result<void> input(std::string_view Bytes);

  /// Client: opens a stream. Returns a negative number if none can be opened
  /// (the peer said GOAWAY, or stream ids ran out).
  h2_stream request(const h2_head &Head, bool End);

  /// Server: answers a stream.
  void respond(h2_stream Stream, const h2_head &Head, bool End);

  /// Queues body bytes; \p End closes our direction.
  void data(h2_stream Stream, std::string_view Bytes, bool End);

  /// Body bytes queued and not yet handed to Output, for back-pressure.
  std::size_t queued(h2_stream Stream) const;

  /// Opens the windows by \p Bytes, where ConsumeAtOnce is false.
  void consumed(h2_stream Stream, std::size_t Bytes);

  void reset(h2_stream Stream, h2_error Code);
  void ping();

  /// Server: announces that no new streams will be taken, in two steps, so
  /// that a request under way when it is sent is not lost (RFC 9113, 6.8):
  /// startShutdown(), and a round trip later finishShutdown().
  void startShutdown();
  void finishShutdown();

  /// Hands everything that can be sent to Output.
  void flush();

  /// Streams that are not over.
  std::size_t openStreams() const;

  /// False once both sides have nothing more to say.
  bool alive() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_H2_H
