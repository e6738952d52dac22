//===- stack.h - TCP in user space ------------------------------*- C++ -*-===//
///
/// \file
/// A TCP endpoint in user space for flows whose packets are received from the
/// fabric instead of the kernel. It wraps lwIP in a C++ interface. Agents
/// accept flows with it; a caller that needs many addresses in one process
/// opens flows with it.
///
/// lwIP's state is global, so a process can have at most one tcp_stack. All
/// timing follows the timer service; the wall clock is not used.
///
/// Usage:
/// \code
///   tcp_stack Stack(Timers, {.Seed = Seed}, [&](auto Packet) {
///     Socket.send(FabricReturn, Packet);
///   });
///   Stack.addAddress(Service.Address);
///   Stack.listen(Service, [&](std::unique_ptr<stack_flow> Flow) {
///     stack_flow::hooks Hooks;
///     Hooks.OnData = [F = Flow.get()](std::string_view Bytes) {
///       F->consumed(F->write(Bytes));
///     };
///     Flow->setHooks(std::move(Hooks));
///     Flows.push_back(std::move(Flow));
///   });
///   Stack.input(PacketFromFabric);
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STACK_H
#define MARJORAMRAIL_STACK_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace marjoramrail {

namespace internal {
struct stack_connection;
} // namespace internal

/// Why a flow ended.
enum class flow_end {
  /// Both sides closed their direction.
  Finished,
  /// The peer reset the connection.
  Reset,
  /// The peer did not acknowledge data or keepalive probes in time.
  TimedOut,
};

inline constexpr name_table<flow_end, 3> FlowEndNames = {{
    {flow_end::Finished, "finished"},
    {flow_end::Reset, "reset"},
    {flow_end::TimedOut, "timed-out"},
}};

/// A TCP connection. A hook may call any member function and may destroy the
/// flow. No hook is called after close(), abort() or destruction.
class stack_flow {
public:
  struct hooks {
    /// The three-way handshake has completed (flows opened by connect()).
    std::function<void()> OnConnected;
    /// Bytes were received, in order. They count against the receive window
    /// until consumed() is called.
    std::function<void(std::string_view Bytes)> OnData;
    /// The peer closed its direction. The local direction stays open.
    std::function<void()> OnEnd;
    /// The send buffer has free space again.
    std::function<void()> OnWritable;
    /// The connection has ended.
    std::function<void(flow_end)> OnClosed;
  };

  /// For tcp_stack only.
  explicit stack_flow(std::shared_ptr<internal::stack_connection> State);
  /// Resets the connection if it has not ended.
  ~stack_flow();
  stack_flow(const stack_flow &) = delete;
  stack_flow &operator=(const stack_flow &) = delete;

  /// Replaces the hooks. Must not be called from within a hook.
  void setHooks(hooks Hooks);

  /// Endpoints of the flow. Caller is the end that opened it.
  const flow_key &key() const;

  /// Queues bytes to send and returns how many were accepted. If the send
  /// buffer is full, that is fewer than offered; OnWritable is called when
  /// writing can continue.
  std::size_t write(std::string_view Bytes);

  /// Number of bytes that write() would accept now.
  std::size_t writable() const;

  /// Extends the receive window by \p Bytes.
  void consumed(std::size_t Bytes);

  /// Sends the written bytes and then closes the sending direction. Bytes can
  /// still be received.
  void finishWriting();

  /// Sends the written bytes and closes both directions.
  void close();

  /// Resets the connection.
  void abort();

  /// Enables keepalive: after \p Idle without a packet the peer is probed every
  /// \p Interval, and after \p Probes unanswered probes the flow ends with
  /// TimedOut. Without keepalive, a flow whose peer has become unreachable
  /// stays open forever.
  void keepAlive(duration Idle, duration Interval, unsigned Probes);

private:
  std::shared_ptr<internal::stack_connection> State;
};

/// Settings of a tcp_stack.
struct tcp_stack_settings {
  /// Start value of the initial sequence numbers. It must differ between
  /// agents, because a half-open flow is distinguished from another agent's by
  /// its sequence number.
  std::uint32_t Seed = 1;
  /// Size of the largest IPv4 packet, in bytes: 1,500 minus the outer IPv4 and
  /// UDP headers (28) and the header of a routed packet with the longest list
  /// of owners (24 + 32 * 6), which encapsulate it.
  std::uint16_t Mtu = 1256;
  /// Maximum number of connections in TIME_WAIT; the oldest are freed first.
  /// lwIP keeps each for two minutes. At 5,000 flows per second that would be
  /// 600,000 connections, which lwIP searches linearly for every packet.
  std::size_t MaxTimeWait = 256;
};

/// A TCP stack for any number of local addresses.
class tcp_stack {
public:
  using output_hook = std::function<void(std::span<const std::uint8_t> Packet)>;
  using accept_hook = std::function<void(std::unique_ptr<stack_flow>)>;

  /// \p Output receives complete IPv4 packets, which are valid only during the
  /// call.
  tcp_stack(timer_service &Timers, const tcp_stack_settings &Settings,
            output_hook Output);
  /// All flows must have been destroyed.
  ~tcp_stack();
  tcp_stack(const tcp_stack &) = delete;
  tcp_stack &operator=(const tcp_stack &) = delete;

  /// Accepts packets addressed to \p Address (host byte order), in addition to
  /// the addresses added before. Their number is not limited.
  void addAddress(std::uint32_t Address);

  /// Accepts flows to \p Local. Address 0 stands for all added addresses.
  /// Fails with step::OpenSocket if the endpoint is already in use.
  result<void> listen(const endpoint &Local, accept_hook OnAccept);

  /// Opens a flow. Fails with step::Connect if this pair of endpoints is in
  /// use.
  result<std::unique_ptr<stack_flow>> connect(const endpoint &Local,
                                              const endpoint &Remote,
                                              stack_flow::hooks Hooks);

  /// Processes an IPv4 packet. Returns false if it is not TCP, is a fragment
  /// or is addressed to an address that was not added.
  bool input(std::span<const std::uint8_t> Packet);

  /// Drops an accepted or half-open flow without sending a packet to the
  /// caller. It is used when another agent turns out to own the flow. If the
  /// flow was accepted, its OnClosed hook is called with Reset.
  void forget(const flow_key &Flow);

  /// Number of connections in any state except listening.
  std::size_t connections() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_STACK_H
