//===- base.h - Times, addresses, errors and timers -------------*- C++ -*-===//
///
/// \file
/// What every other library of marjoramrail stands on: the clock that cores
/// are driven by, endpoints and flows, errors that carry the step and the peer
/// at which they arose, tables of names for enumerations, budgets of actions
/// and the timer service.
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

/// The clock of the cores. It has no now(): a core is told the time, so that a
/// test can turn it by hand.
struct core_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
/// A moment on the monotonic clock of one process; not comparable across VMs.
using instant = core_clock::time_point;

//===----------------------------------------------------------------------===//
// Errors
//===----------------------------------------------------------------------===//

/// Where in the work an error arose. Each has a name in stepNames().
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

/// One error: the step that failed, the peer it concerned (an address, a file
/// or an object; empty where there is none) and a sentence for the operator.
struct failure {
  step Step;
  std::string Peer;
  std::string Reason;
};

template <typename T> using result = boost::leaf::result<T>;

/// Starts an error that the nearest handler receives as a failure.
boost::leaf::error_id fail(step Step, std::string Peer, std::string Reason);

/// Returns "STEP PEER: REASON", the one-line form of logs and tools.
std::string toText(const failure &Failure);

/// Runs \p Body, which returns a result<void>, and yields its failure, if any.
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

/// A table of names for an enum class, in the order of its enumerators.
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

/// Returns the enumerator called \p Name in \p Table, if there is one.
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

  // The linter sees a variable of the compiler's own in it.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const endpoint &) const = default;
};

/// Parses "127.0.0.1:4000".
result<endpoint> parseEndpoint(std::string_view Text);

std::string toText(const endpoint &Endpoint);

/// The caller's end and the service's end of one TCP flow.
struct flow_key {
  endpoint Caller;
  endpoint Service;

  auto operator<=>(const flow_key &) const = default;
};

std::string toText(const flow_key &Flow);

/// A 64-bit hash of a flow under \p Seed, the same on every VM and in every
/// version of the program: balancers must agree on it without talking.
std::uint64_t hashOf(const flow_key &Flow, std::uint64_t Seed);

/// For unordered containers.
struct flow_key_hash {
  std::size_t operator()(const flow_key &Flow) const { return hashOf(Flow, 0); }
};

/// The number of a service, given once when it is accepted and never reused.
enum class service_id : std::uint32_t {};

/// The number of a target host. It outlives restarts; the incarnation does not.
enum class host_id : std::uint32_t {};

/// The number of an availability zone.
enum class zone_id : std::uint16_t {};

//===----------------------------------------------------------------------===//
// Timers
//===----------------------------------------------------------------------===//

enum class timer_id : std::uint64_t {};

/// Admits so many actions a second on average, and so many at once after a
/// pause. It starts full.
class token_bucket {
public:
  token_bucket(double TokensPerSecond, double Burst)
      : TokensPerSecond(TokensPerSecond), Burst(Burst), Tokens(Burst) {}

  /// Whether one more action may be taken now; if so, it counts as taken.
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

/// The timers of one process. Parts subscribe; whoever owns the loop calls
/// advance(). Not thread-safe: one loop on one thread.
class timer_service {
public:
  using callback = std::function<void()>;

  explicit timer_service(instant Start = instant()) : Now(Start) {}

  instant now() const { return Now; }

  /// Calls \p Callback once, \p Delay from now.
  timer_id after(duration Delay, callback Callback);

  /// Calls \p Callback every \p Period, first one period from now.
  timer_id every(duration Period, callback Callback);

  /// Forgets a timer; unknown and spent ones are ignored.
  void cancel(timer_id Timer);

  /// Moves the clock to \p To and fires what is due, in order of time; a
  /// callback sees now() as its own due time. Time never goes back.
  void advance(instant To);

  /// Moves the clock to \p To without firing anything: what is due fires on
  /// the next advance(). For a loop that has slept and is in an event's hook,
  /// where a delay counted from the old time would end too early and a timer's
  /// callback could destroy what the event is about.
  void observe(instant To) { Now = std::max(Now, To); }

  /// The next due time, for the loop's sleep.
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
