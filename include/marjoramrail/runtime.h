//===- runtime.h - Event loop, sockets, settings and metrics ----*- C++ -*-===//
///
/// \file
/// The event loop of a daemon with its timers, signals, UDP and TCP sockets,
/// and the status page, metrics, settings and start-up of a daemon. Each loop
/// runs on one thread; nothing here is thread-safe.
///
/// Usage:
/// \code
///   event_loop Loop;
///   udp_socket Socket(Loop,
///                     [&](std::span<const datagram> Batch) { ... });
///   BOOST_LEAF_CHECK(Socket.open(Local));
///   Loop.onTerminate([&] { Core.drain(); });
///   Loop.run();
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

/// A libevent loop with a timer_service that follows CLOCK_BOOTTIME. Unlike
/// CLOCK_MONOTONIC, this clock includes the time during which the machine is
/// suspended, so that information from before a suspension counts as old after
/// it.
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

  /// Moves the timers' clock to the current time, see timer_service::observe().
  /// Every socket event handler calls it first, since the loop may have slept.
  void updateClock();

  /// Runs \p Task after the current callback has returned. An owner uses this
  /// to destroy an object from within a hook that the object itself calls.
  void defer(std::function<void()> Task);

private:
  struct impl;
  timer_service Timers;
  std::unique_ptr<impl> Impl;
};

/// One received datagram. Bytes is valid only while the receive hook runs.
struct datagram {
  endpoint From;
  std::span<const std::uint8_t> Bytes;
};

/// A UDP socket that receives and sends in batches (recvmmsg, sendmmsg). At
/// 200,000 packets per second, one system call per packet would occupy a whole
/// processor core.
class udp_socket {
public:
  using receive_hook = std::function<void(std::span<const datagram>)>;

  /// Does not open the socket; open() does and reports errors.
  udp_socket(event_loop &Loop, receive_hook OnBatch);
  ~udp_socket();
  udp_socket(const udp_socket &) = delete;
  udp_socket &operator=(const udp_socket &) = delete;

  /// Binds to \p Local; port 0 picks one. Fails with step::OpenSocket.
  result<void> open(const endpoint &Local);
  endpoint local() const;

  /// Queues a copy of \p Bytes. The queue is sent after the receive hook, when
  /// the batch is full, or on flush().
  void send(const endpoint &To, std::span<const std::uint8_t> Bytes);
  void flush();

  /// Number of datagrams that were too large or that the kernel rejected.
  std::uint64_t dropped() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// A TCP connection of the operating system (unlike the TCP stack of the
/// agents).
class tcp_stream {
public:
  struct hooks {
    std::function<void()> OnConnected;
    std::function<void(std::string_view Bytes)> OnData;
    /// Either side closed the connection. \p Reason is empty unless it failed.
    std::function<void(std::string Reason)> OnClosed;
    /// All queued bytes have been written; for back-pressure.
    std::function<void()> OnDrained;
  };

  ~tcp_stream();
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  /// Starts to connect. A hook reports the outcome.
  static std::unique_ptr<tcp_stream> connect(event_loop &Loop,
                                             const endpoint &Peer, hooks Hooks);

  /// Connects from the address of \p Local, by which the peer identifies this
  /// process.
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
  /// Closes the connection after all queued bytes have been written.
  void closeAfterWrites();
  /// Shuts down the sending direction after all queued bytes have been written;
  /// reading continues.
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

/// Writes lines to a file descriptor without blocking. With blocking writes, a
/// reader that stops reading would stop this process. Lines that do not fit
/// into the buffer are dropped and counted. Lines of up to PIPE_BUF bytes are
/// written to a pipe as a whole, so that processes can share one.
class line_writer {
public:
  /// Holds some hundred lines, so that a brief delay of the reader drops none.
  static constexpr std::size_t BufferBytes = 128 * 1024;

  line_writer(event_loop &Loop, int Descriptor);
  ~line_writer();
  line_writer(const line_writer &) = delete;
  line_writer &operator=(const line_writer &) = delete;

  /// Queues \p Line and a newline; they are written by a timer shortly after.
  void write(std::string_view Line);
  /// Writes as much as the descriptor accepts now; for the end of the process.
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

/// Counters, gauges and distributions of one process, written in the Prometheus
/// text format. Distributions use Boost.Accumulators for their quantiles.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Returns a counter that lives as long as this object. \p Labels has the
  /// form `reason="truncated"`, or is empty.
  std::uint64_t &counter(const std::string &Name,
                         const std::string &Labels = "");
  /// Adds a gauge whose value is read for each page().
  void gauge(const std::string &Name, std::function<double()> Read);
  /// Adds a counter that is kept elsewhere and read for each page().
  void counterOf(const std::string &Name, std::function<double()> Read);
  /// Adds \p Value to a distribution (count, mean, 0.5, 0.99, max).
  void observe(const std::string &Name, double Value);

