//===- h2.h - HTTP/2 sessions over any byte stream --------------*- C++ -*-===//
///
/// \file
/// An HTTP/2 client or server session, implemented with nghttp2. It performs no
/// I/O itself: received bytes are passed to input() and bytes to send are
/// passed to a hook. The same code therefore works with lwIP connections,
/// kernel sockets and tests.
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
/// Hooks may call any member function but must not destroy the session. The
/// owner can destroy it after input() or flush() has returned.
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

/// The error codes of RFC 9113 that are sent or handled specially.
enum class h2_error : std::uint32_t {
  NoError = 0x0,
  ProtocolError = 0x1,
  InternalError = 0x2,
  /// The request was not run and can safely be sent again.
  RefusedStream = 0x7,
  /// The request was cancelled.
  Cancel = 0x8,
  EnhanceYourCalm = 0xb,
};

struct h2_field {
  std::string Name;
  std::string Value;
};

/// The header fields of a request or response, pseudo-header fields first.
struct h2_head {
  std::vector<h2_field> Fields;

  /// Returns the value of the first field \p Name, or "" if there is none.
  std::string_view get(std::string_view Name) const;
  void add(std::string Name, std::string Value) {
    Fields.push_back({std::move(Name), std::move(Value)});
  }
};

struct h2_settings {
  std::uint32_t MaxStreams = 256;
  /// Flow-control windows, in bytes.
  std::int32_t StreamWindow = 256 * 1024;
  std::int32_t ConnectionWindow = 1024 * 1024;
  /// If false, received data counts against the flow-control windows until
  /// consumed() is called.
  bool ConsumeAtOnce = true;
};

struct h2_hooks {
  std::function<void(std::string_view Bytes)> Output;
  /// The header of a request (server) or response (client) was received.
  std::function<void(h2_stream, const h2_head &, bool End)> OnHead;
  std::function<void(h2_stream, std::string_view Data, bool End)> OnData;
  /// The stream was closed in both directions, or reset with \p Code.
  std::function<void(h2_stream, h2_error Code)> OnClose;
  /// The peer sent GOAWAY: it accepts no new streams, and streams above \p Last
  /// were not run.
  std::function<void(h2_stream Last, h2_error Code)> OnGoAway;
  std::function<void()> OnPong;
};

/// An HTTP/2 session over a byte stream that the owner provides.
class h2_session {
public:
  h2_session(h2_role Role, const h2_settings &Settings, h2_hooks Hooks);
  ~h2_session();
  h2_session(const h2_session &) = delete;
  h2_session &operator=(const h2_session &) = delete;

  /// Processes bytes received from the peer and sends the resulting output.
  /// Fails on a protocol violation, after which the session is unusable.
  result<void> input(std::string_view Bytes);

  /// Client: opens a stream. Returns a negative number if no stream can be
  /// opened because the peer sent GOAWAY or the stream ids are exhausted.
  h2_stream request(const h2_head &Head, bool End);

  /// Server: sends the response header of a stream.
  void respond(h2_stream Stream, const h2_head &Head, bool End);

  /// Queues body bytes. If \p End is set, closes the sending direction.
  void data(h2_stream Stream, std::string_view Bytes, bool End);

  /// Returns the number of body bytes that are queued but not yet passed to
  /// Output, so that the caller can apply back-pressure.
  std::size_t queued(h2_stream Stream) const;

  /// Extends the receive windows by \p Bytes; used if ConsumeAtOnce is false.
  void consumed(h2_stream Stream, std::size_t Bytes);

  void reset(h2_stream Stream, h2_error Code);
  void ping();

  /// Server: shuts down gracefully in two steps (RFC 9113, 6.8):
  /// startShutdown(), then finishShutdown() at least a round trip later.
  /// Requests that the client sent before it received the first GOAWAY are
  /// still accepted.
  void startShutdown();
  void finishShutdown();

  /// Passes all bytes that can be sent now to Output.
  void flush();

  /// Number of streams that are not closed.
  std::size_t openStreams() const;

  /// Returns false once the session neither expects input nor has output.
  bool alive() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_H2_H
