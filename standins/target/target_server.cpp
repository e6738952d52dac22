#include "target_server.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

namespace {

/// Returns the number in \p Text, or \p Default if there is none.
std::int64_t numberIn(std::string_view Text, std::int64_t Default) {
  std::int64_t Value = Default;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && Value >= 0 ? Value : Default;
}

duration millisecondsIn(std::string_view Text, std::int64_t Default) {
  return std::chrono::milliseconds(numberIn(Text, Default));
}

std::string_view suffixAfter(std::string_view Path, std::string_view Prefix) {
  return Path.substr(Prefix.size());
}

h2_head answerHead(const std::string &Status, const std::string &Host) {
  h2_head Head;
  Head.add(":status", Status);
  Head.add("x-host", Host);
  return Head;
}

} // namespace

/// One TCP connection from an agent.
class target_server::connection {
public:
  connection(target_server &Server, std::unique_ptr<tcp_stream> Peer);
  ~connection();

private:
  struct request {
    std::uint64_t Id = 0;
    request_metadata Metadata;
    duration Work = duration::zero();
    timer_id Ticker{};
    std::uint64_t Ticks = 0;
  };

  void onHead(h2_stream Stream, const h2_head &Head);
  void onClose(h2_stream Stream);
  void run(h2_stream Stream, const h2_head &Head, std::size_t AnswerBytes);
  void finish(h2_stream Stream, work_outcome Outcome, std::size_t AnswerBytes);
  void startTicker(h2_stream Stream, const h2_head &Head);
  void answer(h2_stream Stream, const std::string &Status,
              const std::string &Body);
  void drop();

  target_server &Server;
  std::unique_ptr<tcp_stream> Peer;
  std::unique_ptr<h2_session> Session;
  std::map<h2_stream, request> Requests;
};

target_server::connection::connection(target_server &Server,
                                      std::unique_ptr<tcp_stream> Taken)
    : Server(Server), Peer(std::move(Taken)) {
  h2_hooks Hooks;
  Hooks.Output = [this](std::string_view Bytes) { Peer->write(Bytes); };
  Hooks.OnHead = [this](h2_stream Stream, const h2_head &Head, bool) {
    onHead(Stream, Head);
  };
  Hooks.OnClose = [this](h2_stream Stream, h2_error) { onClose(Stream); };
  h2_settings Settings;
  Settings.MaxStreams = 65536;
  Session =
      std::make_unique<h2_session>(h2_role::Server, Settings, std::move(Hooks));
  tcp_stream::hooks Streaming;
  Streaming.OnData = [this](std::string_view Bytes) {
    if (!Session->input(Bytes))
      drop();
  };
  Streaming.OnClosed = [this](const std::string &) { drop(); };
  Peer->setHooks(std::move(Streaming));
  Session->flush();
}

target_server::connection::~connection() {
  for (auto &[Stream, Request] : Requests) {
    Server.Loop.timers().cancel(Request.Ticker);
    if (Server.Model.cancel(Request.Id))
      Server.Record.add(run_event::Cancel, Request.Metadata, Request.Work,
                        Server.Loop.timers().now());
  }
}

void target_server::connection::drop() {
  Server.Loop.defer([this, &Server = Server] {
    Server.Connections.remove_if(
        [this](const auto &Item) { return Item.get() == this; });
  });
}

void target_server::connection::onHead(h2_stream Stream, const h2_head &Head) {
  const std::string_view Path = Head.get(":path");
  constexpr std::string_view Document = "/document/";
  constexpr std::string_view Slow = "/fault/slow/";
  if (Path == "/work")
    return run(Stream, Head, 0);
  if (Path.starts_with(Document))
    return run(
        Stream, Head,
        static_cast<std::size_t>(numberIn(suffixAfter(Path, Document), 0)));
  if (Path == "/stream")
    return startTicker(Stream, Head);
  if (Path == "/load") {
    const target_load Load = Server.Model.report();
    return answer(Stream, "200",
                  nlohmann::json{{"slots", Load.Slots},
                                 {"busy", Load.Busy},
                                 {"waiting", Load.Waiting}}
                      .dump());
  }
  if (Path.starts_with(Slow)) {
    Server.Model.setSlow(
        static_cast<std::uint32_t>(numberIn(suffixAfter(Path, Slow), 100)));
    return answer(Stream, "200", "{}");
  }
  answer(Stream, "404", "{\"run\":\"no\"}");
}

