#include "http_server.h"
#include "platform/object_codec.h"
#include "runtime/socket_error.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <set>
#include <sys/socket.h>

namespace marjoramrail::standins {

/// Identifies an open request. Pointers cannot, because libevhtp can reuse the
/// address of a request for a later one.
using request_id = std::uint64_t;

struct http_server::impl {
  impl(event_loop &Loop, platform_core &Core) : Loop(Loop), Core(Core) {}

  void onRequest(evhtp_request_t *Request);
  void process(request_id Id, const http_request &Read);
  void send(request_id Id, const http_reply &Reply);
  void closeConnection(request_id Id);
  void applyDecision(request_id Id, const request_decision &Decision);
  void pollWatches();
  void expireWatch(request_id Id);

  struct waiting_watch {
    std::uint64_t Since;
    timer_id Timer;
  };

  event_loop &Loop;
  platform_core &Core;
  evhtp_t *Http = nullptr;
  std::map<request_id, evhtp_request_t *> Open;
  std::map<evhtp_request_t *, request_id> Ids;
  std::map<request_id, waiting_watch> Watches;
  std::set<evhtp_connection_t *> Connections;
  request_id LastId = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  void removeRequest(evhtp_request_t *Request);
};

/// Casts a hook to the one type that libevhtp takes for hooks of every kind.
template <typename Hook> static evhtp_hook asHook(Hook Function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(Function));
}

static std::string fieldOf(evhtp_request_t *Request, const char *Name) {
  const char *Value = evhtp_header_find(Request->headers_in, Name);
  return Value ? Value : "";
}

static std::string methodOf(evhtp_request_t *Request) {
  switch (evhtp_request_get_method(Request)) {
  case htp_method_GET:
    return "GET";
  case htp_method_PUT:
    return "PUT";
  case htp_method_DELETE:
    return "DELETE";
  default:
    return "other";
  }
}

static int addQueryParameter(evhtp_kv_t *Pair, void *User) {
  auto &Query = *static_cast<std::map<std::string, std::string> *>(User);
  if (Pair->key && Pair->val)
    Query[std::string(Pair->key, Pair->klen)] =
        std::string(Pair->val, Pair->vlen);
  return 0;
}

static http_request readRequest(evhtp_request_t *Request) {
  http_request Read;
  Read.Method = methodOf(Request);
  Read.Path = Request->uri->path->full;
  if (Request->uri->query)
    evhtp_kvs_for_each(Request->uri->query, addQueryParameter, &Read.Query);
  Read.IfMatch = fieldOf(Request, "If-Match");
  Read.Writer = fieldOf(Request, "Writer");
  Read.WriterSequence = fieldOf(Request, "Writer-Sequence");
  Read.Body.resize(evbuffer_get_length(Request->buffer_in));
  evbuffer_remove(Request->buffer_in, Read.Body.data(), Read.Body.size());
  return Read;
}

void http_server::impl::removeRequest(evhtp_request_t *Request) {
  const auto Found = Ids.find(Request);
  if (Found == Ids.end())
    return;
  const request_id Id = Found->second;
  Ids.erase(Found);
  Open.erase(Id);
  if (const auto Watch = Watches.find(Id); Watch != Watches.end()) {
    Loop.timers().cancel(Watch->second.Timer);
    Watches.erase(Watch);
  }
}

void http_server::impl::onRequest(evhtp_request_t *Request) {
  const request_id Id = ++LastId;
  Open[Id] = Request;
  Ids[Request] = Id;
  evhtp_hook_request_fini_cb OnFinished = [](evhtp_request_t *Closed,
                                             void *User) {
    static_cast<impl *>(User)->removeRequest(Closed);
    return static_cast<evhtp_res>(EVHTP_RES_OK);
  };
  evhtp_request_set_hook(Request, evhtp_hook_on_request_fini,
                         asHook(OnFinished), this);
  http_request Read = readRequest(Request);
  const auto Delay = std::chrono::milliseconds(Core.faults().DelayMs);
  if (isControlPage(Read.Path) || Delay.count() == 0)
    return process(Id, Read);
  // A delayed change takes effect even if its sender has timed out.
  Loop.timers().after(Delay, [this, Id, Read = std::move(Read),
                              Alive = std::weak_ptr<bool>(Alive)] {
    if (!Alive.expired())
      process(Id, Read);
  });
}

void http_server::impl::process(request_id Id, const http_request &Read) {
  const std::uint64_t Before = Core.store().version();
  const request_decision Decision = Core.handle(Read, Loop.timers().now());
  applyDecision(Id, Decision);
  if (Core.store().version() != Before || Read.Path == "/v1/faults")
    pollWatches();
}

