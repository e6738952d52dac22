//===- base.h - Times, addresses, errors and timers -------------*- C++ -*-===//
///
/// \file
/// Types that every other library of marjoramrail uses: the clock type,
/// endpoints and flows, errors that carry the failed step and the peer, name
/// tables for enumerations, a token bucket and the timer service.
///
/// Usage:
/// \code
///   timer_service Timers;
///   Timers.every(std::chrono::seconds(1), [] { sendHeartbeat(); });
///   Timers.advance(instant(std::chrono::seconds(5))); // fires five times
///
///   result<endpoint> Where = parseEndpoint("127.0.0.1:4000");
///   if (!Where)
///     return Where.error();
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BASE_H
#define MARJORAMRAIL_BASE_H

#include <algorithm>
#include <array>
#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Time
//===----------------------------------------------------------------------===//

/// The clock of the cores, the classes that hold the logic of a daemon without
/// its I/O. It has no now(): the caller passes the time to a core, so that
/// tests control it.
struct core_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
/// A time point on the monotonic clock of one process; not comparable across
/// VMs.
using instant = core_clock::time_point;

//===----------------------------------------------------------------------===//
// Errors
//===----------------------------------------------------------------------===//

/// The operation that failed. toText() prints its name.
enum class step {
  ParseAddress,
  ParseSettings,
  ValidateObject,
  OpenSocket,
  Connect,
  Send,
  Receive,
  DecodePacket,
  DecodeMessage,
  ReadPlatform,
  WritePlatform,
  WatchPlatform,
  AcquireLease,
  Relay,
  RunRequest,
};

/// One error: the step that failed, the peer it concerns (an address, a file
/// or an object; empty if there is none) and a message for the operator.
struct failure {
  step Step;
  std::string Peer;
  std::string Reason;
};

template <typename T> using result = boost::leaf::result<T>;

/// Creates a Boost.LEAF error that handlers receive as a failure.
boost::leaf::error_id fail(step Step, std::string Peer, std::string Reason);

/// Returns "STEP PEER: REASON", the one-line form used in logs and tools.
std::string toText(const failure &Failure);

/// Runs \p Body, which returns a result, and returns its failure, if any.
/// \code
///   if (auto Failure = failureOf([&] { return check(Settings); }))
///     LOG(ERROR) << toText(*Failure);
/// \endcode
template <typename Callable> std::optional<failure> failureOf(Callable &&Body) {
  return boost::leaf::try_handle_all(
      [&]() -> result<std::optional<failure>> {
        auto Outcome = std::forward<Callable>(Body)();
        if (!Outcome)
          return Outcome.error();
        return std::optional<failure>();
      },
      [](const failure &Failure) { return std::optional<failure>(Failure); },
      [] {
        return std::optional<failure>(
            failure{step::RunRequest, "", "an error without a description"});
      });
}

//===----------------------------------------------------------------------===//
// Names of enumerators
//===----------------------------------------------------------------------===//

/// Maps the enumerators of an enum class, in their order, to names.
template <typename Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of \p Value in \p Table, or "unknown".
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const name_table<Enum, Size> &Table,
                                  Enum Value) {
  for (const auto &[Key, Name] : Table)
    if (Key == Value)
      return Name;
  return "unknown";
}

/// Returns the enumerator that \p Table maps to \p Name, if there is one.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueNamed(const name_table<Enum, Size> &Table,
                                         std::string_view Name) {
  for (const auto &[Key, Known] : Table)
    if (Known == Name)
      return Key;
  return std::nullopt;
}

//===----------------------------------------------------------------------===//
// Addresses and flows
//===----------------------------------------------------------------------===//

/// An IPv4 address and a port, both in host byte order.
struct endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  // clang-tidy reports the name of a variable that the compiler generates for
  // this operator.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const endpoint &) const = default;
};

/// Parses "127.0.0.1:4000".
result<endpoint> parseEndpoint(std::string_view Text);

std::string toText(const endpoint &Endpoint);

/// The caller's and the service's endpoint of one TCP flow.
struct flow_key {
  endpoint Caller;
  endpoint Service;

  auto operator<=>(const flow_key &) const = default;
};

std::string toText(const flow_key &Flow);

/// Returns a 64-bit hash of a flow under \p Seed. It must be the same on every
/// VM and in every version of the program, because balancers route by it
/// without exchanging messages about single flows.
std::uint64_t hashOf(const flow_key &Flow, std::uint64_t Seed);

/// Hash function for unordered containers.
struct flow_key_hash {
  std::size_t operator()(const flow_key &Flow) const { return hashOf(Flow, 0); }
};

/// The number of a service, assigned by its operator and never reused for
/// another service.
enum class service_id : std::uint32_t {};

/// The number of a target host. Unlike the incarnation, it stays the same when
/// the host restarts.
enum class host_id : std::uint32_t {};

enum class zone_id : std::uint16_t {};

//===----------------------------------------------------------------------===//
// Timers
//===----------------------------------------------------------------------===//

enum class timer_id : std::uint64_t {};

/// Limits actions to an average rate per second, with bursts of a given size
/// after a pause. It starts full.
class token_bucket {
public:
  token_bucket(double TokensPerSecond, double Burst)
      : TokensPerSecond(TokensPerSecond), Burst(Burst), Tokens(Burst) {}

  /// Takes a token for one action. Returns false if none is available.
  bool take(instant Now) {
    const double Passed = std::chrono::duration<double>(Now - FilledAt).count();
    FilledAt = Now;
    Tokens = std::min(Tokens + Passed * TokensPerSecond, Burst);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double TokensPerSecond;
  double Burst;
  double Tokens;
  instant FilledAt;
};

/// The timers of one process. Any part may add timers; the owner of the event
/// loop calls advance(). Not thread-safe: one loop runs on one thread.
class timer_service {
public:
  using callback = std::function<void()>;

  explicit timer_service(instant Start = instant()) : Now(Start) {}

  instant now() const { return Now; }

  /// Calls \p Callback once, \p Delay from now.
  timer_id after(duration Delay, callback Callback);

  /// Calls \p Callback every \p Period, first one period from now.
  timer_id every(duration Period, callback Callback);

  /// Removes a timer. An unknown or expired one is ignored.
  void cancel(timer_id Timer);

  /// Moves the clock to \p To and fires the timers that are due, in order of
  /// their due times. While a callback runs, now() is its due time. The clock
  /// never moves backwards.
  void advance(instant To);

  /// Moves the clock to \p To without firing timers; those that are due fire on
  /// the next advance(). For event hooks that run after the loop has slept: a
  /// delay counted from the old time would end too early, and a timer callback
  /// fired here could destroy the object that the event concerns.
  void observe(instant To) { Now = std::max(Now, To); }

  /// The earliest due time, until which the loop may sleep.
  std::optional<instant> nextDue() const;

private:
  struct entry {
    timer_id Id;
    duration Period;
    callback Callback;
  };

  timer_id add(instant Due, duration Period, callback Callback);

  instant Now;
  std::uint64_t LastId = 0;
  std::multimap<instant, entry> Pending;
  std::map<timer_id, std::multimap<instant, entry>::iterator> ById;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_BASE_H
