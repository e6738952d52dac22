//===- stack.h - TCP in user space ------------------------------*- C++ -*-===//
///
/// \file
/// The TCP end of flows whose packets come from the fabric instead of the
/// kernel: lwIP behind a C++ interface. Agents accept flows with it; a caller
/// that needs many addresses in one process opens flows with it.
///
/// lwIP's state is global, so a process holds at most one tcp_stack. All of
/// its timing follows the timer service, none the wall clock.
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
  /// Both sides sent their last byte.
  Finished,
  /// The peer reset it.
  Reset,
  /// The peer did not acknowledge data or keepalives for too long.
  TimedOut,
};

inline constexpr name_table<flow_end, 3> FlowEndNames = {{
    {flow_end::Finished, "finished"},
    {flow_end::Reset, "reset"},
    {flow_end::TimedOut, "timed-out"},
}};

/// One TCP connection. A hook may call any member and may destroy the flow;
/// no hook is called after close(), abort() or destruction.
class stack_flow {
public:
  struct hooks {
    /// The three-way handshake is done (flows opened by connect()).
    std::function<void()> OnConnected;
    /// Bytes in order. They count against the receive window until
    /// consumed().
    std::function<void(std::string_view Bytes)> OnData;
    /// The peer sends no more; our direction stays open.
    std::function<void()> OnEnd;
    /// The send buffer has room again.
    std::function<void()> OnWritable;
    /// The flow is gone.
    std::function<void(flow_end)> OnClosed;
  };

  /// Used by tcp_stack.
  explicit stack_flow(std::shared_ptr<internal::stack_connection> State);
  /// Aborts the flow if it has not ended.
  ~stack_flow();
  stack_flow(const stack_flow &) = delete;
  stack_flow &operator=(const stack_flow &) = delete;

  /// Replaces the hooks; not from within one of them.
  void setHooks(hooks Hooks);

  /// Caller is the end that opened the flow.
  const flow_key &key() const;

  /// Returns the number of bytes taken, which is less than offered when the
  /// send buffer is full; OnWritable tells when to go on.
  std::size_t write(std::string_view Bytes);

  /// Bytes that write() would take now.
  std::size_t writable() const;

  /// Lets the peer send \p Bytes more.
  void consumed(std::size_t Bytes);

  /// Sends what was written, then the end of our direction; goes on receiving.
  void finishWriting();

  /// Sends what was written and ends both directions.
  void close();

  /// Resets the connection.
  void abort();

  /// Probes the peer after \p Idle without a packet, every \p Interval, and
  /// ends the flow as TimedOut after \p Probes without an answer. Without it a
  /// flow whose peer vanished stays open for good.
  void keepAlive(duration Idle, duration Interval, unsigned Probes);

private:
  std::shared_ptr<internal::stack_connection> State;
};

struct tcp_stack_settings {
  /// Initial sequence numbers start from it. Two agents must not share one: a
  /// half-open flow is told from another agent's by its number.
  std::uint32_t Seed = 1;
  /// The largest IPv4 packet, in bytes: 1,500 less the outer IPv4 and UDP
  /// headers and a routed packet's with the longest list of owners, which
  /// travel with it (28 + 24 + 32 * 6).
  std::uint16_t Mtu = 1256;
  /// Closed flows kept for late packets of the peer; the oldest go first. lwIP
  /// keeps each for two minutes, which at 5,000 flows a second would be
  /// 600,000 that every packet's search walks through.
  std::size_t MaxTimeWait = 256;
};

class tcp_stack {
public:
  using output_hook = std::function<void(std::span<const std::uint8_t> Packet)>;
  using accept_hook = std::function<void(std::unique_ptr<stack_flow>)>;

  /// \p Output receives whole IPv4 packets, valid during the call.
  tcp_stack(timer_service &Timers, const tcp_stack_settings &Settings,
            output_hook Output);
  /// All flows must have been destroyed.
  ~tcp_stack();
  tcp_stack(const tcp_stack &) = delete;
  tcp_stack &operator=(const tcp_stack &) = delete;

  /// Packets to \p Address (host byte order) are taken. Any number of them.
  void addAddress(std::uint32_t Address);

  /// Accepts flows to \p Local; address 0 stands for every added address.
  /// Fails with step::OpenSocket if something listens there.
  result<void> listen(const endpoint &Local, accept_hook OnAccept);

  /// Opens a flow. Fails with step::Connect if that pair of endpoints is in
  /// use.
  result<std::unique_ptr<stack_flow>> connect(const endpoint &Local,
                                              const endpoint &Remote,
                                              stack_flow::hooks Hooks);

  /// Takes an IPv4 packet. Returns false for one that is not TCP, is a
  /// fragment or is addressed elsewhere.
  bool input(std::span<const std::uint8_t> Packet);

  /// Drops an accepted or half-open flow without a packet to the caller, for a
  /// flow that turns out to be another agent's. Its owner hears OnClosed(Reset)
  /// if it was accepted.
  void forget(const flow_key &Flow);

  /// Connections in any state but listening.
  std::size_t connections() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_STACK_H
