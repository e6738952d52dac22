//===- platform.h - Client of the platform's object API ---------*- C++ -*-===//
///
/// \file
/// The client of the platform's object store: versioned objects with
/// conditional updates and watches. It is the only durable storage that
/// marjoramrail uses. Other modules take a platform_api, a set of functions
/// that tests replace by a fake; platform_client implements it over HTTP.
///
/// Usage:
/// \code
///   platform_client Client(Loop,
///                          {.Servers = {Address}, .Writer = "balancer-1"});
///   platform_api Api = Client.api();
///   Api.Read({"service", "ledger"}, [&](const platform_reply &Reply) {
///     platform_object Next = Reply.Object;
///     Next.Body = ...;
///     Api.Write({Next, Reply.Object.Version}, [&](const platform_reply &) {});
///   });
/// \endcode
///
/// The HTTP interface, with JSON bodies:
///   GET    /v1/objects/KIND/NAME               one object
///   GET    /v1/objects/KIND                    all of a kind
///   PUT    /v1/objects/KIND/NAME  If-Match: V  write if the version is V;
///                                              If-Match: 0 creates
///   DELETE /v1/objects/KIND/NAME  If-Match: V
///   GET    /v1/watch?since=V&wait_ms=N         changes after store version V
/// Responses: 200; 404; 409 with the current object; 400 with a reason; 429 and
/// 503 with retry-after, in which case nothing was changed.
///
/// The body of a PUT is the object's own JSON text. Its header fields Writer
/// and Writer-Sequence are stored with the object; those of a DELETE are stored
/// with the deletion that watches return. An object is returned as
///   {"kind", "name", "version", "writer", "sequence", "deleted", "body": TEXT}
/// and a list or a watch as {"version": STORE_VERSION, "objects": [...]}. Kinds
/// and names are 1 to 128 of A-Z, a-z, 0-9, ".", "_", ":" and "-"; a writer is
/// 1 to 128 printable characters without spaces.
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

/// One object of the store. Versions come from a single counter of the store,
/// so that they also order changes of different objects.
struct platform_object {
  object_key Key;
  /// The store version of the last write; 0 if the object does not exist.
  std::uint64_t Version = 0;
  /// JSON text of at most 1 MB.
  std::string Body;
  /// The writer's name and its own sequence number. After a lost answer the
  /// writer reads the object back and compares them to find out whether its
  /// write took effect. Kind, name and writer: 1 to 128 letters, digits, ".",
  /// "_", ":" and "-".
  std::string Writer;
  std::uint64_t WriterSequence = 0;
  /// In the result of a watch: the object was deleted.
  bool Deleted = false;

  bool operator==(const platform_object &) const = default;
};

enum class platform_outcome {
  Ok,
  NotFound,
  /// The current version differs from the expected one; the reply holds the
  /// current object. Nothing was written.
  Conflict,
  /// The platform rejected the object as invalid; Reason says why.
  Invalid,
  /// Nothing was done; retry after RetryAfter.
  Unavailable,
  /// A write may or may not have taken effect: read the object back.
  Unknown,
  /// A watch requested changes that the platform no longer holds: list the
  /// objects again.
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
  /// The object after the call (Ok), or the current object that caused a
  /// Conflict.
  platform_object Object;
  /// For lists and watches, ordered by version.
  std::vector<platform_object> Objects;
  /// The store version that a list or watch reflects.
  std::uint64_t StoreVersion = 0;
  /// A list that may be of any earlier time: its objects are complete up to
  /// StoreVersion, but it does not tell what has changed since.
  bool IsUndated = false;
  /// The connection was closed before the response was complete. The platform
  /// may do this to a watch that waits at any time, so that it says nothing
  /// about other calls.
  bool IsConnectionClosed = false;
  std::string Reason;
  duration RetryAfter = duration::zero();
  /// For a list that is returned in several parts: the name after which the
  /// next part begins, or "". The client requests it automatically.
  std::string ContinueAfter;
};

using platform_callback = std::function<void(const platform_reply &)>;

struct platform_write {
  platform_object Object;
  /// The write only happens if this is the current version; 0 creates an
  /// object.
  std::uint64_t Expected = 0;
};

/// The calls to the store. Each callback runs exactly once, and never from
/// within the call itself.
struct platform_api {
  std::function<void(const object_key &, platform_callback)> Read;
  /// Like Read, but the reply may be seconds old, and the call costs less where
  /// the platform offers that. For callers that find out if it was.
  std::function<void(const object_key &, platform_callback)> ReadStale;
  std::function<void(const std::string &Kind, platform_callback)> List;
  std::function<void(const platform_write &, platform_callback)> Write;
  std::function<void(const object_key &, std::uint64_t Expected,
                     platform_callback)>
      Remove;
  /// Returns changes after \p Since, waiting up to \p Wait for the first one.
  std::function<void(std::uint64_t Since, duration Wait, platform_callback)>
      Watch;
};

