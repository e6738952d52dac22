#include "marjoramrail/runtime.h"

#include <algorithm>
#include <event2/buffer.h>
#include <evhtp/evhtp.h>

namespace marjoramrail {

struct status_page::impl {
  event_loop &Loop;
  const metrics &Metrics;
  hooks Hooks;
  evhtp_t *Http = nullptr;

  impl(event_loop &Loop, const metrics &Metrics, hooks Hooks)
      : Loop(Loop), Metrics(Metrics), Hooks(std::move(Hooks)) {}

  void answer(evhtp_request_t *Request) const;
  bool serve(evhtp_request_t *Request, const std::string &Path) const;
};

static void reply(evhtp_request_t *Request, evhtp_res Code,
                  const std::string &Body) {
  evbuffer_add(Request->buffer_out, Body.data(), Body.size());
  evhtp_send_reply(Request, Code);
}

/// Longer request bodies are truncated. No valid request is that large.
static constexpr std::size_t MaxRequestBytes = 1024 * 1024;

static std::string bodyOf(evhtp_request_t *Request) {
  std::string Body(
      std::min(evbuffer_get_length(Request->buffer_in), MaxRequestBytes), '\0');
  evbuffer_copyout(Request->buffer_in, Body.data(), Body.size());
  return Body;
}

bool status_page::impl::serve(evhtp_request_t *Request,
                              const std::string &Path) const {
  if (!Hooks.Serve)
    return false;
  const std::string Body = bodyOf(Request);
  const bool IsPost = evhtp_request_get_method(Request) == htp_method_POST;
  const auto Answer = Hooks.Serve({IsPost, Path, Body});
  if (!Answer)
    return false;
  if (!Answer->Body.empty())
    evhtp_headers_add_header(
        Request->headers_out,
        evhtp_header_new("Content-Type", "application/json", 0, 0));
  reply(Request, Answer->Code, Answer->Body);
  return true;
}

void status_page::impl::answer(evhtp_request_t *Request) const {
  Loop.updateClock();
  const std::string Path = Request->uri->path->full;
  if (serve(Request, Path))
    return;
  if (Path == "/metrics")
    return reply(Request, EVHTP_RES_OK, Metrics.page());
  if (Path == "/healthz")
    return reply(Request, EVHTP_RES_OK, "ok\n");
  if (Path == "/readyz") {
    const bool Ready = !Hooks.Ready || Hooks.Ready();
    return reply(Request, Ready ? EVHTP_RES_OK : EVHTP_RES_SERVUNAVAIL,
                 Ready ? "ready\n" : "not ready\n");
  }
  const auto Page = Hooks.Pages.find(Path);
  if (Page == Hooks.Pages.end())
    return reply(Request, EVHTP_RES_NOTFOUND, "no such page\n");
  reply(Request, EVHTP_RES_OK, Page->second());
}

status_page::status_page(event_loop &Loop, const metrics &Metrics, hooks Hooks)
    : Impl(std::make_unique<impl>(Loop, Metrics, std::move(Hooks))) {}

status_page::~status_page() {
  if (!Impl->Http)
    return;
  evhtp_unbind_socket(Impl->Http);
  evhtp_free(Impl->Http);
}

result<void> status_page::open(const endpoint &Local) {
  Impl->Http = evhtp_new(Impl->Loop.base(), nullptr);
  evhtp_set_gencb(
      Impl->Http,
      [](evhtp_request_t *Request, void *User) {
        static_cast<const impl *>(User)->answer(Request);
      },
      Impl.get());
  const std::string Text = toText(Local);
  const std::string Host = Text.substr(0, Text.rfind(':'));
  constexpr int Backlog = 128;
  if (evhtp_bind_socket(Impl->Http, Host.c_str(), Local.Port, Backlog) != 0)
    return fail(step::OpenSocket, Text,
                "cannot bind the status page to this address");
  return {};
}

} // namespace marjoramrail
