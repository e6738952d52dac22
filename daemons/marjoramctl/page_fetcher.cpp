#include "page_fetcher.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace marjoramrail::ctl {

namespace {

struct page_fetch {
  event_loop &Loop;
  endpoint Process;
  std::string Path;
  page_callback Done;
  evhttp_connection *Connection = nullptr;
};

} // namespace

static std::optional<std::string> bodyOf(evhttp_request *Request) {
  constexpr int HttpOk = 200;
  if (!Request || evhttp_request_get_response_code(Request) != HttpOk)
    return std::nullopt;
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Body.data(), Body.size());
  return Body;
}

/// The connection must not be freed inside its own callback, so this task runs
/// later. It owns the fetch.
static void onAnswer(evhttp_request *Request, void *User) {
  auto *Fetch = static_cast<page_fetch *>(User);
  Fetch->Loop.defer([Fetch, Body = bodyOf(Request)] {
    const std::unique_ptr<page_fetch> Owner(Fetch);
    evhttp_connection_free(Fetch->Connection);
    Fetch->Done(Body, {step::Receive, toText(Fetch->Process),
                       "no answer to GET " + Fetch->Path});
  });
}

void fetchPage(event_loop &Loop, const endpoint &Process,
               const std::string &Path, duration Timeout, page_callback Done) {
  const std::string Text = toText(Process);
  const std::string Host = Text.substr(0, Text.rfind(':'));
  auto *Fetch = new page_fetch{Loop, Process, Path, std::move(Done)};
  Fetch->Connection = evhttp_connection_base_new(Loop.base(), nullptr,
                                                 Host.c_str(), Process.Port);
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Timeout).count();
  evhttp_connection_set_timeout(Fetch->Connection,
                                std::max<int>(1, static_cast<int>(Seconds)));
  evhttp_request *Request = evhttp_request_new(onAnswer, Fetch);
  evhttp_add_header(evhttp_request_get_output_headers(Request), "Host",
                    Text.c_str());
  evhttp_make_request(Fetch->Connection, Request, EVHTTP_REQ_GET, Path.c_str());
}

} // namespace marjoramrail::ctl