enum class platform_verb { Read, List, Write, Remove, Watch };

/// The parameters of one call, independent of its transport.
struct platform_call {
  platform_verb Verb = platform_verb::Read;
  /// Lists and watches only have a kind; a watch may have none.
  object_key Key;
  std::string Body;
  std::string Writer;
  std::uint64_t WriterSequence = 0;
  std::uint64_t Expected = 0;
  /// For a watch: the version after which changes are requested, and how long
  /// the server may wait.
  std::uint64_t Since = 0;
  duration Wait = duration::zero();
  /// For a list: the name to continue after, or "".
  std::string After;
  /// For a read: the reply may be seconds old.
  bool AllowStale = false;

  bool changes() const {
    return Verb == platform_verb::Write || Verb == platform_verb::Remove;
  }
};

enum class http_method { Get, Post, Put, Delete };

/// One HTTP request of the client, which adds the Host field.
struct dialect_request {
  http_method Method = http_method::Get;
  /// The path including the query.
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
};

/// One HTTP response.
struct http_answer {
  int Code = 0;
  std::string Body;
  /// The value of the field retry-after, or "".
  std::string RetryAfter;
};

/// Translates calls to HTTP requests and responses to replies, for platforms
/// with a different HTTP interface. Connections, time-outs and retry times
/// remain with the client.
struct platform_dialect {
  std::function<dialect_request(const platform_call &)> Request;
  std::function<platform_reply(const platform_call &, const http_answer &)>
      Reply;
};

/// The HTTP interface described at the top of this file.
platform_dialect objectDialect();

/// Encodes objects as a list in that interface's format, for a process that
/// serves copies of the platform's objects to its peers.
std::string encodeObjectList(const platform_reply &Reply);
/// Fills in Objects and StoreVersion; false if \p Text is not a list of that
/// format.
bool decodeObjectList(std::string_view Text, platform_reply &Reply);

/// The outcome of one call, for logs.
struct platform_call_end {
  platform_verb Verb = platform_verb::Read;
  object_key Key;
  /// The server that the call was last sent to.
  endpoint Server;
  platform_outcome Outcome = platform_outcome::Unavailable;
  std::string Reason;
  /// Bytes of the response body that were received, also of one that was
  /// aborted.
  std::size_t Bytes = 0;
  /// The duration of the call, and how long the server was asked to wait.
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
  /// The writer's name of this process.
  std::string Writer;
  /// The maximum time between two parts of a response; for a watch, its own
  /// wait is added.
  duration Timeout = std::chrono::seconds(2);
  /// The time-out of reads and lists until the first response of any kind has
  /// arrived. A process that starts while the platform is not responding cannot
  /// serve anyone before it has read its data, and a call sent at that time is
  /// lost. With a short time-out the process retries soon after the platform
  /// has recovered. Every fourth such call gets the full Timeout, for a
  /// platform that is merely slow. Zero: Timeout applies to all calls.
  duration FirstTimeout = duration::zero();
  /// The maximum number of connections in use, besides one for each waiting
  /// watch.
  std::size_t MaxConnections = 8;
  /// The maximum number of calls that wait for a connection. Further calls are
  /// answered with Unavailable; otherwise they would accumulate without bound
  /// while the platform is hanging.
  std::size_t MaxWaiting = 1024;
  platform_dialect Dialect = objectDialect();
  /// Called at the end of each call, before its callback; may be empty.
  std::function<void(const platform_call_end &)> OnCallEnd = {};
  /// Reports the duration of decoding responses and of the callbacks; may be
  /// empty.
  callback_hook OnCallback = {};
};

/// Implements platform_api over HTTP/1.1 (libevent).
///
/// A read that fails to connect is retried at the next address. A write is
/// attempted only once, since only its caller can decide whether a second
/// attempt is correct. A write without a writer gets the one of the settings,
/// and one without a sequence number the client's own count. Calls that are
/// pending when the client is destroyed are answered at that time.
class platform_client {
public:
  platform_client(event_loop &Loop, platform_client_settings Settings);
  ~platform_client();
  platform_client(const platform_client &) = delete;
  platform_client &operator=(const platform_client &) = delete;

  platform_api api();
  /// Like api(), with watches limited to changes of \p Kind.
  platform_api apiFor(const std::string &Kind);

  /// The number of calls since the start; a waiting watch counts as one.
  std::uint64_t calls() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_PLATFORM_H
