//===- proxy.h - Requests between callers, a target and peers ---*- C++ -*-===//
///
/// \file
/// The HTTP/2 side of an agent. Each caller's session ends here; each request
/// is admitted, refused, relayed to a peer agent or run at the target, and its
/// answer goes back to the flow and stream that asked. No sockets: bytes come
/// and go through byte_stream and hooks, so tests join it to sessions of their
/// own.
///
/// What a caller is told:
///  - 503 or 429 with retry-after and {"run":"no",...}: the target never saw
///    the request; it may be sent again.
///  - 502 or 504 with {"run":"unknown"}: the target may or may not have run it.
///  - 409 with {"run":"unknown"}: another try of the same Idempotency-Key is
///    under way; 410 with {"run":"yes"}: it ran, its answer was too long to be
///    kept.
///  - anything else is the target's own answer.
///
/// Usage:
/// \code
///   request_proxy Proxy(Timers, Settings, {.Connect = connectByKernel,
///                                          .RelayOf = relayAddressOf});
///   auto Flow = Proxy.open({.Caller = HashOfAddress}, {.Output = ...,
///                                                      .OnEnded = ...});
///   Flow->input(BytesFromCaller);
///   Proxy.drain();
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PROXY_H
#define MARJORAMRAIL_PROXY_H

#include "marjoramrail/h2.h"
#include "marjoramrail/work.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

namespace internal {
class caller_flow;
} // namespace internal

/// One outgoing connection. It is never destroyed from within its own events.
class byte_stream {
public:
  virtual ~byte_stream() = default;
  virtual void write(std::string_view Bytes) = 0;
};

struct byte_events {
  std::function<void()> OnConnected;
  std::function<void(std::string_view Bytes)> OnData;
  /// The connection failed or ended.
  std::function<void()> OnClosed;
};

struct proxy_settings {
  host_id Host{};
  /// Added to each answer's Via field (RFC 9110, 7.6.3), so that a caller's
  /// log shows the agent that owns the flow, last, and one that ran the request
  /// by relay, before it. Empty: no field.
  std::string Name;
  endpoint Target;
  admission_settings Admission;
  relay_settings Relay;
  std::uint64_t Seed = 1;
  /// Requests for these paths live for hours and take no slot.
  std::vector<std::string> StreamPaths = {"/stream"};
  /// A flow that sends nothing, not even answers to PING, for this long is
  /// closed.
  duration IdleTimeout = std::chrono::seconds(60);
  /// Bytes of a request's body taken in before it runs.
  std::size_t MaxBufferedBody = 64 * 1024;
  /// Of this agent; it names the runner in key records.
  std::uint32_t Incarnation = 0;
  /// See key_keeper.
  keeper_past Past = keeper_past::MayHaveRun;
  key_settings Keys;
};

struct proxy_hooks {
  /// Starts to connect to the target or to a peer's relay address.
  std::function<std::unique_ptr<byte_stream>(const endpoint &, byte_events)>
      Connect;
  /// Where \p Peer takes relayed requests; none if it has left the service.
  std::function<std::optional<endpoint>(host_id Peer)> RelayOf;
};

/// Who opened a connection to this agent.
struct flow_origin {
  /// A hash of the caller's address.
  std::uint64_t Caller = 0;
  /// A peer agent that relays; its own headers are then believed.
  bool IsPeer = false;
};

enum class proxy_flow_end {
  /// The session has nothing more to say.
  Finished,
  /// The other side answers no PING.
  Unresponsive,
  BrokenProtocol,
};

inline constexpr name_table<proxy_flow_end, 3> ProxyFlowEndNames = {{
    {proxy_flow_end::Finished, "finished"},
    {proxy_flow_end::Unresponsive, "silent"},
    {proxy_flow_end::BrokenProtocol, "broken-protocol"},
}};

/// One caller's or peer's session. Destroying it cancels its requests.
class proxy_flow {
public:
  struct hooks {
    std::function<void(std::string_view Bytes)> Output;
    /// Called once. The flow must not be destroyed from within.
    std::function<void(proxy_flow_end)> OnEnded;
  };

  explicit proxy_flow(std::unique_ptr<internal::caller_flow> Impl);
  ~proxy_flow();
  proxy_flow(const proxy_flow &) = delete;
  proxy_flow &operator=(const proxy_flow &) = delete;

  void input(std::string_view Bytes);
  std::size_t openRequests() const;

private:
  std::unique_ptr<internal::caller_flow> Impl;
};

struct proxy_counts {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Relayed = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Cancelled = 0;
  /// Answers whose flow or stream was gone.
  std::uint64_t LateAnswers = 0;
  std::uint64_t UnresponsiveFlows = 0;
  /// Keyed requests that were answered from their record or not granted.
  std::uint64_t ClaimsNotGranted = 0;
  std::uint64_t BadKeyMessages = 0;
};

class request_proxy {
public:
  request_proxy(timer_service &Timers, const proxy_settings &Settings,
                proxy_hooks Hooks);
  /// All flows must have been destroyed.
  ~request_proxy();
  request_proxy(const request_proxy &) = delete;
  request_proxy &operator=(const request_proxy &) = delete;

  std::unique_ptr<proxy_flow> open(const flow_origin &Origin,
                                   proxy_flow::hooks Hooks);

  /// Takes no new work: callers are asked to leave, queued requests go to peers
  /// or are refused, running ones finish.
  void drain();
  /// Takes drain() back: new flows and requests are welcome again. Callers that
  /// were asked to leave still do.
  void resume();

  /// Who keeps which key. Until the first one, keyed requests are refused.
  void setKeyView(const key_view &View);
  /// The fleet held this agent for down.
  void lapsed(std::uint32_t Incarnation);
  /// False while an old generation is needed for key records.
  bool keysSettled() const;
  /// Key records that this agent holds, of key_settings::MaxRecords.
  std::size_t keyRecords() const;

  /// For peers.
  load_report load();
  void updatePeerLoad(const load_report &Peer);
  void removePeer(host_id Peer);

  /// Requests that are waiting, running or relayed.
  std::size_t inProgress() const;
  const proxy_counts &counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_PROXY_H
