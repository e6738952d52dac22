#include "marjoramrail/runtime.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

namespace {

/// Differs between runs of the tests at the same time.
const endpoint PageAddress{
    0x7f4e0001, static_cast<std::uint16_t>(20000 + getpid() % 20000)};

/// A status page, and a client that sends it one request as plain bytes.
struct page_fixture {
  event_loop Loop;
  metrics Metrics;
  bool IsReady = true;
  std::vector<std::string> Served;
  status_page Page{Loop, Metrics, hooks()};

  page_fixture() { REQUIRE(Page.open(PageAddress)); }

  status_page::hooks hooks() {
    status_page::hooks Hooks;
    Hooks.Ready = [this] { return IsReady; };
    Hooks.Pages["/status"] = [] { return std::string("{}"); };
    Hooks.Serve =
        [this](const page_request &Request) -> std::optional<page_answer> {
      if (Request.Path != "/calls")
        return std::nullopt;
      Served.push_back((Request.IsPost ? "POST " : "GET ") +
                       std::string(Request.Body));
      return page_answer{409, R"({"a":1})"};
    };
    return Hooks;
  }

  /// Returns everything that the page answers within a moment.
  std::string ask(const std::string &Request) {
    std::string Answer;
    tcp_stream::hooks Hooks;
    Hooks.OnData = [&](std::string_view Bytes) { Answer += Bytes; };
    Hooks.OnConnected = [] {};
    Hooks.OnClosed = [](const std::string &) {};
    const auto Stream = tcp_stream::connect(Loop, PageAddress, Hooks);
    Stream->write(Request);
    Loop.timers().after(300ms, [&] { Loop.stop(); });
    Loop.run();
    return Answer;
  }
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

} // namespace

TEST_CASE_FIXTURE(page_fixture, "a status page serves its pages by path") {
  CHECK(ask(get("/status")).starts_with("HTTP/1.1 200"));
  CHECK(ask(get("/healthz?x=1")).find("ok") != std::string::npos);
  CHECK(ask(get("/nowhere")).starts_with("HTTP/1.1 404"));
}

TEST_CASE_FIXTURE(page_fixture, "a daemon that is not ready answers 503") {
  CHECK(ask(get("/readyz")).starts_with("HTTP/1.1 200"));
  IsReady = false;
  CHECK(ask(get("/readyz")).starts_with("HTTP/1.1 503"));
}

TEST_CASE_FIXTURE(page_fixture, "a request with a body reaches its hook") {
  const std::string Answer =
      ask("POST /calls HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello");

  CHECK(Served == std::vector<std::string>{"POST hello"});
  CHECK(Answer.starts_with("HTTP/1.1 409"));
  CHECK(Answer.find(R"({"a":1})") != std::string::npos);
}

TEST_CASE_FIXTURE(page_fixture, "two requests on one connection are answered") {
  const std::string Answer = ask(get("/healthz") + get("/status"));

  CHECK(Answer.find("ok") != std::string::npos);
  CHECK(Answer.find("{}") != std::string::npos);
}

TEST_CASE_FIXTURE(page_fixture, "a request that is too large is refused") {
  const std::string Answer = ask(
      "POST /calls HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n");

  CHECK(Served.empty());
  CHECK(Answer.starts_with("HTTP/1.1 413"));
}
