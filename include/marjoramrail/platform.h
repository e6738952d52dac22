//===- platform.h - Client of the platform's object API ---------*- C++ -*-===//
///
/// \file
/// The only place where anything lasts: the users' object API with versions,
/// conditional updates and watches. Cores take a platform_api, a set of hooks,
/// so that a test puts a fake in its place; platform_client fills it over HTTP.
///
/// Usage:
/// \code
///   platform_client Client(Loop, {.Servers = {Address}, .Writer =
///   "balancer-1"}); platform_api Api = Client.api(); Api.Read({"service",
///   "ledger"}, [&](const platform_reply &Reply) {
///     platform_object Next = Reply.Object;
///     Next.Body = ...;
///     Api.Write({Next, Reply.Object.Version}, [&](const platform_reply &) {});
///   });
/// \endcode
///
/// The HTTP form, bodies in JSON:
///   GET    /v1/objects/KIND/NAME               one object
///   GET    /v1/objects/KIND                    all of a kind
///   PUT    /v1/objects/KIND/NAME  If-Match: V  write if the version is V;
///                                              If-Match: 0 creates
///   DELETE /v1/objects/KIND/NAME  If-Match: V
///   GET    /v1/watch?since=V&wait_ms=N         changes after store version V
/// Answers: 200; 404; 409 with the object that stands; 400 with a reason;
/// 429 and 503 with retry-after, where nothing was done.
///
/// A PUT's body is the object's own JSON text; its header fields Writer and
/// Writer-Sequence go into the object, as do those of a DELETE into the
/// deletion that watches see. An object is answered as
///   {"kind", "name", "version", "writer", "sequence", "deleted", "body": TEXT}
/// and a list or a watch as {"version": STORE_VERSION, "objects": [...]}.
/// Kinds and names are 1 to 128 of A-Z, a-z, 0-9, ".", "_", ":" and "-"; a
/// writer is 1 to 128 printable characters without spaces.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLATFORM_H
#define MARJORAMRAIL_PLATFORM_H

#include "marjoramrail/runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace marjoramrail {

struct object_key {
  std::string Kind;
  std::string Name;

  bool operator==(const object_key &) const = default;
  bool operator<(const object_key &Other) const {
    return std::tie(Kind, Name) < std::tie(Other.Kind, Other.Name);
  }
};

/// One object of the platform. Versions come from one counter of the store, so
/// they also order changes of different objects.
struct platform_object {
  object_key Key;
  /// The store version at which it was last written; 0 = not there.
  std::uint64_t Version = 0;
  /// JSON text of at most 1 MB.
  std::string Body;
  /// Who wrote it, and the writer's own count: after a lost answer the writer
  /// reads the object back and finds out whether its write took effect. Kind,
  /// name and writer: 1 to 128 letters, digits, ".", "_", ":" and "-".
  std::string Writer;
  std::uint64_t WriterSequence = 0;
  /// In a watch: the object is gone.
  bool Deleted = false;

  bool operator==(const platform_object &) const = default;
};

enum class platform_outcome {
  Ok,
  NotFound,
  /// Another version stands; the reply holds it. Nothing was written.
  Conflict,
  /// The platform refused the object; Reason says why.
  Invalid,
  /// Nothing was done; ask again after RetryAfter.
  Unavailable,
  /// A write may or may not have taken effect: read back.
  Unknown,
  /// A watch asked for changes that the platform no longer holds: list again.
  HistoryGone,
};

inline constexpr name_table<platform_outcome, 7> PlatformOutcomeNames = {{
    {platform_outcome::Ok, "ok"},
    {platform_outcome::NotFound, "not found"},
    {platform_outcome::Conflict, "conflict"},
    {platform_outcome::Invalid, "invalid"},
    {platform_outcome::Unavailable, "unavailable"},
    {platform_outcome::Unknown, "unknown"},
    {platform_outcome::HistoryGone, "history gone"},
}};

struct platform_reply {
  platform_outcome Outcome = platform_outcome::Unavailable;
  /// What stands after the call (Ok) or instead (Conflict).
  platform_object Object;
  /// For lists and watches, in order of version.
  std::vector<platform_object> Objects;
  /// The store version that a list or watch reflects.
  std::uint64_t StoreVersion = 0;
  std::string Reason;
  duration RetryAfter = duration::zero();
  /// Of a list that comes in parts: the name after which the next part begins,
  /// or "". The client asks for it by itself.
  std::string ContinueAfter;
};

using platform_callback = std::function<void(const platform_reply &)>;

struct platform_write {
  platform_object Object;
  /// The version that must stand for the write to happen; 0 creates.
  std::uint64_t Expected = 0;
};

