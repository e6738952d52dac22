#include "platform/http_connection.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace marjoramrail::internal {

/// Longer than any call: calls are ended by the client's own timers, so that
/// the same limit applies while connecting, sending and waiting.
static constexpr int LibraryTimeoutSeconds = 24 * 3600;

static constexpr std::size_t MaxAnswerBytes = 256 * 1024 * 1024;

http_connection::http_connection(event_loop &Loop, std::size_t Server,
                                 const endpoint &Address)
    : Server(Server), Address(Address) {
  const std::string Text = toText(Address);
  const std::string Host = Text.substr(0, Text.rfind(':'));
  Connection = evhttp_connection_base_new(Loop.base(), nullptr, Host.c_str(),
                                          Address.Port);
  evhttp_connection_set_timeout(Connection, LibraryTimeoutSeconds);
  evhttp_connection_set_max_body_size(Connection, MaxAnswerBytes);
}

http_connection::~http_connection() { evhttp_connection_free(Connection); }

static evhttp_cmd_type commandOf(http_method Method) {
  switch (Method) {
  case http_method::Get:
    return EVHTTP_REQ_GET;
  case http_method::Post:
    return EVHTTP_REQ_POST;
  case http_method::Put:
    return EVHTTP_REQ_PUT;
  case http_method::Delete:
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

void http_connection::send(const dialect_request &Sent,
                           std::function<void()> Part, done_hook Hook) {
  OnPart = std::move(Part);
  Done = std::move(Hook);
  Body.clear();
  evhttp_request *Request = evhttp_request_new(
      [](evhttp_request *Request, void *User) {
        static_cast<http_connection *>(User)->finish(Request);
      },
      this);
  evhttp_request_set_chunked_cb(
      Request, [](evhttp_request *Request, void *User) {
        auto &Self = *static_cast<http_connection *>(User);
        Self.appendBody(Request);
        Self.OnPart();
      });
  evkeyvalq *Fields = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Fields, "Host", toText(Address).c_str());
  for (const auto &[Name, Value] : Sent.Fields)
    evhttp_add_header(Fields, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), Sent.Body.data(),
               Sent.Body.size());
  if (evhttp_make_request(Connection, Request, commandOf(Sent.Method),
                          Sent.Path.c_str()) != 0) {
    if (Done)
      std::exchange(Done, nullptr)(std::nullopt, call_failure::NotSent);
  }
}

/// libevent discards each part of the body after its callback.
void http_connection::appendBody(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  const std::size_t Before = Body.size();
  const std::size_t Part = evbuffer_get_length(Input);
  Body.resize(Before + Part);
  evbuffer_remove(Input, Body.data() + Before, Part);
}

static http_answer answerOf(evhttp_request *Request, std::string Body) {
  http_answer Answer;
  Answer.Code = evhttp_request_get_response_code(Request);
  Answer.Body = std::move(Body);
  const char *RetryAfter = evhttp_find_header(
      evhttp_request_get_input_headers(Request), "Retry-After");
  Answer.RetryAfter = RetryAfter ? RetryAfter : "";
  return Answer;
}

/// libevent passes no request if a connection broke, and a request with code 0
/// if no connection was established.
void http_connection::finish(evhttp_request *Request) {
  if (!Done)
    return;
  const done_hook Hook = std::exchange(Done, nullptr);
  if (!Request)
    return Hook(std::nullopt, call_failure::NoAnswer);
  if (evhttp_request_get_response_code(Request) == 0)
    return Hook(std::nullopt, call_failure::NotSent);
  appendBody(Request);
  Hook(answerOf(Request, std::move(Body)), call_failure::NoAnswer);
}

} // namespace marjoramrail::internal