void target_server::connection::run(h2_stream Stream, const h2_head &Head,
                                    std::size_t AnswerBytes) {
  request &Request = Requests[Stream];
  Request.Id = ++Server.LastRequest;
  Request.Metadata = {std::string(Head.get("x-service")),
                      std::string(Head.get("x-request")),
                      std::string(Head.get("idempotency-key"))};
  Request.Work = millisecondsIn(Head.get("x-work-ms"), 1);
  target_request Submitted;
  Submitted.Id = Request.Id;
  Submitted.Work = Request.Work;
  Submitted.Deadline = millisecondsIn(Head.get("x-deadline-ms"), 0);
  Submitted.OnBegin = [this, Stream] {
    const request &Begun = Requests.at(Stream);
    Server.Record.add(run_event::Begin, Begun.Metadata, Begun.Work,
                      Server.Loop.timers().now());
  };
  Submitted.OnEnd = [this, Stream, AnswerBytes](work_outcome Outcome) {
    finish(Stream, Outcome, AnswerBytes);
  };
  Server.Model.submit(std::move(Submitted));
}

void target_server::connection::finish(h2_stream Stream, work_outcome Outcome,
                                       std::size_t AnswerBytes) {
  const auto Found = Requests.find(Stream);
  if (Found == Requests.end())
    return;
  const request Request = std::move(Found->second);
  Requests.erase(Found);
  const bool Ran = Outcome == work_outcome::Done;
  Server.Record.add(Ran ? run_event::End : run_event::Shed, Request.Metadata,
                    Request.Work, Server.Loop.timers().now());
  if (!Ran) {
    h2_head Head = answerHead("503", Server.Host);
    Head.add("retry-after", "1");
    Session->respond(Stream, Head, false);
    Session->data(Stream, "{\"run\":\"no\"}", true);
    Session->flush();
    return;
  }
  if (AnswerBytes > 0)
    return answer(Stream, "200", std::string(AnswerBytes, 'd'));
  answer(Stream, "200",
         nlohmann::json{{"run", "yes"},
                        {"host", Server.Host},
                        {"request", Request.Metadata.Request}}
             .dump());
}

void target_server::connection::startTicker(h2_stream Stream,
                                            const h2_head &Head) {
  request &Request = Requests[Stream];
  Request.Id = ++Server.LastRequest;
  Session->respond(Stream, answerHead("200", Server.Host), false);
  Session->data(Stream, "tick 0\n", false);
  Session->flush();
  const duration Interval =
      std::max<duration>(millisecondsIn(Head.get("x-interval-ms"), 1000),
                         std::chrono::milliseconds(1));
  Request.Ticker = Server.Loop.timers().every(Interval, [this, Stream] {
    request &Ticking = Requests.at(Stream);
    const std::string Line = "tick " + std::to_string(++Ticking.Ticks) + "\n";
    Session->data(Stream, Line, false);
    Session->flush();
  });
}

void target_server::connection::answer(h2_stream Stream,
                                       const std::string &Status,
                                       const std::string &Body) {
  Session->respond(Stream, answerHead(Status, Server.Host), false);
  Session->data(Stream, Body, true);
  Session->flush();
}

void target_server::connection::onClose(h2_stream Stream) {
  const auto Found = Requests.find(Stream);
  if (Found == Requests.end())
    return;
  const request Request = std::move(Found->second);
  Requests.erase(Found);
  Server.Loop.timers().cancel(Request.Ticker);
  if (Server.Model.cancel(Request.Id))
    Server.Record.add(run_event::Cancel, Request.Metadata, Request.Work,
                      Server.Loop.timers().now());
}

target_server::target_server(event_loop &Loop, std::string Host,
                             target_model &Model, run_record &Record)
    : Loop(Loop), Host(std::move(Host)), Model(Model), Record(Record),
      Listener(Loop, [this](std::unique_ptr<tcp_stream> Peer) {
        Connections.push_back(
            std::make_unique<connection>(*this, std::move(Peer)));
      }) {}

target_server::~target_server() = default;

result<void> target_server::open(const endpoint &Local) {
  return Listener.open(Local);
}

} // namespace marjoramrail::standins