void http_server::impl::applyDecision(request_id Id,
                                      const request_decision &Decision) {
  if (Open.count(Id) == 0)
    return;
  if (Decision.Action == request_decision::action::Answer)
    return send(Id, Decision.Reply);
  if (Decision.Action == request_decision::action::CloseWithoutAnswer)
    return closeConnection(Id);
  const timer_id Timer =
      Loop.timers().after(Decision.Wait, [this, Id] { expireWatch(Id); });
  Watches[Id] = {Decision.Since, Timer};
}

void http_server::impl::expireWatch(request_id Id) {
  const std::uint64_t Since = Watches.at(Id).Since;
  Watches.erase(Id);
  send(Id, Core.watchReply(Since));
}

void http_server::impl::pollWatches() {
  const auto Waiting = Watches;
  for (const auto &[Id, Watch] : Waiting) {
    const auto Decision = Core.pollWatch(Watch.Since);
    if (!Decision)
      continue;
    Loop.timers().cancel(Watch.Timer);
    Watches.erase(Id);
    applyDecision(Id, *Decision);
  }
}

void http_server::impl::send(request_id Id, const http_reply &Reply) {
  evhtp_request_t *Request = Open.at(Id);
  evhtp_headers_add_header(
      Request->headers_out,
      evhtp_header_new("Content-Type", "application/json", 0, 0));
  if (Reply.RetryAfter > 0)
    evhtp_headers_add_header(
        Request->headers_out,
        evhtp_header_new("Retry-After",
                         std::to_string(Reply.RetryAfter).c_str(), 0, 1));
  evbuffer_add(Request->buffer_out, Reply.Body.data(), Reply.Body.size());
  evhtp_send_reply(Request, static_cast<evhtp_res>(Reply.Code));
}

/// Shuts the socket down. libevhtp then sees the end of the connection and
/// frees it when that is safe.
void http_server::impl::closeConnection(request_id Id) {
  bufferevent *Stream = evhtp_request_get_bev(Open.at(Id));
  shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
}

http_server::http_server(event_loop &Loop, platform_core &Core)
    : Impl(std::make_unique<impl>(Loop, Core)) {}

http_server::~http_server() {
  close();
  for (evhtp_connection_t *Connection : std::exchange(Impl->Connections, {}))
    evhtp_connection_free(Connection);
  if (Impl->Http)
    evhtp_free(Impl->Http);
}

void http_server::close() {
  if (!Impl->Http || !Impl->Http->server)
    return;
  const auto Waiting = Impl->Watches;
  for (const auto &[Id, Watch] : Waiting) {
    Impl->Loop.timers().cancel(Watch.Timer);
    Impl->expireWatch(Id);
  }
  evhtp_unbind_socket(Impl->Http);
}

/// Records the open connections in \p Connections, because libevhtp does not
/// close them when its server is freed.
static void trackConnections(evhtp_t *Http,
                             std::set<evhtp_connection_t *> &Connections) {
  evhtp_set_post_accept_cb(
      Http,
      [](evhtp_connection_t *Connection, void *User) {
        auto *Tracked = static_cast<std::set<evhtp_connection_t *> *>(User);
        Tracked->insert(Connection);
        evhtp_hook_connection_fini_cb OnFinished =
            [](evhtp_connection_t *Closed, void *Set) {
              static_cast<std::set<evhtp_connection_t *> *>(Set)->erase(Closed);
              return static_cast<evhtp_res>(EVHTP_RES_OK);
            };
        evhtp_connection_set_hook(Connection, evhtp_hook_on_connection_fini,
                                  asHook(OnFinished), User);
        return static_cast<evhtp_res>(EVHTP_RES_OK);
      },
      &Connections);
}

result<void> http_server::open(const endpoint &Local) {
  Impl->Http = evhtp_new(Impl->Loop.base(), nullptr);
  evhtp_set_max_body_size(Impl->Http, 2 * internal::MaxObjectBytes);
  trackConnections(Impl->Http, Impl->Connections);
  evhtp_set_gencb(
      Impl->Http,
      [](evhtp_request_t *Request, void *User) {
        static_cast<impl *>(User)->onRequest(Request);
      },
      Impl.get());
  const std::string Text = toText(Local);
  const std::string Host = Text.substr(0, Text.rfind(':'));
  constexpr int Backlog = 1024;
  if (evhtp_bind_socket(Impl->Http, Host.c_str(), Local.Port, Backlog) != 0)
    return fail(step::OpenSocket, Text,
                "the platform cannot listen on this address");
  return {};
}

endpoint http_server::local() const {
  return internal::localOf(evconnlistener_get_fd(Impl->Http->server));
}

} // namespace marjoramrail::standins
