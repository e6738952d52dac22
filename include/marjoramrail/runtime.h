//===- runtime.h - What joins a core to the operating system ----*- C++ -*-===//
///
/// \file
/// The loop of a daemon: timers, signals, UDP and TCP sockets, the status page
/// and settings. One loop on one thread; nothing here is thread-safe.
///
/// Usage:
/// \code
///   event_loop Loop;
///   udp_socket Socket(Loop, Local, [&](std::span<const datagram> Batch)
///   {...}); Loop.onTerminate([&] { Core.drain(); }); Loop.run();
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RUNTIME_H
#define MARJORAMRAIL_RUNTIME_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace marjoramrail {

/// libevent's loop with a timer_service that follows the monotonic clock, the
/// time of a suspended machine included: what was known before a suspension is
/// old after it.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  timer_service &timers() { return Timers; }
  event_base *base() const;

  /// Called once on SIGTERM or SIGINT; a second signal ends the loop at once.
  void onTerminate(std::function<void()> Callback);

  /// Called on each SIGHUP.
  void onReload(std::function<void()> Callback);

  void run();
  void stop();

  /// Moves the timers' clock to the present, see timer_service::observe().
  /// Every event of a socket starts with it, since the loop may have slept.
  void updateClock();

  /// Runs \p Task when the current callback has returned, for owners that must
  /// not destroy an object from within its own hook.
  void defer(std::function<void()> Task);

private:
  struct impl;
  timer_service Timers;
  std::unique_ptr<impl> Impl;
};

/// One received datagram; valid during the hook.
struct datagram {
  endpoint From;
  std::span<const std::uint8_t> Bytes;
};

/// A UDP socket that receives and sends in batches (recvmmsg, sendmmsg): at
/// 200,000 packets a second one system call per packet would take the core.
class udp_socket {
public:
  using receive_hook = std::function<void(std::span<const datagram>)>;

  /// Throws no exception: open() tells whether the socket could be bound.
  udp_socket(event_loop &Loop, receive_hook OnBatch);
  ~udp_socket();
  udp_socket(const udp_socket &) = delete;
  udp_socket &operator=(const udp_socket &) = delete;

  /// Binds to \p Local; port 0 picks one. Fails with step::OpenSocket.
  result<void> open(const endpoint &Local);
  endpoint local() const;

  /// Queues a copy of \p Bytes. Sent at the end of the receive hook, when the
  /// batch is full, or on flush().
  void send(const endpoint &To, std::span<const std::uint8_t> Bytes);
  void flush();

  /// Datagrams the kernel did not take.
  std::uint64_t dropped() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// One TCP connection of the kernel.
class tcp_stream {
public:
  struct hooks {
    std::function<void()> OnConnected;
    std::function<void(std::string_view Bytes)> OnData;
    /// Our side or the peer's ended; \p Reason is empty for a plain end.
    std::function<void(std::string Reason)> OnClosed;
    /// What was queued has gone out, for back-pressure.
    std::function<void()> OnDrained;
  };

  ~tcp_stream();
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  /// Starts to connect; the outcome comes through a hook.
  static std::unique_ptr<tcp_stream> connect(event_loop &Loop,
                                             const endpoint &Peer, hooks Hooks);

  /// Connects from the address of \p Local, by which the peer knows us.
  static std::unique_ptr<tcp_stream> connectFrom(event_loop &Loop,
                                                 const endpoint &Local,
                                                 const endpoint &Peer,
                                                 hooks Hooks);

  void setHooks(hooks Hooks);
  endpoint peer() const;
  void write(std::string_view Bytes);
  /// Bytes accepted by write() that the kernel has not taken yet.
  std::size_t queued() const;
  void pauseReading(bool Pause);
  /// Closes when everything written has gone out.
  void closeAfterWrites();
  /// Ends our direction when everything written has gone out; goes on reading.
  void finishWriting();

private:
  friend class tcp_listener;
  struct impl;
  explicit tcp_stream(std::unique_ptr<impl> State);
  std::unique_ptr<impl> Impl;
};

class tcp_listener {
public:
  using accept_hook = std::function<void(std::unique_ptr<tcp_stream>)>;