/// The calls that cores make. Each callback runs exactly once, later.
struct platform_api {
  std::function<void(const object_key &, platform_callback)> Read;
  std::function<void(const std::string &Kind, platform_callback)> List;
  std::function<void(const platform_write &, platform_callback)> Write;
  std::function<void(const object_key &, std::uint64_t Expected,
                     platform_callback)>
      Remove;
  /// Waits up to \p Wait for changes after \p Since.
  std::function<void(std::uint64_t Since, duration Wait, platform_callback)>
      Watch;
};

enum class platform_verb { Read, List, Write, Remove, Watch };

/// What one call asks for, without its way over the network.
struct platform_call {
  platform_verb Verb = platform_verb::Read;
  /// Lists and watches have a kind alone; a watch may have none.
  object_key Key;
  std::string Body;
  std::string Writer;
  std::uint64_t WriterSequence = 0;
  std::uint64_t Expected = 0;
  /// Of a watch: from which version, and how long the server may wait.
  std::uint64_t Since = 0;
  duration Wait = duration::zero();
  /// Of a list: the name to continue after, or "".
  std::string After;

  bool changes() const {
    return Verb == platform_verb::Write || Verb == platform_verb::Remove;
  }
};

enum class http_method { Get, Post, Put, Delete };

/// One HTTP request of the client; Host is added by it.
struct dialect_request {
  http_method Method = http_method::Get;
  /// With the query.
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
};

/// One HTTP answer.
struct http_answer {
  int Code = 0;
  std::string Body;
  /// The field retry-after, or "".
  std::string RetryAfter;
};

/// The HTTP form of calls, for platforms that spell them in another way.
/// Connections, time-outs and back-off stay the client's.
struct platform_dialect {
  std::function<dialect_request(const platform_call &)> Request;
  std::function<platform_reply(const platform_call &, const http_answer &)>
      Reply;
};

/// The form at the top of this page.
platform_dialect objectDialect();

/// Writes objects as a list of that form, for a process that serves copies of
/// the platform's objects to its peers.
std::string encodeObjectList(const platform_reply &Reply);
/// Fills in Objects and StoreVersion; false if \p Text is no such list.
bool decodeObjectList(std::string_view Text, platform_reply &Reply);

/// How one call ended, for logs.
struct platform_call_end {
  platform_verb Verb = platform_verb::Read;
  object_key Key;
  /// The server that had the call last.
  endpoint Server;
  platform_outcome Outcome = platform_outcome::Unavailable;
  std::string Reason;
  /// Bytes of the answer's body that came, also of one that was given up.
  std::size_t Bytes = 0;
  /// From the call to its end, and how much of it the server was asked to wait.
  duration Took = duration::zero();
  duration Wait = duration::zero();
};

inline constexpr name_table<platform_verb, 5> PlatformVerbNames = {{
    {platform_verb::Read, "read"},
    {platform_verb::List, "list"},
    {platform_verb::Write, "write"},
    {platform_verb::Remove, "remove"},
    {platform_verb::Watch, "watch"},
}};

struct platform_client_settings {
  std::vector<endpoint> Servers;
  /// The name under which this process writes.
  std::string Writer;
  /// How long a call may go without a byte of its answer; a watch may take its
  /// own wait on top.
  duration Timeout = std::chrono::seconds(2);
  /// For reads and lists until the first answer of any kind has come. A process
  /// that starts while the platform is silent can serve nobody before it has
  /// read, and a call that was sent into the silence is lost: with a short
  /// time-out it asks again soon after the platform is back. Every fourth such
  /// call gets the whole Timeout, for a platform that is merely slow. Zero: the
  /// same Timeout for all.
  duration FirstTimeout = duration::zero();
  /// Connections in use at once, besides one for each waiting watch.
  std::size_t MaxConnections = 8;
  /// Calls that wait for a connection; more are answered Unavailable, or a
  /// platform that hangs would let them pile up without bound.
  std::size_t MaxWaiting = 1024;
  platform_dialect Dialect = objectDialect();
  /// Each call's end, before its callback; may be empty.
  std::function<void(const platform_call_end &)> OnCallEnd = {};
  /// What decoding answers and taking them took; may be empty.
  turn_hook OnTurn = {};
};

/// platform_api over HTTP/1.1 (libevent).
///
/// A read that a server refuses to be connected for goes to the next address;
/// a write never does more than one attempt, since its sender alone can tell
/// whether a second one would be right. A write without a writer gets the one
/// of the settings, and one without a sequence the client's own count. Calls
/// that have not been answered when the client goes are answered then.
class platform_client {
public:
  platform_client(event_loop &Loop, platform_client_settings Settings);
  ~platform_client();
  platform_client(const platform_client &) = delete;
  platform_client &operator=(const platform_client &) = delete;

  platform_api api();
  /// The same, with watches for changes of \p Kind alone.
  platform_api apiFor(const std::string &Kind);

  /// Calls made since the start, a waiting watch as one.
  std::uint64_t calls() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_PLATFORM_H
