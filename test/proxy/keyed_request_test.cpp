#include "proxy/key_codec.h"
#include "proxy/proxy_bench.h"

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const std::vector<h2_field> Keyed = {{"idempotency-key", "k1"}};

TEST_CASE("a repeat of a key gets the first answer and runs nothing") {
  // A broker's flow breaks after its amendment has run, before the answer is
  // there. The broker sends it again; run twice, it would void the certificate.
  proxy_bench Bench;
  near_caller &First = Bench.open();
  First.ask("/work", Keyed);
  Bench.pass(milliseconds(20));
  Bench.target().answer(0, "200", "amended");
  Bench.pass(milliseconds(20));
  near_caller &Second = Bench.open();

  const h2_stream Repeat = Second.ask("/work", Keyed);
  Bench.pass(milliseconds(200));

  CHECK(Second.Answers[Repeat].Status == "200");
  CHECK(Second.Answers[Repeat].Body == "amended");
  CHECK(Bench.target().Requests.size() == 1);
}

TEST_CASE("a repeat is not run while the first try is") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(20));

  const h2_stream Repeat = Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(400));

  CHECK(Caller.Answers[Repeat].Status == "409");
  CHECK(Bench.target().Requests.size() == 1);
}

TEST_CASE("a key whose run was lost is unknown for good") {
  // The target died with the amendment in its hands. Whether it ran cannot be
  // found out, so no repeat may run it.
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream First = Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(20));
  Bench.cut(Bench.target());
  CHECK(Caller.Answers[First].Status == "502");
  Bench.pass(milliseconds(100));

  const h2_stream Repeat = Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(400));

  CHECK(Caller.Answers[Repeat].Status == "502");
  CHECK(Bench.Servers[TargetAddress].size() == 1);
}

TEST_CASE("a keyed request goes on when its flow is lost") {
  // The tablet loses its connection while a delivery is being confirmed. The
  // confirmation runs to its end, and the repeat on the next flow finds it.
  proxy_bench Bench;
  near_caller &Lost = Bench.open();
  Lost.ask("/work", Keyed);
  Bench.pass(milliseconds(20));
  Lost.Flow.reset();
  Bench.pass(milliseconds(20));
  CHECK(!Bench.target().Requests[0].Closed);
  Bench.target().answer(0, "200", "confirmed");
  Bench.pass(milliseconds(20));
  near_caller &Next = Bench.open();

  const h2_stream Repeat = Next.ask("/work", Keyed);
  Bench.pass(milliseconds(200));

  CHECK(Next.Answers[Repeat].Body == "confirmed");
  CHECK(Bench.target().Requests.size() == 1);
}

TEST_CASE("a key that was refused before it ran is free") {
  proxy_bench Bench;
  Bench.Unreachable[TargetAddress] = true;
  near_caller &Caller = Bench.open();
  const h2_stream First = Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(200));
  CHECK(Caller.Answers[First].Status == "503");
  Bench.Unreachable[TargetAddress] = false;
  Bench.pass(seconds(2));

  const h2_stream Repeat = Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(200));
  Bench.target(1).answer(0, "200", "ran");
  Bench.exchange();

  CHECK(Caller.Answers[Repeat].Body == "ran");
}

TEST_CASE("a key that was given up while it was claimed is free") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream First = Caller.ask("/work", Keyed);
  Bench.exchange();
  Caller.Session->reset(First, h2_error::Cancel);
  Bench.pass(milliseconds(200));

  Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(200));

  CHECK(Bench.target().Requests.size() == 1);
}

TEST_CASE("a keyed request is relayed only when its claim is given back") {
  // The agent claimed the key, then had to relay the request. A peer that asks
  // for the key while the first claim still stands somewhere could leave it
  // unknown for good: an amendment that nobody ran and nobody will.
  proxy_bench Bench(1);
  load_report Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  near_caller &Caller = Bench.open();
  Caller.ask("/work");
  Bench.pass(milliseconds(20));
  Caller.ask("/work", Keyed);
  Bench.pass(milliseconds(30));
  Bench.Proxy->takePeerLoad(Idle);

  Bench.Proxy->drain();
  CHECK(Bench.Servers[PeerAddress].empty());
  Bench.pass(milliseconds(100));

  REQUIRE(Bench.Servers[PeerAddress].size() == 1);
  REQUIRE(Bench.peer().Requests.size() == 1);
  CHECK(Bench.peer().Requests[0].Head.get("idempotency-key") == "k1");
}

TEST_CASE("an agent that may have lost records runs no keyed request") {
  // The agent was restarted and its records are gone. A repeat of an amendment
  // that ran before would look new.
  proxy_bench Bench(4, /*FirstEver=*/false);
  near_caller &Caller = Bench.open();
  const h2_stream Repeat =
      Caller.ask("/work", {{"idempotency-key", "k1"}, {"x-try", "2"}});

  Bench.pass(seconds(2));

  CHECK(Caller.Answers[Repeat].Status == "503");
  CHECK(Caller.Answers[Repeat].Body.find("\"unknown\"") != std::string::npos);
  CHECK(Bench.Servers[TargetAddress].empty());
}

TEST_CASE("a peer's key messages are answered, a caller's are not") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  near_caller &Peer = Bench.open({0, true});
  const h2_stream FromCaller = Caller.ask("/.marjoramrail/keys");
  const h2_stream FromPeer = Peer.ask("/.marjoramrail/keys");

  Bench.pass(milliseconds(20));

  CHECK(Peer.Answers[FromPeer].Status == "400");
  CHECK(Caller.Answers[FromCaller].Status.empty());
  CHECK(Bench.target().Requests.size() == 1);
}

TEST_CASE("messages of key records survive their encoding") {
  key_message Message;
  Message.Kind = key_message_kind::SyncRecords;
  Message.From = host_id(3);
  Message.To = host_id(4);
  Message.Digest = 1ULL << 63;
  Message.Record = {"k1", key_state::Unknown,     host_id(5), 7, 9,
                    "",   std::chrono::seconds(5)};
  Message.RecordsComplete = true;
  Message.Records = {{"k2", key_state::Done, host_id(6), 8, 1, "200\nok",
                      std::chrono::seconds(1)}};
  Message.Last = true;
  Message.CompleteGenerations = {1, 2, 3};

  const auto Back =
      internal::decodeKeyMessages(internal::encodeKeyMessages({Message}));

  REQUIRE(Back);
  REQUIRE(Back.value().size() == 1);
  const key_message &Read = Back.value()[0];
  CHECK(Read.Kind == Message.Kind);
  CHECK(Read.Digest == Message.Digest);
  CHECK(Read.Record.State == key_state::Unknown);
  CHECK(Read.Record.Age == Message.Record.Age);
  REQUIRE(Read.Records.size() == 1);
  CHECK(Read.Records[0].Outcome == "200\nok");
  CHECK(Read.CompleteGenerations == Message.CompleteGenerations);
}

TEST_CASE("spoilt messages of key records are refused whole") {
  const std::string Good = internal::encodeKeyMessages({key_message()});
  for (std::size_t Size = 0; Size < Good.size(); ++Size)
    CHECK(!internal::decodeKeyMessages(Good.substr(0, Size)));
  for (std::size_t Index = 0; Index < Good.size(); ++Index)
    for (int Flip = 1; Flip < 256; ++Flip) {
      std::string Spoilt = Good;
      Spoilt[Index] = static_cast<char>(Spoilt[Index] ^ Flip);
      const auto Read = internal::decodeKeyMessages(Spoilt);
      if (Read)
        CHECK(Read.value().size() <= 1);
    }
}