  std::string page() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// The kinds of event-loop callbacks whose duration is measured. While one of
/// them runs, no packet is forwarded.
enum class callback_kind {
  /// A batch of datagrams from callers, from peers and agents, or from the
  /// target.
  CallerPackets,
  PeerPackets,
  TargetPackets,
  /// Decoding an answer of the store or of a peer into objects, and applying
  /// them.
  DecodeAnswer,
  TakeAnswer,
  /// Sending copies of objects to a peer.
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

/// The measured duration of one event-loop callback or of a part of it.
struct callback_timing {
  callback_kind What = callback_kind::CallerPackets;
  /// Number of packets, routes, targets or bytes that were processed.
  std::size_t Items = 0;
  duration Took = duration::zero();
  /// The thread's processor time. It is much less than Took on a VM that gets
  /// too little processor time, and equal to Took if the work itself is long.
  /// Not measured (zero) for packets.
  duration Processor = duration::zero();
};

using callback_hook = std::function<void(const callback_timing &)>;

/// Measures the time from its construction to its destruction and passes it to
/// a hook. The time of a nested timer counts for the outer one as well.
class callback_timer {
public:
  /// If \p Hook is empty, nothing is measured.
  callback_timer(const callback_hook &Hook, callback_kind What,
                 std::size_t Items = 0);
  ~callback_timer();
  callback_timer(const callback_timer &) = delete;
  callback_timer &operator=(const callback_timer &) = delete;

  /// Sets the number of items if it is known only after the work.
  void setItems(std::size_t Items) { Done.Items = Items; }

private:
  const callback_hook &Hook;
  callback_timing Done;
  duration StartedAt = duration::zero();
  duration ProcessorBefore = duration::zero();
};

/// One HTTP request for the hook status_page::hooks::Serve.
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

/// The HTTP server of a daemon for /metrics, /healthz, /readyz and further
/// pages, built on the HTTP server of libevent.
class status_page {
public:
  struct hooks {
    std::function<bool()> Ready;
    /// Further pages, by path; the functions return the body (JSON or text).
    std::map<std::string, std::function<std::string()>> Pages;
    /// Called for each request before any page. Returns nothing if it does not
    /// handle the request.
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

/// JSON that is nested deeper is rejected. The JSON library copies and prints
/// values recursively, so one object with a megabyte of brackets would exhaust
/// the stack of every process that reads it.
inline constexpr int MaxJsonDepth = 32;

/// Parses JSON with comments into \p Into. The failure carries \p Step, \p Peer
/// and the line of a syntax error.
result<void> parseJson(std::string_view Text, const std::string &Peer,
                       step Step, nlohmann::json &Into);

/// Reads settings (JSON with comments) and rejects unknown fields: a misspelt
/// key would otherwise leave a default in effect on a VM that no one logs in
/// to. Every error names the file, line, field, reason and allowed range. A
/// field that is given twice in a settings file is rejected.
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
  /// \p Step is the step that errors carry. Objects of the resource API are
  /// read with step::ValidateObject.
  static result<settings_reader> fromText(std::string_view Text,
                                          std::string File,
                                          step Step = step::ParseSettings);
  settings_reader(settings_reader &&) noexcept;
  ~settings_reader();

  /// A field without a default is required. Errors are collected and reported
  /// by finish(); the value returned for a faulty field is meaningless.
  std::int64_t number(const std::string &Field,
                      std::optional<std::int64_t> Default, std::int64_t Low,
                      std::int64_t High);
  /// Like number(), for a value that may have a fraction.
  double decimal(const std::string &Field, std::optional<double> Default,
                 double Low, double High);
  /// Whether the object has \p Field; does not count as reading it.
  bool has(const std::string &Field) const;
  std::string text(const std::string &Field,
                   const std::optional<std::string> &Default = std::nullopt);
  bool flag(const std::string &Field, std::optional<bool> Default);
  endpoint address(const std::string &Field,
                   std::optional<endpoint> Default = std::nullopt);
  std::vector<endpoint> addresses(const std::string &Field, bool Required);
  std::vector<std::string> texts(const std::string &Field, bool Required);
  /// Returns a reader for each object of a list.
  std::vector<settings_reader> objects(const std::string &Field, bool Required);

  /// Adds an error that the caller has found, to be reported by finish().
  void refuse(const std::string &Field, const std::string &Reason);

  /// Fails with all errors found, including unknown fields.
  result<void> finish();

private:
  struct impl;
  explicit settings_reader(std::unique_ptr<impl> State);
  std::unique_ptr<impl> Impl;
};

/// Parses the command line with gflags and returns the path of the settings
/// file. Exits if --settings is missing. Handles the flags
/// --settings and --check_settings.
std::string startProgram(int &Argc, char **&Argv, const std::string &Usage);

/// True with --check_settings: the program only checks its settings and exits.
bool onlyCheckSettings();

} // namespace marjoramrail

#endif // MARJORAMRAIL_RUNTIME_H