  tcp_listener(event_loop &Loop, accept_hook OnAccept);
  ~tcp_listener();
  tcp_listener(const tcp_listener &) = delete;
  tcp_listener &operator=(const tcp_listener &) = delete;

  /// Binds to \p Local; port 0 picks one. Fails with step::OpenSocket.
  result<void> open(const endpoint &Local);
  endpoint local() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// Writes lines to a file descriptor without ever waiting for its reader. A
/// reader that stops would otherwise stop the process with it; what does not
/// fit into the buffer is left out and counted.
class line_writer {
public:
  /// Some hundred lines: a reader that is late by a moment loses nothing.
  static constexpr std::size_t BufferBytes = 128 * 1024;

  line_writer(event_loop &Loop, int Descriptor);
  ~line_writer();
  line_writer(const line_writer &) = delete;
  line_writer &operator=(const line_writer &) = delete;

  /// Queues \p Line and a newline; written when the loop is idle next.
  void write(std::string_view Line);
  /// Writes what the descriptor takes now, before the process ends.
  void flush();
  std::uint64_t droppedLines() const { return DroppedLines; }

private:
  event_loop &Loop;
  int Descriptor;
  std::string Buffer;
  bool FlushScheduled = false;
  std::uint64_t DroppedLines = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// Counters, gauges and distributions of one process, written in the usual
/// text format. Distributions are Boost.Accumulators with quantiles.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// A counter that lives as long as this object. \p Labels as in
  /// `reason="truncated"`, or empty.
  std::uint64_t &counter(const std::string &Name,
                         const std::string &Labels = "");
  /// A gauge read when the page is.
  void gauge(const std::string &Name, std::function<double()> Read);
  /// A counter that someone else keeps, read when the page is.
  void counterOf(const std::string &Name, std::function<double()> Read);
  /// Adds \p Value to a distribution (count, mean, 0.5, 0.99, max).
  void observe(const std::string &Name, double Value);

  std::string page() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// What a process's loop spends its time on. While it does one of these, no
/// packet is forwarded.
enum class callback_kind {
  /// A batch of datagrams from callers; from peers and agents; from the target.
  CallerPackets,
  PeerPackets,
  TargetPackets,
  /// An answer of the store or of a peer: made into objects, and all that
  /// follows from them.
  DecodeAnswer,
  TakeAnswer,
  /// Copies of objects for a peer.
  ServeCopies,
  DecodeRoutes,
  BuildRules,
  TakeRules,
  TakeTargets,
  CompareRecord,
  AnswerSyncMessage,
};

inline constexpr name_table<callback_kind, 12> CallbackKindNames = {{
    {callback_kind::CallerPackets, "caller_packets"},
    {callback_kind::PeerPackets, "peer_packets"},
    {callback_kind::TargetPackets, "target_packets"},
    {callback_kind::DecodeAnswer, "decode_answer"},
    {callback_kind::TakeAnswer, "take_answer"},
    {callback_kind::ServeCopies, "serve_copies"},
    {callback_kind::DecodeRoutes, "decode_routes"},
    {callback_kind::BuildRules, "build_rules"},
    {callback_kind::TakeRules, "take_rules"},
    {callback_kind::TakeTargets, "take_targets"},
    {callback_kind::CompareRecord, "compare_record"},
    {callback_kind::AnswerSyncMessage, "answer_greeting"},
}};

/// A piece of work that was done in one turn of the loop.
struct callback_timing {
  callback_kind What = callback_kind::CallerPackets;
  /// How many packets, routes, targets or bytes it was about.
  std::size_t Items = 0;
  duration Took = duration::zero();
  /// The thread's processor time: much less than Took on a VM that is out of
  /// processor time, and equal to it where the work itself is long. Zero for
  /// packets.
  duration Processor = duration::zero();
};

using callback_hook = std::function<void(const callback_timing &)>;

/// Measures a piece of work from its construction to its end. Work within work
/// counts for both.
class callback_timer {
public:
  /// \p Hook may be empty; then nothing is measured.
  callback_timer(const callback_hook &Hook, callback_kind What,
                 std::size_t Items = 0);
  ~callback_timer();
  callback_timer(const callback_timer &) = delete;
  callback_timer &operator=(const callback_timer &) = delete;

