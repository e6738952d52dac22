#include "marjoramrail/runtime.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace marjoramrail {

struct status_page::impl {
  event_loop &Loop;
  const metrics &Metrics;
  hooks Hooks;
  evhttp *Http = nullptr;

  impl(event_loop &Loop, const metrics &Metrics, hooks Hooks)
      : Loop(Loop), Metrics(Metrics), Hooks(std::move(Hooks)) {}

  void answer(evhttp_request *Request) const;
  bool serve(evhttp_request *Request, const std::string &Path) const;
};

static void reply(evhttp_request *Request, int Code, const std::string &Body) {
  evbuffer *Buffer = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Buffer, Body.data(), Body.size());
  evhttp_send_reply(Request, Code, "", nullptr);
}

/// Larger requests are refused; no valid one is that large.
static constexpr ev_ssize_t MaxRequestBytes = 1024 * 1024;

static std::string bodyOf(evhttp_request *Request) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Buffer), '\0');
  evbuffer_copyout(Buffer, Body.data(), Body.size());
  return Body;
}

bool status_page::impl::serve(evhttp_request *Request,
                              const std::string &Path) const {
  if (!Hooks.Serve)
    return false;
  const std::string Body = bodyOf(Request);
  const bool IsPost = evhttp_request_get_command(Request) == EVHTTP_REQ_POST;
  const auto Answer = Hooks.Serve({IsPost, Path, Body});
  if (!Answer)
    return false;
  if (!Answer->Body.empty())
    evhttp_add_header(evhttp_request_get_output_headers(Request),
                      "Content-Type", "application/json");
  reply(Request, Answer->Code, Answer->Body);
  return true;
}

void status_page::impl::answer(evhttp_request *Request) const {
  Loop.updateClock();
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *PathText = Uri ? evhttp_uri_get_path(Uri) : nullptr;
  const std::string Path = PathText ? PathText : "/";
  if (serve(Request, Path))
    return;
  if (Path == "/metrics")
    return reply(Request, 200, Metrics.page());
  if (Path == "/healthz")
    return reply(Request, 200, "ok\n");
  if (Path == "/readyz") {
    const bool Ready = !Hooks.Ready || Hooks.Ready();
    return reply(Request, Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n");
  }
  const auto Page = Hooks.Pages.find(Path);
  if (Page == Hooks.Pages.end())
    return reply(Request, 404, "no such page\n");
  reply(Request, 200, Page->second());
}

status_page::status_page(event_loop &Loop, const metrics &Metrics, hooks Hooks)
    : Impl(std::make_unique<impl>(Loop, Metrics, std::move(Hooks))) {}

status_page::~status_page() {
  if (Impl->Http)
    evhttp_free(Impl->Http);
}

result<void> status_page::open(const endpoint &Local) {
  Impl->Http = evhttp_new(Impl->Loop.base());
  evhttp_set_max_body_size(Impl->Http, MaxRequestBytes);
  evhttp_set_max_headers_size(Impl->Http, MaxRequestBytes);
  evhttp_set_gencb(
      Impl->Http,
      [](evhttp_request *Request, void *User) {
        static_cast<const impl *>(User)->answer(Request);
      },
      Impl.get());
  const std::string Text = toText(Local);
  const std::string Host = Text.substr(0, Text.rfind(':'));
  if (evhttp_bind_socket(Impl->Http, Host.c_str(), Local.Port) != 0)
    return fail(step::OpenSocket, Text,
                "cannot bind the status page to this address");
  return {};
}

} // namespace marjoramrail
