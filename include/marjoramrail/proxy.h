//===- proxy.h - HTTP/2 reverse proxy of an agent ---------------*- C++ -*-===//
///
/// \file
/// The HTTP/2 proxy of an agent. It terminates the callers' sessions. Each
/// request is sent to the target, relayed to a peer agent or refused, and its
/// answer is returned on the stream on which the request came. The proxy opens
/// no sockets: it reads and writes through byte_stream and hooks, so that tests
/// can connect it to their own HTTP/2 sessions.
///
/// Answers that a caller can get:
///  - 503 or 429 with retry-after and {"run":"no",...}: the target did not
///    receive the request, which can safely be sent again.
///  - 503 with {"run":"unknown"}: a retry with an Idempotency-Key was not run,
///    but an earlier attempt may have been.
///  - 502 or 504 with {"run":"unknown"}: the target may or may not have run the
///    request.
///  - 409 with {"run":"unknown"}: another attempt with the same Idempotency-Key
///    is in progress.
///  - 410 with {"run":"yes"}: a request with this Idempotency-Key was run,
///    but its answer was too long to be saved.
///  - Any other answer comes from the target.
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

/// An outgoing connection. The proxy never destroys it from within one of its
/// own events.
class byte_stream {
public:
  virtual ~byte_stream() = default;
  virtual void write(std::string_view Bytes) = 0;
};

struct byte_events {
  std::function<void()> OnConnected;
  std::function<void(std::string_view Bytes)> OnData;
  /// The connection could not be opened or has ended.
  std::function<void()> OnClosed;
};

struct proxy_settings {
  host_id Host{};
  /// Name of this agent, appended to the Via field of each answer (RFC 9110,
  /// 7.6.3), so that a caller's log shows which agents handled the request. The
  /// last name is the agent that owns the flow; a name before it is the agent
  /// to which the request was relayed. If empty, no Via field is added.
  std::string Name;
  endpoint Target;
  admission_settings Admission;
  relay_settings Relay;
  std::uint64_t Seed = 1;
  /// Requests for these paths are long-lived streams (hours) and take no
  /// admission slot.
  std::vector<std::string> StreamPaths = {"/stream"};
  /// A flow that sends nothing for this long, not even answers to PING, is
  /// closed.
  duration IdleTimeout = std::chrono::seconds(60);
  /// Maximum number of body bytes buffered for a request before it is sent.
  std::size_t MaxBufferedBody = 64 * 1024;
  /// Incarnation of this agent. Key records identify the agent that ran a
  /// request by its host id and incarnation.
  std::uint32_t Incarnation = 0;
  /// What the records of this agent's key replica may lack at start; see
  /// replica_history.
  replica_history History = replica_history::MayHaveRun;
  key_settings Keys;
};

struct proxy_hooks {
  /// Starts connecting to the target or to a peer's relay address.
  std::function<std::unique_ptr<byte_stream>(const endpoint &, byte_events)>
      Connect;
  /// Returns the address at which \p Peer accepts relayed requests, or nullopt
  /// if the peer has left the service.
  std::function<std::optional<endpoint>(host_id Peer)> RelayOf;
};

/// Describes the end that opened a connection to this agent.
struct flow_origin {
  /// Hash of the caller's address.
  std::uint64_t Caller = 0;
  /// True for a peer agent that relays requests. Only then are the agents'
  /// internal headers (x-marjoramrail-...) accepted.
  bool IsPeer = false;
};

/// Why a flow of the proxy ended.
enum class proxy_flow_end {
  /// The HTTP/2 session was closed in both directions.
  Finished,
  /// The other side did not answer PING frames.
  Unresponsive,
  /// The other side violated the HTTP/2 protocol.
  BrokenProtocol,
};

inline constexpr name_table<proxy_flow_end, 3> ProxyFlowEndNames = {{
    {proxy_flow_end::Finished, "finished"},
    {proxy_flow_end::Unresponsive, "silent"},
    {proxy_flow_end::BrokenProtocol, "broken-protocol"},
}};

/// The session of one caller or peer. Destroying it cancels its requests,
/// except keyed requests that are already running at the target.
class proxy_flow {
public:
  struct hooks {
    std::function<void(std::string_view Bytes)> Output;
    /// Called once. The hook must not destroy the flow.
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
  /// Answers that came after their request had been cancelled or had ended.
  std::uint64_t LateAnswers = 0;
  std::uint64_t UnresponsiveFlows = 0;
  /// Keyed requests that did not get a claim: they were answered from the
  /// key's record or refused.
  std::uint64_t ClaimsNotGranted = 0;
  std::uint64_t BadKeyMessages = 0;
};

/// Proxies the requests of all callers of one agent to its target.
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

  /// Stops taking new requests: callers are sent GOAWAY, queued requests are
  /// relayed to peers or refused, and running requests finish.
  void drain();
  /// Reverts drain(): new flows and requests are accepted again. Callers that
  /// were already sent GOAWAY still leave.
  void resume();

  /// Sets which agents hold the replicas of which keys. Keyed requests are
  /// refused until the first call.
  void setKeyView(const key_view &View);
  /// To be called when the fleet marked this agent dead and it continues under
  /// a new \p Incarnation.
  void continueAs(std::uint32_t Incarnation);
  /// False while key records of an old generation are still needed.
  bool keysSettled() const;
  /// Number of key records that this agent holds; the limit is
  /// key_settings::MaxRecords.
  std::size_t keyRecords() const;

  /// Returns the load of this agent, to be sent to its peers.
  agent_load load();
  void updatePeerLoad(const agent_load &Peer);
  void removePeer(host_id Peer);

  /// Number of requests that are waiting, running or relayed.
  std::size_t inProgress() const;
  const proxy_counts &counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_PROXY_H