  /// For a number that is known only at the end.
  void setItems(std::size_t Items) { Done.Items = Items; }

private:
  const callback_hook &Hook;
  callback_timing Done;
  duration StartedAt = duration::zero();
  duration ProcessorBefore = duration::zero();
};

/// One request that a page_call hook may serve.
struct page_request {
  bool IsPost = false;
  std::string_view Path;
  std::string_view Body;
};

struct page_answer {
  std::uint16_t Code = 200;
  /// JSON, or empty.
  std::string Body;
};

/// The HTTP page of a daemon: /metrics, /healthz and /readyz, over libevhtp.
class status_page {
public:
  struct hooks {
    std::function<bool()> Ready;
    /// Further GET pages, by path; return the body (JSON or text).
    std::map<std::string, std::function<std::string()>> Pages;
    /// Serves what else may be called here, before all pages; nothing if the
    /// request is none of its own.
    std::function<std::optional<page_answer>(const page_request &)> Serve;
  };

  status_page(event_loop &Loop, const metrics &Metrics, hooks Hooks);
  ~status_page();
  status_page(const status_page &) = delete;
  status_page &operator=(const status_page &) = delete;

  result<void> open(const endpoint &Local);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// Deeper JSON is refused: the JSON library copies and prints values by
/// recursion, and one object with a megabyte of brackets would exhaust the
/// stack of every process that reads it.
inline constexpr int MaxJsonDepth = 32;

/// Parses JSON with comments into \p Into. The failure carries \p Step, \p Peer
/// and the line of a syntax error.
result<void> parseJson(std::string_view Text, const std::string &Peer,
                       step Step, nlohmann::json &Into);

/// Reads settings, JSON with comments, and refuses what it does not know: a
/// misspelt key would otherwise leave a default in force on a VM that no one
/// logs in to. Every error names file, line, field, reason and the range
/// allowed; a field that is given twice is refused.
///
/// \code
///   result<settings_reader> Reader = settings_reader::fromFile(Path);
///   auto Grace = Reader->number("drain_seconds", 30, 1, 3600);
///   auto Listen = Reader->address("listen");
///   if (auto Failure = failureOf([&] { return Reader->finish(); })) ...
/// \endcode
class settings_reader {
public:
  static result<settings_reader> fromFile(const std::string &Path);
  /// \p Step is what the errors carry; objects of the resource API are read
  /// with step::ValidateObject.
  static result<settings_reader> fromText(std::string_view Text,
                                          std::string File,
                                          step Step = step::ParseSettings);
  settings_reader(settings_reader &&) noexcept;
  ~settings_reader();

  /// A required field has no default. A fault is kept and told by finish(); the
  /// value returned is then of no meaning.
  std::int64_t number(const std::string &Field,
                      std::optional<std::int64_t> Default, std::int64_t Low,
                      std::int64_t High);
  std::string text(const std::string &Field,
                   const std::optional<std::string> &Default = std::nullopt);
  bool flag(const std::string &Field, std::optional<bool> Default);
  endpoint address(const std::string &Field,
                   std::optional<endpoint> Default = std::nullopt);
  std::vector<endpoint> addresses(const std::string &Field, bool Required);
  std::vector<std::string> texts(const std::string &Field, bool Required);
  /// The readers of a list of objects.
  std::vector<settings_reader> objects(const std::string &Field, bool Required);

  /// Keeps a fault that only the caller can find, for finish() to tell.
  void refuse(const std::string &Field, const std::string &Reason);

  /// Fails with every fault found, unknown fields among them.
  result<void> finish();

private:
  struct impl;
  explicit settings_reader(std::unique_ptr<impl> State);
  std::unique_ptr<impl> Impl;
};

/// Starts glog for a daemon: to standard error, prefix per part by LOG_PART.
void startLogging(const char *Program);

/// Reads gflags, prints usage on a bad flag; returns the settings' path.
/// Defines --settings and --check_settings.
std::string startProgram(int &Argc, char **&Argv, const std::string &Usage);

/// True with --check_settings: check, say so and leave.
bool onlyCheckSettings();

} // namespace marjoramrail

#endif // MARJORAMRAIL_RUNTIME_H
